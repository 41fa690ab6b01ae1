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

// TestReload checks that SIGHUP applies new addresses without losing a run, and that an invalid file leaves the current ones in use.
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
	configure(standin.Config(address, rt.Address, "", longDeadline))
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
	expectNoMoreAnswers(t, b, "9")
	configure(standin.Config(address, rt.ListenAgain(t), "", longDeadline))
	signalSelf(syscall.SIGHUP)
	<-rt.Syncs // the link is up at the new address
	close(hold)
	b.Do(2, "slot-search", standin.RequestID(2), time.Now(), "b", "")
	for range 2 {
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Errorf("answer %q, want ACK", got)
		}
	}
	if n := rt.Runs("a"); n != 1 {
		t.Errorf("the request ran %d times, want once", n)
	}
	b.Close()
	signalSelf(syscall.SIGTERM)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// expectNoMoreAnswers fails the test if the next message on the connection is not the answer to a health check that it sends.
func expectNoMoreAnswers(t *testing.T, b *standin.Balancer, tag string) {
	t.Helper()
	b.Send(standin.Array("PING", tag, ""))
	if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "GREEN" {
		t.Errorf("message %q after the last answer", got)
	}
}
