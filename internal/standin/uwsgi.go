package standin

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/uwsgi/packet"
)

// Script is what a scripted peer does on one connection, in order.
type Script []Step

// Step is one thing that a peer does.
type Step struct {
	Send  string        // these bytes
	Split bool          // each in a segment of its own
	Read  int           // so many bytes
	Until string        // reads up to these bytes
	Wait  chan struct{} // until this is closed
	Half  bool          // shuts its sending side
	Reset bool          // ends the connection by a reset
	Flood int           // sends so many bytes of nothing
}

// Play plays a script and returns all that was read, up to where an operation failed.
func (s Script) Play(c net.Conn) (read []byte, err error) {
	buf := make([]byte, 1)
	take := func() error {
		_, err := io.ReadFull(c, buf)
		if err == nil {
			read = append(read, buf[0])
		}
		return err
	}
	for _, step := range s {
		switch {
		case step.Wait != nil:
			<-step.Wait
		case step.Half:
			err = c.(interface{ CloseWrite() error }).CloseWrite()
		case step.Reset:
			err = c.(*net.TCPConn).SetLinger(0)
			return read, err
		case step.Flood > 0:
			for n := 0; n < step.Flood && err == nil; n += 1 << 10 {
				_, err = c.Write(make([]byte, 1<<10))
			}
		case step.Split:
			for i := 0; i < len(step.Send) && err == nil; i++ {
				_, err = io.WriteString(c, step.Send[i:i+1])
			}
		case step.Send != "":
			_, err = io.WriteString(c, step.Send)
		case step.Until != "":
			for err == nil && !bytes.HasSuffix(read, []byte(step.Until)) {
				err = take()
			}
		default:
			for range step.Read {
				if err = take(); err != nil {
					break
				}
			}
		}
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

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
			script := scripts[min(s.n, len(scripts)-1)]
			s.n++
			s.open++
			s.mu.Unlock()
			go func() {
				defer c.Close()
				read, _ := script.Play(c) // a script may be meant to fail
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
