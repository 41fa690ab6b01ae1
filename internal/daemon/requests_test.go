package daemon

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

// TestAnswersOnceByDeadline checks that a run that exceeds the deadline is answered once, at the deadline, and not again when it ends.
func TestAnswersOnceByDeadline(t *testing.T) {
	hold := make(chan struct{})
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { <-hold; return "OK", "late" })
	b := standin.Dial(t, serveNode(t, 600*time.Millisecond, rt).address)
	began := time.Now()
	b.Do(1, "book", standin.RequestID(1), began, "a", ",opkey=k1")
	if got := b.Read(); len(got) < 2 || got[0] != "1" || got[1] != "FAIL" {
		t.Fatalf("answer %q, want FAIL, since NAK would mean that the request did not run", got)
	}
	if took := time.Since(began); took < 500*time.Millisecond {
		t.Errorf("answered after %v, long before the deadline", took)
	}
	close(hold) // the run ends after its answer, and must not cause a second one
	for rt.Runs("x") == 0 {
		b.Do(2, "slot-search", standin.RequestID(2), time.Now(), "x", "")
		if got := b.Read(); len(got) < 2 || got[0] != "2" {
			t.Fatalf("answer %q", got)
		}
	}
	expectNoMoreAnswers(t, b, "3")
}

func TestKeyedRunsOnce(t *testing.T) {
	for _, c := range []struct{ code, word string }{{"OK", "ACK"}, {"ERROR", "FAIL"}} {
		hold := make(chan struct{})
		rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { <-hold; return c.code, "result" })
		b := standin.Dial(t, serveNode(t, longDeadline, rt).address)
		at := time.Now()
		for tag := 1; tag <= 3; tag++ { // repeats while it is queued or runs
			b.Do(tag, "book", standin.RequestID(tag), at, "a", ",opkey=k1")
		}
		close(hold)
		for range 3 {
			got := b.Read()
			// A request that was still queued may be rejected in favor of its repeat.
			if len(got) < 2 || got[1] != c.word && (got[1] != "NAK" || got[0] == "3") {
				t.Errorf("%s: answer %q, want %s", c.code, got, c.word)
			}
		}
		b.Do(4, "book", standin.RequestID(4), time.Now(), "a", ",opkey=k1,resent=1") // a repeat after the end of the run
		if got := b.Read(); len(got) < 2 || got[1] != c.word || c.code == "OK" && got[3] != "result" {
			t.Errorf("%s: a later repeat got %q, want %s", c.code, got, c.word)
		}
		if n := rt.Runs("a"); n != 1 {
			t.Errorf("%s: ran %d times, want once", c.code, n)
		}
		expectNoMoreAnswers(t, b, "5")
	}
}

// TestShutdownServesRequestsInFlight checks a graceful shutdown: requests within the drain grace and those in flight are served,
// later ones are not run.
func TestShutdownServesRequestsInFlight(t *testing.T) {
	started, hold := make(chan struct{}, 2), make(chan struct{})
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { started <- struct{}{}; <-hold; return "OK", "r" })
	s := serveNode(t, longDeadline, rt)
	b := standin.Dial(t, s.address)
	b.Do(1, "slot-search", standin.RequestID(1), time.Now(), "a", "")
	<-started
	s.stop <- syscall.SIGTERM
	other := standin.Dial(t, s.address) // callers learn of the shutdown late, so requests within the grace are accepted
	other.Do(1, "book", standin.RequestID(3), time.Now(), "in time", ",opkey=k3")
	<-started
	if got := b.Read(); strings.Join(got, " ") != "0 FIN" {
		t.Fatalf("got %q, want 0 FIN", got)
	}
	// By its time stamp this request arrives after the grace: it must be answered without running.
	time.Sleep(150 * time.Millisecond)
	b.Do(2, "book", standin.RequestID(2), time.Now(), "late", ",opkey=k2")
	if got := b.Read(); len(got) < 2 || got[0] != "2" || got[1] == "ACK" {
		t.Errorf("answer to a request after the grace: %q", got)
	}
	close(hold)
	if got := b.Read(); len(got) < 2 || got[0] != "1" || got[1] != "ACK" {
		t.Errorf("answer to the request in flight at the signal: %q, want ACK", got)
	}
	if rt.Runs("late") != 0 {
		t.Error("the request after the grace was run")
	}
	b.Close()
	other.Close()
	select {
	case err := <-s.stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(standin.WaitTimeout):
		t.Error("the node did not stop")
	}
}

// TestInvalidInputClosesOnlyItsConnection checks that invalid input closes only the connection that it arrives on, and only after the requests
// before it are answered.
func TestInvalidInputClosesOnlyItsConnection(t *testing.T) {
	hold := make(chan struct{})
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { <-hold; return "OK", "r" })
	s := serveNode(t, longDeadline, rt)
	other := standin.Dial(t, s.address)
	other.Do(1, "slot-search", standin.RequestID(1), time.Now(), "a", "")
	inputs := []string{"PING\r\n", "*1\r\n$9223372036854775807\r\n", "*9999999999\r\n", "*-1\r\n", "\x00\x00\x00",
		standin.Array("PING"), standin.Array("DO", "0", "book"), standin.Array("DO", "1", "book", "req=1", ""), standin.Array("PING", "1"),
		strings.Repeat(standin.Array("GET", "7"), 4), "*2\r\n$4\r\nPI"}
	var invalidConns []*standin.Balancer
	for i, bad := range inputs {
		b := standin.Dial(t, s.address)
		// A complete request in the same packet before the invalid bytes must be answered.
		fields := fmt.Sprintf("req=%s,ts=%d,owner=acme,need=1,level=0", standin.RequestID(10+i), time.Now().UnixMilli())
		b.Send(standin.Array("DO", "1", "slot-search", fields, "b") + bad)
		invalidConns = append(invalidConns, b)
	}
	rejected := standin.Dial(t, s.address)
	rejected.Send(standin.Array("DO", "5", "no-such-class", "req="+standin.RequestID(90)+",ts=1764576000123", "") + standin.Array("GET", "6"))
	for _, want := range []string{"5 NAK", "6 FAIL"} {
		if got := rejected.Read(); len(got) < 2 || got[0]+" "+got[1] != want {
			t.Errorf("answer to a request that can't be served: %q, want %s", got, want)
		}
	}
	expectNoMoreAnswers(t, rejected, "7")
	idle := standin.Dial(t, s.address)
	for i, b := range invalidConns { // they are closed while the run of the other connection is still in progress
		got := b.Read()
		for len(got) > 1 && got[0] == "7" {
			got = b.Read()
		}
		if len(got) < 2 || got[0] != "1" || got[1] == "ACK" {
			t.Errorf("input %q: the request before it must not be lost or run, got %q", inputs[i], got)
		}
		for got = b.Read(); len(got) > 1 && got[0] == "7"; {
			got = b.Read()
		}
		if got != nil {
			t.Errorf("input %q: connection not closed, got %q", inputs[i], got)
		}
	}
	if got := idle.Read(); got != nil {
		t.Errorf("a connection without any request got %q", got)
	}
	if other.Send(standin.Array("PING", "8")); other.Read()[1] != "GREEN" {
		t.Error("an idle connection with a request in flight was closed")
	}
	close(hold)
	if got := other.Read(); len(got) < 2 || got[0] != "1" {
		t.Errorf("answer on the other connection: %q", got)
	}
	expectNoMoreAnswers(t, other, "2")
}

// TestKeyWithAnotherBodyIsRejected checks by both protocols that a request that reuses a key with another body is neither run nor answered with
// the first one's result, which stays available.
func TestKeyWithAnotherBodyIsRejected(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", string(j.Body) })
	server := standin.NewServer(t, func(body string) string { return "HTTP/1.1 200 OK\r\n\r\n" + body })
	s := serveNode(t, longDeadline, rt, server.Address)
	b := standin.Dial(t, s.address)
	for i, c := range []struct{ body, word string }{{"first", "ACK"}, {"other", "FAIL"}, {"first", "ACK"}} {
		b.Do(i+1, "book", standin.RequestID(i+1), time.Now(), c.body, ",opkey=k1")
		if got := b.Read(); len(got) < 2 || got[1] != c.word || c.word == "ACK" && got[3] != "first" {
			t.Errorf("body %s: answer %q, want %s", c.body, got, c.word)
		}
		want := "HTTP/1.1 " + map[string]string{"ACK": "200 OK", "FAIL": "422 Unprocessable Entity"}[c.word]
		if got := sendUwsgi(t, s.uwsgi, c.body, postVars("k2")...); !strings.HasPrefix(got, want) {
			t.Errorf("body %s: response %q, want %s", c.body, got, want)
		}
	}
	for body, want := range map[string]int{"first": 1, "other": 0} {
		if a, b := rt.Runs(body), server.Runs(body); a != want || b != want {
			t.Errorf("body %s ran %d and %d times, want %d each", body, a, b, want)
		}
	}
}
