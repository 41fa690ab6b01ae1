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

// small are limits that make segments, blocks and compactions of a few records.
func small() limits.Ledger {
	l := limits.ForLedger(1 << 20)
	l.SegmentBytes, l.BlockBytes, l.CompactionFlushBytes, l.CompactionPause, l.GroupDelay, l.ValueBytes = 600, 200, 400, 0, 0, 4096
	return l
}

// clock is a Unix clock that tests set.
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

func options() Options {
	return Options{Limits: small(), Manual: true, Now: (&clock{now: start}).Now}
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

// content is all that a store holds.
func content(t testing.TB, s *Store) map[string]string {
	t.Helper()
	m := map[string]string{}
	last := ""
	if err := s.Scan(nil, func(p Pair) error {
		if string(p.Key) <= last {
			t.Errorf("key %q after %q", p.Key, last)
		}
		last = string(p.Key)
		m[last] = string(p.Value)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	for k, v := range m {
		if got, err := s.Get([]byte(k)); err != nil || string(got) != v {
			t.Fatalf("Get(%q) = %q, %v; the scan had %q", k, got, err, v)
		}
	}
	return m
}

func put(t testing.TB, s *Store, key, value string) {
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
	o := options()
	o.Limits = limits.ForLedger(1 << 20)
	s := mustOpen(t, dir, o)
	want := map[string]string{"a": "1", "b\x00\xff\n": "", "bb": strings.Repeat("x", o.Limits.ValueBytes), "c": "3"}
	for _, k := range slices.Sorted(maps.Keys(want)) {
		put(t, s, k, want[k])
	}
	put(t, s, "d", "4")
	if err := s.Delete([]byte("d")); err != nil {
		t.Fatal(err)
	}
	if err := s.Delete([]byte("never")); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get([]byte("d")); !errors.Is(err, ErrNotFound) {
		t.Errorf("a deleted key: %v", err)
	}
	for _, c := range []struct {
		key, value string
		want       error
	}{{"", "x", ErrNotWritten}, {strings.Repeat("k", o.Limits.KeyBytes+1), "x", ErrTooLarge}, {"k", strings.Repeat("x", o.Limits.ValueBytes+1), ErrTooLarge}} {
		if err := s.Put([]byte(c.key), []byte(c.value), time.Time{}); !errors.Is(err, c.want) {
			t.Errorf("key of %d, value of %d bytes: %v, want %v", len(c.key), len(c.value), err, c.want)
		}
	}
	if _, err := Open(dir, o); !errors.Is(err, disk.ErrLocked) || !strings.Contains(err.Error(), "process") {
		t.Errorf("a second opener heard %v", err)
	}
	reader := mustOpen(t, dir, Options{Limits: o.Limits, ReadOnly: true})
	if got := content(t, reader); !maps.Equal(got, want) {
		t.Errorf("a reader beside the writer sees %d keys", len(got))
	}
	if err := reader.Put([]byte("k"), nil, time.Time{}); !errors.Is(err, ErrReadOnly) {
		t.Errorf("a reader's put: %v", err)
	}
	var keys []string
	if err := s.Scan([]byte("b"), func(p Pair) error { keys = append(keys, string(p.Key)); return nil }); err != nil || len(keys) != 2 {
		t.Errorf("scan of b: %q, %v", keys, err)
	}
	for range 2 {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Put([]byte("k"), nil, time.Time{}); !errors.Is(err, ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
	s = mustOpen(t, dir, o)
	if got := content(t, s); !maps.Equal(got, want) {
		t.Errorf("after a restart %d keys, want %d", len(got), len(want))
	}
	if r := s.Recovery(); r.TornBytes != 0 || r.Keys != len(want) || r.Fresh {
		t.Errorf("recovery %+v", r)
	}
}

// TestSnapshot checks that a snapshot stays the same, whatever is written, deleted and compacted.
func TestSnapshot(t *testing.T) {
	s := mustOpen(t, simdisk.New(1), options())
	for i := range 40 {
		put(t, s, fmt.Sprint("k", i%20), fmt.Sprint("v", i))
	}
	n, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	want := content(t, s)
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
		t.Errorf("the snapshot has %v, %v; want %v", got, err, want)
	}
	if v, err := n.Get([]byte("k3")); err != nil || string(v) != want["k3"] {
		t.Errorf("k3: %q, %v", v, err)
	}
	n.Close()
	if len(content(t, s)) != 0 || s.Stats().Keys != 0 {
		t.Error("deleted keys are still there")
	}
	if st := s.Stats(); st.RecordBytes != 0 {
		t.Errorf("a compaction of nothing but deleted keys left %d bytes:\n%v", st.RecordBytes, st)
	}
}

// TestBatch checks that batches are atomic, that the last change of a key wins, and that a rejected batch leaves nothing.
func TestBatch(t *testing.T) {
	s := mustOpen(t, simdisk.New(1), options())
	var b Batch
	b.Put([]byte("a"), []byte("1"), time.Time{})
	b.Put([]byte("a"), []byte("2"), time.Time{})
	b.Put([]byte("b"), nil, time.Time{})
	b.Delete([]byte("b"))
	if err := s.Apply(&b); err != nil {
		t.Fatal(err)
	}
	if got := content(t, s); !maps.Equal(got, map[string]string{"a": "2"}) {
		t.Errorf("%v", got)
	}
	o := options()
	o.Limits.IndexBytes = 3 * indexCost(1)
	s = mustOpen(t, simdisk.New(1), o)
	put(t, s, "a", "1")
	put(t, s, "b", "1")
	b = Batch{}
	b.Put([]byte("c"), nil, time.Time{})
	b.Put([]byte("d"), nil, time.Time{})
	if err := s.Apply(&b); !errors.Is(err, ErrIndexFull) || !errors.Is(err, ErrNotWritten) {
		t.Errorf("beyond the bound of keys: %v", err)
	}
	put(t, s, "c", "1")
	put(t, s, "a", "2") // no new key
	if err := s.Put([]byte("d"), nil, time.Time{}); !errors.Is(err, ErrIndexFull) {
		t.Errorf("a fourth key: %v", err)
	}
	if err := s.Delete([]byte("b")); err != nil {
		t.Fatal(err)
	}
	put(t, s, "d", "1") // its place
	if got := content(t, s); !maps.Equal(got, map[string]string{"a": "2", "c": "1", "d": "1"}) {
		t.Errorf("%v", got)
	}
}

// TestExpiry: what has been answered as gone stays gone, though the clock steps back, the process restarts and
// segments are compacted; nothing is gone before its time.
func TestExpiry(t *testing.T) {
	fs := simdisk.New(1)
	c := &clock{now: start}
	o := options()
	o.Now = c.Now
	s := mustOpen(t, fs, o)
	put(t, s, "a", "for ever") // an older value, which must not come back
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
		t.Fatal("gone before its time")
	}
	c.add(time.Millisecond)
	if err := s.AdvanceClock(); err != nil {
		t.Fatal(err)
	}
	check := func(when string) {
		t.Helper()
		if got := content(t, s); !maps.Equal(got, map[string]string{"b": "long"}) {
			t.Errorf("%s: %v", when, got)
		}
		if s.Has([]byte("a")) {
			t.Errorf("%s: a is there", when)
		}
	}
	check("after its time")
	c.add(-time.Hour)
	check("the clock set back")
	s.RemoveExpired()
	if s.Stats().Keys != 1 {
		t.Error("what is gone is still in memory after a sweep")
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

// TestManyWriters checks that ten thousand concurrent writers share few flushes, and that all their records are there.
func TestManyWriters(t *testing.T) {
	const writers = 10000
	dir := disk.Dir(t.TempDir())
	o := options()
	o.Limits = limits.ForLedger(16 << 20)
	s := mustOpen(t, dir, o)
	var wait sync.WaitGroup
	gate := make(chan struct{})
	errs := make([]error, writers)
	for i := range writers {
		wait.Go(func() {
			<-gate
			errs[i] = s.Put(fmt.Appendf(nil, "k%05d", i), fmt.Appendf(nil, "%d", i), time.Time{})
		})
	}
	close(gate)
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Puts != writers || st.Flushes >= writers {
		t.Errorf("%d puts took %d flushes", st.Puts, st.Flushes)
	}
	s.Close()
	s = mustOpen(t, dir, o)
	if got := content(t, s); len(got) != writers || got["k09999"] != "9999" {
		t.Errorf("%d keys after a restart", len(got))
	}
}

// TestGo checks that callbacks come in order and may call the store, and that a full queue is reported at once.
func TestGo(t *testing.T) {
	o := options()
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
			t.Fatalf("callback %d came as number %d", n, i)
		}
	}
	if got := content(t, s); got["k"] != "9" {
		t.Errorf("%v", got)
	}
	s.writer.mu.Lock()
	s.writer.queuedBytes = s.opts.Limits.QueueBytes // as if a flush took long
	s.writer.mu.Unlock()
	var b Batch
	b.Put([]byte("k"), nil, time.Time{})
	if err := s.ApplyAsync(&b, func(error) { t.Error("called back") }); !errors.Is(err, ErrBusy) {
		t.Errorf("a full queue: %v", err)
	}
	s.writer.mu.Lock()
	s.writer.queuedBytes = 0
	s.writer.mu.Unlock()
}
