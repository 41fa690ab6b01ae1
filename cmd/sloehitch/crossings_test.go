package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/operatorapi"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// serveChanged is a node whose configuration a test changes before it starts.
func serveChanged(t *testing.T, rt *standin.Runtime, catalog string, change func(*config.Platform)) *served {
	t.Helper()
	p, err := config.Parse([]byte(standin.Config(standin.Free(t), rt.Address, catalog, ample)))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(p)
	}
	d, err := start(&loaded{platform: p, deploy: &config.Deploy{}}, limits.For(64, 256), standin.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.listeners.close)
	return &served{d, p.Listen, "", make(chan os.Signal, 1), make(chan error, 1)}
}

func (s *served) goOn() *served {
	go func() { s.stopped <- s.run(stamped(s.stop)) }()
	return s
}

func (s *served) until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(standin.Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it did not come to it: %s", what)
		}
	}
}

// over waits for the process to have left.
func (s *served) over(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(standin.Patience):
		t.Fatal("not stopped")
	}
}

// TestHalfARequestAtTheNotice: half a line stands with the node as it is told to leave, and the rest comes after the grace, which is
// nothing here. Whatever its stamp says it is answered, once, and not passed on; what was read before is served.
func TestHalfARequestAtTheNotice(t *testing.T) {
	hold, started := make(chan struct{}), make(chan struct{}, 1)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { started <- struct{}{}; <-hold; return "OK", "r" })
	s := serveChanged(t, rt, "", func(p *config.Platform) { p.Logic.DrainGrace = 0 }).goOn()
	b := standin.Dial(t, s.address)
	b.Do(1, "slot-search", req(1), time.Now(), "whole", "")
	<-started
	late := standin.Do(2, "book", req(2), time.Now(), "half", ",opkey=k2")
	b.Send(late[:len(late)/2])
	s.stop <- syscall.SIGTERM
	s.until(t, "leaving", s.leaving.Load)
	if got := b.Read(); strings.Join(got, " ") != "0 FIN" {
		t.Fatalf("got %q, want 0 FIN", got)
	}
	b.Send(late[len(late)/2:])
	if got := b.Read(); len(got) < 2 || got[0] != "2" || got[1] != "NAK" {
		t.Errorf("the half: %q", got)
	}
	close(hold)
	if got := b.Read(); len(got) < 2 || got[0] != "1" || got[1] != "ACK" {
		t.Errorf("the whole: %q", got)
	}
	if rt.Runs("half") != 0 {
		t.Error("ran what was read after the grace")
	}
	if all, err := io.ReadAll(b.Conn); err != nil || len(all) > 0 { // it rests: the node ends it as it ends
		t.Errorf("%q, %v", all, err)
	}
	b.Close()
	s.over(t)
}

// TestTheNoticeCountsFromTheSignal, not from when it is looked at, and a second one changes nothing.
func TestTheNoticeCountsFromTheSignal(t *testing.T) {
	signals := make(chan os.Signal, 1)
	notice := stamped(signals)
	before := time.Now()
	signals <- syscall.SIGTERM
	for len(notice) == 0 {
		time.Sleep(time.Millisecond)
	}
	after := time.Now()
	signals <- syscall.SIGTERM
	if at := <-notice; at.Before(before) || at.After(after) {
		t.Errorf("noticed at %v, sent between %v and %v", at, before, after)
	}
	if len(notice) > 0 {
		t.Error("noticed twice")
	}
}

// TestSignalsBesideOneAnother: told to leave before it serves, as it reads a new configuration, and twice. What is in hand is served.
func TestSignalsBesideOneAnother(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *served, hup chan os.Signal, gate chan struct{}, reading chan struct{})
	}{
		{"before it serves", func(s *served, _ chan os.Signal, gate, _ chan struct{}) {
			close(gate)
			s.stop <- syscall.SIGTERM
			s.goOn()
		}},
		{"twice", func(s *served, _ chan os.Signal, gate, _ chan struct{}) {
			close(gate)
			s.goOn()
			s.stop <- syscall.SIGTERM
			s.until(t, "leaving", s.leaving.Load)
			s.stop <- syscall.SIGTERM
		}},
		{"as it reads a new configuration", func(s *served, hup chan os.Signal, gate, reading chan struct{}) {
			s.goOn()
			hup <- syscall.SIGHUP
			<-reading
			s.stop <- syscall.SIGTERM
			close(gate)
		}},
		{"and to read one as it leaves", func(s *served, hup chan os.Signal, gate, reading chan struct{}) {
			s.goOn()
			s.stop <- syscall.SIGTERM
			s.until(t, "leaving", s.leaving.Load)
			hup <- syscall.SIGHUP
			<-reading
			close(gate)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			hold, started := make(chan struct{}), make(chan struct{}, 1)
			rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { started <- struct{}{}; <-hold; return "OK", "r" })
			s := serveChanged(t, rt, "", nil)
			hup, gate, reading := make(chan os.Signal, 1), make(chan struct{}), make(chan struct{}, 1)
			s.hup = hup
			s.load = func() (*loaded, error) {
				reading <- struct{}{}
				<-gate
				return nil, errors.New("nothing of use")
			}
			b := standin.Dial(t, s.address)
			b.Do(1, "book", req(1), time.Now(), "a", ",opkey=k1")
			<-started
			c.play(s, hup, gate, reading)
			s.until(t, "leaving", s.leaving.Load)
			close(hold)
			var got []string
			for got = b.Read(); len(got) > 1 && got[0] == "0"; got = b.Read() {
			}
			if len(got) < 2 || got[0] != "1" || got[1] != "ACK" {
				t.Errorf("answer %q", got)
			}
			b.Close()
			s.over(t)
		})
	}
}

// TestUndoBesideTheEndOfItsRun: whichever comes first, there is one answer at most, nothing runs twice, and a repeat has the result.
func TestUndoBesideTheEndOfItsRun(t *testing.T) {
	hold := make(chan chan struct{}, 1)
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { <-<-hold; return "OK", "of " + string(j.Body) })
	s := serveChanged(t, rt, "", nil).goOn()
	b := standin.Dial(t, s.address)
	tag := 0
	for i := range 60 {
		end := make(chan struct{})
		hold <- end
		body, key := fmt.Sprint("body", i), fmt.Sprintf(",opkey=k%d", i)
		tag++
		undone := fmt.Sprint(tag)
		b.Do(tag, "book", req(tag), time.Now(), body, key)
		s.until(t, "it runs", func() bool { return rt.Runs(body) == 1 })
		undo := standin.Array("UNDO", undone)
		switch i % 3 {
		case 0: // before it
			b.Send(undo)
			close(end)
		case 1: // beside it
			go close(end)
			b.Send(undo)
		default: // after it
			close(end)
			b.Send(undo)
		}
		tag++
		b.Do(tag, "book", req(tag), time.Now(), body, key)
		answers := 0
		for {
			got := b.Read()
			if len(got) < 4 || got[1] != "ACK" || got[3] != "of "+body {
				t.Fatalf("play %d: %q", i, got)
			}
			if got[0] == fmt.Sprint(tag) {
				break
			}
			if answers++; got[0] != undone || answers > 1 {
				t.Fatalf("play %d: %q after %d answers", i, got, answers)
			}
		}
		if n := rt.Runs(body); n != 1 {
			t.Fatalf("play %d: ran %d times", i, n)
		}
	}
	tag++
	only(t, b, fmt.Sprint(tag))
}

// TestUndoBesideTheStart: both come in one read. What of it runs is up to the module; a repeat is served, and it runs once.
func TestUndoBesideTheStart(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", "of " + string(j.Body) })
	s := serveChanged(t, rt, "", nil).goOn()
	b := standin.Dial(t, s.address)
	for i := range 40 {
		body, key := fmt.Sprint("body", i), fmt.Sprintf(",opkey=k%d", i)
		b.Send(standin.Do(2*i+1, "book", req(2*i+1), time.Now(), body, key) + standin.Array("UNDO", fmt.Sprint(2*i+1)) +
			standin.Do(2*i+2, "book", req(2*i+2), time.Now(), body, key))
		got := b.Read()
		if len(got) > 0 && got[0] == fmt.Sprint(2*i+1) {
			got = b.Read()
		}
		if len(got) < 4 || got[0] != fmt.Sprint(2*i+2) || got[1] != "ACK" || got[3] != "of "+body || rt.Runs(body) != 1 {
			t.Fatalf("play %d: %q after %d runs", i, got, rt.Runs(body))
		}
	}
	only(t, b, "1000")
}

// TestARequestInPieces: each byte by itself, and in the forms that the protocol allows. A body holds any bytes.
func TestARequestInPieces(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", string(j.Body) })
	s := serveChanged(t, rt, "", nil).goOn()
	b := standin.Dial(t, s.address)
	fields := func(id int) string { return fmt.Sprintf("req=%s,ts=%d,need=0.5", req(id), time.Now().UnixMilli()) }
	for i, body := range []string{"plain", "", "\r\n*3\r\n$2\r\nDO\r\n", "\x00\xff,=\n", strings.Repeat("b", 2048)} {
		text := standin.Array("DO", fmt.Sprint(i+1), "slot-search", fields(i+1), body)
		if body == "" { // absent
			text = standin.Array("DO", fmt.Sprint(i+1), "slot-search", fields(i+1))
		}
		for k := range text {
			b.Send(text[k : k+1])
		}
		got := b.Read()
		if len(got) < 2 || got[0] != fmt.Sprint(i+1) || got[1] != "ACK" || len(got) == 4 && got[3] != body || len(got) < 4 && body != "" {
			t.Errorf("%.20q: %.60q", body, got)
		}
	}
	b.Send(standin.Array("PING", "90") + standin.Array("PING", "91", "") + standin.Array("UNDO", "90") + standin.Array("UNDO", "1", "") + standin.Array("PING", "92"))
	for _, tag := range []string{"90", "91", "92"} {
		if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "GREEN" {
			t.Errorf("check %s: %q", tag, got)
		}
	}
}

// catalogueOf is a stand-in for the catalogue that replies as it is told to.
func catalogueOf(t *testing.T, reply func(id string, c net.Conn)) string {
	ln := standin.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					var id string
					var ms, n int
					if _, err := fmt.Sscanf(line, "FETCH %s %d %d", &id, &ms, &n); err != nil {
						continue
					}
					if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
						return
					}
					reply(id, c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestIdleClientsFillTheDescriptors: the real program with as many descriptors as its configuration tells, and a directory that is
// down. Clients take every connection that they can get and rest. Calls, the link, health checks, operators' calls and a true
// request still get theirs.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 128} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", string(j.Call("call")) })
			catalog := catalogueOf(t, func(id string, c net.Conn) { fmt.Fprintf(c, "%s DATA 5\r\nreply\r\n", id) })
			address, operators, lookup := standin.Free(t), standin.Free(t), standin.Free(t)
			var object map[string]any
			if err := json.Unmarshal([]byte(standin.Config(address, rt.Address, catalog, ample)), &object); err != nil {
				t.Fatal(err)
			}
			object["lookup"] = lookup // nobody is there
			object["limits"].(map[string]any)["sockets"] = sockets
			text, err := json.Marshal(object)
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(file, text, 0o600); err != nil {
				t.Fatal(err)
			}
			serve := command("serve", "--config", file, "--deploy", "none.toml")
			k := &killable{Cmd: exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, sockets)}, serve.Args...)...)}
			k.Env, k.Stderr = append(serve.Env, "GW_OPS="+operators), &k.log
			if err := k.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(k.kill)
			select {
			case <-rt.Syncs:
			case <-time.After(standin.Patience):
				k.kill()
				t.Fatalf("it does not serve:\n%s", k.log.String())
			}
			fail := func(format string, args ...any) {
				t.Helper()
				k.kill()
				t.Fatalf(format+"\n%s", append(args, k.log.String())...)
			}
			for i := range 4 * sockets {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				switch i % 3 {
				case 0: // has spoken
					io.WriteString(c, standin.Array("PING", "1"))
				case 1: // half of it
					io.WriteString(c, "*2\r\n$4\r\nPI")
				}
			}
			for i := range 20 {
				b := standin.Dial(t, address)
				b.Send(standin.Array("PING", "1"))
				if got := b.Read(); len(got) < 2 || got[1] != "GREEN" {
					fail("check %d: %q", i, got)
				}
				for n := range 4 { // each with a call
					b.Do(n+2, "slot-search", req(100*i+n), time.Now(), fmt.Sprint(i, n), "")
				}
				for range 4 {
					if got := b.Read(); len(got) < 4 || got[1] != "ACK" || got[3] != "reply" {
						fail("request of %d: %q", i, got)
					}
				}
				if answer, err := operatorapi.Ask(operators, "readyz", ample); err != nil || answer != "ACK ready\n" {
					fail("readyz %d: %q, %v", i, answer, err)
				}
			}
			rt.Cut() // the link that comes next needs a descriptor too
			select {
			case <-rt.Syncs:
			case <-time.After(standin.Patience):
				fail("no new link")
			}
		})
	}
}
