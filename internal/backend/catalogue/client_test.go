package catalogue

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

func TestParseReply(t *testing.T) {
	for _, c := range []struct {
		line   string
		id     string
		o      admission.Outcome
		length int
		ok     bool
	}{
		{"ab DATA 140\r\n", "ab", logic.OutcomeOK, 140, true},
		{"ab LATER\r\n", "ab", logic.OutcomeRejected, 0, true},
		{"ab FAULT\r\n", "ab", logic.OutcomeFailed, 0, true},
		{"ab TOOSLOW\r\n", "ab", logic.OutcomeTimedOut, 0, true},
		{"ab NOUSE\r\n", "ab", logic.OutcomeNotStarted, 0, true},
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

// TestEncode: the bytes of each message.
func TestEncode(t *testing.T) {
	call := string(encodeCall("9b1f", 250*time.Millisecond, []byte("a\nb"))) + string(encodeCall("9b1f", time.Microsecond, nil))
	if want := "FETCH 9b1f 250 3\r\na\nb\r\nFETCH 9b1f 1 0\r\n\r\n"; call != want {
		t.Errorf("%q, want %q", call, want)
	}
	if got := string(appendCancel([]byte("x"), "9b1f")); got != "xQUIT 9b1f\r\n" {
		t.Errorf("%q", got)
	}
}

// catalogueServer stands in for the catalogue: it writes what reply returns for a call, and closes the
// connection on "break".
func catalogueServer(t *testing.T, reply func(id, body string) string) string {
	ln := standin.Listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCatalogue(conn, reply)
		}
	}()
	return ln.Addr().String()
}

func serveCatalogue(conn net.Conn, reply func(id, body string) string) {
	defer func() { _ = conn.Close() }()
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
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func TestCallOutcomes(t *testing.T) {
	address := catalogueServer(t, func(id, body string) string {
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
	down := standin.FreeAddress(t)
	for _, c := range []struct {
		address, body string
		want          admission.Outcome
		neverRan      bool
	}{
		{address, "data", logic.OutcomeOK, false},
		{address, "later", logic.OutcomeRejected, true},
		{address, "fault", logic.OutcomeFailed, false},
		{address, "tooslow", logic.OutcomeTimedOut, false},
		{address, "nouse", logic.OutcomeNotStarted, true},
		{address, "break", logic.OutcomeReset, false},
		{address, "garbage", logic.OutcomeReset, false},
		{address, "", logic.OutcomeTimedOut, false}, // no reply at all
		{down, "data", logic.OutcomeUnreachable, true},
	} {
		client := New(c.address, limits.For(64, 256), standin.DiscardLogger)
		type result struct {
			o     admission.Outcome
			reply string
		}
		got := make(chan result, 2)
		client.Call("ab", 30*time.Millisecond, []byte(c.body), false, func(o admission.Outcome, _ time.Duration, reply []byte) {
			got <- result{o, string(reply)}
		})
		r := <-got
		if r.o != c.want || r.o.NeverRan() != c.neverRan || c.want == logic.OutcomeOK && r.reply != "a\nb" {
			t.Errorf("%q: %v %q, want %v", c.body, r.o, r.reply, c.want)
		}
		client.Close()
	}
}

// TestIdleConnectionIsClosed: a call sent on a connection that the catalogue is closing would prove nothing.
func TestIdleConnectionIsClosed(t *testing.T) {
	ln := standin.Listen(t)
	lim := limits.For(64, 256)
	lim.CatalogueIdleTimeout = time.Millisecond
	client := New(ln.Addr().String(), lim, standin.DiscardLogger)
	done := make(chan admission.Outcome, 1)
	client.Call("ab", time.Minute, nil, false, func(o admission.Outcome, _ time.Duration, _ []byte) { done <- o })
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "ab LATER\r\n"); err != nil {
		t.Fatal(err)
	}
	if o := <-done; o != logic.OutcomeRejected {
		t.Errorf("outcome %v", o)
	}
	if err := conn.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("not closed: %v", err)
	}
}

type ended struct {
	o     admission.Outcome
	reply string
}

// begin makes a call and returns a channel that gets its outcome.
func begin(c *Client, id, body string) <-chan ended {
	got := make(chan ended, 2)
	c.Call(id, time.Minute, []byte(body), false, func(o admission.Outcome, _ time.Duration, reply []byte) { got <- ended{o, string(reply)} })
	return got
}

// TestMalformedReplyCostsOneCall: other calls in flight go on, and copies and replies to no call are ignored.
func TestMalformedReplyCostsOneCall(t *testing.T) {
	hold := make(chan struct{})
	address := catalogueServer(t, func(id, body string) string {
		fine := id + " DATA 2\r\nok\r\n"
		switch body {
		case "held":
			<-hold
		case "twice":
			return fine + fine
		case "more":
			return "ffff DATA 1\r\nx\r\n" + fine
		case "second":
			return id + " DATA 3\r\nnew\r\n"
		case "fine":
		default:
			return strings.ReplaceAll(body, "ID", id)
		}
		return fine
	})
	lim := limits.For(64, 256)
	lim.ReplyTimeout = 30 * time.Millisecond
	client := New(address, lim, standin.DiscardLogger)
	defer client.Close()
	held := begin(client, "a", "held")
	for i, c := range []struct {
		body string
		want ended
	}{
		{"\x00\x01?\r\n", ended{o: logic.OutcomeReset}},
		{"ID DATA 3000000000\r\nxxxx", ended{o: logic.OutcomeReset}},
		{"ID DATA 9\r\nok\r\n", ended{o: logic.OutcomeReset}},     // the rest never comes
		{"ID DATA 1\r\nok\r\n", ended{o: logic.OutcomeReset}},     // more than it said
		{"ID DATA", ended{o: logic.OutcomeReset}},                 // a line that does not end
		{strings.Repeat("x", 9000), ended{o: logic.OutcomeReset}}, // and one that goes on
		{"break", ended{o: logic.OutcomeReset}},
		{"more", ended{logic.OutcomeOK, "ok"}},
		{"twice", ended{logic.OutcomeOK, "ok"}},
		{"fine", ended{logic.OutcomeOK, "ok"}},
	} {
		if got := <-begin(client, fmt.Sprint("b", i), c.body); got != c.want {
			t.Errorf("%.30q: %v, want %v", c.body, got, c.want)
		}
	}
	<-begin(client, "c", "twice")
	if got := <-begin(client, "c", "second"); got.reply != "new" {
		t.Errorf("the copy of a reply answered the request's next call: %v", got)
	}
	close(hold)
	if got := <-held; got != (ended{logic.OutcomeOK, "ok"}) {
		t.Errorf("a call in flight all the while: %v", got)
	}
}

// TestSetAddress: calls in flight end where they were made, and new ones go to the new address, however many
// there are.
func TestSetAddress(t *testing.T) {
	hold := make(chan struct{})
	var addresses [2]string
	for i := range addresses {
		addresses[i] = catalogueServer(t, func(id, body string) string {
			<-hold
			return fmt.Sprintf("%s DATA 1\r\n%d\r\n", id, i)
		})
	}
	lim := limits.For(64, 256)
	lim.CatalogueConnections = 2
	client := New(addresses[0], lim, standin.DiscardLogger)
	defer client.Close()
	var calls []<-chan ended
	for i := range 10 {
		if i == 5 {
			client.SetAddress(addresses[1])
		}
		calls = append(calls, begin(client, fmt.Sprint("a", i), ""))
	}
	if n := len(client.connections); n > 4 {
		t.Errorf("%d connections", n)
	}
	close(hold)
	for i, c := range calls {
		if got := <-c; got.o != logic.OutcomeOK || got.reply != fmt.Sprint(i/5) {
			t.Errorf("call %d: %v", i, got)
		}
	}
}

// TestSetAddressWithPartialReply: a reply that was half read as the address changed is read to its end; of a
// call whose connection breaks then it is not known whether it ran.
func TestSetAddressWithPartialReply(t *testing.T) {
	old, next := standin.Listen(t), standin.Listen(t)
	client := New(old.Addr().String(), limits.For(64, 256), standin.DiscardLogger)
	defer client.Close()
	acceptCall := func(ln net.Listener, id string) net.Conn {
		t.Helper()
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		in := bufio.NewReader(conn)
		for range 2 { // the line and the body
			line, err := in.ReadString('\n')
			if err != nil || !strings.HasPrefix(line, "FETCH "+id) && line != "body\r\n" {
				t.Fatalf("%q, %v", line, err)
			}
		}
		return conn
	}
	complete := begin(client, "a", "body")
	first := acceptCall(old, "a")
	broken := begin(client, "b", "body")
	second := acceptCall(old, "b")
	for conn, id := range map[net.Conn]string{first: "a", second: "b"} {
		if _, err := io.WriteString(conn, id+" DATA 5\r\nre"); err != nil {
			t.Fatal(err)
		}
	}
	client.SetAddress(next.Addr().String())
	after := begin(client, "c", "body")
	third := acceptCall(next, "c")
	_ = second.Close()
	if got := <-broken; got.o != logic.OutcomeReset {
		t.Errorf("broken off: %+v", got)
	}
	for _, piece := range []string{"p", "ly\r", "\n"} {
		if _, err := io.WriteString(first, piece); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-complete; got != (ended{logic.OutcomeOK, "reply"}) {
		t.Errorf("half read at the move: %+v", got)
	}
	if _, err := io.WriteString(third, "c DATA 3\r\nnew\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := <-after; got != (ended{logic.OutcomeOK, "new"}) {
		t.Errorf("at the new address: %+v", got)
	}
	if err := first.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(first); err != nil || len(rest) > 0 {
		t.Errorf("the old address was left with %q, %v", rest, err)
	}
}

// TestCancelRacesReply: a call is canceled as its reply comes. Whichever is first, a reply never reaches the
// request's next call.
func TestCancelRacesReply(t *testing.T) {
	ln := standin.Listen(t)
	client := New(ln.Addr().String(), limits.For(64, 256), standin.DiscardLogger)
	defer client.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCatalogue(conn, func(id, body string) string { return fmt.Sprintf("%s DATA %d\r\n%s\r\n", id, len(body), body) })
		}
	}()
	for i := range 200 {
		first := begin(client, "a", "first")
		client.Cancel("a")
		second := begin(client, "a", "second")
		if got := <-second; got != (ended{logic.OutcomeOK, "second"}) {
			t.Fatalf("attempt %d: %+v", i, got)
		}
		if len(first) > 0 { // its reply was first
			if got := <-first; got != (ended{logic.OutcomeOK, "first"}) {
				t.Fatalf("attempt %d: canceled, and ended with %+v", i, got)
			}
		}
	}
}
