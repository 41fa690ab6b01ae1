package fleetrig

import (
	"io"
	"net"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

// TestLink: the effect of each fault on an open connection and on a new one.
func TestLink(t *testing.T) {
	ln := standin.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }() // an echo
		}
	}()
	l, err := newLink(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	echo := func(c net.Conn, within time.Duration) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
			t.Fatal(err)
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	c := dial()
	if err := echo(c, standin.WaitTimeout); err != nil {
		t.Fatal(err)
	}
	for _, held := range []*int{&l.muteFaults, &l.deafFaults} {
		l.change(func() { *held++ })
		if err := echo(c, 50*time.Millisecond); err == nil {
			t.Error("what is held back came")
		}
		l.change(func() { *held-- })
		if err := c.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("what was held back did not come later: %v", err)
		}
	}
	l.change(func() { l.reset() })
	if err := echo(c, standin.WaitTimeout); err == nil {
		t.Error("a connection outlived a reset")
	}
	if err := echo(dial(), standin.WaitTimeout); err != nil {
		t.Errorf("a new connection after a reset: %v", err)
	}
	l.change(func() { l.cutFaults++ })
	if err := echo(dial(), standin.WaitTimeout); err == nil {
		t.Error("a new connection through a cut link")
	}
	l.change(func() { l.cutFaults-- })
	if err := echo(dial(), standin.WaitTimeout); err != nil {
		t.Errorf("a new connection once the cut is over: %v", err)
	}
}
