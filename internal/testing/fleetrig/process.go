package fleetrig

import (
	"bytes"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is one that was started, and whose end is noticed when it comes.
type process struct {
	cmd   *exec.Cmd
	words *lastWords
	done  chan struct{} // closed when it has ended
	err   error         // how, once it has
}

// begin starts a command; what it says goes to log as well, which may be nil.
func begin(cmd *exec.Cmd, log io.Writer) (*process, error) {
	p := &process{cmd: cmd, words: &lastWords{log: log}, done: make(chan struct{})}
	cmd.Stderr = p.words
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
	}()
	return p, nil
}

// over says whether it has ended.
func (p *process) over() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// code is the one that it ended with; -1: it has not, or was killed.
func (p *process) code() int {
	if !p.over() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// unborn says whether it was ended by SIGTERM before it had said a word: on a busy machine one that has just been started is not yet as far
// as to listen for signals, and has promised nothing to anybody.
func (p *process) unborn() bool {
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && p.words.String() == ""
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may be over

// kill ends it and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// leave tells it to leave and waits until it has; it is killed where it takes longer than most, and that is an error.
func (p *process) leave(most time.Duration) error {
	p.signal(syscall.SIGTERM)
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case <-p.done:
		return p.err
	case <-late.C:
		p.kill()
		return fmt.Errorf("it was still there %v later", most)
	}
}

// shared is one log of several processes.
type shared struct {
	mu sync.Mutex
	w  io.Writer
}

func (s *shared) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.w.Write(p)
}

// mostWords is how many bytes of what a process said last are kept.
const mostWords = 2 << 10

// lastWords keeps the end of what is written to it.
type lastWords struct {
	log io.Writer // gets all of it; may be nil

	mu   sync.Mutex
	text []byte
}

// Write never errs for its own part.
func (w *lastWords) Write(p []byte) (int, error) {
	w.mu.Lock()
	w.text = append(w.text, p...)
	w.text = w.text[max(0, len(w.text)-mostWords):]
	w.mu.Unlock()
	if w.log != nil {
		return w.log.Write(p)
	}
	return len(p), nil
}

func (w *lastWords) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return string(bytes.TrimSpace(w.text))
}
