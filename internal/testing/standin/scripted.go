package standin

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/testing/scriptedpeer"
)

type (
	// Script is a list of a scripted peer's actions, in order.
	Script = scriptedpeer.Script
	// Step is one action of a script.
	Step = scriptedpeer.Step
)

// Scripted is a uwsgi server that plays the n-th script on its n-th connection, and the last script on all further ones.
type Scripted struct {
	Address string

	mu          sync.Mutex
	connections int
	open        int
	received    []string
}

// NewScripted starts a scripted server; it needs one script at least.
func NewScripted(t testing.TB, scripts ...Script) *Scripted {
	ln := Listen(t)
	s := &Scripted{Address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			script := scripts[min(s.connections, len(scripts)-1)]
			s.connections++
			s.open++
			s.mu.Unlock()
			go func() {
				defer c.Close()
				read, _ := script.Play(c) // some scripts are meant to fail
				s.mu.Lock()
				defer s.mu.Unlock()
				s.open--
				s.received = append(s.received, string(read))
			}()
		}
	}()
	return s
}

// Connections returns the number of connections so far.
func (s *Scripted) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Received returns the bytes read on each closed connection.
func (s *Scripted) Received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

// FaultyScript draws a server's script from a seed: the server reads the request up to end, or only its beginning, and answers correctly or
// fails in one of several ways.
func FaultyScript(seed uint64, end, response string) Script {
	rng := rand.New(rand.NewPCG(seed, 6))
	cut := rng.IntN(len(response))
	pause := Step{Pause: time.Duration(rng.IntN(4)) * time.Millisecond}
	first := Step{Until: end}
	if rng.IntN(4) == 0 {
		first = Step{Read: 1 + rng.IntN(40)} // the server stops reading after a few bytes
	}
	switch rng.IntN(9) {
	case 0:
		return Script{first, pause, {Send: response[:cut]}} // the answer is cut off
	case 1:
		return Script{first, {Send: response[:cut]}, {Reset: true}}
	case 2:
		return Script{first, {Reset: true}}
	case 3:
		return Script{first, {Send: "\x00garbage\r\n\r\n"}}
	case 4:
		return Script{first, pause, {Send: response, Split: true}}
	case 5:
		return Script{first, {Send: response[:cut]}, pause, {Send: response[cut:]}}
	case 6:
		return Script{first, {Send: response}, {Flood: 64 << 10}} // 64 KiB of zero bytes follow the answer
	case 7:
		return Script{{Send: response}, pause} // the answer comes before the request is read
	}
	return Script{first, pause, {Send: response}, {Half: true}, {Until: "never"}}
}

// Packet returns the encoded uwsgi request with the given variables and body.
func Packet(t testing.TB, body string, vars ...[2]string) string {
	t.Helper()
	b, err := packet.AppendRequest(nil, 0, 0, vars)
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + body
}

// WaitFor polls a condition and fails the test if it does not hold within WaitTimeout.
func WaitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition did not hold within the wait timeout: %s", what)
		}
	}
}
