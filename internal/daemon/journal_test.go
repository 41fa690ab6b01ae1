package daemon

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestReloadDoesNotChangeLedger checks that a reload does not apply changes of section [ledger], and logs that.
func TestReloadDoesNotChangeLedger(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	s := serveNode(t, longDeadline, rt)
	var log bytes.Buffer
	s.stop <- os.Interrupt // ends Run, so that only this test reloads
	<-s.stopped
	s.log = slog.New(slog.NewTextHandler(&log, nil))
	other := &Config{Platform: s.platform, Deploy: &config.Deploy{Ledger: config.Ledger{Dir: filepath.Join(t.TempDir(), "new")}}}
	s.load = func() (*Config, error) { return other, nil }
	s.reload()
	if s.journals.ledger.Load() != nil || !strings.Contains(log.String(), "[ledger]") {
		t.Errorf("ledger %v; log: %s", s.journals.ledger.Load(), log.String())
	}
	if _, err := os.Stat(other.Deploy.Ledger.Dir); err == nil {
		t.Error("the folder of the new configuration was created")
	}
}

// TestReloadReportsUnappliedStore guards against operators who believe that changes are durable because SIGHUP accepted a file with a
// folder for the store or for the fleet: a reload applies neither section, and must say so.
func TestReloadReportsUnappliedStore(t *testing.T) {
	for _, c := range []struct {
		section string
		change  func(*config.Deploy, string)
	}{
		{"[store]", func(d *config.Deploy, dir string) { d.Store.Dir = dir }},
		{"[store]", func(d *config.Deploy, _ string) {
			d.Store.Members = []store.Member{{Name: "n1", RaftAddress: "127.0.0.1:1"}}
		}},
		{"[fleet]", func(d *config.Deploy, dir string) { d.Fleet.Dir = dir }},
	} {
		rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
		s := serveNode(t, longDeadline, rt)
		s.stop <- os.Interrupt // ends Run, so that only this test reloads
		<-s.stopped
		var log bytes.Buffer
		s.log = slog.New(slog.NewTextHandler(&log, nil))
		next := &config.Deploy{}
		dir := filepath.Join(t.TempDir(), "new")
		c.change(next, dir)
		s.load = func() (*Config, error) { return &Config{Platform: s.platform, Deploy: next}, nil }
		s.reload()
		if !strings.Contains(log.String(), "level=WARN msg=\"changes in section "+c.section) {
			t.Errorf("%s: no warning; log: %s", c.section, log.String())
		}
		if _, err := os.Stat(dir); err == nil {
			t.Errorf("%s: the folder of the new configuration was created", c.section)
		}
	}
}

// BenchmarkBooking measures sequential bookings through the daemon on real sockets, without and with a ledger.
func BenchmarkBooking(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("ledger=%v", on), func(b *testing.B) {
			rt := standin.NewRuntime(b, func(*standin.Job) (string, string) { return "OK", "r" })
			p, err := config.Parse([]byte(standin.Config(standin.FreeAddress(b), rt.Address, "", longDeadline)))
			if err != nil {
				b.Fatal(err)
			}
			l := &Config{Platform: p, Deploy: &config.Deploy{}}
			if on {
				dir, err := os.MkdirTemp(os.Getenv("SLOEHITCH_BENCH_DIR"), "ledger")
				if err != nil {
					b.Fatal(err)
				}
				defer os.RemoveAll(dir)
				l.Deploy.Ledger.Dir = dir
			}
			d, err := Start(l, Options{Limits: limits.For(192, 256), Log: standin.DiscardLogger})
			if err != nil {
				b.Fatal(err)
			}
			stop := make(chan os.Signal, 1)
			ended := make(chan error, 1)
			go func() { ended <- d.Run(ReceivedAt(stop)) }()
			c := standin.Dial(b, p.Listen)
			n := 0
			for b.Loop() {
				n++
				c.Do(n, "book", standin.RequestID(n), time.Now(), "a", fmt.Sprint(",opkey=k", n))
				if got := c.Read(); len(got) < 2 || got[1] != "ACK" && got[1] != "NAK" {
					b.Fatalf("answer %q", got)
				}
			}
			c.Close()
			stop <- os.Interrupt
			if err := <-ended; err != nil {
				b.Error(err)
			}
		})
	}
}
