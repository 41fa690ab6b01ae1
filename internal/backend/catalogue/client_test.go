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
			t.Errorf("%q: parsed as id %q, outcome %v, length %d, error %v", c.line, id, o, n, err)
		}
	}
}

// TestEncodeCallAndCancel checks the encoding of each message.
func TestEncodeCallAndCancel(t *testing.T) {
	call := string(encodeCall("9b1f", 250*time.Millisecond, []byte("a\nb"))) + string(encodeCall("9b1f", time.Microsecond, nil))
	if want := "FETCH 9b1f 250 3\r\na\nb\r\nFETCH 9b1f 1 0\r\n\r\n"; call != want {
		t.Errorf("encoded calls %q, want %q", call, want)
	}
	if got := string(appendCancel([]byte("x"), "9b1f")); got != "xQUIT 9b1f\r\n" {
		t.Errorf("encoded cancellation %q, want it appended", got)
	}
}

// catalogueServer starts a catalogue that writes what reply returns for each call, and closes the connection if that
// is "break". It returns its address.
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
			t.Errorf("%q: outcome %v, reply %q, want %v", c.body, r.o, r.reply, c.want)
		}
		client.Close()
	}
}

// TestIdleConnectionIsClosed checks that the client closes an idle connection. If the catalogue closed it first, a
// call sent at the same time would fail without proof that it did not run.
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
		t.Errorf("outcome %v, want OutcomeRejected", o)
	}
	if err := conn.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("the idle connection was not closed: %v", err)
	}
}

type callResult struct {
	o     admission.Outcome
	reply string
}

// startCall makes a call and returns a channel that receives its outcome.
func startCall(c *Client, id, body string) <-chan callResult {
	got := make(chan callResult, 2)
	c.Call(id, time.Minute, []byte(body), false, func(o admission.Outcome, _ time.Duration, reply []byte) { got <- callResult{o, string(reply)} })
	return got
}

// TestMalformedReplyFailsOnlyItsCall checks that a malformed reply fails its own call only, and that duplicate replies and
// replies to unknown calls are ignored.
func TestMalformedReplyFailsOnlyItsCall(t *testing.T) {
	release := make(chan struct{})
	address := catalogueServer(t, func(id, body string) string {
		fine := id + " DATA 2\r\nok\r\n"
		switch body {
		case "held":
			<-release
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
	held := startCall(client, "a", "held")
	for i, c := range []struct {
		body string
		want callResult
	}{
		{"\x00\x01?\r\n", callResult{o: logic.OutcomeReset}},
		{"ID DATA 3000000000\r\nxxxx", callResult{o: logic.OutcomeReset}},
		{"ID DATA 9\r\nok\r\n", callResult{o: logic.OutcomeReset}},     // body shorter than announced
		{"ID DATA 1\r\nok\r\n", callResult{o: logic.OutcomeReset}},     // body longer than announced
		{"ID DATA", callResult{o: logic.OutcomeReset}},                 // incomplete line
		{strings.Repeat("x", 9000), callResult{o: logic.OutcomeReset}}, // line longer than the buffer
		{"break", callResult{o: logic.OutcomeReset}},
		{"more", callResult{logic.OutcomeOK, "ok"}},
		{"twice", callResult{logic.OutcomeOK, "ok"}},
		{"fine", callResult{logic.OutcomeOK, "ok"}},
	} {
		if got := <-startCall(client, fmt.Sprint("b", i), c.body); got != c.want {
			t.Errorf("%.30q: %v, want %v", c.body, got, c.want)
		}
	}
	<-startCall(client, "c", "twice")
	if got := <-startCall(client, "c", "second"); got.reply != "new" {
		t.Errorf("the duplicate of a reply answered the request's next call: %v", got)
	}
	close(release)
	if got := <-held; got != (callResult{logic.OutcomeOK, "ok"}) {
		t.Errorf("the call that was in flight throughout ended with %v", got)
	}
}

// TestSetAddressKeepsCallsInFlight checks that calls in flight complete at the old address and new ones are made at
// the new address, even with all connections in use.
func TestSetAddressKeepsCallsInFlight(t *testing.T) {
	release := make(chan struct{})
	var addresses [2]string
	for i := range addresses {
		addresses[i] = catalogueServer(t, func(id, body string) string {
			<-release
			return fmt.Sprintf("%s DATA 1\r\n%d\r\n", id, i)
		})
	}
	lim := limits.For(64, 256)
	lim.CatalogueConnections = 2
	client := New(addresses[0], lim, standin.DiscardLogger)
	defer client.Close()
	var calls []<-chan callResult
	for i := range 10 {
		if i == 5 {
			client.SetAddress(addresses[1])
		}
		calls = append(calls, startCall(client, fmt.Sprint("a", i), ""))
	}
	if n := len(client.connections); n > 4 {
		t.Errorf("%d connections are open, want at most 4", n)
	}
	close(release)
	for i, c := range calls {
		if got := <-c; got.o != logic.OutcomeOK || got.reply != fmt.Sprint(i/5) {
			t.Errorf("call %d ended with %v, want a reply from the address it was made at", i, got)
		}
	}
}

// TestSetAddressWithPartialReply checks that a reply of which a part was read before the address changed is read
// completely, and that a call whose connection breaks then ends with OutcomeReset.
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
		for range 2 { // the call's line and its body
			line, err := in.ReadString('\n')
			if err != nil || !strings.HasPrefix(line, "FETCH "+id) && line != "body\r\n" {
				t.Fatalf("%q, %v", line, err)
			}
		}
		return conn
	}
	complete := startCall(client, "a", "body")
	first := acceptCall(old, "a")
	broken := startCall(client, "b", "body")
	second := acceptCall(old, "b")
	for conn, id := range map[net.Conn]string{first: "a", second: "b"} {
		if _, err := io.WriteString(conn, id+" DATA 5\r\nre"); err != nil {
			t.Fatal(err)
		}
	}
	client.SetAddress(next.Addr().String())
	after := startCall(client, "c", "body")
	third := acceptCall(next, "c")
	_ = second.Close()
	if got := <-broken; got.o != logic.OutcomeReset {
		t.Errorf("call on a broken connection: %+v, want OutcomeReset", got)
	}
	for _, piece := range []string{"p", "ly\r", "\n"} {
		if _, err := io.WriteString(first, piece); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-complete; got != (callResult{logic.OutcomeOK, "reply"}) {
		t.Errorf("call with a partial reply when the address changed: %+v", got)
	}
	if _, err := io.WriteString(third, "c DATA 3\r\nnew\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := <-after; got != (callResult{logic.OutcomeOK, "new"}) {
		t.Errorf("call at the new address: %+v", got)
	}
	if err := first.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(first); err != nil || len(rest) > 0 {
		t.Errorf("the connection to the old address carried %q, %v, want only its end", rest, err)
	}
}

// TestReplyOfCanceledCallIsNotTakenForTheNext checks that if a call is canceled while its reply arrives, the reply is
// never taken for that to the request's next call.
func TestReplyOfCanceledCallIsNotTakenForTheNext(t *testing.T) {
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
		first := startCall(client, "a", "first")
		client.Cancel("a")
		second := startCall(client, "a", "second")
		if got := <-second; got != (callResult{logic.OutcomeOK, "second"}) {
			t.Fatalf("attempt %d: %+v", i, got)
		}
		if len(first) > 0 { // the reply arrived before the cancellation
			if got := <-first; got != (callResult{logic.OutcomeOK, "first"}) {
				t.Fatalf("attempt %d: the canceled call ended with %+v", i, got)
			}
		}
	}
}
