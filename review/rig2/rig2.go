// Package rig2 is the frame of the cases 6 to 10: it starts the daemon by the command of the deploy file, plays the
// platform, and writes what was sent, answered and run to record.txt in the folder of the case.
package rig2

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Limit is the longest time for which a case runs.
const Limit = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // whether the disruption is played
	Dir     string // a temporary folder

	root    string // the repository's root
	started time.Time

	mu        sync.Mutex
	record    *os.File
	breaches  []string
	processes []*Process
}

// Main plays a case: its arguments are the folder of the case and the repository's root. An error of play means that the
// case could not run.
func Main(play func(*Case) error) {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	played, stopped := make(chan error, 1), make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() { played <- play(c) }()
	select {
	case err = <-played:
	case s := <-stopped:
		err = fmt.Errorf("stopped by signal %v", s)
	case <-time.After(Limit):
		err = errors.New("the case took too long")
	}
	os.Exit(c.finish(err))
}

func newCase() (*Case, error) {
	if len(os.Args) != 3 {
		return nil, errors.New("usage: CASE FOLDER ROOT")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, root: os.Args[2], started: time.Now(), record: record}, nil
}

// finish ends the processes and returns the exit code.
func (c *Case) finish(err error) int {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	for _, p := range processes {
		p.copyLog()
	}
	code, verdict := exitHeld, "the rule held"
	c.mu.Lock()
	breaches := c.breaches
	c.mu.Unlock()
	switch {
	case len(breaches) > 0:
		code, verdict = exitBroken, "the rule was broken:\n  "+strings.Join(breaches, "\n  ")
	case err != nil:
		code, verdict = exitNotRun, "the case could not run: "+err.Error()
	}
	c.Note("%s", verdict)
	fmt.Println(verdict)
	if err := errors.Join(c.record.Close(), os.RemoveAll(c.Dir)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

// Note writes a line to the record.
func (c *Case) Note(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, values...))
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	c.Note("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, text)
}

// Ports for the daemons' listeners. They lie below those that Linux gives to connections, so that no connection takes one
// between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			return ln.Addr().String(), ln.Close()
		}
	}
	return "", errors.New("no free port found")
}

// FreeAddresses returns n of them.
func FreeAddresses(n int) (addresses []string, err error) {
	for range n {
		a, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

// WriteFile writes a file in the temporary folder and returns its path. It replaces the file in one step.
func (c *Case) WriteFile(name, text string) (string, error) {
	path := filepath.Join(c.Dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// WriteJSON writes a value as JSON in the temporary folder and returns the file's path.
func (c *Case) WriteJSON(name string, v any) (string, error) {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return "", err
	}
	return c.WriteFile(name, string(text))
}

// WaitFor polls a condition until it holds, and returns an error if it does not in the time given.
func WaitFor(what string, within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
	return nil
}
