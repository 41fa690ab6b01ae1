package fleetrig

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

func TestSchedulesAreReadAsPrinted(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed, 5, 5, 10*time.Second, time.Second)
		again, err := ParseSchedule("# by seed\n\n"+s.String(), 5)
		if err != nil || fmt.Sprint(again) != fmt.Sprint(s) {
			t.Fatalf("seed %d: %v\n%v\n%v", seed, err, s, again)
		}
		if fmt.Sprint(Draw(seed, 5, 5, 10*time.Second, time.Second)) != fmt.Sprint(s) {
			t.Fatal("a seed draws two schedules")
		}
	}
	for _, c := range []struct{ text, wrong string }{
		{"soon stop n1 for 1s", "line 1"},
		{"\n1s melt n1 for 1s", "line 2: no fault"},
		{"1s stop n7 for 1s", "n0 to n2"},
		{"1s cut n1 for 1s", "takes 2 nodes"},
		{"1s cut n1 n1 for 1s", "between two"},
		{"1s stop n1 1s", "takes 1 nodes"},
		{"1s stop n1 for 1h", "10m"},
		{"1s", "a time and a fault"},
	} {
		if _, err := ParseSchedule(c.text, 3); err == nil || !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%q: %v, want %q", c.text, err, c.wrong)
		}
	}
}

// TestLink: what each fault does to a connection that is there, and to a new one.
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
	if err := echo(c, standin.Patience); err != nil {
		t.Fatal(err)
	}
	for _, held := range []*int{&l.muteFaults, &l.deafFaults} {
		l.change(func() { *held++ })
		if err := echo(c, 50*time.Millisecond); err == nil {
			t.Error("what is held back came")
		}
		l.change(func() { *held-- })
		if err := c.SetReadDeadline(time.Now().Add(standin.Patience)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("what was held back did not come later: %v", err)
		}
	}
	l.change(func() { l.reset() })
	if err := echo(c, standin.Patience); err == nil {
		t.Error("a connection outlived a reset")
	}
	if err := echo(dial(), standin.Patience); err != nil {
		t.Errorf("a new connection after a reset: %v", err)
	}
	l.change(func() { l.cutFaults++ })
	if err := echo(dial(), standin.Patience); err == nil {
		t.Error("a new connection through a cut link")
	}
	l.change(func() { l.cutFaults-- })
	if err := echo(dial(), standin.Patience); err != nil {
		t.Errorf("a new connection once the cut is over: %v", err)
	}
}
