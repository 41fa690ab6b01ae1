package ledger

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"sloehitch/internal/ledger/simdisk"
)

// TestBackupIsCompleteOrAbsent cuts the power of the target disk at each operation of a backup. What is left must be a complete
// copy, an empty store or a folder that Open rejects as damaged, and the source must stay usable.
func TestBackupIsCompleteOrAbsent(t *testing.T) {
	fs := simdisk.New(1)
	h := &history{}
	s := mustOpen(t, fs, testOptions())
	for i := range 30 {
		if err := h.apply(s, map[string]string{fmt.Sprint("k", i%11): strings.Repeat("v", i)}); err != nil {
			t.Fatal(err)
		}
	}
	for lossAt := 1; ; lossAt++ {
		to := simdisk.New(uint64(lossAt))
		to.InjectFault = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
			if n == lossAt {
				return simdisk.FaultPowerLoss
			}
			return simdisk.FaultNone
		}
		_, err := s.Backup(to)
		for state := range uint64(4) {
			survivor := to.LosePower(state)
			b, openErr := Open(survivor, testOptions())
			var d *DamageError
			switch {
			case openErr == nil:
				if got := allPairs(t, b); len(got) != 0 && !maps.Equal(got, h.acked) || len(got) == 0 && err == nil {
					t.Fatalf("power loss at operation %d, state %d: the copy contains %v", lossAt, state, got)
				}
				b.Close()
			case err == nil || !errors.As(openErr, &d):
				t.Fatalf("power loss at operation %d, state %d: %v", lossAt, state, openErr)
			}
		}
		if err == nil {
			break
		}
		if err := h.apply(s, map[string]string{"after": fmt.Sprint(lossAt)}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Backup(fs); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Errorf("backup into the store's own folder: error %v, want one with \"not empty\"", err)
	}
}
