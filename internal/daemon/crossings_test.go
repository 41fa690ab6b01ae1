package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// startWithConfig starts a node with a configuration that change has modified. The caller must call runInBackground to run it.
func startWithConfig(t *testing.T, rt *standin.Runtime, catalog string, change func(*config.Platform)) *testNode {
	t.Helper()
	p, err := config.Parse([]byte(standin.Config(standin.FreeAddress(t), rt.Address, catalog, longDeadline)))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(p)
	}
	d, err := Start(&Config{Platform: p, Deploy: &config.Deploy{}}, Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.listeners.closeAll)
	return &testNode{d, p.Listen, "", make(chan os.Signal, 1), make(chan error, 1)}
}

// runInBackground calls Run in the background, with the test's stop channel as its signals.
func (s *testNode) runInBackground(t *testing.T) *testNode {
	runUntilTestEnds(t, s.Daemon, s.stop, s.stopped)
	return s
}

func (s *testNode) waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(standin.WaitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// waitStopped waits until Run has returned.
func (s *testNode) waitStopped(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(standin.WaitTimeout):
		t.Fatal("the node did not stop")
	}
}

// TestRequestCompletedAfterGraceIsNotRun checks a request of which only half has arrived at the shutdown signal and the rest
// arrives after the drain grace, which is 0 here. It must be answered once and not run, whatever its time stamp, and a request read
// before must be served.
func TestRequestCompletedAfterGraceIsNotRun(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 1)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { started <- struct{}{}; <-release; return "OK", "r" })
	s := startWithConfig(t, rt, "", func(p *config.Platform) { p.Logic.DrainGrace = 0 }).runInBackground(t)
	b := standin.Dial(t, s.address)
	b.Do(1, "slot-search", standin.RequestID(1), time.Now(), "whole", "")
	<-started
	partial := standin.Do(2, "book", standin.RequestID(2), time.Now(), "half", ",opkey=k2")
	b.Send(partial[:len(partial)/2])
	s.stop <- syscall.SIGTERM
	s.waitUntil(t, "the shutdown begins", s.service.draining.Load)
	if got := b.Read(); strings.Join(got, " ") != "0 FIN" {
		t.Fatalf("got %q, want 0 FIN", got)
	}
	b.Send(partial[len(partial)/2:])
	if got := b.Read(); len(got) < 2 || got[0] != "2" || got[1] != "NAK" {
		t.Errorf("answer to the request completed after the grace: %q, want NAK", got)
	}
	close(release)
	if got := b.Read(); len(got) < 2 || got[0] != "1" || got[1] != "ACK" {
		t.Errorf("answer to the request read before the signal: %q, want ACK", got)
	}
	if rt.Runs("half") != 0 {
		t.Error("the request completed after the grace was run")
	}
	if all, err := io.ReadAll(b.Conn); err != nil || len(all) > 0 { // the connection is idle: the node closes it at its end
		t.Errorf("read %q, %v after the last answer", all, err)
	}
	b.Close()
	s.waitStopped(t)
}

// TestReceivedAtReportsFirstSignal checks that ReceivedAt reports the time of the first signal, not that of reading the channel, and
// ignores a second signal.
func TestReceivedAtReportsFirstSignal(t *testing.T) {
	signals := make(chan os.Signal, 1)
	received := ReceivedAt(signals)
	before := time.Now()
	signals <- syscall.SIGTERM
	for len(received) == 0 {
		time.Sleep(time.Millisecond)
	}
	after := time.Now()
	signals <- syscall.SIGTERM
	if at := <-received; at.Before(before) || at.After(after) {
		t.Errorf("received at %v, but sent between %v and %v", at, before, after)
	}
	if len(received) > 0 {
		t.Error("a second time was sent for the second signal")
	}
}

// TestSignalsDuringStartReloadAndShutdown sends SIGTERM before the node serves, during a reload and twice, and SIGHUP during the shutdown. The
// request in flight must be served.
func TestSignalsDuringStartReloadAndShutdown(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(s *testNode, hup chan os.Signal, gate chan struct{}, reading chan struct{})
	}{
		{"SIGTERM before Run", func(s *testNode, _ chan os.Signal, gate, _ chan struct{}) {
			close(gate)
			s.stop <- syscall.SIGTERM
			s.runInBackground(t)
		}},
		{"SIGTERM twice", func(s *testNode, _ chan os.Signal, gate, _ chan struct{}) {
			close(gate)
			s.runInBackground(t)
			s.stop <- syscall.SIGTERM
			s.waitUntil(t, "the shutdown begins", s.service.draining.Load)
			s.stop <- syscall.SIGTERM
		}},
		{"SIGTERM during a reload", func(s *testNode, hup chan os.Signal, gate, reading chan struct{}) {
			s.runInBackground(t)
			hup <- syscall.SIGHUP
			<-reading
			s.stop <- syscall.SIGTERM
			close(gate)
		}},
		{"SIGHUP during the shutdown", func(s *testNode, hup chan os.Signal, gate, reading chan struct{}) {
			s.runInBackground(t)
			s.stop <- syscall.SIGTERM
			s.waitUntil(t, "the shutdown begins", s.service.draining.Load)
			hup <- syscall.SIGHUP
			<-reading
			close(gate)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			hold, started := make(chan struct{}), make(chan struct{}, 1)
			rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { started <- struct{}{}; <-hold; return "OK", "r" })
			s := startWithConfig(t, rt, "", nil)
			hup, gate, reading := make(chan os.Signal, 1), make(chan struct{}), make(chan struct{}, 1)
			s.reloads = hup
			s.load = func() (*Config, error) {
				reading <- struct{}{}
				<-gate
				return nil, errors.New("invalid configuration")
			}
			b := standin.Dial(t, s.address)
			b.Do(1, "book", standin.RequestID(1), time.Now(), "a", ",opkey=k1")
			<-started
			c.send(s, hup, gate, reading)
			s.waitUntil(t, "the shutdown begins", s.service.draining.Load)
			close(hold)
			var got []string
			for got = b.Read(); len(got) > 1 && got[0] == "0"; got = b.Read() {
			}
			if len(got) < 2 || got[0] != "1" || got[1] != "ACK" {
				t.Errorf("answer %q, want ACK", got)
			}
			b.Close()
			s.waitStopped(t)
		})
	}
}

// TestUndoAroundEndOfRunAnswersOnce sends an UNDO before, during and after the end of the request's run. In any order there must be at most
// one answer and one run, and a repeated request must get the result.
func TestUndoAroundEndOfRunAnswersOnce(t *testing.T) {
	hold := make(chan chan struct{}, 1)
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { <-<-hold; return "OK", "of " + string(j.Body) })
	s := startWithConfig(t, rt, "", nil).runInBackground(t)
	b := standin.Dial(t, s.address)
	tag := 0
	for i := range 60 {
		end := make(chan struct{})
		hold <- end
		body, key := fmt.Sprint("body", i), fmt.Sprintf(",opkey=k%d", i)
		tag++
		undone := fmt.Sprint(tag)
		b.Do(tag, "book", standin.RequestID(tag), time.Now(), body, key)
		s.waitUntil(t, "the request runs", func() bool { return rt.Runs(body) == 1 })
		undo := standin.Array("UNDO", undone)
		switch i % 3 {
		case 0: // before the end of the run
			b.Send(undo)
			close(end)
		case 1: // at the same time
			go close(end)
			b.Send(undo)
		default: // after it
			close(end)
			b.Send(undo)
		}
		tag++
		b.Do(tag, "book", standin.RequestID(tag), time.Now(), body, key)
		answers := 0
		for {
			got := b.Read()
			if len(got) < 4 || got[1] != "ACK" || got[3] != "of "+body {
				t.Fatalf("iteration %d: answer %q, want ACK with the result", i, got)
			}
			if got[0] == fmt.Sprint(tag) {
				break
			}
			if answers++; got[0] != undone || answers > 1 {
				t.Fatalf("iteration %d: answer %q is unexpected after %d answers", i, got, answers)
			}
		}
		if n := rt.Runs(body); n != 1 {
			t.Fatalf("iteration %d: ran %d times, want once", i, n)
		}
	}
	tag++
	expectNoMoreAnswers(t, b, fmt.Sprint(tag))
}

// TestUndoWithItsRequestRunsOnce sends a request, its UNDO and a repeat of the request in one write. Whether the UNDO takes effect is up to
// package node, but the repeat must be served and the key must run once.
func TestUndoWithItsRequestRunsOnce(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", "of " + string(j.Body) })
	s := startWithConfig(t, rt, "", nil).runInBackground(t)
	b := standin.Dial(t, s.address)
	for i := range 40 {
		body, key := fmt.Sprint("body", i), fmt.Sprintf(",opkey=k%d", i)
		b.Send(standin.Do(2*i+1, "book", standin.RequestID(2*i+1), time.Now(), body, key) + standin.Array("UNDO", fmt.Sprint(2*i+1)) +
			standin.Do(2*i+2, "book", standin.RequestID(2*i+2), time.Now(), body, key))
		got := b.Read()
		if len(got) > 0 && got[0] == fmt.Sprint(2*i+1) {
			got = b.Read()
		}
		if len(got) < 4 || got[0] != fmt.Sprint(2*i+2) || got[1] != "ACK" || got[3] != "of "+body || rt.Runs(body) != 1 {
			t.Fatalf("iteration %d: answer %q after %d runs, want ACK after one run", i, got, rt.Runs(body))
		}
	}
	expectNoMoreAnswers(t, b, "1000")
}

// TestRequestsArriveByteByByte sends requests byte by byte, with arbitrary bytes in their bodies and in all forms that the protocol allows.
func TestRequestsArriveByteByByte(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", string(j.Body) })
	s := startWithConfig(t, rt, "", nil).runInBackground(t)
	b := standin.Dial(t, s.address)
	fields := func(id int) string {
		return fmt.Sprintf("req=%s,ts=%d,need=0.5", standin.RequestID(id), time.Now().UnixMilli())
	}
	for i, body := range []string{"plain", "", "\r\n*3\r\n$2\r\nDO\r\n", "\x00\xff,=\n", strings.Repeat("b", 2048)} {
		text := standin.Array("DO", fmt.Sprint(i+1), "slot-search", fields(i+1), body)
		if body == "" { // leave the body out
			text = standin.Array("DO", fmt.Sprint(i+1), "slot-search", fields(i+1))
		}
		for k := range text {
			b.Send(text[k : k+1])
		}
		got := b.Read()
		if len(got) < 2 || got[0] != fmt.Sprint(i+1) || got[1] != "ACK" || len(got) == 4 && got[3] != body || len(got) < 4 && body != "" {
			t.Errorf("body %.20q: answer %.60q", body, got)
		}
	}
	b.Send(standin.Array("PING", "90") + standin.Array("PING", "91", "") + standin.Array("UNDO", "90") + standin.Array("UNDO", "1", "") + standin.Array("PING", "92"))
	for _, tag := range []string{"90", "91", "92"} {
		if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "GREEN" {
			t.Errorf("health check %s: %q, want GREEN", tag, got)
		}
	}
}
