// Package rig holds what the review's cases share: the record of a run, the processes that a case starts, and small
// stand-ins for balancers, the runtime, uwsgi clients and uwsgi servers. Everything is on loopback addresses.
package rig

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// MaxDuration bounds one run of a case.
const MaxDuration = 115 * time.Second

// Case is one run of a case: its record, its temporary folder and its processes.
type Case struct {
	Trouble bool   // false with TROUBLE=0: the same without the disruption
	Dir     string // temporary folder, removed at the end

	root      string // the repository
	start     time.Time
	mu        sync.Mutex
	record    *os.File
	processes []*Process
}

// Main runs a case and exits with its code. Its arguments are the repository's root and the case's folder. It ends
// all processes that the case started, also after a panic, a signal or MaxDuration.
func Main(run func(c *Case) int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT FOLDER")
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", root: os.Args[1], start: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err == nil {
		c.Dir, err = os.MkdirTemp("", "case")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	code := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				c.Log("could not run: %v", p)
				code <- NotRun
			}
		}()
		code <- run(c)
	}()
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	result := NotRun
	select {
	case result = <-code:
	case <-stop.Done():
		c.Log("could not run: stopped by a signal")
	case <-time.After(MaxDuration):
		c.Log("could not run: not done after %v", MaxDuration)
	}
	c.close()
	c.Log("exit %d", result)
	os.Exit(result)
}

// close ends all processes and removes the temporary folder.
func (c *Case) close() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	_ = os.RemoveAll(c.Dir)
}

// Log writes a line to the record and to the standard output.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = c.record.WriteString(line)
	fmt.Print(line)
}

// Check panics with the error, if there is one: the case can't run.
func Check(err error) {
	if err != nil {
		panic(err)
	}
}

// Write writes a file into the temporary folder and returns its path.
func (c *Case) Write(name, text string) string {
	path := filepath.Join(c.Dir, name)
	Check(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Process is a process of the program under review.
type Process struct {
	Name string
	PID  int
	Done chan struct{} // closed when it has ended

	cmd *exec.Cmd
	log string
}

// Serve starts the program with the command of the deploy file, and the flag --deploy if deploy is not empty. Its log
// goes to a file of the temporary folder.
func (c *Case) Serve(name, config, deploy string, env []string, files ...*os.File) *Process {
	command := "trap '' HUP; exec bin/sloehitch serve"
	if deploy != "" {
		command += " --deploy " + deploy
	}
	p := &Process{Name: name, Done: make(chan struct{}), log: filepath.Join(c.Dir, name+".log")}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	Check(err)
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = c.root
	p.cmd.Env = append(append(os.Environ(), "GW_CONFIG="+config), env...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.ExtraFiles = out, out, files
	Check(p.cmd.Start())
	_ = out.Close()
	p.PID = p.cmd.Process.Pid
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	c.Log("%s: started as process %d", name, p.PID)
	go func() {
		err := p.cmd.Wait()
		c.Log("%s: process %d ended: %v", name, p.PID, exitText(err))
		close(p.Done)
	}()
	return p
}

func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.Done:
		return true
	default:
		return false
	}
}

// Kill ends the process, also if it is stopped, and waits for its end.
func (p *Process) Kill() {
	if !p.Ended() {
		p.Signal(syscall.SIGKILL)
		<-p.Done
	}
}

// LogText returns what the process has logged.
func (p *Process) LogText() string {
	text, err := os.ReadFile(p.log)
	Check(err)
	return string(text)
}

// FreeAddress returns a loopback address with a port that nobody listens on.
func FreeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	defer ln.Close()
	return ln.Addr().String()
}

// WaitFor waits until the condition holds, and reports whether it did within the timeout.
func WaitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// Call runs a command of the program, such as "state", and returns its output.
func (c *Case) Call(args ...string) (output string, err error) {
	command := exec.Command("bin/sloehitch", args...)
	command.Dir = c.root
	text, err := command.CombinedOutput()
	return string(text), err
}
