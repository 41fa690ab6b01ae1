package gracefulclose

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"sloehitch/internal/platform/sockerr"
)

// pollDescriptors calls poll(2); tests replace it.
var pollDescriptors = unix.Poll

// HasPendingConnections reports whether connections wait in a listener's accept queue. If none does and
// shutdown is set, the very next system call shuts the listener down, so that no connection can arrive in
// between and be reset. It does not block, and returns false for a listener that is closed or exposes no file
// descriptor.
func HasPendingConnections(ln net.Listener, shutdown bool) (pending bool) {
	raw, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	err = control.Control(func(fd uintptr) {
		var n int
		var err error
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		promptly(func() (empty bool) {
			n, err = pollDescriptors(state, 0)
			for attempt := 0; sockerr.IsTransient(err) && attempt < sockerr.MaxRetries; attempt++ {
				n, err = pollDescriptors(state, 0)
			}
			pending = err == nil && n > 0 && state[0].Revents&unix.POLLIN != 0
			return err == nil && !pending
		})
		if err == nil && !pending && shutdown {
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // fails only on a closed listener
		}
	})
	return pending && err == nil
}
