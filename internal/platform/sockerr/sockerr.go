// Package sockerr classifies errors of system calls on sockets: transient ones, after which the same
// operation may be retried on the same socket, and all others, which end what the operation was for.
package sockerr

import (
	"errors"
	"syscall"
)

// transientErrnos say nothing about the connection or the address: the system was short of a resource, or a
// signal interrupted the call.
var transientErrnos = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// IsTransient reports whether a read, write or accept that failed with err may be retried on the same socket.
func IsTransient(err error) bool {
	for _, errno := range transientErrnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// IsResourceShortage reports whether the system was short of descriptors or memory, which may last.
func IsResourceShortage(err error) bool {
	return IsTransient(err) && !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.EAGAIN)
}

// IsTransientListen reports whether listening on an address may succeed later. Beside transient errors,
// another process may still hold the address, and the interface that has it may not be up yet.
func IsTransientListen(err error) bool {
	return IsTransient(err) || errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
