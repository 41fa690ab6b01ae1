package ledger

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/platform/limits"
)

// smallLimits returns limits with which segments, blocks and compactions contain only a few records.
func smallLimits() limits.Ledger {
	l := limits.ForLedger(1 << 20)
	l.SegmentBytes, l.BlockBytes, l.CompactionFlushBytes, l.CompactionPause, l.GroupDelay, l.ValueBytes = 600, 200, 400, 0, 0, 4096
	return l
}

// clock is a Unix clock that is set by tests.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.now }

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var start = time.UnixMilli(1764576000000)

func testOptions() Options {
	return Options{Limits: smallLimits(), Manual: true, Now: (&clock{now: start}).Now}
}

func mustOpen(t testing.TB, fs disk.FS, o Options) *Store {
	t.Helper()
	s, err := Open(fs, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// allPairs returns all keys and values of a store, and checks that Scan is ordered and agrees with Get.
func allPairs(t testing.TB, s *Store) map[string]string {
	t.Helper()
	m := map[string]string{}
	last := ""
	if err := s.Scan(nil, func(p Pair) error {
		if string(p.Key) <= last {
			t.Errorf("Scan returned key %q after %q", p.Key, last)
		}
		last = string(p.Key)
		m[last] = string(p.Value)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	for k, v := range m {
		if got, err := s.Get([]byte(k)); err != nil || string(got) != v {
			t.Fatalf("Get(%q) = %q, %v; Scan returned %q", k, got, err, v)
		}
	}
	return m
}

func mustPut(t testing.TB, s *Store, key, value string) {
	t.Helper()
	if err := s.Put([]byte(key), []byte(value), time.Time{}); err != nil {
		t.Fatal(err)
	}
}

func TestPutGetScanDelete(t *testing.T) {
	dir, err := disk.MakeDir(t.TempDir() + "/a/b")
	if err != nil {
		t.Fatal(err)
	}
	o := testOptions()
	o.Limits = limits.ForLedger(1 << 20)
	s := mustOpen(t, dir, o)
	want := map[string]string{"a": "1", "b\x00\xff\n": "", "bb": strings.Repeat("x", o.Limits.ValueBytes), "c": "3"}
	for _, k := range slices.Sorted(maps.Keys(want)) {
		mustPut(t, s, k, want[k])
	}
	mustPut(t, s, "d", "4")
	if err := s.Delete([]byte("d")); err != nil {
		t.Fatal(err)
	}
	if err := s.Delete([]byte("never")); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get([]byte("d")); !errors.Is(err, ErrNotFound) {
		t.Errorf("Get of a deleted key: error %v, want ErrNotFound", err)
	}
	for _, c := range []struct {
		key, value string
		want       error
	}{{"", "x", ErrNotWritten}, {strings.Repeat("k", o.Limits.KeyBytes+1), "x", ErrTooLarge}, {"k", strings.Repeat("x", o.Limits.ValueBytes+1), ErrTooLarge}} {
		if err := s.Put([]byte(c.key), []byte(c.value), time.Time{}); !errors.Is(err, c.want) {
			t.Errorf("Put with a key of %d and a value of %d bytes: error %v, want %v", len(c.key), len(c.value), err, c.want)
		}
	}
	if _, err := Open(dir, o); !errors.Is(err, disk.ErrLocked) || !strings.Contains(err.Error(), "process") {
		t.Errorf("second Open of a locked folder: error %v, want ErrLocked with the process", err)
	}
	reader := mustOpen(t, dir, Options{Limits: o.Limits, ReadOnly: true})
	if got := allPairs(t, reader); !maps.Equal(got, want) {
		t.Errorf("read-only store beside the writer has %d keys", len(got))
	}
	if err := reader.Put([]byte("k"), nil, time.Time{}); !errors.Is(err, ErrReadOnly) {
		t.Errorf("Put on a read-only store: error %v, want ErrReadOnly", err)
	}
	var keys []string
	if err := s.Scan([]byte("b"), func(p Pair) error { keys = append(keys, string(p.Key)); return nil }); err != nil || len(keys) != 2 {
		t.Errorf("Scan of prefix b: %q, %v", keys, err)
	}
	for range 2 {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Put([]byte("k"), nil, time.Time{}); !errors.Is(err, ErrClosed) {
		t.Errorf("Put after Close: error %v, want ErrClosed", err)
	}
	s = mustOpen(t, dir, o)
	if got := allPairs(t, s); !maps.Equal(got, want) {
		t.Errorf("%d keys after a restart, want %d", len(got), len(want))
	}
	if r := s.Recovery(); r.TornBytes != 0 || r.Keys != len(want) || r.Fresh {
		t.Errorf("recovery after a clean restart: %+v", r)
	}
}

// TestSnapshotIsUnaffectedByLaterWrites checks that a snapshot does not change when keys are written, deleted and compacted.
func TestSnapshotIsUnaffectedByLaterWrites(t *testing.T) {
	s := mustOpen(t, simdisk.New(1), testOptions())
	for i := range 40 {
		mustPut(t, s, fmt.Sprint("k", i%20), fmt.Sprint("v", i))
	}
	n, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	want := allPairs(t, s)
	for i := range 20 {
		if err := s.Delete([]byte(fmt.Sprint("k", i))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Compact(); err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	if err := n.Scan(nil, func(p Pair) error { got[string(p.Key)] = string(p.Value); return nil }); err != nil || !maps.Equal(got, want) {
		t.Errorf("Scan of the snapshot: %v, %v; want %v", got, err, want)
	}
	if v, err := n.Get([]byte("k3")); err != nil || string(v) != want["k3"] {
		t.Errorf("Get of k3 from the snapshot: %q, %v", v, err)
	}
	n.Close()
	if len(allPairs(t, s)) != 0 || s.Stats().Keys != 0 {
		t.Error("deleted keys are still there")
	}
	if st := s.Stats(); st.RecordBytes != 0 {
		t.Errorf("compaction of only deleted keys left %d bytes of records:\n%v", st.RecordBytes, st)
	}
}

// TestBatchIsAtomicAndBoundedByIndexMemory checks that batches are atomic, that the last change of a key in a batch wins, and that
// a batch that exceeds the memory of the index is rejected as a whole.
func TestBatchIsAtomicAndBoundedByIndexMemory(t *testing.T) {
	s := mustOpen(t, simdisk.New(1), testOptions())
	var b Batch
	b.Put([]byte("a"), []byte("1"), time.Time{})
	b.Put([]byte("a"), []byte("2"), time.Time{})
	b.Put([]byte("b"), nil, time.Time{})
	b.Delete([]byte("b"))
	if err := s.Apply(&b); err != nil {
		t.Fatal(err)
	}
	if got := allPairs(t, s); !maps.Equal(got, map[string]string{"a": "2"}) {
		t.Errorf("content after a batch: %v", got)
	}
	o := testOptions()
	o.Limits.IndexBytes = 3 * indexCost(1)
	s = mustOpen(t, simdisk.New(1), o)
	mustPut(t, s, "a", "1")
	mustPut(t, s, "b", "1")
	b = Batch{}
	b.Put([]byte("c"), nil, time.Time{})
	b.Put([]byte("d"), nil, time.Time{})
	if err := s.Apply(&b); !errors.Is(err, ErrIndexFull) || !errors.Is(err, ErrNotWritten) {
		t.Errorf("batch beyond the index memory: error %v, want ErrIndexFull and ErrNotWritten", err)
	}
	mustPut(t, s, "c", "1")
	mustPut(t, s, "a", "2") // an existing key needs no index memory
	if err := s.Put([]byte("d"), nil, time.Time{}); !errors.Is(err, ErrIndexFull) {
		t.Errorf("fourth key: error %v, want ErrIndexFull", err)
	}
	if err := s.Delete([]byte("b")); err != nil {
		t.Fatal(err)
	}
	mustPut(t, s, "d", "1") // takes the memory of the deleted key
	if got := allPairs(t, s); !maps.Equal(got, map[string]string{"a": "2", "c": "1", "d": "1"}) {
		t.Errorf("content after a rejected batch: %v", got)
	}
}

// TestExpiredKeyStaysExpired checks that a key that was reported as expired does not reappear when the clock steps back, the
// process restarts or segments are compacted, and that no key expires too early.
func TestExpiredKeyStaysExpired(t *testing.T) {
	fs := simdisk.New(1)
	c := &clock{now: start}
	o := testOptions()
	o.Now = c.Now
	s := mustOpen(t, fs, o)
	mustPut(t, s, "a", "for ever") // an older value, which must not reappear
	if err := s.Put([]byte("a"), []byte("short"), start.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := s.Put([]byte("b"), []byte("long"), start.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	c.add(time.Second - time.Millisecond)
	if err := s.AdvanceClock(); err != nil {
		t.Fatal(err)
	}
	if !s.Has([]byte("a")) {
		t.Fatal("key a expired 1 ms too early")
	}
	c.add(time.Millisecond)
	if err := s.AdvanceClock(); err != nil {
		t.Fatal(err)
	}
	check := func(when string) {
		t.Helper()
		if got := allPairs(t, s); !maps.Equal(got, map[string]string{"b": "long"}) {
			t.Errorf("%s: content %v", when, got)
		}
		if s.Has([]byte("a")) {
			t.Errorf("%s: the expired key a exists", when)
		}
	}
	check("after the expiry")
	c.add(-time.Hour)
	check("after the clock was set back")
	s.RemoveExpired()
	if s.Stats().Keys != 1 {
		t.Error("RemoveExpired left an expired key in the index")
	}
	for range 2 {
		s.Close()
		s = mustOpen(t, fs, o)
		check("after a restart")
		if _, err := s.Compact(); err != nil {
			t.Fatal(err)
		}
		check("after a compaction")
	}
}

// TestConcurrentWritersShareFlushes checks that ten thousand concurrent writers share flushes, and that all their records are
// found after a restart.
func TestConcurrentWritersShareFlushes(t *testing.T) {
	const writers = 10000
	dir := disk.Dir(t.TempDir())
	o := testOptions()
	o.Limits = limits.ForLedger(16 << 20)
	s := mustOpen(t, dir, o)
	var wait sync.WaitGroup
	release := make(chan struct{})
	errs := make([]error, writers)
	for i := range writers {
		wait.Go(func() {
			<-release
			errs[i] = s.Put(fmt.Appendf(nil, "k%05d", i), fmt.Appendf(nil, "%d", i), time.Time{})
		})
	}
	close(release)
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Puts != writers || st.Flushes >= writers {
		t.Errorf("%d puts took %d flushes", st.Puts, st.Flushes)
	}
	s.Close()
	s = mustOpen(t, dir, o)
	if got := allPairs(t, s); len(got) != writers || got["k09999"] != "9999" {
		t.Errorf("%d keys after a restart", len(got))
	}
}

// TestApplyAsyncCallsBackInOrder checks that callbacks run in the order of the calls and may call the store, and that a full queue
// is reported at once.
func TestApplyAsyncCallsBackInOrder(t *testing.T) {
	o := testOptions()
	s := mustOpen(t, simdisk.New(1), o)
	got := make(chan int, 10)
	for i := range 10 {
		var b Batch
		b.Put([]byte("k"), fmt.Append(nil, i), time.Time{})
		if err := s.ApplyAsync(&b, func(err error) {
			if err != nil {
				t.Error(err)
			}
			if _, err := s.Get([]byte("k")); err != nil {
				t.Error(err)
			}
			got <- i
		}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 10 {
		if n := <-got; n != i {
			t.Fatalf("callback %d ran as number %d", n, i)
		}
	}
	if got := allPairs(t, s); got["k"] != "9" {
		t.Errorf("content after the last callback: %v", got)
	}
	s.writer.mu.Lock()
	s.writer.queuedBytes = s.opts.Limits.QueueBytes // as if a flush took a long time
	s.writer.mu.Unlock()
	var b Batch
	b.Put([]byte("k"), nil, time.Time{})
	if err := s.ApplyAsync(&b, func(error) { t.Error("callback of a rejected batch was called") }); !errors.Is(err, ErrBusy) {
		t.Errorf("ApplyAsync with a full queue: error %v, want ErrBusy", err)
	}
	s.writer.mu.Lock()
	s.writer.queuedBytes = 0
	s.writer.mu.Unlock()
}
