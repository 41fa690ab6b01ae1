package ledger

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/ledger/simdisk"
)

// TestRecoversFromPowerLossAtEveryOperation cuts the power at each file operation of a workload of writes, rotations and
// compactions, checks several of the possible states of the disk, and cuts the power again at each operation of the recovery.
func TestRecoversFromPowerLossAtEveryOperation(t *testing.T) {
	for round := range uint64(*rounds) {
		seed := 1 + round
		total := func() int {
			fs := simdisk.New(seed)
			if err := runWorkload(fs, seed, 45, &history{}); err != nil {
				t.Fatal(err)
			}
			return fs.OperationCount
		}()
		if total < 120 {
			t.Fatalf("the workload has only %d operations, want at least 120", total)
		}
		unreported := 0
		for lossAt := 1; lossAt <= total; lossAt++ {
			fs := simdisk.New(seed)
			fs.InjectFault = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
				if n == lossAt {
					return simdisk.FaultPowerLoss
				}
				return simdisk.FaultNone
			}
			h := &history{}
			if err := runWorkload(fs, seed, 45, h); err == nil {
				unreported++ // the power loss was in Close or in a removal, whose errors are not returned
			}
			for state := range uint64(5) {
				what := fmt.Sprintf("seed %d, power loss at operation %d of %d, state %d", seed, lossAt, total, state)
				files := fs.LosePower(state).Files()
				want := reopenAndCheck(t, what, simdisk.FromFiles(files), h)
				if state != uint64(lossAt)%5 {
					continue
				}
				for secondLossAt := 1; ; secondLossAt++ { // lose power during the recovery
					fs := simdisk.FromFiles(files)
					fs.InjectFault = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
						if n == secondLossAt {
							return simdisk.FaultPowerLoss
						}
						return simdisk.FaultNone
					}
					s, err := Open(fs, testOptions())
					if err == nil {
						s.Close()
						break
					}
					afterSecond := reopenAndCheck(t, fmt.Sprintf("%s, then power loss at operation %d of the recovery", what, secondLossAt), fs.LosePower(uint64(secondLossAt)), h)
					if !maps.Equal(afterSecond, want) {
						t.Fatalf("%s: recovery after a power loss at its operation %d yields %v, an uninterrupted one %v", what, secondLossAt, afterSecond, want)
					}
				}
			}
		}
		if unreported > total/5 {
			t.Errorf("%d of %d power losses caused no error in the workload", unreported, total)
		}
	}
}

// TestPowerLossTakesOnlyWritesAfterLastFlush checks that with a FlushInterval a power loss takes only the newest acknowledged
// batches, and none from before the last flush.
func TestPowerLossTakesOnlyWritesAfterLastFlush(t *testing.T) {
	o := testOptions()
	o.FlushInterval = time.Hour // longer than this test
	for state := range uint64(40 * *rounds) {
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
		survivor := fs.LosePower(state)
		s2, err := Open(survivor, o)
		if err != nil {
			t.Fatalf("state %d: Open after a power loss: %v", state, err)
		}
		got, found := allPairs(t, s2), -1
		for i, st := range states {
			if maps.Equal(got, st) {
				found = i
			}
		}
		if found < 5 {
			t.Fatalf("state %d: content %v is not the one after a flushed batch", state, got)
		}
		s2.Close()
	}
}
