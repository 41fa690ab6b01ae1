// Package sockerr tells errors of system calls on sockets that pass by themselves from those that end what they were about.
package sockerr

import (
	"errors"
	"syscall"
)

// passing are the errors that say nothing about the connection or the address: the system was short of something, or a signal came.
var passing = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// Passing says whether a read, write or accept that failed so may be tried again on the same socket.
func Passing(err error) bool {
	for _, errno := range passing {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Short says whether the system was short of descriptors or memory: it may be for a while.
func Short(err error) bool {
	return Passing(err) && !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.EAGAIN)
}

// PassingListen says whether an address that could not be listened on may be had soon: beside what passes, another process may be about to
// leave it, and the interface that has it may be about to come up.
func PassingListen(err error) bool {
	return Passing(err) || errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
