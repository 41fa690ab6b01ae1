// Package systemcalls injects faults into the system calls of a program, in the ways that Linux documents: the program runs as a traced child
// (ptrace(2)), and calls on its sockets return errors or transfer fewer bytes than requested, as drawn by a seed. It is for soak tests on
// Linux and amd64; the daemon does not import it.
package systemcalls

import (
	"math/rand/v2"
	"syscall"
)

// Call is a system call that can be made to fail.
type Call int

// The calls.
const (
	Accept Call = iota
	Socket
	Connect
	Read
	Write
	Wait
)

// Peer is the kind of a socket's peer, by how the socket was created.
type Peer int

// The peers.
const (
	NoSocket Peer = iota // not a socket whose creation was traced
	Caller               // of an accepted connection
	Server               // of a stream socket that the program connects
	Datagram
)

// Outcome is the result of a call.
type Outcome struct {
	Errno syscall.Errno // 0: the call is made
	Bytes uint64        // limit of a read or write; 0: none
}

// errnos lists the errors that each call may return. On callers' connections only transient ones: any other ends the connection, and with it
// what the protocol promises the caller.
var errnos = map[Call]map[Peer][]syscall.Errno{
	Accept: {NoSocket: {syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.ENETUNREACH}},
	Socket: {NoSocket: {syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM}},
	Connect: {Server: {syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNREFUSED},
		Datagram: {syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EADDRNOTAVAIL}},
	Read: {Caller: {syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM},
		Server: {syscall.EINTR, syscall.ENOMEM, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}},
	Write: {Caller: {syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM},
		Server:   {syscall.EINTR, syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE, syscall.ECONNRESET},
		Datagram: {syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENOBUFS, syscall.EPERM, syscall.ECONNREFUSED, syscall.EINTR}},
	Wait: {NoSocket: {syscall.EINTR}},
}

// Choice draws the outcomes of calls. It is not safe for concurrent use.
type Choice struct {
	random *rand.Rand
	rate   float64
}

// NewChoice returns a choice by seed in which calls fail at the given rate, from 0 to 1, and reads and writes are short at the same rate.
func NewChoice(seed uint64, rate float64) *Choice {
	return &Choice{random: rand.New(rand.NewPCG(seed, 0xca11)), rate: rate}
}

// Draw draws the outcome of a call on a socket that requests so many bytes.
func (c *Choice) Draw(call Call, peer Peer, bytes uint64) Outcome {
	possible := errnos[call][peer]
	if len(possible) == 0 {
		return Outcome{}
	}
	if c.random.Float64() < c.rate {
		return Outcome{Errno: possible[c.random.IntN(len(possible))]}
	}
	if (call == Read || call == Write) && peer != Datagram && bytes > 1 && c.random.Float64() < c.rate {
		return Outcome{Bytes: 1 + c.random.Uint64N(bytes-1)}
	}
	return Outcome{}
}
