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

// clock is moved by tests.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) move(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var start = time.UnixMilli(1764576000000)

func open(t testing.TB, dir string, now func() time.Time, change func(*limits.KeyStore)) *Store {
	t.Helper()
	lim := limits.ForKeyStore(64)
	if change != nil {
		change(&lim)
	}
	c, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: now, Limits: lim, Log: standin.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func booking(key string) node.RunRecord {
	return node.RunRecord{Key: key, Class: "book", ArrivedAt: start, Window: 10 * time.Second, Fingerprint: [32]byte{1}, Protocol: "resp"}
}

// begin claims a key and waits for how that went.
func begin(t testing.TB, c *Store, b node.RunRecord) error {
	t.Helper()
	done := make(chan error, 1)
	if err := c.RecordStart(b, func(err error) { done <- err }); err != nil {
		return err
	}
	return wait(t, done)
}

func wait[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(standin.Patience):
		t.Fatal("nothing came")
		panic("unreached")
	}
}

// end tells a served result and waits until it stands: what is told comes in order.
func end(t testing.TB, c *Store, b node.RunRecord, result string) {
	t.Helper()
	b.Ended, b.Succeeded, b.ResultStored, b.Result = true, true, true, []byte(result)
	c.RecordEnd(b)
	settle(t, c)
}

func settle(t testing.TB, c *Store) {
	t.Helper()
	swept := make(chan struct{})
	c.sweeps <- swept
	wait(t, swept)
}

// TestOneHolds: of two processes only the first to ask holds a key; the other hears the result of its run, also one
// that comes later, and may have the key once it was withdrawn or its window is over.
func TestOneHolds(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	if n := old.LiveProcesses(standin.Patience); n != 1 {
		t.Errorf("the old process sees %d others", n)
	}
	if notes := old.ExchangeNotes([]byte("from old")); len(notes) != 1 || len(notes[0]) != 0 {
		t.Errorf("notes to the old process: %q", notes)
	}
	if notes := next.ExchangeNotes([]byte("from next")); len(notes) != 1 || string(notes[0]) != "from old" {
		t.Errorf("notes to the next process: %q", notes)
	}
	a, b, w := booking("a"), booking("b"), booking("w")
	for _, k := range []node.RunRecord{a, b, w} {
		if err := begin(t, old, k); err != nil {
			t.Fatal(err)
		}
		if err := begin(t, next, k); !errors.Is(err, node.ErrKeyHeld) {
			t.Fatalf("two hold %s: %v", k.Key, err)
		}
	}
	other := a
	if other.Class = "search"; begin(t, next, other) != nil {
		t.Error("the same key of another class is not free")
	}
	end(t, old, a, "visit 1")
	if got, ok := next.Lookup(a); !ok || !got.Ended || !got.Succeeded || string(got.Result) != "visit 1" || got.Protocol != "resp" || got.Fingerprint != a.Fingerprint {
		t.Errorf("the result of the other process: %+v, %v", got, ok)
	}
	heard := make(chan string, 2)
	for _, k := range []node.RunRecord{b, w} {
		if got, ok := next.Lookup(k); !ok || got.Ended {
			t.Fatalf("%s runs elsewhere: %+v, %v", k.Key, got, ok)
		}
		next.NotifyOnChange(k, func() { heard <- k.Key })
	}
	end(t, old, b, "visit 2")
	if k := wait(t, heard); k != "b" {
		t.Errorf("heard of %s", k)
	}
	old.Withdraw(w)
	if k := wait(t, heard); k != "w" {
		t.Errorf("heard of %s", k)
	}
	if _, ok := next.Lookup(w); ok || begin(t, next, w) != nil {
		t.Error("a withdrawn key is not free")
	}
	now.move(11*time.Second + 1)
	if _, ok := next.Lookup(a); ok || begin(t, next, a) != nil {
		t.Error("a key whose window is over is not free")
	}
}

// TestDeath: what a process held without an end when it died is over, and was not served; who waits for it hears. What
// it told stands for its window; then its files are gone.
func TestDeath(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	if err := errors.Join(begin(t, old, booking("a")), begin(t, old, booking("b"))); err != nil {
		t.Fatal(err)
	}
	end(t, old, booking("b"), "visit")
	heard := make(chan struct{})
	if _, ok := next.Lookup(booking("a")); !ok {
		t.Fatal("not held")
	}
	next.NotifyOnChange(booking("a"), func() { close(heard) })
	old.Close()
	if notes := next.ExchangeNotes(nil); len(notes) != 0 {
		t.Errorf("notes of a process that has ended: %q", notes)
	}
	settle(t, next)
	wait(t, heard)
	third := open(t, dir, now.Now, nil)
	for _, c := range []*Store{next, third} {
		if got, ok := c.Lookup(booking("a")); !ok || !got.Ended || got.Succeeded {
			t.Errorf("unknown end: %+v, %v", got, ok)
		}
		if got, ok := c.Lookup(booking("b")); !ok || string(got.Result) != "visit" {
			t.Errorf("a result of the dead: %+v, %v", got, ok)
		}
		if err := begin(t, c, booking("a")); !errors.Is(err, node.ErrKeyHeld) {
			t.Errorf("a key that may have run: %v", err)
		}
	}
	now.move(11*time.Second + 1)
	settle(t, third)
	settle(t, next)
	left, _ := filepath.Glob(filepath.Join(dir, "*"+logSuffix))
	alive, _ := filepath.Glob(filepath.Join(dir, "*"+aliveSuffix))
	if s := next.Stats(); len(left) != 0 || len(alive) != 2 || s.PeerKeys != 0 || s.Bytes != 0 {
		t.Errorf("left: %v %v %+v", left, alive, s)
	}
}

// TestCutAndFlipped: a dead process's segment, cut at any byte or with any byte changed, stops nobody, and no key has a
// result that is not its own; records after the damage still count.
func TestCutAndFlipped(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old := open(t, dir, now.Now, nil)
	keys := []string{"a", "b", "c"}
	for _, k := range keys {
		if err := begin(t, old, booking(k)); err != nil {
			t.Fatal(err)
		}
		end(t, old, booking(k), "visit "+k)
	}
	path := old.ownSegments[0].path
	old.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	try := func(what string, text []byte, least int) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: now.Now, Limits: limits.ForKeyStore(64), Log: standin.Quiet})
		if err != nil {
			if len(text) >= 16 && string(text[:8]) == string(whole[:8]) {
				t.Fatalf("%s: %v", what, err)
			}
			os.Remove(filepath.Join(dir, lockName)) // of another version, to the reader: said, and not joined
			return
		}
		found := 0
		for _, k := range keys {
			got, ok := c.Lookup(booking(k))
			if got.Succeeded && string(got.Result) != "visit "+k {
				t.Fatalf("%s: key %s has result %q", what, k, got.Result)
			}
			if ok && got.Succeeded {
				found++
			}
		}
		if found < least {
			t.Fatalf("%s: %d results, at least %d stand whole", what, found, least)
		}
		c.Close()
	}
	for i := range whole {
		try(fmt.Sprintf("cut to %d", i), whole[:i], 0)
		if i >= 16 {
			b := append([]byte(nil), whole...)
			b[i] ^= 0x41
			try(fmt.Sprintf("byte %d changed", i), b, 2)
		}
	}
	try("whole", whole, 3)
}

// TestBounds: beyond three quarters of the bytes results are left out; at all of them no key is taken, and the error
// says why. What expires makes room. A folder that can't be written is an error of its own, not a key taken.
func TestBounds(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	small := func(l *limits.KeyStore) { l.TotalBytes, l.SegmentBytes = 4000, 1000 }
	c, next := open(t, dir, now.Now, small), open(t, dir, now.Now, small)
	var full error
	n := 0
	for ; full == nil && n < 100; n++ {
		b := booking(fmt.Sprint(n))
		if full = begin(t, c, b); full == nil {
			end(t, c, b, strings.Repeat("x", 200))
		}
	}
	if s := c.Stats(); !errors.Is(full, ErrFull) || s.Bytes > 4000+400 || s.OwnSegments < 3 {
		t.Fatalf("after %d keys: %v, %+v", n, full, s)
	}
	first, _ := next.Lookup(booking("0"))
	last, ok := next.Lookup(booking(fmt.Sprint(n - 2)))
	if !first.ResultStored || !ok || !last.Ended || last.ResultStored {
		t.Errorf("the first result %v, the last %v %v", first.ResultStored, last.Ended, last.ResultStored)
	}
	now.move(11*time.Second + 1)
	settle(t, c)
	b := booking("later")
	if b.ArrivedAt = now.Now(); begin(t, c, b) != nil {
		t.Error("no room once all has expired")
	}
	long := booking("long")
	long.ArrivedAt = now.Now()
	if err := begin(t, c, long); err != nil {
		t.Fatal(err)
	}
	end(t, c, long, strings.Repeat("x", 20<<10)) // beyond what is kept of one result
	if got, ok := next.Lookup(long); !ok || !got.Ended || got.ResultStored {
		t.Errorf("a result too long: %+v, %v", got.ResultStored, ok)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	now.move(time.Hour)
	if err := begin(t, c, booking("z")); err == nil || errors.Is(err, node.ErrKeyHeld) {
		t.Errorf("without a folder: %v", err)
	}
}

// child is one process of TestKilled: it claims keys in a random order, writes a line for each that it "runs", and the
// result of each that another ran, until it is killed.
func child(dir, log string, seed uint64) {
	now := func() time.Time { return start }
	c, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: now, Limits: limits.ForKeyStore(64), Log: standin.Quiet})
	if err != nil {
		panic(err)
	}
	out, err := os.OpenFile(log, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		panic(err)
	}
	fmt.Println("ready")
	for _, k := range rand.New(rand.NewPCG(seed, 0)).Perm(killedKeys) {
		b := booking(fmt.Sprint(k))
		done := make(chan error, 1)
		if err := c.RecordStart(b, func(err error) { done <- err }); err != nil {
			panic(err)
		}
		switch err := <-done; {
		case err == nil:
			fmt.Fprintf(out, "ran %d\n", k)
			b.Ended, b.Succeeded, b.ResultStored, b.Result = true, true, true, []byte("visit "+b.Key)
			c.RecordEnd(b)
		case errors.Is(err, node.ErrKeyHeld):
			if got, ok := c.Lookup(b); ok && got.Succeeded {
				fmt.Fprintf(out, "heard %d %s\n", k, got.Result)
			}
		default:
			panic(err)
		}
	}
	c.Close()
	fmt.Println("done")
}

// full is the process of TestFullFolder: its files can't grow beyond a size that cuts a record midway. It writes a line
// for each key that it holds, then for each that it doesn't.
func full(dir string) {
	signal.Ignore(syscall.SIGXFSZ) // the write fails then
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 1000, Max: 1000}); err != nil {
		panic(err)
	}
	c, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: func() time.Time { return start }, Limits: limits.ForKeyStore(64), Log: standin.Quiet})
	if err != nil {
		panic(err)
	}
	var group sync.WaitGroup
	for i := range 40 { // many in one write
		group.Add(1)
		if err := c.RecordStart(booking(fmt.Sprint(i)), func(err error) {
			defer group.Done()
			fmt.Println(map[bool]string{true: "held", false: "not"}[err == nil], i)
		}); err != nil {
			panic(err)
		}
	}
	group.Wait()
	fmt.Println("done")
	select {} // it lives until it is killed
}

// TestFullFolder: where the folder has no more room, what a process was told to hold is held, to the others too, what
// was cut is not, and the error reaches who asked.
func TestFullFolder(t *testing.T) {
	dir := t.TempDir()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CLAIMS_FULL="+dir)
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	c := open(t, dir, func() time.Time { return start }, nil)
	counts := map[string]int{}
	for said := bufio.NewScanner(out); said.Scan() && said.Text() != "done"; {
		word, key, _ := strings.Cut(said.Text(), " ")
		counts[word]++
		if _, held := c.Lookup(booking(key)); held != (word == "held") {
			t.Errorf("key %s: %s, to the other process %v", key, word, held)
		}
	}
	if counts["held"] < 5 || counts["not"] < 5 {
		t.Errorf("%v: the test shows nothing", counts)
	}
}

// TestClockBack: a clock set back frees no key and stops no claim.
func TestClockBack(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	if err := begin(t, old, booking("a")); err != nil {
		t.Fatal(err)
	}
	now.move(-time.Hour)
	settle(t, old)
	settle(t, next)
	if err := begin(t, next, booking("a")); !errors.Is(err, node.ErrKeyHeld) {
		t.Errorf("a key that is held: %v", err)
	}
	if err := begin(t, old, booking("b")); err != nil {
		t.Error(err)
	}
}

const killedKeys = 400

func TestMain(m *testing.M) {
	if dir := os.Getenv("CLAIMS_FULL"); dir != "" {
		full(dir)
	}
	if dir := os.Getenv("CLAIMS_CHILD"); dir != "" {
		var seed uint64
		fmt.Sscan(os.Getenv("CLAIMS_SEED"), &seed)
		child(dir, os.Getenv("CLAIMS_LOG"), seed)
		return
	}
	os.Exit(m.Run())
}

// TestKilled: three real processes want the same keys at once, and two of them are killed at seeded points. No key
// runs twice, and whoever hears of a run in another process hears its own result.
func TestKilled(t *testing.T) {
	for seed := range uint64(4) {
		dir := t.TempDir()
		random := rand.New(rand.NewPCG(seed, 1))
		var logs []string
		var children []*exec.Cmd
		var said []*bufio.Scanner
		for i := range 3 {
			log := filepath.Join(dir, fmt.Sprint("log", i))
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "CLAIMS_CHILD="+filepath.Join(dir, "keys"), "CLAIMS_LOG="+log, fmt.Sprint("CLAIMS_SEED=", seed*3+uint64(i)))
			out, err := cmd.StdoutPipe()
			if err == nil {
				err = cmd.Start()
			}
			if err != nil {
				t.Fatal(err)
			}
			logs, children, said = append(logs, log), append(children, cmd), append(said, bufio.NewScanner(out))
		}
		for i := range 2 { // as soon as it has run so many
			said[i].Scan()
			for lines, at := 0, random.IntN(120); lines < at; {
				text, _ := os.ReadFile(logs[i])
				if lines = strings.Count(string(text), "\n"); strings.Count(string(text), "\n") >= killedKeys {
					break
				}
			}
			children[i].Process.Kill()
		}
		for said[2].Scan() {
		}
		ran := map[string]int{}
		for i, cmd := range children {
			if err := cmd.Wait(); i == 2 && err != nil {
				t.Fatalf("seed %d: the process that was not killed: %v", seed, err)
			}
			text, _ := os.ReadFile(logs[i])
			for _, line := range strings.Split(string(text), "\n") {
				words := strings.SplitN(line, " ", 3)
				switch {
				case words[0] == "ran" && len(words) == 2:
					ran[words[1]]++
				case words[0] == "heard" && words[2] != "visit "+words[1]:
					t.Errorf("seed %d: key %s was answered %q", seed, words[1], words[2])
				}
			}
		}
		for k, n := range ran {
			if n != 1 {
				t.Errorf("seed %d: key %s ran %d times", seed, k, n)
			}
		}
		// At most one claim of each killed process was not followed by its run.
		if len(ran) < killedKeys-2 {
			t.Errorf("seed %d: %d of %d keys ran", seed, len(ran), killedKeys)
		}
	}
}

// BenchmarkClaim is the cost of a claim and its result with so many keys of another process standing.
func BenchmarkClaim(b *testing.B) {
	for _, keys := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			dir, now := b.TempDir(), &clock{now: start}
			room := func(l *limits.KeyStore) { l.TotalBytes, l.SegmentBytes = 1<<30, 4<<20 }
			other, c := open(b, dir, now.Now, room), open(b, dir, now.Now, room)
			for i := range keys {
				k := booking(fmt.Sprint("other", i))
				if err := begin(b, other, k); err != nil {
					b.Fatal(err)
				}
				k.Ended, k.Succeeded, k.ResultStored, k.Result = true, true, true, make([]byte, 200)
				other.RecordEnd(k)
			}
			settle(b, other)
			settle(b, c)
			b.ResetTimer()
			for i := range b.N {
				k := booking(fmt.Sprint("own", i))
				if _, held := c.Lookup(k); held {
					b.Fatal("held")
				}
				if err := begin(b, c, k); err != nil {
					b.Fatal(err)
				}
				k.Ended, k.Succeeded, k.ResultStored, k.Result = true, true, true, make([]byte, 200)
				c.RecordEnd(k)
			}
			b.StopTimer()
			settle(b, c)
			began := time.Now()
			settle(b, c)
			b.ReportMetric(float64(time.Since(began).Microseconds()), "us/sweep")
		})
	}
}
