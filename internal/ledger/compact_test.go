package ledger

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/ledger/simdisk"
)

// TestCompactOnlySome checks that a compaction that leaves older segments alone keeps tombstones, also of expired records, for
// the records there.
func TestCompactOnlySome(t *testing.T) {
	fs := simdisk.New(1)
	c := &clock{now: start}
	o := options()
	o.Now = c.Now
	s := mustOpen(t, fs, o)
	roll := func() {
		t.Helper()
		if err := s.sealActive(); err != nil {
			t.Fatal(err)
		}
	}
	put(t, s, "deleted", "old")
	put(t, s, "expired", "old")
	put(t, s, "kept", "old")
	roll()
	if err := s.Delete([]byte("deleted")); err != nil {
		t.Fatal(err)
	}
	if err := s.Put([]byte("expired"), nil, start.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	roll()
	c.add(time.Minute)
	if err := s.AdvanceClock(); err != nil {
		t.Fatal(err)
	}
	s.RemoveExpired()
	newer := s.sealed[len(s.sealed)-1].number
	got, err := s.compact([]uint64{newer}, false)
	if err != nil || got.TombstonesWritten != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	want := map[string]string{"kept": "old"}
	s.Close()
	s = mustOpen(t, fs, o)
	if got := content(t, s); !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if got, err := s.Compact(); err != nil || got.TombstonesWritten != 0 || got.RecordsKept != 1 {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestCompactBeforeFlush checks that a compaction drops an old value for a newer one only once that is durable.
func TestCompactBeforeFlush(t *testing.T) {
	o := options()
	o.FlushInterval = time.Hour
	for state := range uint64(20) {
		fs := simdisk.New(state)
		s := mustOpen(t, fs, o)
		put(t, s, "k", "old")
		if err := s.sealActive(); err != nil {
			t.Fatal(err)
		}
		put(t, s, "k", "new")
		if c, err := s.compact([]uint64{s.sealed[0].number}, false); err != nil || c.RecordsDropped != 1 {
			t.Fatalf("%+v, %v", c, err)
		}
		s2 := mustOpen(t, fs.LosePower(state), o)
		if got := content(t, s2); got["k"] == "" {
			t.Fatalf("state %d: %v", state, got)
		}
	}
}

// TestCompact checks that garbage goes, current records stay and are compressed, and that compactions start by themselves at
// the garbage share of the limits.
func TestCompact(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, options())
	want := map[string]string{}
	for i := range 300 {
		k, v := fmt.Sprintf("key%02d", i%30), strings.Repeat(fmt.Sprint(i), 10)
		want[k] = v
		put(t, s, k, v)
	}
	before := s.Stats()
	if err := s.compactWhileDue(); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Compactions == 0 || float64(st.GarbageBytes) > 0.45*float64(st.RecordBytes) {
		t.Errorf("after compactions by themselves:\n%v", st)
	}
	c, err := s.Compact()
	if err != nil {
		t.Fatal(err)
	}
	st := s.Stats()
	if st.GarbageBytes != 0 || st.ColdSegments == 0 || st.DiskBytes >= before.DiskBytes/4 || c.RecordsKept != 30 {
		t.Errorf("%+v\n%v", c, st)
	}
	if got := content(t, s); !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	s.Close()
	s = mustOpen(t, fs, options())
	if got := content(t, s); !maps.Equal(got, want) {
		t.Errorf("after a restart %v", got)
	}
	for range 20 { // short lives leave small segments behind
		put(t, s, "one", "more")
		s.Close()
		s = mustOpen(t, fs, options())
	}
	if err := s.compactWhileDue(); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Segments > 11 {
		t.Errorf("small segments were left:\n%v", st)
	}
}

// TestOldSegmentComesBack checks that a removed segment that reappears after a power loss brings nothing back.
func TestOldSegmentComesBack(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, options())
	for i := range 30 {
		put(t, s, fmt.Sprint("k", i), strings.Repeat("v", 40))
	}
	old := fs.Files()
	for i := range 29 {
		if err := s.Delete([]byte(fmt.Sprint("k", i))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Compact(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	now := fs.Files()
	back := 0
	for name, b := range old {
		if _, ok := segmentNumber(name); ok && now[name] == nil {
			now[name] = b
			back++
		}
	}
	fs = simdisk.FromFiles(now)
	s = mustOpen(t, fs, options())
	if got := content(t, s); back == 0 || len(got) != 1 || got["k29"] == "" {
		t.Errorf("with %d old segments back: %v", back, got)
	}
	if r := s.Recovery(); r.StrayFiles < back {
		t.Errorf("%d stray files swept, want %d at least", r.StrayFiles, back)
	}
	for name := range old {
		if _, ok := segmentNumber(name); ok && fs.Files()[name] != nil && now[name] != nil && !listed(s, name) {
			t.Errorf("%s was not swept", name)
		}
	}
}
