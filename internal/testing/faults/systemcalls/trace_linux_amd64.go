package systemcalls

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// syscallStop is the signal that the kernel reports for stops at system calls (PTRACE_O_TRACESYSGOOD).
const syscallStop = syscall.SIGTRAP | 0x80

// noCall is an invalid system call number, for which the kernel skips the call.
const noCall = ^uint64(0)

// tracer is the state of one traced program.
type tracer struct {
	outcomes *OutcomeSource
	main     int
	threads  map[int]*thread
	peers    map[uint64]Peer // by file descriptor of the program
	counts   map[string]int
}

// thread is one traced thread.
type thread struct {
	inCall     bool // between the entry and the exit of a call
	nr         uint64
	fd         uint64        // the call's first argument
	socketType uint64        // type argument of the socket call
	errno      syscall.Errno // error to return instead of the call's result; 0: none
}

// Run runs a program with injected faults until it exits, and returns its exit status, or 128 plus the number of the signal that ended it.
// It calls started with the process id, so that the caller can forward signals. counts is the number of failed calls by call name and
// error.
func Run(path string, args []string, outcomes *OutcomeSource, started func(pid int)) (status int, counts map[string]int, err error) {
	runtime.LockOSThread() // ptrace requests must come from one thread
	defer runtime.UnlockOSThread()
	pid, err := syscall.ForkExec(path, append([]string{path}, args...), &syscall.ProcAttr{Env: os.Environ(), Files: []uintptr{0, 1, 2},
		Sys: &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}})
	if err != nil {
		return 0, nil, fmt.Errorf("start %s under trace: %w", path, err)
	}
	var ws syscall.WaitStatus
	if _, err := syscall.Wait4(pid, &ws, 0, nil); err != nil {
		return 0, nil, err
	}
	const options = unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_EXITKILL
	if err := syscall.PtraceSetOptions(pid, options); err != nil {
		return 0, nil, fmt.Errorf("trace: set ptrace options: %w", err)
	}
	t := &tracer{outcomes: outcomes, main: pid, threads: map[int]*thread{pid: {}}, peers: map[uint64]Peer{}, counts: map[string]int{}}
	started(pid)
	if err := syscall.PtraceSyscall(pid, 0); err != nil {
		return 0, nil, err
	}
	status, err = t.loop()
	return status, t.counts, err
}

// loop traces all threads until the program has exited.
func (t *tracer) loop() (status int, err error) {
	for {
		var ws syscall.WaitStatus
		id, err := syscall.Wait4(-1, &ws, unix.WALL, nil)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("trace: wait for a traced thread: %w", err)
		}
		switch {
		case ws.Exited(), ws.Signaled():
			delete(t.threads, id)
			if id == t.main {
				return exitStatus(ws), nil
			}
			continue
		case !ws.Stopped():
			continue
		}
		signal := t.handleStop(id, ws)
		if err := syscall.PtraceSyscall(id, int(signal)); err != nil && !errors.Is(err, syscall.ESRCH) { // ESRCH: it was killed
			return 0, fmt.Errorf("trace: resume a thread: %w", err)
		}
	}
}

func exitStatus(ws syscall.WaitStatus) int {
	if ws.Signaled() {
		return 128 + int(ws.Signal())
	}
	return ws.ExitStatus()
}

// handleStop handles one stop of a thread and returns the signal to deliver to it; 0: none.
func (t *tracer) handleStop(id int, ws syscall.WaitStatus) syscall.Signal {
	th, known := t.threads[id]
	if !known {
		th = &thread{}
		t.threads[id] = th
		if ws.StopSignal() == syscall.SIGSTOP { // a new thread starts with SIGSTOP
			return 0
		}
	}
	switch signal := ws.StopSignal(); signal {
	case syscallStop:
		t.handleCallStop(id, th)
		return 0
	case syscall.SIGTRAP: // a thread was created
		return 0
	default:
		return signal
	}
}

// handleCallStop handles the entry or the exit of a system call. Errors are ignored because the thread may have been killed meanwhile.
func (t *tracer) handleCallStop(id int, th *thread) {
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(id, &regs) != nil {
		return
	}
	th.inCall = !th.inCall
	if th.inCall {
		if t.enterCall(th, &regs) {
			_ = syscall.PtraceSetRegs(id, &regs)
		}
		return
	}
	if t.exitCall(th, &regs) {
		_ = syscall.PtraceSetRegs(id, &regs)
	}
}

// enterCall draws the outcome of a call at its entry. It returns true if it changed the registers.
func (t *tracer) enterCall(th *thread, regs *syscall.PtraceRegs) bool {
	th.nr, th.fd, th.errno = regs.Orig_rax, regs.Rdi, 0
	call, peer, name := Call(0), t.peers[regs.Rdi], ""
	switch regs.Orig_rax {
	case unix.SYS_ACCEPT4:
		call, peer, name = Accept, NoSocket, "accept"
	case unix.SYS_SOCKET:
		th.socketType = regs.Rsi
		call, peer, name = Socket, NoSocket, "socket"
	case unix.SYS_CONNECT:
		call, name = Connect, "connect"
	case unix.SYS_READ:
		call, name = Read, "read"
	case unix.SYS_WRITE:
		call, name = Write, "write"
	case unix.SYS_EPOLL_PWAIT:
		call, peer, name = Wait, NoSocket, "wait"
	default:
		return false
	}
	if peer == NoSocket && (call == Read || call == Write || call == Connect) {
		return false // a file, or a descriptor of the Go runtime
	}
	o := t.outcomes.Draw(call, peer, regs.Rdx)
	switch {
	case o.Errno != 0:
		t.counts[name+" "+unix.ErrnoName(o.Errno)]++
		th.errno, regs.Orig_rax = o.Errno, noCall
	case o.Bytes > 0:
		t.counts["short "+name]++
		regs.Rdx = o.Bytes
	default:
		return false
	}
	return true
}

// exitCall sets the drawn error of a call at its exit, and tracks opened and closed sockets. It returns true if it changed the registers.
func (t *tracer) exitCall(th *thread, regs *syscall.PtraceRegs) bool {
	if th.errno != 0 {
		regs.Rax = uint64(-int64(th.errno))
		return true
	}
	if result := int64(regs.Rax); result >= 0 {
		switch th.nr {
		case unix.SYS_ACCEPT4:
			t.peers[uint64(result)] = Caller
		case unix.SYS_SOCKET:
			t.peers[uint64(result)] = Server
			if th.socketType&0xf == unix.SOCK_DGRAM {
				t.peers[uint64(result)] = Datagram
			}
		case unix.SYS_CLOSE:
			delete(t.peers, th.fd)
		}
	}
	return false
}
