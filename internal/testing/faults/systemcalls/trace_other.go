//go:build !linux || !amd64

package systemcalls

import "errors"

// Run returns an error, since tracing is implemented on Linux and amd64 only.
func Run(string, []string, *OutcomeSource, func(pid int)) (int, map[string]int, error) {
	return 0, nil, errors.New("system call faults are supported on linux/amd64 only")
}
