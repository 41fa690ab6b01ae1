// Package sockerr classifies errors of system calls on sockets as transient, so that the operation may be retried on the
// same socket, or permanent.
package sockerr

import (
	"errors"
	"syscall"
)

// transientErrnos are errors that do not concern the connection or the address: the system was short of a resource, or a
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

// IsResourceShortage reports whether the system was short of descriptors or memory. Such a shortage may last.
func IsResourceShortage(err error) bool {
	return IsTransient(err) && !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.EAGAIN)
}

// IsTransientListen reports whether listening on an address may succeed later: after a transient error, when another
// process releases the address, or when the interface with the address is up.
func IsTransientListen(err error) bool {
	return IsTransient(err) || errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
