package daemon

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestHandOverRunsKeyOnce runs two processes that accept from one inherited listener and share $TMPDIR, as when one replaces the
// other: the old one keeps its connections and accepts no new ones, which go to the new process. Requests with
// the same key reach both. The key must run once, and each request must get its result, whichever process received it.
func TestHandOverRunsKeyOnce(t *testing.T) {
	ln := standin.Listen(t)
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ln.Close() // the platform's copy stays open in f
	t.Setenv("TMPDIR", t.TempDir())
	// Each process has its own runtime address, here one stand-in each.
	work := func(*standin.Job) (string, string) { return "OK", "r" }
	runtimes := []*standin.Runtime{standin.NewRuntime(t, work), standin.NewRuntime(t, work)}
	var conns []*standin.Balancer
	var daemons []*Daemon
	var stops []chan os.Signal
	stopped := make(chan error, len(runtimes))
	for _, rt := range runtimes {
		p, err := config.Parse([]byte(standin.Config("127.0.0.1:1", rt.Address, "", longDeadline)))
		if err != nil {
			t.Fatal(err)
		}
		inherited, err := syscall.Dup(int(f.Fd())) // each process has its own descriptor, which it closes
		if err != nil {
			t.Fatal(err)
		}
		t.Setenv("GW_ACCEPT_FD", fmt.Sprint(inherited))
		d, err := Start(&Config{Platform: p, Deploy: &config.Deploy{}}, Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger})
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan os.Signal, 1)
		daemons, stops = append(daemons, d), append(stops, stop)
		runUntilTestEnds(t, d, stop, stopped)
		<-rt.Syncs
		for range 3 {
			b := standin.Dial(t, ln.Addr().String())
			b.Send(standin.Array("PING", "1"))
			b.Read()
			conns = append(conns, b)
		}
		if d.resp.OpenConnections() != 3 {
			t.Fatalf("the process has %d open connections, want 3", d.resp.OpenConnections())
		}
		d.listeners.closeAll() // it accepts no more connections, so new ones go to the next process
	}
	conns[0].Do(2, "book", standin.RequestID(2), time.Now(), "a", ",opkey=k1") // the old process runs it
	if got := conns[0].Read(); len(got) < 2 || got[1] != "ACK" {
		t.Fatalf("answer to the first request: %q, want ACK", got)
	}
	for i, b := range conns[1:] {
		b.Do(i+3, "book", standin.RequestID(i+3), time.Now(), "a", ",opkey=k1")
	}
	served := 1
	for _, b := range conns[1:] {
		got := b.Read()
		if len(got) < 2 {
			t.Fatalf("no answer: %q", got)
		}
		if got[1] == "ACK" {
			served++
		}
		if got[1] == "NAK" {
			t.Errorf("a request with a key that may have run was rejected: %q", got)
		}
	}
	if n := runtimes[0].Runs("a") + runtimes[1].Runs("a"); n != 1 || served != len(conns) {
		t.Errorf("ran %d times, %d of %d requests served; want one run and all served", n, served, len(conns))
	}
	// The next process would use the snapshot of this one, and sees the keys of all processes.
	daemons[0].saveSnapshot(false)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(standin.Config("127.0.0.1:1", runtimes[0].Address, "", longDeadline)), 0o600); err != nil {
		t.Fatal(err)
	}
	var shown strings.Builder
	if err := PrintHandover(&shown, file, os.TempDir()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"would be used\n", "run time 1.0 ms of 1 runs", "lives: 1 segments", "1 keys, 0 of them run"} {
		if !strings.Contains(shown.String(), want) {
			t.Errorf("output of handover show lacks %q:\n%s", want, &shown)
		}
	}
	if l := daemons[1].loadSnapshot(time.Now()); l == nil || l.Classes["book"].RunTime.Samples != 1 {
		t.Errorf("a process that starts now loads %+v", l)
	}
	// At SIGTERM while the other process lives, it asks its callers to close at once and stays healthy, because the node continues to serve.
	stops[0] <- syscall.SIGTERM
	for _, b := range conns[:3] {
		if got := b.Read(); len(got) < 2 || got[0] != "0" || got[1] != "FIN" {
			t.Errorf("first message to a caller of the process that shuts down: %q, want FIN", got)
		}
	}
	conns[0].Send(standin.Array("PING", "99"))
	if got := conns[0].Read(); len(got) < 2 || got[1] != "GREEN" {
		t.Errorf("health check during the replacement: %q, want GREEN", got)
	}
	for _, b := range conns {
		b.Close()
	}
	if err := <-stopped; err != nil {
		t.Errorf("Run returned %v", err)
	}
}
