package main

import (
	"log/slog"
	"os"
	"path/filepath"
	"sloehitch/internal/testing/standin"
	"syscall"
	"testing"
	"time"
)

// TestReload: on SIGHUP new addresses are taken over without losing a run, and a bad file leaves the old ones in force.
func TestReload(t *testing.T) {
	hold, started := make(chan struct{}), make(chan struct{}, 1)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { started <- struct{}{}; <-hold; return "OK", "r" })
	address := standin.FreeAddress(t)
	c := serveCmd{files: files{Config: filepath.Join(t.TempDir(), "config.json"), Deploy: "none.toml"}}
	configure := func(text string) {
		if err := os.WriteFile(c.Config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	configure(standin.Config(address, rt.Address, "", ample))
	stopped := make(chan error, 1)
	go func() { stopped <- c.Run(standin.DiscardLogger, new(slog.LevelVar)) }()
	signalSelf := func(sig syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
	}
	<-rt.Syncs
	b := standin.Dial(t, address)
	b.Do(1, "book", standin.RequestID(1), time.Now(), "a", ",opkey=k1")
	<-started
	configure("{")
	signalSelf(syscall.SIGHUP)
	only(t, b, "9")
	configure(standin.Config(address, rt.ListenAgain(t), "", ample))
	signalSelf(syscall.SIGHUP)
	<-rt.Syncs // the link is up at the new address
	close(hold)
	b.Do(2, "slot-search", standin.RequestID(2), time.Now(), "b", "")
	for range 2 {
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Errorf("answer %q", got)
		}
	}
	if n := rt.Runs("a"); n != 1 {
		t.Errorf("ran %d times", n)
	}
	b.Close()
	signalSelf(syscall.SIGTERM)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// only fails if anything but the answer to one more check is still to come on a connection.
func only(t *testing.T, b *standin.Balancer, tag string) {
	t.Helper()
	b.Send(standin.Array("PING", tag, ""))
	if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "GREEN" {
		t.Errorf("after the last answer came %q", got)
	}
}
