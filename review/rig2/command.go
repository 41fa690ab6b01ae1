package rig2

import (
	"os/exec"
	"path/filepath"
	"strings"
)

// Command runs an operators' command of the program and returns what it printed.
func (c *Case) Command(args ...string) (string, error) {
	text, err := exec.Command(filepath.Join(c.root, "bin", "sloehitch"), args...).CombinedOutput()
	c.Note("operators: sloehitch %s: %q, %v", strings.Join(args, " "), text, err)
	return string(text), err
}
