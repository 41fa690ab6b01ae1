package fleetrig

import (
	"io"
	"net"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

// TestLinkFaultsAffectOpenAndNewConnections checks the effect of faults that hold back bytes, reset or cut a link, on open connections and
// on new ones.
func TestLinkFaultsAffectOpenAndNewConnections(t *testing.T) {
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
			t.Error("read a byte from a held-back direction, want a time-out")
		}
		l.change(func() { *held-- })
		if err := c.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("held-back byte did not arrive after the fault: %v", err)
		}
	}
	l.change(func() { l.reset() })
	if err := echo(c, standin.WaitTimeout); err == nil {
		t.Error("an open connection still works after a reset")
	}
	if err := echo(dial(), standin.WaitTimeout); err != nil {
		t.Errorf("new connection after a reset failed: %v", err)
	}
	l.change(func() { l.cutFaults++ })
	if err := echo(dial(), standin.WaitTimeout); err == nil {
		t.Error("a new connection works through a cut link")
	}
	l.change(func() { l.cutFaults-- })
	if err := echo(dial(), standin.WaitTimeout); err != nil {
		t.Errorf("new connection after the end of the cut failed: %v", err)
	}
}
