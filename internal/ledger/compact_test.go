package ledger

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/ledger/simdisk"
)

// TestPartialCompactionKeepsTombstonesOfOlderRecords checks that a compaction of only the newer segments keeps tombstones of
// deleted and expired keys, so that older records in the other segments do not reappear.
func TestPartialCompactionKeepsTombstonesOfOlderRecords(t *testing.T) {
	fs := simdisk.New(1)
	c := &clock{now: start}
	o := testOptions()
	o.Now = c.Now
	s := mustOpen(t, fs, o)
	seal := func() {
		t.Helper()
		if err := s.sealActive(); err != nil {
			t.Fatal(err)
		}
	}
	mustPut(t, s, "deleted", "old")
	mustPut(t, s, "expired", "old")
	mustPut(t, s, "kept", "old")
	seal()
	if err := s.Delete([]byte("deleted")); err != nil {
		t.Fatal(err)
	}
	if err := s.Put([]byte("expired"), nil, start.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	seal()
	c.add(time.Minute)
	if err := s.AdvanceClock(); err != nil {
		t.Fatal(err)
	}
	s.RemoveExpired()
	newer := s.sealed[len(s.sealed)-1].number
	got, err := s.compact([]uint64{newer}, false)
	if err != nil || got.TombstonesWritten != 2 {
		t.Fatalf("compaction of the newer segment: %+v, %v; want 2 tombstones written", got, err)
	}
	want := map[string]string{"kept": "old"}
	s.Close()
	s = mustOpen(t, fs, o)
	if got := allPairs(t, s); !maps.Equal(got, want) {
		t.Errorf("content after a restart %v, want %v", got, want)
	}
	if got, err := s.Compact(); err != nil || got.TombstonesWritten != 0 || got.RecordsKept != 1 {
		t.Errorf("full compaction: %+v, %v; want 1 record kept and no tombstone", got, err)
	}
}

// TestCompactionDropsOldValueOnlyOnceNewOneIsDurable guards against a compaction that drops an old value because of a newer one
// that has not been flushed: a power loss would then lose both.
func TestCompactionDropsOldValueOnlyOnceNewOneIsDurable(t *testing.T) {
	o := testOptions()
	o.FlushInterval = time.Hour
	for state := range uint64(20) {
		fs := simdisk.New(state)
		s := mustOpen(t, fs, o)
		mustPut(t, s, "k", "old")
		if err := s.sealActive(); err != nil {
			t.Fatal(err)
		}
		mustPut(t, s, "k", "new")
		if c, err := s.compact([]uint64{s.sealed[0].number}, false); err != nil || c.RecordsDropped != 1 {
			t.Fatalf("compaction of the old value: %+v, %v; want 1 record dropped", c, err)
		}
		s2 := mustOpen(t, fs.LosePower(state), o)
		if got := allPairs(t, s2); got["k"] == "" {
			t.Fatalf("state %d: key k is lost, content %v", state, got)
		}
	}
}

// TestCompactionReclaimsGarbageAndKeepsCurrentRecords checks that compactions remove garbage, keep and compress current records,
// become due at the configured garbage share, and merge small segments.
func TestCompactionReclaimsGarbageAndKeepsCurrentRecords(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, testOptions())
	want := map[string]string{}
	for i := range 300 {
		k, v := fmt.Sprintf("key%02d", i%30), strings.Repeat(fmt.Sprint(i), 10)
		want[k] = v
		mustPut(t, s, k, v)
	}
	before := s.Stats()
	if err := s.compactWhileDue(); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Compactions == 0 || float64(st.GarbageBytes) > 0.45*float64(st.RecordBytes) {
		t.Errorf("statistics after the due compactions:\n%v", st)
	}
	c, err := s.Compact()
	if err != nil {
		t.Fatal(err)
	}
	st := s.Stats()
	if st.GarbageBytes != 0 || st.ColdSegments == 0 || st.DiskBytes >= before.DiskBytes/4 || c.RecordsKept != 30 {
		t.Errorf("full compaction: %+v\nstatistics:\n%v", c, st)
	}
	if got := allPairs(t, s); !maps.Equal(got, want) {
		t.Errorf("content after a compaction %v, want %v", got, want)
	}
	s.Close()
	s = mustOpen(t, fs, testOptions())
	if got := allPairs(t, s); !maps.Equal(got, want) {
		t.Errorf("content after a restart: %v", got)
	}
	for range 20 { // short runs leave small segments behind
		mustPut(t, s, "one", "more")
		s.Close()
		s = mustOpen(t, fs, testOptions())
	}
	if err := s.compactWhileDue(); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Segments > 11 {
		t.Errorf("small segments were not merged:\n%v", st)
	}
}

// TestReappearedSegmentIsRemovedUnread checks that a removed segment that reappears after a power loss does not restore deleted
// keys, and is removed again.
func TestReappearedSegmentIsRemovedUnread(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, testOptions())
	for i := range 30 {
		mustPut(t, s, fmt.Sprint("k", i), strings.Repeat("v", 40))
	}
	oldFiles := fs.Files()
	for i := range 29 {
		if err := s.Delete([]byte(fmt.Sprint("k", i))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Compact(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	newFiles := fs.Files()
	reappeared := 0
	for name, b := range oldFiles {
		if _, ok := segmentNumber(name); ok && newFiles[name] == nil {
			newFiles[name] = b
			reappeared++
		}
	}
	fs = simdisk.FromFiles(newFiles)
	s = mustOpen(t, fs, testOptions())
	if got := allPairs(t, s); reappeared == 0 || len(got) != 1 || got["k29"] == "" {
		t.Errorf("content with %d reappeared segments: %v", reappeared, got)
	}
	if r := s.Recovery(); r.StrayFiles < reappeared {
		t.Errorf("%d stray files removed, want at least %d", r.StrayFiles, reappeared)
	}
	for name := range oldFiles {
		if _, ok := segmentNumber(name); ok && fs.Files()[name] != nil && newFiles[name] != nil && !listedInManifest(s, name) {
			t.Errorf("unlisted segment %s was not removed", name)
		}
	}
}
