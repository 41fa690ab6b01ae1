package keystore

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// killedKeys is the number of keys that the processes of TestNoKeyRunsTwiceWhenProcessesAreKilled claim.
const killedKeys = 400

// Environment variables for the test binary when it is started as another process.
const (
	envFullDisk = "CLAIMS_FULL"  // folder for claimOnFullDisk
	envChild    = "CLAIMS_CHILD" // folder for claimUntilKilled
	envLog      = "CLAIMS_LOG"
	envSeed     = "CLAIMS_SEED"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv(envFullDisk); dir != "" {
		claimOnFullDisk(dir)
	}
	if dir := os.Getenv(envChild); dir != "" {
		var seed uint64
		if _, err := fmt.Sscan(os.Getenv(envSeed), &seed); err != nil {
			panic(err)
		}
		claimUntilKilled(dir, os.Getenv(envLog), seed)
		return
	}
	os.Exit(m.Run())
}

// claimUntilKilled runs in a child process of TestNoKeyRunsTwiceWhenProcessesAreKilled. Until it is killed, it
// claims keys in a random order, and logs a line for each key that it runs and the result of each key that another
// process ran.
func claimUntilKilled(dir, log string, seed uint64) {
	now := func() time.Time { return start }
	c, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: now, Limits: limits.ForKeyStore(64), Log: standin.DiscardLogger})
	if err != nil {
		panic(err)
	}
	out, err := os.OpenFile(log, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		panic(err)
	}
	fmt.Println("ready")
	for _, k := range rand.New(rand.NewPCG(seed, 0)).Perm(killedKeys) {
		b := runRecord(fmt.Sprint(k))
		done := make(chan error, 1)
		if err := c.RecordStart(b, func(err error) { done <- err }); err != nil {
			panic(err)
		}
		switch err := <-done; {
		case err == nil:
			_, _ = fmt.Fprintf(out, "ran %d\n", k)
			b.Ended, b.Succeeded, b.ResultStored, b.Result = true, true, true, []byte("visit "+b.Key)
			c.RecordEnd(b)
		case errors.Is(err, node.ErrKeyHeld):
			if got, ok := c.Lookup(b); ok && got.Succeeded {
				_, _ = fmt.Fprintf(out, "answered %d %s\n", k, got.Result)
			}
		default:
			panic(err)
		}
	}
	if err := c.Close(); err != nil {
		panic(err)
	}
	fmt.Println("done")
}

// claimOnFullDisk runs in the child process of TestTruncatedClaimOnFullDiskIsNotHeld, whose files can't grow beyond
// a size that truncates a record. It prints a line for each key that reports whether the key is held.
func claimOnFullDisk(dir string) {
	signal.Ignore(syscall.SIGXFSZ) // so that the write fails instead
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 1000, Max: 1000}); err != nil {
		panic(err)
	}
	c, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: func() time.Time { return start }, Limits: limits.ForKeyStore(64), Log: standin.DiscardLogger})
	if err != nil {
		panic(err)
	}
	var group sync.WaitGroup
	for i := range 40 { // many in one write
		group.Add(1)
		if err := c.RecordStart(runRecord(fmt.Sprint(i)), func(err error) {
			defer group.Done()
			fmt.Println(map[bool]string{true: "held", false: "not"}[err == nil], i)
		}); err != nil {
			panic(err)
		}
	}
	group.Wait()
	fmt.Println("done")
	select {} // stay alive until killed
}

// TestTruncatedClaimOnFullDiskIsNotHeld checks that with a full disk, a successful claim is visible to other
// processes, and that a key whose record was truncated is not held and its claim returns an error.
func TestTruncatedClaimOnFullDiskIsNotHeld(t *testing.T) {
	dir := t.TempDir()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envFullDisk+"="+dir)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := cmd.Process.Kill(); err != nil {
			t.Error(err)
		}
		_ = cmd.Wait() // it was killed
	}()
	c := open(t, dir, func() time.Time { return start }, nil)
	counts := map[string]int{}
	for output := bufio.NewScanner(out); output.Scan() && output.Text() != "done"; {
		outcome, key, _ := strings.Cut(output.Text(), " ")
		counts[outcome]++
		if _, held := c.Lookup(runRecord(key)); held != (outcome == "held") {
			t.Errorf("key %s: claimant reports %s, the other process sees held %v", key, outcome, held)
		}
	}
	if counts["held"] < 5 || counts["not"] < 5 {
		t.Errorf("%v: too few held or rejected keys for a meaningful test", counts)
	}
}

// claimant is a child process that runs claimUntilKilled.
type claimant struct {
	*exec.Cmd
	out *bufio.Scanner
	log string
}

func startClaimant(t *testing.T, dir string, n int, seed uint64) claimant {
	t.Helper()
	c := claimant{Cmd: exec.Command(os.Args[0]), log: filepath.Join(dir, fmt.Sprint("log", n))}
	c.Env = append(os.Environ(), envChild+"="+filepath.Join(dir, "keys"), envLog+"="+c.log, fmt.Sprint(envSeed, "=", seed))
	out, err := c.StdoutPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	c.out = bufio.NewScanner(out)
	return c
}

// killAfter kills a claimant once it has logged the given number of lines.
func (c claimant) killAfter(t *testing.T, lines int) {
	t.Helper()
	c.out.Scan() // wait for "ready"
	for written := 0; written < lines && written < killedKeys; {
		text, _ := os.ReadFile(c.log)
		written = strings.Count(string(text), "\n")
	}
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
}

// readLog counts the runs of each key in a claimant's log, and checks the results that the claimant received.
func (c claimant) readLog(t *testing.T, seed uint64, runs map[string]int) {
	t.Helper()
	text, _ := os.ReadFile(c.log)
	for _, line := range strings.Split(string(text), "\n") {
		words := strings.SplitN(line, " ", 3)
		switch {
		case words[0] == "ran" && len(words) == 2:
			runs[words[1]]++
		case words[0] == "answered" && words[2] != "visit "+words[1]:
			t.Errorf("seed %d: key %s was answered %q", seed, words[1], words[2])
		}
	}
}

// TestNoKeyRunsTwiceWhenProcessesAreKilled starts three processes that claim the same keys concurrently, and kills
// two of them at seeded points. It checks that no key runs twice, and that an answer from a run in another process
// is the result of the same key.
func TestNoKeyRunsTwiceWhenProcessesAreKilled(t *testing.T) {
	for seed := range uint64(4) {
		dir := t.TempDir()
		random := rand.New(rand.NewPCG(seed, 1))
		var claimants []claimant
		for i := range 3 {
			claimants = append(claimants, startClaimant(t, dir, i, seed*3+uint64(i)))
		}
		for _, c := range claimants[:2] {
			c.killAfter(t, random.IntN(120))
		}
		for claimants[2].out.Scan() { // until it ends
		}
		runs := map[string]int{}
		for i, c := range claimants {
			if err := c.Wait(); i == 2 && err != nil {
				t.Fatalf("seed %d: the process that was not killed: %v", seed, err)
			}
			c.readLog(t, seed, runs)
		}
		for k, n := range runs {
			if n != 1 {
				t.Errorf("seed %d: key %s ran %d times", seed, k, n)
			}
		}
		// Each killed process may have one claim whose run did not follow.
		if len(runs) < killedKeys-2 {
			t.Errorf("seed %d: %d of %d keys ran", seed, len(runs), killedKeys)
		}
	}
}
