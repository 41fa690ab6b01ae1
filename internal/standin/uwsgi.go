package standin

import (
	"sync"
	"testing"
	"time"

	"sloehitch/internal/script"
	"sloehitch/internal/uwsgi/packet"
)

// Script and Step are what a scripted peer does.
type (
	Script = script.Script
	Step   = script.Step
)

// Scripted is a uwsgi server whose connections follow scripts: the n-th connection the n-th one, later ones the last.
type Scripted struct {
	Address string

	mu   sync.Mutex
	n    int
	open int
	got  []string
}

// NewScripted starts one.
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

// Connections is how many there were.
func (s *Scripted) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// Got is what each connection that is over has read.
func (s *Scripted) Got() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.got...)
}

// Packet is a uwsgi request's bytes.
func Packet(t testing.TB, body string, vars ...[2]string) string {
	t.Helper()
	b, err := packet.Append(nil, 0, 0, vars)
	if err != nil {
		t.Fatal(err)
	}
	return string(b) + body
}

// WaitFor waits for what other goroutines are to do.
func WaitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("it did not come about: %s", what)
		}
	}
}
