package catalogue

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/gate"
	"sloehitch/internal/limits"
	"sloehitch/internal/standin"
	"sloehitch/logic"
)

func TestParseReply(t *testing.T) {
	for _, c := range []struct {
		line   string
		id     string
		o      gate.Outcome
		length int
		ok     bool
	}{
		{"ab DATA 140\r\n", "ab", logic.OK, 140, true},
		{"ab LATER\r\n", "ab", logic.Full, 0, true},
		{"ab FAULT\r\n", "ab", logic.Failed, 0, true},
		{"ab TOOSLOW\r\n", "ab", logic.TimedOut, 0, true},
		{"ab NOUSE\r\n", "ab", logic.Moot, 0, true},
		{"ab DATA\r\n", "", 0, 0, false},
		{"ab DATA 4097\r\n", "", 0, 0, false},
		{"ab DATA -1\r\n", "", 0, 0, false},
		{"ab DATA 99999999999999999999\r\n", "", 0, 0, false},
		{"ab LATER 5\r\n", "", 0, 0, false},
		{"ab LATER\n", "", 0, 0, false},
		{"ab WHAT\r\n", "", 0, 0, false},
		{" LATER\r\n", "", 0, 0, false},
		{"\r\n", "", 0, 0, false},
	} {
		id, o, n, err := parseReply(c.line, 4096)
		if (err == nil) != c.ok || err == nil && (id != c.id || o != c.o || n != c.length) {
			t.Errorf("%q: %q %v %d %v", c.line, id, o, n, err)
		}
	}
}

// proxy is a stand-in for the catalogue: it writes what reply returns for a call, and hangs up on "break".
func proxy(t *testing.T, reply func(id, body string) string) string {
	ln := standin.Listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveProxy(conn, reply)
		}
	}()
	return ln.Addr().String()
}

func serveProxy(conn net.Conn, reply func(id, body string) string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var id string
		var ms, n int
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Sscanf(line, "FETCH %s %d %d\r\n", &id, &ms, &n); err != nil {
			continue // QUIT
		}
		body := make([]byte, n+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		answer := reply(id, string(body[:n]))
		if answer == "break" {
			return
		}
		io.WriteString(conn, answer)
	}
}

func TestCallOutcomes(t *testing.T) {
	address := proxy(t, func(id, body string) string {
		switch body {
		case "data":
			return id + " DATA 3\r\na\nb\r\n"
		case "break", "":
			return body
		case "garbage":
			return "?\r\n"
		}
		return id + " " + strings.ToUpper(body) + "\r\n"
	})
	down := standin.Listen(t)
	down.Close()
	for _, c := range []struct {
		address, body string
		want          gate.Outcome
		neverRan      bool
	}{
		{address, "data", logic.OK, false},
		{address, "later", logic.Full, true},
		{address, "fault", logic.Failed, false},
		{address, "tooslow", logic.TimedOut, false},
		{address, "nouse", logic.Moot, true},
		{address, "break", logic.Reset, false},
		{address, "garbage", logic.Reset, false},
		{address, "", logic.TimedOut, false}, // no reply at all
		{down.Addr().String(), "data", logic.Unreachable, true},
	} {
		client := New(c.address, limits.For(64, 256), standin.Quiet)
		type result struct {
			o     gate.Outcome
			reply string
		}
		got := make(chan result, 2)
		client.Call("ab", 30*time.Millisecond, []byte(c.body), func(o gate.Outcome, _ time.Duration, reply []byte) {
			got <- result{o, string(reply)}
		})
		r := <-got
		if r.o != c.want || r.o.NeverRan() != c.neverRan || c.want == logic.OK && r.reply != "a\nb" {
			t.Errorf("%q: %v %q, want %v", c.body, r.o, r.reply, c.want)
		}
		client.Close()
	}
}

// TestIdleConnectionIsClosed: a call sent into a connection that the proxy is closing would prove nothing.
func TestIdleConnectionIsClosed(t *testing.T) {
	ln := standin.Listen(t)
	lim := limits.For(64, 256)
	lim.CallIdle = time.Millisecond
	client := New(ln.Addr().String(), lim, standin.Quiet)
	done := make(chan gate.Outcome, 1)
	client.Call("ab", time.Minute, nil, func(o gate.Outcome, _ time.Duration, _ []byte) { done <- o })
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "ab LATER\r\n")
	if o := <-done; o != logic.Full {
		t.Errorf("outcome %v", o)
	}
	if err := conn.SetReadDeadline(time.Now().Add(standin.Patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("not closed: %v", err)
	}
}
