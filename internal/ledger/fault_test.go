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

// TestFailedOperationsLoseNoAcknowledgedWrite fails one operation chosen by the seed. No acknowledged write may be lost and no
// rejected write may reappear. After a failed flush no write may be acknowledged, even if later flushes report success.
func TestFailedOperationsLoseNoAcknowledgedWrite(t *testing.T) {
	faults := []simdisk.Fault{simdisk.FaultIO, simdisk.FaultNoSpace, simdisk.FaultShortWrite}
	failed := map[simdisk.Op]int{}
	for seed := range uint64(300 * *rounds) {
		rng := rand.New(rand.NewPCG(seed, 4))
		fs := simdisk.New(seed)
		failAt := 26 + rng.IntN(110)
		var op simdisk.Op
		var file string
		fs.InjectFault = func(n int, o simdisk.Op, name string) simdisk.Fault {
			if n != failAt {
				return simdisk.FaultNone
			}
			op, file = o, name
			failed[o]++
			return faults[rng.IntN(len(faults))]
		}
		h := &history{}
		s, err := Open(fs, testOptions())
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
				t.Fatalf("seed %d: apply: %v", seed, err)
			}
			if s.Err() != nil && !errors.Is(s.Put([]byte("x"), nil, time.Time{}), ErrBroken) {
				t.Fatalf("seed %d: a broken store accepts writes", seed)
			}
			if got := allPairs(t, s); s.Err() == nil && !maps.Equal(got, h.acked) { // reads still work
				t.Fatalf("seed %d: content %v, want %v", seed, got, h.acked)
			}
			if i%10 == 9 {
				_, _ = s.Compact() // the injected fault may hit the compaction
			}
		}
		if op == simdisk.OpSync && s.Err() == nil && listedInManifest(s, file) {
			t.Errorf("seed %d: the flush of %s failed, but the manifest lists it", seed, file)
		}
		killed := fs.KillProcess()
		s.Close()
		for state := range uint64(3) { // the process is killed and restarted, then the power is lost
			restarted := killed.KillProcess()
			s, err := Open(restarted, testOptions())
			if err != nil {
				t.Fatalf("seed %d: Open after a restart: %v", seed, err)
			}
			got := allPairs(t, s)
			if !h.matches(got) {
				t.Fatalf("seed %d (%s failed):\n got %v\nwant %v\n or  %v", seed, op, got, h.acked, h.next)
			}
			restartedHistory := &history{acked: got}
			if err := restartedHistory.apply(s, map[string]string{"after": "1"}); err != nil {
				t.Fatal(err)
			}
			reopenAndCheck(t, fmt.Sprintf("seed %d (%s failed), state %d after a restart", seed, op, state), restarted.LosePower(state), restartedHistory)
			s.Close()
		}
	}
	for _, op := range []simdisk.Op{simdisk.OpWrite, simdisk.OpSync, simdisk.OpCreate, simdisk.OpRename, simdisk.OpSyncDir} {
		if failed[op] == 0 {
			t.Errorf("no %s operation failed in any run", op)
		}
	}
}

// TestFullDiskRejectsWritesUntilSpaceIsFreed checks that a full disk rejects writes with ErrDiskFull, that reads still work, and
// that writes succeed again once there is space.
func TestFullDiskRejectsWritesUntilSpaceIsFreed(t *testing.T) {
	fs := simdisk.New(1)
	s := mustOpen(t, fs, testOptions())
	h := &history{}
	if err := h.apply(s, map[string]string{"a": "1"}); err != nil {
		t.Fatal(err)
	}
	fs.CapacityBytes = 1
	for range 3 {
		if err := h.apply(s, map[string]string{"b": strings.Repeat("x", 700)}); !errors.Is(err, ErrDiskFull) || !errors.Is(err, ErrNotWritten) {
			t.Fatalf("put on a full disk: error %v, want ErrDiskFull and ErrNotWritten", err)
		}
		if got := allPairs(t, s); !maps.Equal(got, h.acked) {
			t.Fatalf("content on a full disk: %v", got)
		}
	}
	fs.CapacityBytes = 0
	for i := range 5 { // enough to start a new segment
		if err := h.apply(s, map[string]string{"b": strings.Repeat("x", 300+i)}); err != nil {
			t.Fatal(err)
		}
	}
	reopenAndCheck(t, "after a full disk", fs.LosePower(1), h)
}

func listedInManifest(s *Store, name string) bool {
	n, _ := segmentNumber(name)
	return slices.ContainsFunc(s.manifest.Segments, func(e format.SegmentEntry) bool { return e.Number == n })
}
