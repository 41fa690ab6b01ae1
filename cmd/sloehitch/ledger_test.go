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

// asMain is the environment variable that makes the test binary run main instead of the tests.
const asMain = "SLOEHITCH_TEST_AS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(asMain) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command returns a command that runs the program with the arguments. It sets GORACE because otherwise the race detector delays
// each exit by a second.
func command(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asMain+"=1", "GORACE=atexit_sleep_ms=0")
	return c
}

// TestLedgerPutCompacts checks that put compacts the ledger, so that overwritten values do not accumulate.
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
	const lines, size = 120, 1 << 20 // one segment holds a seventh of all that is written
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
		t.Errorf("%d MB on the disk after writing %d MB, of which 4 MB are live", bytes>>20, lines*size>>20)
	}
}

// TestLedgerCommands runs each ledger command and checks its output and exit code.
func TestLedgerCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "folder")
	torn, damaged := dir+".torn", dir+".damaged"
	for _, c := range []struct {
		name, in, args, out, err string
		code                     int
	}{
		{"put", "b\t2\na\t1\nb\t3\nempty\t\n", "put DIR", "b\na\nb\nempty\n", "", 0},
		{"put a line without a tab", "c\t1\nno tab\nd\t1\n", "put DIR", "c\n", "line 2", 1},
		{"put an empty key", "\tvalue\n", "put DIR", "", "line 1", 1},
		{"dump", "", "dump DIR", "a\t1\nb\t3\nc\t1\nempty\t\n", "", 0},
		{"dump with a prefix", "", "dump --prefix b DIR", "b\t3\n", "", 0},
		{"put bytes", `{"key64":"/wo=","value":"x\ty"}`, "put --json DIR", "\xff\n\n", "", 0},
		{"dump bytes as text", "", "dump DIR", "", "--json", 1},
		{"dump bytes", "", "dump --json DIR", `{"key64":"/wo=","value":"x\ty"}` + "\n", "", 0},
		{"verify", "", "verify DIR", "whole; 5 keys", "", 0},
		{"backup", "", "backup DIR " + torn, "bytes copied", "", 0},
		{"backup again", "", "backup DIR " + torn, "", "not empty", 1},
		{"compact", "", "compact DIR", "5 records kept", "", 0},
		{"stat", "", "stat --json DIR", `"keys":5`, "", 0},
		{"verify a missing folder", "", "verify " + dir + ".none", "", "no such file", 3},
		{"verify a folder with a torn tail", "", "verify " + torn, "torn: ", "", 1},
		{"verify a damaged folder", "", "verify --json " + damaged, `"state":"damaged","file":"MANIFEST"`, "", 2},
		{"put into a damaged folder", "a\t1\n", "put " + damaged, "", "ledger repair", 1},
		{"repair", "", "repair " + damaged + " " + dir + ".saved", "lost: MANIFEST", "", 0},
		{"dump the repaired folder", "", "dump --prefix a " + dir + ".saved", "a\t1\n", "", 0},
	} {
		switch c.name {
		case "verify a folder with a torn tail":
			tearTail(t, torn)
		case "verify a damaged folder":
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
		_ = cmd.Run() // the exit code is checked below
		exact := c.err == "" && c.name != "dump bytes" && (strings.HasPrefix(c.args, "put") || strings.HasPrefix(c.args, "dump"))
		if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(out.String(), c.out) || exact && out.String() != c.out ||
			!strings.Contains(log.String(), c.err) {
			t.Errorf("%s: exit %d, %q, %q; want %d, %q, %q", c.name, cmd.ProcessState.ExitCode(), out.String(), log.String(), c.code, c.out, c.err)
		}
	}
}

// tearTail replaces a store by a copy whose active segment ends in an incomplete record.
func tearTail(t *testing.T, dir string) {
	t.Helper()
	s, err := ledger.Open(disk.Dir(dir), ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// Only a copy of an open store has an active segment. It is renamed to dir at the end.
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
		t.Fatalf("ledger with a torn tail: verified as %+v, error %v", v, err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(string(left), dir); err != nil {
		t.Fatal(err)
	}
}

// daemonProcess is a running process of the program, with its log.
type daemonProcess struct {
	*exec.Cmd
	log bytes.Buffer
}

func startDaemon(t *testing.T, config, deploy, address string) *daemonProcess {
	t.Helper()
	k := &daemonProcess{Cmd: command("serve", "--config", config, "--deploy", deploy)}
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
			t.Fatalf("the daemon does not serve: %v; log:\n%s", err, k.log.String())
		}
	}
}

func (k *daemonProcess) kill() {
	_ = k.Process.Kill() // it may have ended already
	_ = k.Wait()
}

// TestKilledDaemonRunsKeysOnce kills the daemon under keyed traffic at seeded moments and restarts it with the same folder. No key
// may start twice, every start that the runtime received must be in the ledger, a repeat of a started request must be neither run
// nor rejected, and a repeat of an ended one must get its result.
func TestKilledDaemonRunsKeysOnce(t *testing.T) {
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
	write(config, standin.Config(address, rt.Address, "", longDeadline))
	write(deploy, fmt.Sprintf("[ledger]\ndir = %q\n", folder))

	// A process that was killed between the record and the start of a run leaves a record like this one.
	neverStarted := node.RunRecord{Key: "ghost", Class: "book", ArrivedAt: time.Now(), Window: time.Hour, RequestID: "x"}
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
		if err := runlog.New(s, time.Second, time.Second, standin.DiscardLogger).RecordStart(neverStarted, func(err error) { done <- err }); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}()

	rng := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	id, fromLedger, served := 0, 0, map[string]bool{}
	for round := range rounds {
		k := startDaemon(t, config, deploy, address)
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
		for range rng.IntN(perRound) { // until the moment of the kill
			got := b.Read()
			if len(got) < 2 {
				t.Fatalf("round %d: the daemon closed the connection", round)
			}
			body := sent[got[0]]
			mu.Lock()
			switch {
			case got[1] == "ACK":
				if want := "done " + body; len(got) < 4 || got[3] != want {
					t.Errorf("round %d: key %s was served with %q, want %q", round, body, got, want)
				}
				if before[body] {
					fromLedger++ // answered from the ledger without a run
				}
				served[body] = true
			case got[1] == "NAK" && before[body]:
				t.Errorf("round %d: key %s started before the kill, and a request was rejected after it", round, body)
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
				t.Errorf("round %d: key %s ran %d times", round, body, n)
			}
			if n > 0 && !s.Has([]byte("booking/"+body)) {
				t.Errorf("round %d: key %s was started, but is not in the ledger", round, body)
			}
			if n == 0 && served[body] {
				t.Errorf("round %d: key %s was served, but never run", round, body)
			}
		}
		s.Close()
	}
	k := startDaemon(t, config, deploy, address)
	b := standin.Dial(t, address)
	b.Do(1, "book", standin.RequestID(999999), time.Now(), "ghost", ",opkey=ghost")
	if got := b.Read(); len(got) < 2 || got[1] != "FAIL" || rt.Runs("ghost") != 0 {
		t.Errorf("request whose start was recorded but not made: answer %q, %d runs; want FAIL and none", got, rt.Runs("ghost"))
	}
	if second, err := command("serve", "--config", config, "--deploy", deploy).CombinedOutput(); err == nil || !strings.Contains(string(second), "in use") {
		t.Errorf("a second daemon with the same folder must fail with \"in use\": %s", second)
	}
	k.kill()
	if len(served) == 0 || fromLedger == 0 {
		t.Errorf("%d keys served, %d requests answered from the ledger of an earlier process", len(served), fromLedger)
	}
}
