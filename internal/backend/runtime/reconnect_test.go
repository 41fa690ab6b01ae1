package runtime

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

// command is a decoded command, as the runtime reads it.
type command struct {
	Action  string  `json:"action"`
	UID     string  `json:"uid"`
	Lane    string  `json:"lane"`
	Content string  `json:"content"`
	Pos     *uint64 `json:"pos"`
	Echo    string  `json:"echo"`
}

// peer is the runtime's end of one connection, driven by the test.
type peer struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// nextPeer waits for the next connection and its sync command, and returns both.
func nextPeer(t *testing.T, ln net.Listener) (*peer, command) {
	t.Helper()
	if err := ln.(*net.TCPListener).SetDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	p := &peer{conn, t, bufio.NewReader(conn)}
	return p, p.read()
}

func (p *peer) read() (c command) {
	p.t.Helper()
	if err := p.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		p.t.Fatal(err)
	}
	line, err := p.in.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &c)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	return c
}

func (p *peer) send(format string, args ...any) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p, format+"\n", args...); err != nil {
		p.t.Fatal(err)
	}
}

const ready = `{"action":"ready","code":"WARM","wall_ms":1}`

// startScriptedLink starts a link to a listener on which the test acts as the runtime, with limits changed by change
// (nil: unchanged).
func startScriptedLink(t *testing.T, change func(*limits.Limits)) (*Link, *fakeEvents, net.Listener) {
	ln := standin.Listen(t)
	lim := limits.For(64, 256)
	if change != nil {
		change(&lim)
	}
	l := New(Options{Address: ln.Addr().String(), Limits: lim, Log: standin.DiscardLogger, OnGauges: func(admission.Gauges) {}})
	e := &fakeEvents{ends: make(chan runEnd, 4096), calls: make(chan uint64, 16)}
	go l.Serve(e)
	t.Cleanup(l.Close)
	return l, e, ln
}

// waitFor waits until a condition holds, which it evaluates under the link's lock.
func waitFor(t *testing.T, l *Link, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(standin.WaitTimeout); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		done := condition()
		l.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}

// TestReplyWhileDisconnectedIsSentOnce checks that a reply that is delivered between two connections is sent once on
// the next. Sent twice, it would answer the run's next call. Of the commands that were written to the broken
// connection, only the start of an idempotent request is sent again.
func TestReplyWhileDisconnectedIsSentOnce(t *testing.T) {
	l, e, ln := startScriptedLink(t, nil)
	p, _ := nextPeer(t, ln)
	p.send(ready)
	l.Start("a", "book", nil, true)
	l.Start("b", "slot-search", nil, false)
	l.Start("d", "book", nil, true)
	for range 3 {
		p.read()
	}
	p.send(`{"action":"wants","pos":1,"uid":"a","content":""}`)
	<-e.calls
	_ = p.Close()
	waitFor(t, l, func() bool { return l.generation == 2 && !l.writable }) // connected, but not ready
	l.DeliverReply("a", []byte("one"))
	l.Start("c", "book", nil, true)
	p, sync := nextPeer(t, ln)
	if *sync.Pos != 1 {
		t.Errorf("resumed from %d, want 1", *sync.Pos)
	}
	p.send(ready)
	seen := map[string]int{}
	for c := p.read(); c.UID != "marker"; c = p.read() {
		seen[c.Action+" "+c.UID]++
		if c.Echo == echoResumed {
			p.send(`{"action":"load","echo":%q,"meters":[]}`, echoResumed)
			waitFor(t, l, func() bool { return l.redeliveryDecided })
			l.Stop("marker")
		}
	}
	if seen["give a"] != 1 || seen["start b"] != 1 || seen["start c"] != 1 || seen["start a"] != 0 || seen["start d"] != 0 {
		t.Errorf("commands on the second connection: %v; want give a, start b and start c once each", seen)
	}
}

// TestStartsArriveOnceIfLinkBreaksWhileWriting: the link breaks while its writer is blocked. Commands that were not
// written are sent first on the next connection, each start once. The start of a request that is not idempotent is
// either sent there or reported as unconfirmed, never both.
func TestStartsArriveOnceIfLinkBreaksWhileWriting(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprint("once=", once), func(t *testing.T) { testLinkBreaksWhileWriting(t, once) })
	}
}

func testLinkBreaksWhileWriting(t *testing.T, once bool) {
	l, e, ln := startScriptedLink(t, func(lim *limits.Limits) { lim.WriteTimeout, lim.RuntimeSilence = time.Hour, time.Hour })
	p, _ := nextPeer(t, ln)
	p.send(ready)
	waitFor(t, l, func() bool { return l.writable })
	body := []byte(strings.Repeat("x", 8<<10))
	const starts = 2000
	for i := range starts { // far more than the socket buffers hold
		l.Start(fmt.Sprint(i), "book", body, once)
	}
	waitFor(t, l, func() bool { return len(l.queue) == 0 || l.runs["0"].writtenOnGeneration == 1 })
	if err := p.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = p.Close()
	p, _ = nextPeer(t, ln)
	p.send(ready)
	seen := map[string]int{}
	for c := p.read(); c.UID != "marker"; c = p.read() {
		if c.Action == "start" {
			seen[c.UID]++
		}
		if c.Echo == echoResumed {
			p.send(`{"action":"load","echo":%q,"meters":[]}`, echoResumed)
			waitFor(t, l, func() bool { return l.redeliveryDecided })
			l.Stop("marker")
		}
	}
	waitFor(t, l, func() bool { return len(seen)+len(e.reported()) >= starts })
	if reported := e.reported(); len(reported) > 0 != once {
		t.Errorf("%d starts were reported as unconfirmed; want some if and only if the requests are not idempotent", len(reported))
	}
	for _, u := range e.reported() {
		seen[u.id]++
	}
	for i := range starts {
		if n := seen[fmt.Sprint(i)]; n != 1 {
			t.Fatalf("start %d was sent or reported %d times, want once; %d starts were sent or reported", i, n, len(seen))
		}
	}
}

// TestSilentLinkIsReconnected checks that the link reconnects if the runtime never becomes ready, or stops
// answering, and that it keeps a connection on which only keepalive requests are answered.
func TestSilentLinkIsReconnected(t *testing.T) {
	l, _, ln := startScriptedLink(t, func(lim *limits.Limits) {
		lim.RuntimeSilence, lim.RuntimeReadyTimeout = 20*time.Millisecond, 30*time.Millisecond
	})
	p, _ := nextPeer(t, ln) // never becomes ready
	defer func() { _ = p.Close() }()
	p, _ = nextPeer(t, ln)
	p.send(ready)
	waitFor(t, l, func() bool { return l.writable })
	for range 5 {
		if c := p.read(); c.Action != "gauges" || c.Echo != echoKeepalive {
			t.Fatalf("%+v, want a keepalive request", c)
		}
		p.send(`{"action":"load","echo":%q,"meters":[]}`, echoKeepalive)
	}
	waitFor(t, l, func() bool { return l.generation == 2 })
	p.read() // sends nothing from here on
	p, _ = nextPeer(t, ln)
	p.send(ready)
	waitFor(t, l, func() bool { return l.generation == 3 && l.writable })
}

// TestFragmentedNoticeIsReadOnce checks that a notice is read however it is fragmented, and once if the connection breaks in
// the middle of it.
func TestFragmentedNoticeIsReadOnce(t *testing.T) {
	l, e, ln := startScriptedLink(t, func(lim *limits.Limits) { lim.RuntimeSilence = time.Hour })
	p, _ := nextPeer(t, ln)
	p.send(ready)
	l.Start("a", "book", nil, true)
	l.Start("b", "book", nil, true)
	first, second := `{"action":"end","pos":1,"uid":"a","code":"OK","content":"YQ=="}`+"\n", `{"action":"end","pos":2,"uid":"b","code":"OK","content":"Yg=="}`
	if _, err := io.WriteString(p, first[:len(first)/2]); err != nil {
		t.Fatal(err)
	}
	_ = p.Close()
	p, sync := nextPeer(t, ln)
	if *sync.Pos != 0 {
		t.Errorf("resumed from %d, want 0", *sync.Pos)
	}
	p.send(ready)
	for i := range first {
		if _, err := io.WriteString(p, first[i:i+1]); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-e.ends; got != (runEnd{"a", logic.OutcomeOK, "a"}) {
		t.Errorf("%+v", got)
	}
	if _, err := io.WriteString(p, second[:len(second)/2]); err != nil {
		t.Fatal(err)
	}
	_ = p.Close()
	p, sync = nextPeer(t, ln)
	if *sync.Pos != 1 {
		t.Errorf("resumed from %d, want 1", *sync.Pos)
	}
	p.send(ready)
	p.send("%s", second)
	if got := <-e.ends; got != (runEnd{"b", logic.OutcomeOK, "b"}) || len(e.ends) > 0 {
		t.Errorf("end %+v, and %d more; want the end of run b only", got, len(e.ends))
	}
}

// TestUnreadableNoticeIsSkipped checks that a notice that can't be decoded is requested again once and then skipped,
// and that the notices after it are read.
func TestUnreadableNoticeIsSkipped(t *testing.T) {
	for _, malformed := range []string{`{"action":"end","pos":2,`, `{"action":"wants","pos":2,"uid":"a","content":"%"}`, strings.Repeat("x", 200<<10)} {
		l, e, ln := startScriptedLink(t, nil)
		for links := range 2 {
			p, sync := nextPeer(t, ln)
			if *sync.Pos != uint64(links) {
				t.Errorf("resumed from %d, want %d", *sync.Pos, links)
			}
			p.send(ready)
			if links == 0 {
				l.Start("a", "book", nil, true)
				p.send(`{"action":"info","pos":1,"code":"x"}`)
			}
			p.send("%s", malformed)
			if links == 1 {
				p.send(`{"action":"end","pos":3,"uid":"a","code":"OK","content":"YQ=="}`)
			}
		}
		select {
		case got := <-e.ends:
			if got != (runEnd{"a", logic.OutcomeOK, "a"}) {
				t.Errorf("%.30q: %+v", malformed, got)
			}
		case <-time.After(standin.WaitTimeout):
			t.Fatalf("%.30q: the notice after it was not read in time", malformed)
		}
		l.Close()
	}
}

// TestReplyIsNotRedelivered checks that a reply is not sent again after the link broke. The run may have continued
// past the call, and would take the reply for that to its next one, whose notice may still be in transit.
func TestReplyIsNotRedelivered(t *testing.T) {
	l, e, ln := startScriptedLink(t, nil)
	p, _ := nextPeer(t, ln)
	p.send(ready)
	waitFor(t, l, func() bool { return l.writable })
	l.Start("a", "slot-search", nil, false)
	p.read()
	p.send(`{"action":"wants","pos":1,"uid":"a","content":""}`)
	<-e.calls
	l.DeliverReply("a", []byte("the first call's"))
	if c := p.read(); c.Action != "give" {
		t.Fatalf("%+v, want the reply", c)
	}
	_ = p.Close()
	p, _ = nextPeer(t, ln)
	p.send(ready)
	for c := p.read(); c.UID != "marker"; c = p.read() {
		if c.Action == "give" {
			t.Error("the reply was sent again")
		}
		if c.Action == "gauges" {
			p.send(`{"action":"load","echo":%q,"meters":[]}`, c.Echo)
			waitFor(t, l, func() bool { return l.redeliveryDecided })
			l.Resume("marker") // follows all commands that are sent again
		}
	}
}

// TestSecondStartIsNotSentOnceRunIsNotIdempotent guards against a run that is started twice after its class was made fragile: the link
// kept what Start was told, also for a second start that waited in the queue while the runtime was away.
func TestSecondStartIsNotSentOnceRunIsNotIdempotent(t *testing.T) {
	for _, c := range []struct {
		name         string
		whileInQueue bool // the change comes when the second start is in the queue already
	}{
		{"before the decision", false},
		{"while the second start is queued", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, e, ln := startScriptedLink(t, nil)
			p, _ := nextPeer(t, ln)
			p.send(ready)
			l.Start("a", "search", nil, false)
			l.Start("b", "search", nil, false)
			p.read()
			p.read()
			_ = p.Close()
			p, _ = nextPeer(t, ln)
			waitFor(t, l, func() bool { return l.generation == 2 && l.conn != nil }) // connected, but not ready
			if c.whileInQueue {
				l.decideRedelivery()
			}
			e.forbid("a")
			p.send(ready)
			started := map[string]int{}
			for command := p.read(); command.UID != "marker"; command = p.read() {
				if command.Action == "start" {
					started[command.UID]++
				}
				if command.Echo == echoResumed {
					p.send(`{"action":"load","echo":%q,"meters":[]}`, echoResumed)
					waitFor(t, l, func() bool { return l.redeliveryDecided })
					l.Resume("marker")
				}
			}
			if started["a"] != 0 || started["b"] == 0 {
				t.Errorf("starts on the second connection: %v; want only b, which may run twice", started)
			}
			if got := e.reported(); !slices.Equal(got, []unconfirmedCommand{unconfirmedStart("a")}) {
				t.Errorf("reported as unconfirmed: %v, want the start of a", got)
			}
		})
	}
}
