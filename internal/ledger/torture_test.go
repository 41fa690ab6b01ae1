package ledger

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/simdisk"
)

// long makes the torture tests run for as many rounds; the README has the command.
var long = flag.Int("ledger.rounds", 1, "rounds of the ledger's torture tests")

// history is what a sequential workload did: the state after all that was acknowledged, and after what was under way.
type history struct {
	acked, next map[string]string
}

func (h *history) ends(got map[string]string) bool {
	return maps.Equal(got, h.acked) || h.next != nil && maps.Equal(got, h.next)
}

// apply makes one change of some keys on the store and in the history. It returns the store's error.
func (h *history) apply(s *Store, puts map[string]string, deletes ...string) error {
	var b Batch
	h.next = map[string]string{}
	maps.Copy(h.next, h.acked)
	for _, k := range slices.Sorted(maps.Keys(puts)) {
		b.Put([]byte(k), []byte(puts[k]), time.Time{})
		h.next[k] = puts[k]
	}
	for _, k := range deletes {
		b.Delete([]byte(k))
		delete(h.next, k)
	}
	err := s.Apply(&b)
	switch {
	case err == nil:
		h.acked, h.next = h.next, nil
	case errors.Is(err, ErrNotWritten):
		h.next = nil
	}
	return err
}

// workload opens the disk and does some of everything by seed, until an error. What the disk holds afterwards must end the history.
func workload(fs *simdisk.FS, seed uint64, steps int, h *history) error {
	s, err := Open(fs, options())
	if err != nil {
		return err
	}
	defer s.Close()
	rng := rand.New(rand.NewPCG(seed, 3))
	key := func() string { return fmt.Sprintf("key%d", rng.IntN(12)) }
	for i := range steps {
		value := strings.Repeat(fmt.Sprint(i, ";"), 1+rng.IntN(12))
		switch n := rng.IntN(20); {
		case n < 10:
			err = h.apply(s, map[string]string{key(): value})
		case n < 13:
			err = h.apply(s, nil, key())
		case n < 17:
			err = h.apply(s, map[string]string{"batch" + key(): value, key(): "b" + value, key(): ""}, key())
		case n < 19:
			err = s.compactWhileDue()
		default:
			_, err = s.Compact()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reopen opens a disk as it was found, and checks that what it holds ends the history; then once more.
func reopen(t *testing.T, what string, fs *simdisk.FS, h *history) map[string]string {
	t.Helper()
	s, err := Open(fs, options())
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	got := content(t, s)
	if !h.ends(got) {
		t.Fatalf("%s:\nfound %v\nacked %v\nor    %v", what, got, h.acked, h.next)
	}
	s.Close()
	if s, err = Open(fs, options()); err != nil {
		t.Fatalf("%s, a second time: %v", what, err)
	}
	if again := content(t, s); !maps.Equal(got, again) {
		t.Fatalf("%s: a second opening has %v, the first had %v", what, again, got)
	}
	s.Close()
	return got
}

// TestCrashAtEveryOperation cuts the power at each file operation of a workload of writes, rotations and compactions, looks at
// several legal states of the disk, and cuts the power again at each operation of the recovery.
func TestCrashAtEveryOperation(t *testing.T) {
	for round := range uint64(*long) {
		seed := 1 + round
		total := func() int {
			fs := simdisk.New(seed)
			if err := workload(fs, seed, 45, &history{}); err != nil {
				t.Fatal(err)
			}
			return fs.OperationCount
		}()
		if total < 120 {
			t.Fatalf("only %d operations", total)
		}
		cuts := 0
		for at := 1; at <= total; at++ {
			fs := simdisk.New(seed)
			fs.Decide = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
				if n == at {
					return simdisk.FaultPowerLoss
				}
				return simdisk.FaultNone
			}
			h := &history{}
			if err := workload(fs, seed, 45, h); err == nil {
				cuts++ // in Close or in a removal, whose errors are logged only
			}
			for state := range uint64(5) {
				what := fmt.Sprintf("seed %d, cut at operation %d of %d, state %d", seed, at, total, state)
				left := fs.Cut(state).Files()
				want := reopen(t, what, simdisk.FromFiles(left), h)
				if state != uint64(at)%5 {
					continue
				}
				for again := 1; ; again++ { // cut the recovery itself
					fs := simdisk.FromFiles(left)
					fs.Decide = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
						if n == again {
							return simdisk.FaultPowerLoss
						}
						return simdisk.FaultNone
					}
					s, err := Open(fs, options())
					if err == nil {
						s.Close()
						break
					}
					after := reopen(t, fmt.Sprintf("%s, then at operation %d of the recovery", what, again), fs.Cut(uint64(again)), h)
					if !maps.Equal(after, want) {
						t.Fatalf("%s: a recovery cut at %d ends with %v, one that isn't with %v", what, again, after, want)
					}
				}
			}
		}
		if cuts > total/5 {
			t.Errorf("%d of %d cuts went unnoticed by the workload", cuts, total)
		}
	}
}

// TestTruncate cuts every file at every byte. At offset k of the last segment every batch whose records lie wholly before k is
// there and no other; any other file that is cut is damage, told with the file and the offset, or harmless.
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
// opened, never passed off as data, and what Repair saves is right.
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

// TestFaults fails operations by seed: nothing that was acknowledged is lost, nothing refused comes back, and after a failed
// flush nothing is acknowledged any more, also if the disk claims success from then on.
func TestFaults(t *testing.T) {
	kinds := []simdisk.Fault{simdisk.FaultIO, simdisk.ENOSPC, simdisk.FaultShortWrite}
	failed := map[simdisk.Op]int{}
	for seed := range uint64(300 * *long) {
		rng := rand.New(rand.NewPCG(seed, 4))
		fs := simdisk.New(seed)
		at := 26 + rng.IntN(110)
		var op simdisk.Op
		var file string
		fs.Decide = func(n int, o simdisk.Op, name string) simdisk.Fault {
			if n != at {
				return simdisk.FaultNone
			}
			op, file = o, name
			failed[o]++
			return kinds[rng.IntN(len(kinds))]
		}
		h := &history{}
		s, err := Open(fs, options())
		if err != nil {
			t.Fatal(err)
		}
		var unknown map[string]string
		for i := 0; i < 40; i++ {
			err := h.apply(s, map[string]string{fmt.Sprint("k", rng.IntN(6)): strings.Repeat(fmt.Sprint(i), 30)})
			switch {
			case errors.Is(err, ErrUnknown):
				unknown = h.next
			case errors.Is(err, ErrBroken):
				h.next = unknown
			case err != nil && !errors.Is(err, ErrNotWritten):
				t.Fatalf("seed %d: %v", seed, err)
			}
			if s.Err() != nil && !errors.Is(s.Put([]byte("x"), nil, time.Time{}), ErrBroken) {
				t.Fatalf("seed %d: a broken store takes writes", seed)
			}
			if got := content(t, s); s.Err() == nil && !maps.Equal(got, h.acked) { // reads go on
				t.Fatalf("seed %d: %v, want %v", seed, got, h.acked)
			}
			if i%10 == 9 {
				_, _ = s.Compact() // may be what fails
			}
		}
		if op == simdisk.OpSync && s.Err() == nil && listed(s, file) {
			t.Errorf("seed %d: the flush of %s failed, and it is still in use", seed, file)
		}
		left := fs.KillProcess()
		s.Close()
		for state := range uint64(3) { // the process ends, is started again, and then the power goes
			alive := left.KillProcess()
			s, err := Open(alive, options())
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			got := content(t, s)
			if !h.ends(got) {
				t.Fatalf("seed %d (%s failed):\n got %v\nwant %v\n or  %v", seed, op, got, h.acked, h.next)
			}
			seen := &history{acked: got}
			if err := seen.apply(s, map[string]string{"after": "1"}); err != nil {
				t.Fatal(err)
			}
			reopen(t, fmt.Sprintf("seed %d (%s failed), state %d after a restart", seed, op, state), alive.Cut(state), seen)
			s.Close()
		}
	}
	for _, op := range []simdisk.Op{simdisk.OpWrite, simdisk.OpSync, simdisk.OpCreate, simdisk.OpRename, simdisk.OpSyncDir} {
		if failed[op] == 0 {
			t.Errorf("no %s failed", op)
		}
	}
}

// TestFull: a full disk refuses writes with the word for it, serves reads, and takes writes again when there is room.
func TestFull(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, options())
	h := &history{}
	if err := h.apply(s, map[string]string{"a": "1"}); err != nil {
		t.Fatal(err)
	}
	fs.CapacityBytes = 1
	for range 3 {
		if err := h.apply(s, map[string]string{"b": strings.Repeat("x", 700)}); !errors.Is(err, ErrFull) || !errors.Is(err, ErrNotWritten) {
			t.Fatalf("on a full disk: %v", err)
		}
		if got := content(t, s); !maps.Equal(got, h.acked) {
			t.Fatalf("%v", got)
		}
	}
	fs.CapacityBytes = 0
	for i := range 5 { // beyond a segment
		if err := h.apply(s, map[string]string{"b": strings.Repeat("x", 300+i)}); err != nil {
			t.Fatal(err)
		}
	}
	reopen(t, "after a full disk", fs.Cut(1), h)
}

// TestBackup: a backup is whole, and one that is cut short is no store and leaves the other alone.
func TestBackup(t *testing.T) {
	fs := simdisk.New(1)
	h := &history{}
	s := mustOpen(t, fs, options())
	for i := range 30 {
		if err := h.apply(s, map[string]string{fmt.Sprint("k", i%11): strings.Repeat("v", i)}); err != nil {
			t.Fatal(err)
		}
	}
	for at := 1; ; at++ {
		to := simdisk.New(uint64(at))
		to.Decide = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
			if n == at {
				return simdisk.FaultPowerLoss
			}
			return simdisk.FaultNone
		}
		_, err := s.Backup(to)
		for state := range uint64(4) {
			left := to.Cut(state)
			b, openErr := Open(left, options())
			var d *DamageError
			switch {
			case openErr == nil:
				if got := content(t, b); len(got) != 0 && !maps.Equal(got, h.acked) || len(got) == 0 && err == nil {
					t.Fatalf("cut at %d, state %d: the copy holds %v", at, state, got)
				}
				b.Close()
			case err == nil || !errors.As(openErr, &d):
				t.Fatalf("cut at %d, state %d: %v", at, state, openErr)
			}
		}
		if err == nil {
			break
		}
		if err := h.apply(s, map[string]string{"after": fmt.Sprint(at)}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Backup(fs); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Errorf("a backup into itself: %v", err)
	}
}

// TestIntervalFlush: with a flush every now and then a cut takes at most the end of what was acknowledged, in order.
func TestIntervalFlush(t *testing.T) {
	o := options()
	o.Flush = time.Hour // not within this test
	for state := range uint64(40 * *long) {
		fs := simdisk.New(state)
		s := mustOpen(t, fs, o)
		states := []map[string]string{{}}
		h := &history{}
		for i := range 12 {
			if err := h.apply(s, map[string]string{fmt.Sprint("k", i): strings.Repeat("v", 100)}); err != nil {
				t.Fatal(err)
			}
			states = append(states, h.acked)
			if i == 4 {
				if err := s.Sync(); err != nil {
					t.Fatal(err)
				}
			}
		}
		left := fs.Cut(state)
		s2, err := Open(left, o)
		if err != nil {
			t.Fatalf("state %d: %v", state, err)
		}
		got, found := content(t, s2), -1
		for i, st := range states {
			if maps.Equal(got, st) {
				found = i
			}
		}
		if found < 5 {
			t.Fatalf("state %d: %v", state, got)
		}
		s2.Close()
	}
}

// TestAgainstAMap checks long mixed histories, with restarts and cuts between, against a map.
func TestAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: start}
		o := options()
		o.Now = c.Now
		fs := simdisk.New(rapid.Uint64().Draw(t, "seed"))
		s, err := Open(fs, o)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { s.Close() }()
		type val struct {
			text   string
			expiry time.Time
		}
		model, mark := map[string]val{}, time.UnixMilli(0)
		key := rapid.SampledFrom([]string{"a", "a\x00", "ab", "b", "\xff", "longer key"})
		want := func() map[string]string {
			m := map[string]string{}
			for k, v := range model {
				if v.expiry.IsZero() || v.expiry.After(mark) {
					m[k] = v.text
				}
			}
			return m
		}
		follow := func(t *rapid.T) {
			now := time.UnixMilli(s.clockMark)
			if now.Before(mark) || now.After(mark) && now.After(c.Now()) {
				t.Fatalf("the mark went from %v to %v at %v", mark, now, c.Now())
			}
			mark = now
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				var b Batch
				for range rapid.IntRange(1, 4).Draw(t, "n") {
					k := key.Draw(t, "key")
					if rapid.IntRange(0, 4).Draw(t, "op") == 0 {
						b.Delete([]byte(k))
						delete(model, k)
						continue
					}
					v := val{text: rapid.StringN(0, 60, -1).Draw(t, "value")}
					if rapid.Bool().Draw(t, "expires") {
						v.expiry = start.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "after")) * time.Second)
					}
					b.Put([]byte(k), []byte(v.text), v.expiry)
					model[k] = v
				}
				if err := s.Apply(&b); err != nil {
					t.Fatal(err)
				}
				if now := c.Now(); now.After(mark) {
					mark = now
				}
			},
			"clock": func(t *rapid.T) {
				c.add(time.Duration(rapid.IntRange(-20, 30).Draw(t, "s")) * time.Second)
				if err := s.Mark(); err != nil {
					t.Fatal(err)
				}
				if now := c.Now(); now.After(mark) {
					mark = now
				}
			},
			"compact": func(t *rapid.T) {
				if _, err := s.Compact(); err != nil {
					t.Fatal(err)
				}
				follow(t)
			},
			"tend": func(t *rapid.T) {
				s.Sweep()
				if err := s.compactWhileDue(); err != nil {
					t.Fatal(err)
				}
				follow(t)
			},
			"restart": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "cut") {
					fs = fs.Cut(rapid.Uint64().Draw(t, "state"))
				}
				s.Close()
				if s, err = Open(fs, o); err != nil {
					t.Fatal(err)
				}
				follow(t) // a clean end marks the clock; a cut need not
			},
			"": func(t *rapid.T) {
				got := map[string]string{}
				if err := s.Scan(nil, func(p Pair) error { got[string(p.Key)] = string(p.Value); return nil }); err != nil {
					t.Fatal(err)
				}
				if w := want(); !maps.Equal(got, w) {
					t.Fatalf("got %q, want %q", got, w)
				}
			},
		})
	})
}

// TestCompactOnlySome: a compaction that leaves older segments alone keeps the deletions, and what has expired as deletions, that
// hold back what stands there.
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
	if err := s.Mark(); err != nil {
		t.Fatal(err)
	}
	s.Sweep()
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

// TestCompactBeforeFlush: a compaction lets an old value go for a newer one only once that is durable.
func TestCompactBeforeFlush(t *testing.T) {
	o := options()
	o.Flush = time.Hour
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
		s2 := mustOpen(t, fs.Cut(state), o)
		if got := content(t, s2); got["k"] == "" {
			t.Fatalf("state %d: %v", state, got)
		}
	}
}

// TestFlippedUnderneath: a bit that flips while the store is open is told by the read that meets it, hot or cold, and
// is never passed off as a value.
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
