package ledger

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/simdisk"
)

// TestFaults fails operations by seed: nothing that was acknowledged is lost, nothing rejected comes back, and after a failed
// flush nothing is acknowledged any more, also if the disk claims success from then on.
func TestFaults(t *testing.T) {
	kinds := []simdisk.Fault{simdisk.FaultIO, simdisk.FaultNoSpace, simdisk.FaultShortWrite}
	failed := map[simdisk.Op]int{}
	for seed := range uint64(300 * *long) {
		rng := rand.New(rand.NewPCG(seed, 4))
		fs := simdisk.New(seed)
		at := 26 + rng.IntN(110)
		var op simdisk.Op
		var file string
		fs.InjectFault = func(n int, o simdisk.Op, name string) simdisk.Fault {
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
			case errors.Is(err, ErrOutcomeUnknown):
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
			reopen(t, fmt.Sprintf("seed %d (%s failed), state %d after a restart", seed, op, state), alive.LosePower(state), seen)
			s.Close()
		}
	}
	for _, op := range []simdisk.Op{simdisk.OpWrite, simdisk.OpSync, simdisk.OpCreate, simdisk.OpRename, simdisk.OpSyncDir} {
		if failed[op] == 0 {
			t.Errorf("no %s failed", op)
		}
	}
}

// TestFull checks that a full disk rejects writes with ErrDiskFull, serves reads, and takes writes again once there is space.
func TestFull(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, options())
	h := &history{}
	if err := h.apply(s, map[string]string{"a": "1"}); err != nil {
		t.Fatal(err)
	}
	fs.CapacityBytes = 1
	for range 3 {
		if err := h.apply(s, map[string]string{"b": strings.Repeat("x", 700)}); !errors.Is(err, ErrDiskFull) || !errors.Is(err, ErrNotWritten) {
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
	reopen(t, "after a full disk", fs.LosePower(1), h)
}

func listed(s *Store, name string) bool {
	n, _ := segmentNumber(name)
	return slices.ContainsFunc(s.manifest.Segments, func(e format.SegmentEntry) bool { return e.Number == n })
}
