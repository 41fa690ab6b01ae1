package ledger

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/ledger/simdisk"
)

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
			fs.InjectFault = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
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
				left := fs.LosePower(state).Files()
				want := reopen(t, what, simdisk.FromFiles(left), h)
				if state != uint64(at)%5 {
					continue
				}
				for again := 1; ; again++ { // cut the recovery itself
					fs := simdisk.FromFiles(left)
					fs.InjectFault = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
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
					after := reopen(t, fmt.Sprintf("%s, then at operation %d of the recovery", what, again), fs.LosePower(uint64(again)), h)
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

// TestIntervalFlush checks that with flushes at intervals a power loss takes only the newest acknowledged batches.
func TestIntervalFlush(t *testing.T) {
	o := options()
	o.FlushInterval = time.Hour // not within this test
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
		left := fs.LosePower(state)
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
