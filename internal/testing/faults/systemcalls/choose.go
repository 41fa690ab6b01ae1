// Package systemcalls has the system calls of a program fail now and then, in the ways that Linux documents: the program runs as a traced
// child (ptrace(2)), and calls on its sockets come back with an error, or with fewer bytes than asked for, at rates drawn by seed. It serves
// soak runs on Linux and amd64; the program itself does not import it.
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

// Peer is who is at the other end of a socket, as far as it can be told from how it was made.
type Peer int

// The peers.
const (
	NoSocket Peer = iota // not a socket that was seen to be made
	Caller               // accepted
	Server               // a stream that the program connects
	Datagram
)

// Outcome is what a call comes to.
type Outcome struct {
	Errno syscall.Errno // 0: the call is made
	Bytes uint64        // of a read or write at the most; 0: as asked
}

// errnos are the errors that each call may come back with. On callers' connections only those that pass by themselves: after any other the
// connection is as good as gone, and so is what its caller is owed.
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

// Choice draws what calls come to. It is for one goroutine.
type Choice struct {
	random *rand.Rand
	rate   float64
}

// NewChoice returns a choice of the seed that has a call fail at the given rate, from 0 to 1, and shortens as many reads and writes again.
func NewChoice(seed uint64, rate float64) *Choice {
	return &Choice{random: rand.New(rand.NewPCG(seed, 0xca11)), rate: rate}
}

// Draw says what a call on a socket comes to that asks for so many bytes.
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
