package systemcalls

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// syscallStop marks the stops at system calls (PTRACE_O_TRACESYSGOOD).
const syscallStop = syscall.SIGTRAP | 0x80

// noCall as the number of a call has the kernel skip it.
const noCall = ^uint64(0)

// tracer is one traced program.
type tracer struct {
	choice  *Choice
	main    int
	threads map[int]*thread
	peers   map[uint64]Peer // of the program's descriptors
	counts  map[string]int
}

// thread is one traced thread.
type thread struct {
	inside bool // it is stopped at the entry of a call, or in it
	nr     uint64
	fd     uint64        // the call's first argument
	kind   uint64        // type of a socket that is created
	errno  syscall.Errno // what the call is to return; 0: its own result
}

// Run runs a program with injected faults until it exits, and returns its exit status, or 128 plus the signal that ended it. started is
// called with its process id, so that the caller can forward signals. counts has the number of failed calls by name and error.
func Run(path string, args []string, choice *Choice, started func(pid int)) (status int, counts map[string]int, err error) {
	runtime.LockOSThread() // ptrace requests must come from one thread
	defer runtime.UnlockOSThread()
	pid, err := syscall.ForkExec(path, append([]string{path}, args...), &syscall.ProcAttr{Env: os.Environ(), Files: []uintptr{0, 1, 2},
		Sys: &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}})
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", path, err)
	}
	var ws syscall.WaitStatus
	if _, err := syscall.Wait4(pid, &ws, 0, nil); err != nil {
		return 0, nil, err
	}
	const options = unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_EXITKILL
	if err := syscall.PtraceSetOptions(pid, options); err != nil {
		return 0, nil, fmt.Errorf("trace: %w", err)
	}
	t := &tracer{choice: choice, main: pid, threads: map[int]*thread{pid: {}}, peers: map[uint64]Peer{}, counts: map[string]int{}}
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
			return 0, fmt.Errorf("trace: %w", err)
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
		signal := t.stopped(id, ws)
		if err := syscall.PtraceSyscall(id, int(signal)); err != nil && !errors.Is(err, syscall.ESRCH) { // killed meanwhile
			return 0, fmt.Errorf("trace: %w", err)
		}
	}
}

func exitStatus(ws syscall.WaitStatus) int {
	if ws.Signaled() {
		return 128 + int(ws.Signal())
	}
	return ws.ExitStatus()
}

// stopped handles one stop and returns the signal to deliver to the thread; 0: none.
func (t *tracer) stopped(id int, ws syscall.WaitStatus) syscall.Signal {
	th, known := t.threads[id]
	if !known {
		th = &thread{}
		t.threads[id] = th
		if ws.StopSignal() == syscall.SIGSTOP { // a new thread starts with it
			return 0
		}
	}
	switch signal := ws.StopSignal(); signal {
	case syscallStop:
		t.atCall(id, th)
		return 0
	case syscall.SIGTRAP: // a thread was created
		return 0
	default:
		return signal
	}
}

// atCall handles the entry or the exit of a system call. Errors of a thread that was killed meanwhile are ignored.
func (t *tracer) atCall(id int, th *thread) {
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(id, &regs) != nil {
		return
	}
	th.inside = !th.inside
	if th.inside {
		if t.begin(th, &regs) {
			_ = syscall.PtraceSetRegs(id, &regs)
		}
		return
	}
	if t.end(th, &regs) {
		_ = syscall.PtraceSetRegs(id, &regs)
	}
}

// begin draws the outcome of a call. It returns true where it changed the registers.
func (t *tracer) begin(th *thread, regs *syscall.PtraceRegs) bool {
	th.nr, th.fd, th.errno = regs.Orig_rax, regs.Rdi, 0
	call, peer, name := Call(0), t.peers[regs.Rdi], ""
	switch regs.Orig_rax {
	case unix.SYS_ACCEPT4:
		call, peer, name = Accept, NoSocket, "accept"
	case unix.SYS_SOCKET:
		th.kind = regs.Rsi
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
		return false // a file, or the runtime's own
	}
	o := t.choice.Draw(call, peer, regs.Rdx)
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

// end sets the drawn error of a call, and tracks sockets. It returns true where it changed the registers.
func (t *tracer) end(th *thread, regs *syscall.PtraceRegs) bool {
	if th.errno != 0 {
		regs.Rax = uint64(-int64(th.errno))
		return true
	}
	if made := int64(regs.Rax); made >= 0 {
		switch th.nr {
		case unix.SYS_ACCEPT4:
			t.peers[uint64(made)] = Caller
		case unix.SYS_SOCKET:
			t.peers[uint64(made)] = Server
			if th.kind&0xf == unix.SOCK_DGRAM {
				t.peers[uint64(made)] = Datagram
			}
		case unix.SYS_CLOSE:
			delete(t.peers, th.fd)
		}
	}
	return false
}
