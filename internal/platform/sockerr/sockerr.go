// Package sockerr tells errors of system calls on sockets that pass by themselves from those that end what they were about.
package sockerr

import (
	"errors"
	"syscall"
)

// transientErrnos are the errors that say nothing about the connection or the address: the system was short of something, or a signal came.
var transientErrnos = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// IsTransient says whether a read, write or accept that failed so may be tried again on the same socket.
func IsTransient(err error) bool {
	for _, errno := range transientErrnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// IsResourceShortage says whether the system was short of descriptors or memory: it may be for a while.
func IsResourceShortage(err error) bool {
	return IsTransient(err) && !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.EAGAIN)
}

// IsTransientListen says whether an address that could not be listened on may be had soon: beside what passes, another process may be about to
// leave it, and the interface that has it may be about to come up.
func IsTransientListen(err error) bool {
	return IsTransient(err) || errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
