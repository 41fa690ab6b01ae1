package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/simdisk"
)

// TestTruncatedFileIsRecoveredOrReportedAsDamage truncates every file at every byte. If the active segment is truncated at offset
// k, exactly the batches whose records end at or before k must be recovered. The truncation of any other file must be reported
// as damage with the file and the offset, except for a leftover temporary manifest, which must be ignored.
func TestTruncatedFileIsRecoveredOrReportedAsDamage(t *testing.T) {
	fs := simdisk.New(1)
	o := testOptions()
	s := mustOpen(t, fs, o)
	type step struct {
		active string
		end    int64
		state  map[string]string
	}
	h := &history{}
	steps := []step{}
	for i := range 26 {
		var err error
		if i%5 == 4 {
			err = h.apply(s, map[string]string{"a": fmt.Sprint(i), "b": fmt.Sprint(i), fmt.Sprint("c", i): ""}, "d")
		} else {
			err = h.apply(s, map[string]string{fmt.Sprint("d", i%7): strings.Repeat("v", i)})
		}
		if err != nil {
			t.Fatal(err)
		}
		if i == 12 {
			if _, err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
		steps = append(steps, step{s.active.name, s.active.size, maps.Clone(h.acked)})
	}
	files := fs.KillProcess().Files() // before Close appends a last group
	active := s.active.name
	if len(files) < 4 {
		t.Fatalf("the store has only %d files, want at least 4", len(files))
	}
	var sealedState map[string]string // content of the sealed segments
	for _, st := range steps {
		if st.active != active {
			sealedState = st.state
		}
	}
	for name, b := range files {
		for k := range len(b) {
			truncated := maps.Clone(files)
			truncated[name] = b[:k]
			s, err := Open(simdisk.FromFiles(truncated), o)
			if name != active {
				var d *DamageError
				if errors.As(err, &d) {
					if d.File != name || d.Offset > int64(k) || d.Remedy == "" {
						t.Fatalf("%s truncated at %d: %v", name, k, err)
					}
					continue
				}
				if name != manifestTempName {
					t.Fatalf("%s truncated at %d: Open returned %v, want a DamageError", name, k, err)
				}
			}
			if err != nil {
				t.Fatalf("%s truncated at %d: %v", name, k, err)
			}
			want := sealedState
			for _, st := range steps {
				if st.active == active && (name != active || st.end <= int64(k)) {
					want = st.state
				}
			}
			if got := allPairs(t, s); !maps.Equal(got, want) {
				t.Fatalf("%s truncated at %d:\n got %v\nwant %v", name, k, got, want)
			}
			s.Close()
		}
	}
}

// TestFlippedBitIsReportedAndRepairSavesOnlyWrittenData flips one bit in each byte of all files, except in the last group of the
// active segment. Open must report the damage, damaged data must never be returned, and Repair must save only written values.
func TestFlippedBitIsReportedAndRepairSavesOnlyWrittenData(t *testing.T) {
	fs := simdisk.New(1)
	h := &history{}
	o := testOptions()
	s := mustOpen(t, fs, o)
	written := map[string]bool{}
	for i := range 24 {
		puts := map[string]string{fmt.Sprint("k", i%9): fmt.Sprint("value ", i)}
		if i%4 == 0 {
			puts["x"], puts["y"] = fmt.Sprint("same", i), fmt.Sprint("same", i)
		}
		for k, v := range puts {
			written[k+"="+v] = true
		}
		if err := h.apply(s, puts); err != nil {
			t.Fatal(err)
		}
		if i == 12 {
			if _, err := s.Compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	lastGroup, active := s.writer.flushedOffset, s.active.name
	lastGroup -= int64(len(s.writer.buf)) // start of the last group
	files := fs.KillProcess().Files()
	repaired := 0
	for name, b := range files {
		end := len(b)
		if name == active {
			end = int(lastGroup)
		}
		for i := range end {
			damaged := maps.Clone(files)
			damaged[name] = append([]byte(nil), b...)
			damaged[name][i] ^= 1 << (i % 8)
			s, err := Open(simdisk.FromFiles(damaged), o)
			if err == nil {
				s.Close()
				t.Fatalf("%s: Open did not report a bit flipped at %d", name, i)
			}
			var d *DamageError
			if errors.As(err, &d) && d.File != name {
				t.Fatalf("bit of %s flipped at %d: %v", name, i, err)
			}
			if i%5 != 0 {
				continue
			}
			to := simdisk.New(2)
			v, err := Repair(simdisk.FromFiles(damaged), to, o)
			if err != nil {
				var version format.VersionError
				if name == manifestName && errors.As(err, &version) {
					continue
				}
				t.Fatalf("repair with a bit of %s flipped at %d: %v", name, i, err)
			}
			s = mustOpen(t, to, o)
			got := allPairs(t, s)
			for k, v := range got {
				if !written[k+"="+v] {
					t.Fatalf("bit of %s flipped at %d: repaired store contains %q=%q, which was never written", name, i, k, v)
				}
			}
			if len(v.Lost) == 0 || name != manifestName && got["x"] != got["y"] && v.Lost[0].File != name {
				t.Fatalf("bit of %s flipped at %d: incomplete repair report %+v", name, i, v)
			}
			if name == manifestName && !maps.Equal(got, h.acked) {
				t.Fatalf("Repair with only the manifest damaged saved %v, want %v", got, h.acked)
			}
			s.Close()
			repaired++
		}
	}
	if repaired == 0 {
		t.Error("no damaged store was repaired")
	}
	incomplete := maps.Clone(files)
	for name := range files {
		if _, ok := segmentNumber(name); ok && name != active {
			delete(incomplete, name)
			var d *DamageError
			if _, err := Open(simdisk.FromFiles(incomplete), o); !errors.As(err, &d) || d.File != name {
				t.Errorf("Open with %s missing: error %v, want a DamageError of that file", name, err)
			}
			incomplete[name] = files[name]
		}
	}
	delete(incomplete, manifestName)
	var d *DamageError
	if _, err := Open(simdisk.FromFiles(incomplete), o); !errors.As(err, &d) || d.File != manifestName {
		t.Errorf("Open with the manifest missing: error %v, want a DamageError of the manifest", err)
	}
}

// TestGetReportsBitFlippedWhileOpen checks that a bit that flips while the store is open makes the read of the record fail, in
// active and cold segments, and that the damaged value is never returned.
func TestGetReportsBitFlippedWhileOpen(t *testing.T) {
	for seed := range uint64(60) {
		fs := simdisk.New(seed)
		s := mustOpen(t, fs, testOptions())
		for i := range 6 {
			mustPut(t, s, fmt.Sprint("k", i), strings.Repeat("v", 50))
		}
		g := s.active
		if seed%2 == 1 {
			if _, err := s.Compact(); err != nil {
				t.Fatal(err)
			}
			g = s.sealed[0]
		}
		at := fs.FlipBit(g.name, format.SegmentHeaderSize, int(g.size), seed)
		damaged := 0
		for i := range 6 {
			v, err := s.Get([]byte(fmt.Sprint("k", i)))
			var d *DamageError
			switch {
			case errors.As(err, &d) && d.File == g.name:
				damaged++
			case err != nil || string(v) != strings.Repeat("v", 50):
				t.Fatalf("seed %d, bit flipped at %d: Get = %q, %v", seed, at, v, err)
			}
		}
		if damaged == 0 && g.cold {
			t.Errorf("seed %d: no read reported the bit flipped at %d of a cold segment", seed, at)
		}
	}
}

// TestRejectsLaterFormatVersion checks that files of a later format version are rejected with a VersionError and not reported as
// damage.
func TestRejectsLaterFormatVersion(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, testOptions())
	mustPut(t, s, "k", "v")
	s.Close()
	for name, b := range fs.Files() {
		files := fs.Files()
		files[name] = bytes.Clone(b)
		files[name][4]++
		_, err := Open(simdisk.FromFiles(files), testOptions())
		var v format.VersionError
		var d *DamageError
		if !errors.As(err, &v) || errors.As(err, &d) || !strings.Contains(err.Error(), "version 2") {
			t.Errorf("Open with a later version of %s: error %v, want a VersionError", name, err)
		}
		if _, err := Repair(simdisk.FromFiles(files), simdisk.New(1), testOptions()); name == manifestName && !errors.As(err, &v) {
			t.Errorf("repair of a later format version: error %v, want a VersionError", err)
		}
	}
}
