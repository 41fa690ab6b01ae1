// Package systemcalls injects faults that Linux documents into the system calls of a program. The program runs as a traced child
// (ptrace(2)), and calls on its sockets return errors or transfer fewer bytes than requested, as drawn from a seed. Soak tests on Linux and
// amd64 use it; the daemon does not import it.
package systemcalls

import (
	"math/rand/v2"
	"syscall"
)

// Call is a system call that can be made to fail.
type Call int

// The system calls that can be made to fail.
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

// The kinds of peer.
const (
	NoSocket Peer = iota // not a socket whose creation was traced
	Caller               // the peer of an accepted connection
	Server               // the peer of a stream socket that the program connects
	Datagram
)

// Outcome is the fault injected into a call; the zero value injects none.
type Outcome struct {
	Errno syscall.Errno // error that the call returns without being made; 0: the call is made
	Bytes uint64        // limit of a read or write; 0: none
}

// errnos lists the errors that each call may return. Callers' connections get transient errors only: any other error ends the connection,
// and the protocol's guarantees to the caller end with it.
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

// OutcomeSource draws the outcomes of calls from a seed. It is not safe for concurrent use.
type OutcomeSource struct {
	random *rand.Rand
	rate   float64
}

// NewOutcomeSource returns an OutcomeSource that makes calls fail at the given rate, from 0 to 1, and reads and writes be short at the same
// rate.
func NewOutcomeSource(seed uint64, rate float64) *OutcomeSource {
	return &OutcomeSource{random: rand.New(rand.NewPCG(seed, 0xca11)), rate: rate}
}

// Draw draws the outcome of a call on a socket; bytes is the number of bytes that the call requests.
func (c *OutcomeSource) Draw(call Call, peer Peer, bytes uint64) Outcome {
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
