package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/testing/faulthooks"
	"sloehitch/internal/testing/faults/linkproxy"
)

// life is one process of the node, with the runtime that belongs to it. Times are since the play began.
type life struct {
	number  int
	command *exec.Cmd
	config  string
	links   []*linkproxy.Proxy // ways to its runtime; the configuration names one of them
	link    int                // that one
	runtime *runtime
	log     logFile

	started time.Duration
	ready   time.Duration // when its link to the runtime was up; 0: never
	told    time.Duration // when it was first told to leave; 0: it was not
	killed  bool          // without notice
	ended   time.Duration // 0: it is up
	failure string        // how it ended where that was wrong
	done    chan struct{}
}

// logFile collects what a process writes.
type logFile struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log.
func (l *logFile) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logFile) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Command makes the command that serves with a configuration; the rig adds to its environment.
type Command func(config string) *exec.Cmd

// startProcess starts the node's next process.
func (p *play) startProcess() (*life, error) {
	p.mu.Lock()
	number := len(p.lives) + 1
	p.mu.Unlock()
	rt, err := newRuntime(p.record, p.requests, p.plan.Clients, p.plan.Seed+uint64(number))
	if err != nil {
		return nil, err
	}
	rt.life = number
	l := &life{number: number, runtime: rt, done: make(chan struct{}), config: filepath.Join(p.dir, fmt.Sprintf("config-%d.json", number))}
	for range 2 {
		link, err := p.link("runtime", rt.listener.Addr().String())
		if err != nil {
			return nil, err
		}
		l.links = append(l.links, link)
	}
	if err := p.configure(l); err != nil {
		return nil, err
	}
	l.command = p.command(l.config)
	if p.listener != nil {
		l.command.ExtraFiles = []*os.File{p.listener}
		l.command.Env = append(l.command.Env, "GW_ACCEPT_FD=3")
	}
	l.command.Env = append(l.command.Env, faulthooks.Variable+"="+p.trialDir, "SLOEHITCH_LOG_LEVEL=debug", "TMPDIR="+p.dir)
	l.command.Stdout, l.command.Stderr = &l.log, &l.log
	l.started = p.record.add("process", "start", "", "", fmt.Sprint(number))
	if err := l.command.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.lives = append(p.lives, l)
	p.mu.Unlock()
	go p.awaitEnd(l)
	go p.awaitReady(l)
	return l, nil
}

// awaitEnd notes the end of a process; its runtime ends with it.
func (p *play) awaitEnd(l *life) {
	err := l.command.Wait()
	at := p.record.add("process", "end", "", "", fmt.Sprint(l.number, " ", err))
	l.runtime.close()
	p.mu.Lock()
	l.ended = at
	asked := l.told > 0 || l.killed
	if err != nil && !asked {
		l.failure = fmt.Sprint("it ended by itself: ", err)
	}
	p.mu.Unlock()
	close(l.done)
}

// awaitReady notes when the process has its link to the runtime and takes connections.
func (p *play) awaitReady(l *life) {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		l.runtime.mu.Lock()
		linked := l.runtime.conn != nil
		l.runtime.mu.Unlock()
		if linked && strings.Contains(l.log.String(), "msg=serving") {
			break
		}
	}
	at := p.record.add("process", "ready", "", "", fmt.Sprint(l.number))
	p.mu.Lock()
	defer p.mu.Unlock()
	l.ready = at
}

// leave tells a process to leave, in a series of signals, and kills it at the earliest that the protocol allows.
func (p *play) leave(l *life, signals int) {
	kill := p.plan.Site.Stop()
	at := p.record.add("process", "SIGTERM", "", "", fmt.Sprint(l.number))
	p.mu.Lock()
	l.told = at
	p.mu.Unlock()
	p.signal(l, syscall.SIGTERM)
	for range signals - 1 {
		time.Sleep(20 * time.Millisecond)
		p.signal(l, syscall.SIGHUP)
		p.signal(l, syscall.SIGTERM)
	}
	for end := at + kill; ; {
		left := end + p.pausedSince(at) - p.record.now() // time in which the machine stands still does not count
		if left <= 0 {
			break
		}
		select {
		case <-l.done:
			return
		case <-time.After(left):
		}
	}
	select {
	case <-l.done:
	default:
		p.record.add("process", "SIGKILL", "", "", fmt.Sprint(l.number, " at its time"))
		p.signal(l, syscall.SIGKILL)
		<-l.done
	}
}

// pausedSince is how long the process has stood still since a time.
func (p *play) pausedSince(from time.Duration) (sum time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.pauses {
		if x.to > from {
			sum += x.to - max(from, x.from)
		}
	}
	return sum
}

// kill kills a process without notice.
func (p *play) kill(l *life) {
	p.mu.Lock()
	l.killed = true
	p.mu.Unlock()
	p.record.add("process", "SIGKILL", "", "", fmt.Sprint(l.number, " without notice"))
	p.signal(l, syscall.SIGKILL)
	<-l.done
}

func (p *play) signal(l *life, s syscall.Signal) {
	_ = l.command.Process.Signal(s) // it may have ended
}

// usage is what a process takes: its resident memory in MB and its descriptors.
func (l *life) usage() (megabytes float64, descriptors int, err error) {
	proc := filepath.Join("/proc", strconv.Itoa(l.command.Process.Pid))
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes float64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, 0, err
	}
	files, err := os.ReadDir(filepath.Join(proc, "fd"))
	return kilobytes / 1024, len(files), err
}
