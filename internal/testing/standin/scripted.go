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
	// Script is what a scripted peer does, in order.
	Script = scriptedpeer.Script
	// Step is one thing that it does.
	Step = scriptedpeer.Step
)

// Scripted is a uwsgi server whose n-th connection plays the n-th script, and later ones the last.
type Scripted struct {
	Address string

	mu   sync.Mutex
	n    int
	open int
	got  []string
}

// NewScripted starts a scripted server.
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
			todo := scripts[min(s.n, len(scripts)-1)]
			s.n++
			s.open++
			s.mu.Unlock()
			go func() {
				defer c.Close()
				read, _ := todo.Play(c) // a script may be meant to fail
				s.mu.Lock()
				defer s.mu.Unlock()
				s.open--
				s.got = append(s.got, string(read))
			}()
		}
	}()
	return s
}

// Connections returns the number of connections so far.
func (s *Scripted) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// Received returns what each closed connection has read.
func (s *Scripted) Received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.got...)
}

// FaultyScript is a server's script by seed: it reads up to end, or less, and answers well or in one of the ways that servers fail.
func FaultyScript(seed uint64, end, response string) Script {
	rng := rand.New(rand.NewPCG(seed, 6))
	cut := rng.IntN(len(response))
	pause := Step{Pause: time.Duration(rng.IntN(4)) * time.Millisecond}
	first := Step{Until: end}
	if rng.IntN(4) == 0 {
		first = Step{Read: 1 + rng.IntN(40)} // it doesn't read on
	}
	switch rng.IntN(9) {
	case 0:
		return Script{first, pause, {Send: response[:cut]}} // breaks off
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
		return Script{first, {Send: response}, {Flood: 64 << 10}} // an endless answer
	case 7:
		return Script{{Send: response}, pause} // an early answer
	}
	return Script{first, pause, {Send: response}, {Half: true}, {Until: "never"}}
}

// Packet is a uwsgi request's bytes.
func Packet(t testing.TB, body string, vars ...[2]string) string {
	t.Helper()
	b, err := packet.AppendRequest(nil, 0, 0, vars)
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + body
}

// WaitFor polls a condition and fails the test where it does not hold in time.
func WaitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(WaitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("it did not come about: %s", what)
		}
	}
}
