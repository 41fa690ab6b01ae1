package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sloehitch/internal/testing/faulthooks"
	"sloehitch/internal/testing/faults/linkproxy"
	"sloehitch/internal/testing/logbuffer"
)

// process is a process of the node and its runtime. Times are since the test run began.
type process struct {
	number      int
	command     *exec.Cmd
	config      string
	proxies     []*linkproxy.Proxy // to its runtime; the configuration names one of them
	activeProxy int                // index of the proxy that the configuration names
	runtime     *runtime
	log         logbuffer.Buffer

	startedAt    time.Duration
	readyAt      time.Duration // when it was connected to its runtime and accepted clients; 0: never
	terminatedAt time.Duration // when it was first sent SIGTERM; 0: never
	killed       bool          // by SIGKILL, without a SIGTERM before
	endedAt      time.Duration // 0: it is running
	failure      string        // how it ended, if that was unexpected
	done         chan struct{}
}

// Command returns the command that starts a node's process with a configuration file; the rig adds variables to its environment.
type Command func(config string) *exec.Cmd

// startProcess starts the node's next process.
func (run *testRun) startProcess() (*process, error) {
	run.mu.Lock()
	number := len(run.processes) + 1
	run.mu.Unlock()
	rt, err := newRuntime(run.record, run.requests, run.plan.Clients, run.plan.Seed+uint64(number))
	if err != nil {
		return nil, err
	}
	rt.process = number
	proc := &process{number: number, runtime: rt, done: make(chan struct{}), config: filepath.Join(run.dir, fmt.Sprintf("config-%d.json", number))}
	for range 2 {
		link, err := run.newProxy("runtime", rt.listener.Addr().String())
		if err != nil {
			return nil, err
		}
		proc.proxies = append(proc.proxies, link)
	}
	if err := run.configure(proc); err != nil {
		return nil, err
	}
	proc.command = run.command(proc.config)
	if run.listener != nil {
		proc.command.ExtraFiles = []*os.File{run.listener}
		proc.command.Env = append(proc.command.Env, "GW_ACCEPT_FD=3")
	}
	proc.command.Env = append(proc.command.Env, faulthooks.Variable+"="+run.hookDir, "SLOEHITCH_LOG_LEVEL=debug", "TMPDIR="+run.dir)
	proc.command.Stdout, proc.command.Stderr = &proc.log, &proc.log
	proc.startedAt = run.record.add("process", "start", "", "", fmt.Sprint(number))
	if err := proc.command.Start(); err != nil {
		return nil, err
	}
	run.mu.Lock()
	run.processes = append(run.processes, proc)
	run.mu.Unlock()
	go run.awaitEnd(proc)
	go run.awaitReady(proc)
	return proc, nil
}

// awaitEnd waits for the end of a process, records it and closes its runtime.
func (run *testRun) awaitEnd(proc *process) {
	err := proc.command.Wait()
	at := run.record.add("process", "end", "", "", fmt.Sprint(proc.number, " ", err))
	proc.runtime.close()
	run.mu.Lock()
	proc.endedAt = at
	expected := proc.terminatedAt > 0 || proc.killed
	if err != nil && !expected {
		proc.failure = fmt.Sprint("it exited without a signal from the rig: ", err)
	}
	run.mu.Unlock()
	close(proc.done)
}

// awaitReady waits until the process is connected to its runtime and accepts connections, and records when.
func (run *testRun) awaitReady(proc *process) {
	for {
		select {
		case <-proc.done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		proc.runtime.mu.Lock()
		linked := proc.runtime.conn != nil
		proc.runtime.mu.Unlock()
		if linked && strings.Contains(proc.log.String(), "msg=serving") {
			break
		}
	}
	at := run.record.add("process", "ready", "", "", fmt.Sprint(proc.number))
	run.mu.Lock()
	defer run.mu.Unlock()
	proc.readyAt = at
}

// shutDown sends SIGTERM and, if signals is more than 1, repeats it with a SIGHUP before each repetition. It kills a process that is still
// running at the earliest time that the protocol allows, and blocks until the process has ended.
func (run *testRun) shutDown(proc *process, signals int) {
	kill := run.plan.Site.Stop()
	at := run.record.add("process", "SIGTERM", "", "", fmt.Sprint(proc.number))
	run.mu.Lock()
	proc.terminatedAt = at
	run.mu.Unlock()
	run.signal(proc, syscall.SIGTERM)
	for range signals - 1 {
		time.Sleep(20 * time.Millisecond)
		run.signal(proc, syscall.SIGHUP)
		run.signal(proc, syscall.SIGTERM)
	}
	for end := at + kill; ; {
		left := end + run.pausedSince(at) - run.record.now() // time in which the process is paused does not count
		if left <= 0 {
			break
		}
		select {
		case <-proc.done:
			return
		case <-time.After(left):
		}
	}
	select {
	case <-proc.done:
	default:
		run.record.add("process", "SIGKILL", "", "", fmt.Sprint(proc.number, " at the end of the shutdown time"))
		run.signal(proc, syscall.SIGKILL)
		<-proc.done
	}
}

// pausedSince returns how long the process was paused after the given time.
func (run *testRun) pausedSince(from time.Duration) (sum time.Duration) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, x := range run.pauses {
		if x.to > from {
			sum += x.to - max(from, x.from)
		}
	}
	return sum
}

// kill kills a process without SIGTERM and waits for its end.
func (run *testRun) kill(proc *process) {
	run.mu.Lock()
	proc.killed = true
	run.mu.Unlock()
	run.record.add("process", "SIGKILL", "", "", fmt.Sprint(proc.number, " without SIGTERM"))
	run.signal(proc, syscall.SIGKILL)
	<-proc.done
}

func (run *testRun) signal(proc *process, s syscall.Signal) {
	_ = proc.command.Process.Signal(s) // it may have ended
}

// usage returns a process's resident memory in MB and its number of open descriptors.
func (proc *process) usage() (megabytes float64, descriptors int, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(proc.command.Process.Pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes float64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, 0, err
	}
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	return kilobytes / 1024, len(files), err
}
