//go:build !linux || !amd64

package systemcalls

import "errors"

// Run returns an error: programs are traced on Linux and amd64 only.
func Run(string, []string, *Choice, func(pid int)) (int, map[string]int, error) {
	return 0, nil, errors.New("system calls can be made to fail on linux/amd64 only")
}
