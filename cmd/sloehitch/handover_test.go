package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/daemon"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// sharedNode is what the platform provides to a node whose processes replace each other: one listener and one $TMPDIR for all processes, and
// a runtime address for each.
type sharedNode struct {
	t        *testing.T
	dir      string
	listener *os.File
	address  string
	deploy   string
	runtimes []*standin.Runtime
	killed   map[*standin.Runtime]bool
}

func newSharedNode(t *testing.T, deploy string) *sharedNode {
	t.Helper()
	ln := standin.Listen(t)
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	s := &sharedNode{t: t, dir: t.TempDir(), listener: f, address: ln.Addr().String(), killed: map[*standin.Runtime]bool{}}
	ln.Close()
	s.deploy = filepath.Join(s.dir, "deploy.toml")
	if err := os.WriteFile(s.deploy, []byte(deploy), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

// start starts the program, and returns once it is connected to the runtime.
func (s *sharedNode) start() (*daemonProcess, *standin.Runtime) {
	s.t.Helper()
	rt := standin.NewRuntime(s.t, func(j *standin.Job) (string, string) { return "OK", "visit " + j.UID })
	s.runtimes = append(s.runtimes, rt)
	config := filepath.Join(s.dir, fmt.Sprint("config", len(s.runtimes)))
	if err := os.WriteFile(config, []byte(standin.Config(s.address, rt.Address, "", longDeadline)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	k := &daemonProcess{Cmd: command("serve", "--config", config, "--deploy", s.deploy)}
	k.Env = append(k.Env, "TMPDIR="+s.dir, "GW_ACCEPT_FD=3")
	k.ExtraFiles = []*os.File{s.listener}
	k.Stderr = &k.log
	if err := k.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(k.kill)
	select {
	case <-rt.Syncs:
	case <-time.After(standin.WaitTimeout):
		k.kill()
		s.t.Fatalf("the daemon does not serve; log:\n%s", k.log.String())
	}
	return k, rt
}

// runs returns how often a key was run by all processes, and by those that were not killed.
func (s *sharedNode) runs(body string) (all, living int) {
	for _, rt := range s.runtimes {
		n := rt.Runs(body)
		if all += n; !s.killed[rt] {
			living += n
		}
	}
	return all, living
}

// TestHandOverWithKillsRunsKeysOnce sends keyed requests to two processes at once, of which the old one is killed or shut down at seeded
// moments before the next one starts. No key may run twice, all served requests of a key must get the same result, no request
// may be rejected after its key has run, and a request may fail only if the process that held its key was killed.
func TestHandOverWithKillsRunsKeysOnce(t *testing.T) {
	const rounds, keys, conns, perConn = 6, 60, 8, 8
	s := newSharedNode(t, "")
	random := rand.New(rand.NewPCG(3, 3))
	old, oldRuntime := s.start()
	var mu sync.Mutex
	results, failed, id := map[string]string{}, map[string]bool{}, 0
	for round := range rounds {
		next, nextRuntime := s.start()
		before := map[string]bool{}
		for i := range keys {
			body := fmt.Sprint("k", i)
			all, _ := s.runs(body)
			before[body] = all > 0
		}
		var readers sync.WaitGroup
		answers := make(chan struct{}, conns*perConn)
		for range conns {
			b := standin.Dial(t, s.address)
			sent := map[string]string{}
			for range perConn {
				id++
				body := fmt.Sprint("k", random.IntN(keys))
				sent[fmt.Sprint(id)] = body
				b.Do(id, "book", standin.RequestID(id), time.Now(), body, ",opkey="+body)
			}
			readers.Add(1)
			go func() {
				defer readers.Done()
				defer b.Close()
				for left := len(sent); left > 0; {
					got := b.Read()
					if len(got) < 2 {
						return // the process was killed
					}
					body, ours := sent[got[0]]
					if !ours {
						continue // the request to close the connection
					}
					left--
					answers <- struct{}{}
					mu.Lock()
					switch {
					case got[1] == "ACK" && results[body] == "" && len(got) > 3:
						results[body] = got[3]
					case got[1] == "ACK" && len(got) > 3 && got[3] != results[body]:
						t.Errorf("round %d: key %s was served with %q and with %q", round, body, results[body], got[3])
					case got[1] == "NAK" && before[body]:
						t.Errorf("round %d: key %s had run, but a request was rejected: %q", round, body, got)
					case got[1] != "ACK" && got[1] != "NAK":
						failed[body] = true
					}
					mu.Unlock()
				}
			}()
		}
		kill := random.IntN(2) == 0
		for range random.IntN(conns * perConn / 2) { // until the moment of the kill or signal
			select {
			case <-answers:
			case <-time.After(standin.WaitTimeout):
				t.Fatalf("round %d: no answer arrived", round)
			}
		}
		if kill {
			old.kill()
		} else if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		readers.Wait()
		if kill {
			s.killed[oldRuntime] = true
		} else if err := old.Wait(); err != nil {
			t.Errorf("round %d: after SIGTERM the process ended with %v; log:\n%s", round, err, old.log.String())
		}
		for i := range keys {
			body := fmt.Sprint("k", i)
			all, living := s.runs(body)
			if all > 1 {
				t.Errorf("round %d: key %s ran %d times", round, body, all)
			}
			if failed[body] && living > 0 {
				t.Errorf("round %d: a request with key %s failed, though the process that ran it was not killed", round, body)
			}
		}
		old, oldRuntime = next, nextRuntime
	}
	if len(results) < keys/2 || len(s.killed) == 0 || len(s.killed) == rounds {
		t.Errorf("%d keys served, %d of %d processes killed: too few for a meaningful test", len(results), len(s.killed), rounds)
	}
}

// TestHandOverOfLedgerRunsKeysOnce starts a process while the one that it replaces still holds the ledger. Keys that ran before or
// meanwhile, in either process, must run once and be in the ledger in the end, so that a process that has only the ledger
// answers repeated requests.
func TestHandOverOfLedgerRunsKeysOnce(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "ledger")
	metricsAddress := standin.FreeAddress(t) // only one process at a time can listen on it
	s := newSharedNode(t, fmt.Sprintf("[ledger]\ndir = %q\n[metrics]\nlisten = %q\n", folder, metricsAddress))
	id := 0
	ask := func(body string) string {
		t.Helper()
		b := standin.Dial(t, s.address)
		defer b.Close()
		id++
		b.Do(id, "book", standin.RequestID(id), time.Now(), body, ",opkey="+body)
		got := b.Read()
		for len(got) > 1 && got[1] == "FIN" {
			got = b.Read()
		}
		if len(got) < 4 || got[1] != "ACK" {
			t.Fatalf("key %s: answer %q, want ACK", body, got)
		}
		return got[3]
	}
	waitInLedger := func(body string) {
		t.Helper()
		for until := time.Now().Add(standin.WaitTimeout); ; time.Sleep(time.Millisecond) {
			l, err := ledger.Open(disk.Dir(folder), ledger.Options{Limits: limits.ForLedger(1 << 20), ReadOnly: true})
			if err == nil {
				has := l.Has([]byte("booking/" + body))
				l.Close()
				if has {
					return
				}
			}
			if time.Now().After(until) {
				t.Fatalf("key %s is not in the ledger: %v", body, err)
			}
		}
	}
	results := map[string]string{}
	old, _ := s.start()
	results["before"] = ask("before")
	next, _ := s.start()
	for i := range 12 { // whichever process takes the connection
		body := fmt.Sprint("both", i)
		results[body] = ask(body)
	}
	checkResults := func() {
		t.Helper()
		for body, want := range results {
			if got := ask(body); got != want {
				t.Errorf("key %s: result %q, at first %q", body, got, want)
			}
			if all, _ := s.runs(body); all != 1 {
				t.Errorf("key %s ran %d times, want once", body, all)
			}
		}
	}
	checkResults()
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Fatalf("the old process ended with %v; log:\n%s", err, old.log.String())
	}
	results["after"] = ask("after")
	for until := time.Now().Add(standin.WaitTimeout); ; time.Sleep(time.Millisecond) { // the new process listens once the old one has released the address
		got, err := http.Get("http://" + metricsAddress + "/metrics")
		if err == nil {
			got.Body.Close()
			break
		}
		if time.Now().After(until) {
			t.Fatalf("no metrics from the new process: %v", err)
		}
	}
	for body := range results {
		waitInLedger(body)
	}
	checkResults()
	next.kill()
	if err := os.RemoveAll(daemon.KeystoreDir(s.dir, "n1")); err != nil {
		t.Fatal(err)
	}
	s.start()
	for body := range results {
		if got := ask(body); got != results[body] {
			t.Errorf("key %s from the ledger: result %q, at first %q", body, got, results[body])
		}
	}
}
