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

// process is a process that the rig has started.
type process struct {
	cmd    *exec.Cmd
	output *tailBuffer
	done   chan struct{} // closed when it has ended
	err    error         // result of Wait; valid once done is closed
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

// exitCode returns the process's exit code, or -1 if it is running or was killed by a signal.
func (p *process) exitCode() int {
	if !p.ended() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// terminatedBeforeOutput reports whether SIGTERM killed the process before it had written any output. On a busy machine a process that has
// just started may not handle signals yet; it has acknowledged nothing.
func (p *process) terminatedBeforeOutput() bool {
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && p.output.String() == ""
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// shutDown sends SIGTERM and waits for the exit. It kills a process that takes longer than the timeout, and returns an error.
func (p *process) shutDown(timeout time.Duration) error {
	p.signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err
	case <-timer.C:
		p.kill()
		return fmt.Errorf("process did not exit within %v after SIGTERM", timeout)
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

// maxTailBytes is the number of bytes that are retained of a process's last output.
const maxTailBytes = 2 << 10

// tailBuffer retains the end of what is written to it.
type tailBuffer struct {
	log io.Writer // receives all output; may be nil

	mu   sync.Mutex
	text []byte
}

// Write retains the end of the output and copies all of it to the log. It returns only errors of the log.
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
