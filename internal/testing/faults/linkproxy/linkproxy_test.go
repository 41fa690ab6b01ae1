package linkproxy

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// echo is a server that sends back what it reads, and ends when its peer does.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return listener.Addr().String()
}

func dialled(t *testing.T) (*Proxy, *net.TCPConn) {
	t.Helper()
	p, err := New(echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return p, c.(*net.TCPConn)
}

func exchange(t *testing.T, c net.Conn, text string) time.Duration {
	t.Helper()
	began := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("%q, %v, want %q", got, err, text)
	}
	return time.Since(began)
}

// TestDelayKeepsOrder: each byte takes at least the delay of both ways, and the bytes arrive in order whatever the jitter.
func TestDelayKeepsOrder(t *testing.T) {
	p, c := dialled(t)
	p.Set(ToServer, Conditions{Delay: 20 * time.Millisecond, Jitter: 10 * time.Millisecond, Piece: 1})
	p.Set(ToClient, Conditions{Delay: 10 * time.Millisecond, Jitter: 30 * time.Millisecond, Piece: 3})
	for range 5 {
		if took := exchange(t, c, "a message in pieces"); took < 30*time.Millisecond {
			t.Errorf("there and back in %v, want 30ms or more", took)
		}
	}
}

// TestStall: nothing arrives while a direction stands still, and all of it does after.
func TestStall(t *testing.T) {
	p, c := dialled(t)
	p.Set(ToClient, Conditions{Stalled: true})
	if _, err := io.WriteString(c, "held"); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 4)); err == nil {
		t.Fatalf("%d bytes came through a stalled direction", n)
	}
	p.Set(ToClient, Conditions{})
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "held" {
		t.Errorf("%q, %v after the stall", got, err)
	}
}

// TestReset: what is in flight is lost, the client meets a reset, and the next connection works.
func TestReset(t *testing.T) {
	p, c := dialled(t)
	exchange(t, c, "up")
	p.Set(ToClient, Conditions{Delay: time.Hour})
	if _, err := io.WriteString(c, "lost"); err != nil {
		t.Fatal(err)
	}
	if n := p.Reset(); n != 1 {
		t.Errorf("%d connections reset, want 1", n)
	}
	if rest, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) || len(rest) > 0 {
		t.Errorf("%q, %v, want a reset", rest, err)
	}
	p.Set(ToClient, Conditions{})
	again, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	exchange(t, again, "up again")
	if p.Opened() != 2 {
		t.Errorf("%d connections made, want 2", p.Opened())
	}
}

// TestHalfClose: a client that has ended its side reads all that was sent to it, and then the end.
func TestHalfClose(t *testing.T) {
	p, c := dialled(t)
	p.Set(ToClient, Conditions{Delay: 20 * time.Millisecond})
	text := strings.Repeat("x", 100<<10)
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.CloseWrite()
	}()
	if got, err := io.ReadAll(c); err != nil || string(got) != text {
		t.Errorf("%d bytes, %v, want %d", len(got), err, len(text))
	}
}
