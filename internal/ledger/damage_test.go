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

// TestTruncate cuts every file at every byte. At offset k of the last segment every batch whose records end before k is
// there and no other; any other file that is cut is damage, reported with the file and the offset, or harmless.
func TestTruncate(t *testing.T) {
	fs := simdisk.New(1)
	o := options()
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
	files := fs.KillProcess().Files() // before Close writes its last group
	active := s.active.name
	if len(files) < 4 {
		t.Fatalf("only %d files", len(files))
	}
	var base map[string]string // what sealed segments hold
	for _, st := range steps {
		if st.active != active {
			base = st.state
		}
	}
	for name, b := range files {
		for k := range len(b) {
			cut := maps.Clone(files)
			cut[name] = b[:k]
			s, err := Open(simdisk.FromFiles(cut), o)
			if name != active {
				var d *DamageError
				if errors.As(err, &d) {
					if d.File != name || d.Offset > int64(k) || d.Remedy == "" {
						t.Fatalf("%s cut at %d: %v", name, k, err)
					}
					continue
				}
				if name != manifestTempName {
					t.Fatalf("%s cut at %d opens: %v", name, k, err)
				}
			}
			if err != nil {
				t.Fatalf("%s cut at %d: %v", name, k, err)
			}
			want := base
			for _, st := range steps {
				if st.active == active && (name != active || st.end <= int64(k)) {
					want = st.state
				}
			}
			if got := content(t, s); !maps.Equal(got, want) {
				t.Fatalf("%s cut at %d:\n got %v\nwant %v", name, k, got, want)
			}
			s.Close()
		}
	}
}

// TestDamage flips each bit, in turn, of all files but the last group of the active segment: it is noticed when the folder is
// opened, never returned as data, and what Repair saves is right.
func TestDamage(t *testing.T) {
	fs := simdisk.New(1)
	h := &history{}
	o := options()
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
	last, active := s.writer.flushedOffset, s.active.name
	last -= int64(len(s.writer.buf)) // where the last group begins
	files := fs.KillProcess().Files()
	repaired := 0
	for name, b := range files {
		end := len(b)
		if name == active {
			end = int(last)
		}
		for i := range end {
			cut := maps.Clone(files)
			cut[name] = append([]byte(nil), b...)
			cut[name][i] ^= 1 << (i % 8)
			s, err := Open(simdisk.FromFiles(cut), o)
			if err == nil {
				s.Close()
				t.Fatalf("%s: a flipped bit at %d was not noticed", name, i)
			}
			var d *DamageError
			if errors.As(err, &d) && d.File != name {
				t.Fatalf("%s flipped at %d: %v", name, i, err)
			}
			if i%5 != 0 {
				continue
			}
			to := simdisk.New(2)
			v, err := Repair(simdisk.FromFiles(cut), to, o)
			if err != nil {
				var version format.VersionError
				if name == manifestName && errors.As(err, &version) {
					continue
				}
				t.Fatalf("repair with %s flipped at %d: %v", name, i, err)
			}
			s = mustOpen(t, to, o)
			got := content(t, s)
			for k, v := range got {
				if !written[k+"="+v] {
					t.Fatalf("%s flipped at %d: %q=%q was never written", name, i, k, v)
				}
			}
			if len(v.Lost) == 0 || name != manifestName && got["x"] != got["y"] && v.Lost[0].File != name {
				t.Fatalf("%s flipped at %d: %+v", name, i, v)
			}
			if name == manifestName && !maps.Equal(got, h.acked) {
				t.Fatalf("with a bad manifest only, Repair saves %v of %v", got, h.acked)
			}
			s.Close()
			repaired++
		}
	}
	if repaired == 0 {
		t.Error("nothing was repaired")
	}
	cut := maps.Clone(files)
	for name := range files {
		if _, ok := segmentNumber(name); ok && name != active {
			delete(cut, name)
			var d *DamageError
			if _, err := Open(simdisk.FromFiles(cut), o); !errors.As(err, &d) || d.File != name {
				t.Errorf("without %s: %v", name, err)
			}
			cut[name] = files[name]
		}
	}
	delete(cut, manifestName)
	var d *DamageError
	if _, err := Open(simdisk.FromFiles(cut), o); !errors.As(err, &d) || d.File != manifestName {
		t.Errorf("without a manifest: %v", err)
	}
}

// TestFlippedUnderneath checks that a bit that flips while the store is open fails the read that meets it, hot or cold, and is
// never returned as a value.
func TestFlippedUnderneath(t *testing.T) {
	for seed := range uint64(60) {
		fs := simdisk.New(seed)
		s := mustOpen(t, fs, options())
		for i := range 6 {
			put(t, s, fmt.Sprint("k", i), strings.Repeat("v", 50))
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
				t.Fatalf("seed %d, flipped at %d: %q, %v", seed, at, v, err)
			}
		}
		if damaged == 0 && g.cold {
			t.Errorf("seed %d: a bit flipped at %d of a cold segment went unnoticed", seed, at)
		}
	}
}

// TestLaterVersion checks that files of a later version are rejected as such, not taken for damage.
func TestLaterVersion(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, options())
	put(t, s, "k", "v")
	s.Close()
	for name, b := range fs.Files() {
		files := fs.Files()
		files[name] = bytes.Clone(b)
		files[name][4]++
		_, err := Open(simdisk.FromFiles(files), options())
		var v format.VersionError
		var d *DamageError
		if !errors.As(err, &v) || errors.As(err, &d) || !strings.Contains(err.Error(), "version 2") {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := Repair(simdisk.FromFiles(files), simdisk.New(1), options()); name == manifestName && !errors.As(err, &v) {
			t.Errorf("repair of a later version: %v", err)
		}
	}
}
