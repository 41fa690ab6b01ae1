package rig2

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a process that the case started.
type Process struct {
	name    string
	c       *Case
	command *exec.Cmd
	log     string
	ended   chan struct{}
	once    sync.Once
}

// Daemon describes how a daemon is started.
type Daemon struct {
	Name   string   // in the record
	Config string   // GW_CONFIG
	Deploy string   // the deployment file; empty: that of the repository
	Env    []string // more variables
	Accept *os.File // the clients' listener, passed as descriptor 7; nil: none
}

// acceptDescriptor is the number under which the platform passes the clients' listener.
const acceptDescriptor = 7

// StartDaemon starts the daemon by the deploy file's command run.
func (c *Case) StartDaemon(d Daemon) (*Process, error) {
	run, err := c.deployCommand("run")
	if err != nil {
		return nil, err
	}
	if d.Deploy != "" {
		run += " --deploy " + d.Deploy
	}
	command := exec.Command("/bin/sh", "-c", run)
	command.Dir = c.root
	command.Env = append(os.Environ(), append([]string{"GW_CONFIG=" + d.Config}, d.Env...)...)
	if d.Accept != nil {
		command.ExtraFiles = make([]*os.File, acceptDescriptor-2)
		command.ExtraFiles[acceptDescriptor-3] = d.Accept
		command.Env = append(command.Env, fmt.Sprint("GW_ACCEPT_FD=", acceptDescriptor))
	}
	return c.start(d.Name, command)
}

// deployCommand returns a command of the deploy file.
func (c *Case) deployCommand(key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, key+" = \""); found {
			return strings.TrimSuffix(strings.TrimSpace(value), "\""), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
}

// start starts a process whose log goes to a file.
func (c *Case) start(name string, command *exec.Cmd) (*Process, error) {
	p := &Process{name: name, c: c, command: command, ended: make(chan struct{})}
	log, err := os.CreateTemp(c.Dir, name+"-*.log") // a process of the same name may be started again
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.log = log.Name()
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	c.Note("%s started, process %d", name, command.Process.Pid)
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() {
		err := command.Wait()
		c.Note("%s ended: %v", name, err)
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	if p.Ended() {
		return
	}
	p.c.Note("%s gets %v", p.name, s)
	if err := p.command.Process.Signal(s); err != nil {
		p.c.Note("%s: %v", p.name, err)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// WaitEnd waits for the end, for so long at most, and reports whether the process has ended.
func (p *Process) WaitEnd(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// maxLogLines is the number of a process's log lines that the record gets.
const maxLogLines = 60

// copyLog copies the process's log to the record.
func (p *Process) copyLog() {
	p.once.Do(func() {
		f, err := os.Open(p.log)
		if err != nil {
			return
		}
		defer f.Close()
		p.c.Note("log of %s:", p.name)
		lines := bufio.NewScanner(f)
		for n := 0; lines.Scan() && n < maxLogLines; n++ {
			p.c.Note("  | %s", lines.Text())
		}
	})
}
