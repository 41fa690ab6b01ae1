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

// startEchoServer starts a server that sends back what it reads and closes when its peer does. It returns the server's address.
func startEchoServer(t *testing.T) string {
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

func dialThroughProxy(t *testing.T) (*Proxy, *net.TCPConn) {
	t.Helper()
	p, err := New(startEchoServer(t), 1)
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
		t.Fatalf("echo: got %q, error %v, want %q", got, err, text)
	}
	return time.Since(began)
}

// TestDelayKeepsOrder checks that a round trip takes at least the delays of both directions, and that jitter does not reorder bytes.
func TestDelayKeepsOrder(t *testing.T) {
	p, c := dialThroughProxy(t)
	p.Set(ToServer, Conditions{Delay: 20 * time.Millisecond, Jitter: 10 * time.Millisecond, Piece: 1})
	p.Set(ToClient, Conditions{Delay: 10 * time.Millisecond, Jitter: 30 * time.Millisecond, Piece: 3})
	for range 5 {
		if took := exchange(t, c, "a message in pieces"); took < 30*time.Millisecond {
			t.Errorf("round trip took %v, want at least 30ms", took)
		}
	}
}

// TestStalledDirectionDeliversAfterStall checks that no bytes arrive while a direction is stalled, and that the queued bytes arrive after
// the stall.
func TestStalledDirectionDeliversAfterStall(t *testing.T) {
	p, c := dialThroughProxy(t)
	p.Set(ToClient, Conditions{Stalled: true})
	if _, err := io.WriteString(c, "held"); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 4)); err == nil {
		t.Fatalf("read %d bytes from a stalled direction, want a time-out", n)
	}
	p.Set(ToClient, Conditions{})
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "held" {
		t.Errorf("after the stall: got %q, error %v, want \"held\"", got, err)
	}
}

// TestResetLosesBytesInFlight checks that a reset loses the bytes in flight, that the client's read fails with ECONNRESET, and that a new
// connection works.
func TestResetLosesBytesInFlight(t *testing.T) {
	p, c := dialThroughProxy(t)
	exchange(t, c, "up")
	p.Set(ToClient, Conditions{Delay: time.Hour})
	if _, err := io.WriteString(c, "lost"); err != nil {
		t.Fatal(err)
	}
	if n := p.Reset(); n != 1 {
		t.Errorf("%d connections reset, want 1", n)
	}
	if rest, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) || len(rest) > 0 {
		t.Errorf("read %q, error %v, want no bytes and ECONNRESET", rest, err)
	}
	p.Set(ToClient, Conditions{})
	again, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	exchange(t, again, "up again")
	if p.Opened() != 2 {
		t.Errorf("%d connections opened, want 2", p.Opened())
	}
}

// TestHalfClosedClientReadsRemainingBytes checks that a client that has shut down its sending side still reads all bytes sent to it, and
// then the end of the stream.
func TestHalfClosedClientReadsRemainingBytes(t *testing.T) {
	p, c := dialThroughProxy(t)
	p.Set(ToClient, Conditions{Delay: 20 * time.Millisecond})
	text := strings.Repeat("x", 100<<10)
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.CloseWrite()
	}()
	if got, err := io.ReadAll(c); err != nil || string(got) != text {
		t.Errorf("read %d bytes, error %v, want %d bytes", len(got), err, len(text))
	}
}
