package ledger

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"sloehitch/internal/ledger/simdisk"
)

// TestBackup checks that a backup is complete, and that an interrupted one is no store and leaves the source alone.
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
		to.InjectFault = func(n int, _ simdisk.Op, _ string) simdisk.Fault {
			if n == at {
				return simdisk.FaultPowerLoss
			}
			return simdisk.FaultNone
		}
		_, err := s.Backup(to)
		for state := range uint64(4) {
			left := to.LosePower(state)
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
