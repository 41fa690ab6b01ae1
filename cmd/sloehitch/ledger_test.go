package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/idempotency/runlog"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// asMain makes this test's program the daemon's: TestMain hands over to main.
const asMain = "SLOEHITCH_TEST_AS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(asMain) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command is the real program with these arguments. The race detector would have each wait for a second at its end.
func command(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asMain+"=1", "GORACE=atexit_sleep_ms=0")
	return c
}

// TestLedgerPutCompacts: overwriting leaves no more behind than compactions let stand.
func TestLedgerPutCompacts(t *testing.T) {
	dir := t.TempDir()
	c := command("ledger", "put", dir)
	in, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	const lines, size = 120, 1 << 20 // a seventh of what is written stands in one segment
	value := strings.Repeat("v", size-10)
	for i := range lines {
		if _, err := fmt.Fprintf(in, "k%d\t%s\n", i%4, value); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(in.Close(), c.Wait()); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	var bytes int64
	for _, f := range files {
		if st, err := os.Stat(f); err == nil {
			bytes += st.Size()
		}
	}
	if bytes > lines*size/2 {
		t.Errorf("%d MB are left of %d MB, of which 4 count", bytes>>20, lines*size>>20)
	}
}

// TestLedgerCommands tries the sub-commands as a person would.
func TestLedgerCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "folder")
	torn, damaged := dir+".torn", dir+".damaged"
	for _, c := range []struct {
		name, in, args, out, err string
		code                     int
	}{
		{"put", "b\t2\na\t1\nb\t3\nempty\t\n", "put DIR", "b\na\nb\nempty\n", "", 0},
		{"put what is no pair", "c\t1\nno tab\nd\t1\n", "put DIR", "c\n", "line 2", 1},
		{"put an empty key", "\tvalue\n", "put DIR", "", "line 1", 1},
		{"dump", "", "dump DIR", "a\t1\nb\t3\nc\t1\nempty\t\n", "", 0},
		{"dump a part", "", "dump --prefix b DIR", "b\t3\n", "", 0},
		{"put bytes", `{"key64":"/wo=","value":"x\ty"}`, "put --json DIR", "\xff\n\n", "", 0},
		{"dump bytes as text", "", "dump DIR", "", "--json", 1},
		{"dump bytes", "", "dump --json DIR", `{"key64":"/wo=","value":"x\ty"}` + "\n", "", 0},
		{"verify", "", "verify DIR", "whole; 5 keys", "", 0},
		{"backup", "", "backup DIR " + torn, "bytes copied", "", 0},
		{"backup again", "", "backup DIR " + torn, "", "not empty", 1},
		{"compact", "", "compact DIR", "5 records kept", "", 0},
		{"stat", "", "stat --json DIR", `"keys":5`, "", 0},
		{"no such folder", "", "verify " + dir + ".none", "", "no such file", 3},
		{"a torn one", "", "verify " + torn, "torn: ", "", 1},
		{"a damaged one", "", "verify --json " + damaged, `"state":"damaged","file":"MANIFEST"`, "", 2},
		{"put into a damaged one", "a\t1\n", "put " + damaged, "", "ledger repair", 1},
		{"repair", "", "repair " + damaged + " " + dir + ".saved", "lost: MANIFEST", "", 0},
		{"what was saved", "", "dump --prefix a " + dir + ".saved", "a\t1\n", "", 0},
	} {
		switch c.name {
		case "a torn one":
			tear(t, torn)
		case "a damaged one":
			if err := os.CopyFS(damaged, os.DirFS(dir)); err != nil {
				t.Fatal(err)
			}
			if err := os.Truncate(filepath.Join(damaged, "MANIFEST"), 50); err != nil {
				t.Fatal(err)
			}
		}
		cmd := command(append([]string{"ledger"}, strings.Fields(strings.ReplaceAll(c.args, "DIR", dir))...)...)
		cmd.Stdin = strings.NewReader(c.in)
		var out, log bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &log
		_ = cmd.Run() // its exit code tells
		exact := c.err == "" && c.name != "dump bytes" && (strings.HasPrefix(c.args, "put") || strings.HasPrefix(c.args, "dump"))
		if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(out.String(), c.out) || exact && out.String() != c.out ||
			!strings.Contains(log.String(), c.err) {
			t.Errorf("%s: exit %d, %q, %q; want %d, %q, %q", c.name, cmd.ProcessState.ExitCode(), out.String(), log.String(), c.code, c.out, c.err)
		}
	}
}

// tear gives a store an active segment that ends in bytes that are no record.
func tear(t *testing.T, dir string) {
	t.Helper()
	s, err := ledger.Open(disk.Dir(dir), ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// A copy while it is open has an active segment; its name is made one that the table can tell.
	if err := os.CopyFS(dir+".copy", os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	left := disk.Dir(dir + ".copy")
	names, err := left.List()
	if err != nil {
		t.Fatal(err)
	}
	var active string
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") {
			active = name // the last one is the newest
		}
	}
	if err := os.Truncate(filepath.Join(string(left), active), 60); err != nil { // within its first group
		t.Fatal(err)
	}
	v, err := ledger.Verify(left, ledger.Options{Limits: limits.ForLedger(1 << 20)})
	if err != nil || v.State != ledger.StateTorn || v.File != active || v.Offset != 36 {
		t.Fatalf("%+v, %v", v, err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(string(left), dir); err != nil {
		t.Fatal(err)
	}
}

// killable is the real program, serving, with a ledger.
type killable struct {
	*exec.Cmd
	log bytes.Buffer
}

func startKillable(t *testing.T, config, deploy, address string) *killable {
	t.Helper()
	k := &killable{Cmd: command("serve", "--config", config, "--deploy", deploy)}
	k.Stderr = &k.log
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.kill() })
	for until := time.Now().Add(standin.WaitTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
			return k
		}
		if time.Now().After(until) {
			k.kill()
			t.Fatalf("it does not serve: %v\n%s", err, k.log.String())
		}
	}
}

func (k *killable) kill() {
	_ = k.Process.Kill() // it may be over
	_ = k.Wait()
}

// TestKilledDaemon kills the real daemon under keyed traffic at seeded moments and starts it again on the same folder: no key
// starts twice, every start that the runtime saw is on record, a repeat of what began is neither run nor refused, and one of what ended gets its answer.
func TestKilledDaemon(t *testing.T) {
	const rounds, keys, perRound = 5, 40, 30
	dir := t.TempDir()
	folder := filepath.Join(dir, "ledger")
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", "done " + string(j.Body) })
	rt.Syncs = make(chan uint64, 100)
	address := standin.FreeAddress(t)
	config, deploy := filepath.Join(dir, "config.json"), filepath.Join(dir, "deploy.toml")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(config, standin.Config(address, rt.Address, "", ample))
	write(deploy, fmt.Sprintf("[ledger]\ndir = %q\n", folder))

	// Killed between "began" and the start of the run: that is all there is of this one.
	ghost := node.RunRecord{Key: "ghost", Class: "book", ArrivedAt: time.Now(), Window: time.Hour, RequestID: "x"}
	func() {
		made, err := disk.MakeDir(folder)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ledger.Open(made, ledger.Options{Limits: limits.ForLedger(1 << 20)})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		done := make(chan error, 1)
		if err := runlog.New(s, time.Second, time.Second, standin.DiscardLogger).RecordStart(ghost, func(err error) { done <- err }); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}()

	rng := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	id, again, served := 0, 0, map[string]bool{}
	for round := range rounds {
		k := startKillable(t, config, deploy, address)
		before := map[string]bool{}
		for i := range keys {
			body := fmt.Sprint("k", i)
			before[body] = rt.Runs(body) > 0
		}
		b := standin.Dial(t, address)
		sent := map[string]string{}
		for range perRound {
			id++
			body := fmt.Sprint("k", rng.IntN(keys))
			sent[fmt.Sprint(id)] = body
			b.Do(id, "book", standin.RequestID(id), time.Now(), body, ",opkey="+body)
		}
		for range rng.IntN(perRound) { // the moment of the kill
			got := b.Read()
			if len(got) < 2 {
				t.Fatalf("round %d: the connection ended", round)
			}
			body := sent[got[0]]
			mu.Lock()
			switch {
			case got[1] == "ACK":
				if want := "done " + body; len(got) < 4 || got[3] != want {
					t.Errorf("round %d: %s was served with %q, want %q", round, body, got, want)
				}
				if before[body] {
					again++ // from the record: it is not run
				}
				served[body] = true
			case got[1] == "NAK" && before[body]:
				t.Errorf("round %d: %s began before the kill and was refused after it", round, body)
			}
			mu.Unlock()
		}
		k.kill()
		s, err := ledger.Open(disk.Dir(folder), ledger.Options{Limits: limits.ForLedger(1 << 20), ReadOnly: true})
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		for i := range keys {
			body := fmt.Sprint("k", i)
			n := rt.Runs(body)
			if n > 1 {
				t.Errorf("round %d: %s ran %d times", round, body, n)
			}
			if n > 0 && !s.Has([]byte("booking/"+body)) {
				t.Errorf("round %d: %s was started and is not on record", round, body)
			}
			if n == 0 && served[body] {
				t.Errorf("round %d: %s was served and never run", round, body)
			}
		}
		s.Close()
	}
	k := startKillable(t, config, deploy, address)
	b := standin.Dial(t, address)
	b.Do(1, "book", standin.RequestID(999999), time.Now(), "ghost", ",opkey=ghost")
	if got := b.Read(); len(got) < 2 || got[1] != "FAIL" || rt.Runs("ghost") != 0 {
		t.Errorf("one whose start was recorded and never made: %q, %d runs", got, rt.Runs("ghost"))
	}
	if second, err := command("serve", "--config", config, "--deploy", deploy).CombinedOutput(); err == nil || !strings.Contains(string(second), "in use") {
		t.Errorf("a second daemon on the folder: %s", second)
	}
	k.kill()
	if len(served) == 0 || again == 0 {
		t.Errorf("%d were served, %d of them from the record of an earlier process", len(served), again)
	}
}
