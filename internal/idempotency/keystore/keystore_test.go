package keystore

import (
	"errors"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// clock is a clock that tests set.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
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
	s, err := Open(Options{Dir: dir, RetentionMargin: time.Second, Now: now, Limits: lim, Log: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func runRecord(key string) node.RunRecord {
	return node.RunRecord{Key: key, Class: "book", ArrivedAt: start, Window: 10 * time.Second, Fingerprint: [32]byte{1}, Protocol: "resp"}
}

// recordStart records a start and waits for its result.
func recordStart(t testing.TB, s *Store, record node.RunRecord) error {
	t.Helper()
	done := make(chan error, 1)
	if err := s.RecordStart(record, func(err error) { done <- err }); err != nil {
		return err
	}
	return receive(t, done)
}

func receive[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(standin.WaitTimeout):
		t.Fatal("timed out waiting on a channel")
		panic("unreached")
	}
}

// recordEnd records a result and waits until it is written. Waiting for a sweep is enough, since records are written in
// order.
func recordEnd(t testing.TB, s *Store, record node.RunRecord, result string) {
	t.Helper()
	record.Ended, record.Succeeded, record.ResultStored, record.Result = true, true, true, []byte(result)
	s.RecordEnd(record)
	awaitSweep(t, s)
}

func awaitSweep(t testing.TB, s *Store) {
	t.Helper()
	swept := make(chan struct{})
	s.sweeps <- swept
	receive(t, swept)
}

// TestOneProcessHoldsAKey checks that of two processes only the first to record a start holds the key. The other
// gets the result of its run, and can claim the key once it was withdrawn or has expired.
func TestOneProcessHoldsAKey(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	a, b, w := runRecord("a"), runRecord("b"), runRecord("w")
	for _, k := range []node.RunRecord{a, b, w} {
		if err := recordStart(t, old, k); err != nil {
			t.Fatal(err)
		}
		if err := recordStart(t, next, k); !errors.Is(err, node.ErrKeyHeld) {
			t.Fatalf("a second process claimed key %s: %v", k.Key, err)
		}
	}
	other := a
	if other.Class = "search"; recordStart(t, next, other) != nil {
		t.Error("the same key of another class can't be claimed")
	}
	recordEnd(t, old, a, "visit 1")
	if got, ok := next.Lookup(a); !ok || !got.Ended || !got.Succeeded || string(got.Result) != "visit 1" || got.Protocol != "resp" || got.Fingerprint != a.Fingerprint {
		t.Errorf("the result of the other process: %+v, %v", got, ok)
	}
	old.Withdraw(w)
	awaitSweep(t, old)
	if _, ok := next.Lookup(w); ok || recordStart(t, next, w) != nil {
		t.Error("a withdrawn key can't be claimed")
	}
	now.advance(11*time.Second + 1)
	if _, ok := next.Lookup(a); ok || recordStart(t, next, a) != nil {
		t.Error("an expired key can't be claimed")
	}
}

// TestNotifiesWhenRunEndsOrIsWithdrawn checks that a process that waits for another process's key is notified when
// the run ends or is withdrawn.
func TestNotifiesWhenRunEndsOrIsWithdrawn(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	b, w := runRecord("b"), runRecord("w")
	notified := make(chan string, 2)
	for _, k := range []node.RunRecord{b, w} {
		if err := recordStart(t, old, k); err != nil {
			t.Fatal(err)
		}
		if got, ok := next.Lookup(k); !ok || got.Ended {
			t.Fatalf("key %s, which runs in the other process: %+v, %v", k.Key, got, ok)
		}
		next.NotifyOnChange(k, func() { notified <- k.Key })
	}
	recordEnd(t, old, b, "visit 2")
	if k := receive(t, notified); k != "b" {
		t.Errorf("notified of %s", k)
	}
	old.Withdraw(w)
	if k := receive(t, notified); k != "w" {
		t.Errorf("notified of %s", k)
	}
	if _, ok := next.Lookup(w); ok || recordStart(t, next, w) != nil {
		t.Error("a withdrawn key can't be claimed")
	}
}

// TestProcessesExchangeNotes checks that processes detect each other and read each other's notes.
func TestProcessesExchangeNotes(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	if n := old.LiveProcesses(standin.WaitTimeout); n != 1 {
		t.Errorf("the old process counts %d other processes", n)
	}
	if notes := old.ExchangeNotes([]byte("from old")); len(notes) != 1 || len(notes[0]) != 0 {
		t.Errorf("notes to the old process: %q", notes)
	}
	if notes := next.ExchangeNotes([]byte("from next")); len(notes) != 1 || string(notes[0]) != "from old" {
		t.Errorf("notes to the next process: %q", notes)
	}
}

// TestRunOfExitedProcessCountsAsFailed checks that a run that had not ended when its process exited counts as ended
// without success, and that waiting processes are notified. The exited process's records stay in effect until they
// expire; then its files are removed.
func TestRunOfExitedProcessCountsAsFailed(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	if err := errors.Join(recordStart(t, old, runRecord("a")), recordStart(t, old, runRecord("b"))); err != nil {
		t.Fatal(err)
	}
	recordEnd(t, old, runRecord("b"), "visit")
	notified := make(chan struct{})
	if _, ok := next.Lookup(runRecord("a")); !ok {
		t.Fatal("key a is not held")
	}
	next.NotifyOnChange(runRecord("a"), func() { close(notified) })
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	if notes := next.ExchangeNotes(nil); len(notes) != 0 {
		t.Errorf("notes of a process that has exited: %q", notes)
	}
	awaitSweep(t, next)
	receive(t, notified)
	third := open(t, dir, now.Now, nil)
	for _, c := range []*Store{next, third} {
		if got, ok := c.Lookup(runRecord("a")); !ok || !got.Ended || got.Succeeded {
			t.Errorf("a run without a recorded end: %+v, %v", got, ok)
		}
		if got, ok := c.Lookup(runRecord("b")); !ok || string(got.Result) != "visit" {
			t.Errorf("a result of an exited process: %+v, %v", got, ok)
		}
		if err := recordStart(t, c, runRecord("a")); !errors.Is(err, node.ErrKeyHeld) {
			t.Errorf("a key that may have run: %v", err)
		}
	}
	now.advance(11*time.Second + 1)
	awaitSweep(t, third)
	awaitSweep(t, next)
	left, _ := filepath.Glob(filepath.Join(dir, "*"+logSuffix))
	alive, _ := filepath.Glob(filepath.Join(dir, "*"+aliveSuffix))
	if s := next.Stats(); len(left) != 0 || len(alive) != 2 || s.PeerKeys != 0 || s.Bytes != 0 {
		t.Errorf("remaining segments %v, alive files %v, statistics %+v", left, alive, s)
	}
}

// TestClockSetBackFreesNoKey checks that setting the clock back frees no key and does not prevent claims.
func TestClockSetBackFreesNoKey(t *testing.T) {
	dir, now := t.TempDir(), &clock{now: start}
	old, next := open(t, dir, now.Now, nil), open(t, dir, now.Now, nil)
	if err := recordStart(t, old, runRecord("a")); err != nil {
		t.Fatal(err)
	}
	now.advance(-time.Hour)
	awaitSweep(t, old)
	awaitSweep(t, next)
	if err := recordStart(t, next, runRecord("a")); !errors.Is(err, node.ErrKeyHeld) {
		t.Errorf("a claim of a held key: %v", err)
	}
	if err := recordStart(t, old, runRecord("b")); err != nil {
		t.Error(err)
	}
}
