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

// process is a started process.
type process struct {
	cmd    *exec.Cmd
	output *tailBuffer
	done   chan struct{} // closed when it has ended
	err    error         // of its exit, once done is closed
}

// startProcess starts a command; its output also goes to log, which may be nil.
func startProcess(cmd *exec.Cmd, log io.Writer) (*process, error) {
	p := &process{cmd: cmd, output: &tailBuffer{log: log}, done: make(chan struct{})}
	cmd.Stderr = p.output
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
	}()
	return p, nil
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// exitCode returns the process's exit code; -1: it runs or was killed by a signal.
func (p *process) exitCode() int {
	if !p.ended() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// terminatedBeforeOutput reports whether SIGTERM ended the process before it had written any output: on a busy machine one that has just
// started may not yet handle signals, and has acknowledged nothing.
func (p *process) terminatedBeforeOutput() bool {
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && p.output.String() == ""
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may be over

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// shutDown sends SIGTERM and waits for the exit. A process that takes longer than most is killed, which is an error.
func (p *process) shutDown(most time.Duration) error {
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

// lockedWriter serializes the writes of several processes.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (s *lockedWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.w.Write(p)
}

// maxTailBytes is how many bytes of a process's last output are retained.
const maxTailBytes = 2 << 10

// tailBuffer retains the end of what is written to it.
type tailBuffer struct {
	log io.Writer // gets all of it; may be nil

	mu   sync.Mutex
	text []byte
}

// Write returns only errors of the log.
func (w *tailBuffer) Write(p []byte) (int, error) {
	w.mu.Lock()
	w.text = append(w.text, p...)
	w.text = w.text[max(0, len(w.text)-maxTailBytes):]
	w.mu.Unlock()
	if w.log != nil {
		return w.log.Write(p)
	}
	return len(p), nil
}

func (w *tailBuffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return string(bytes.TrimSpace(w.text))
}
