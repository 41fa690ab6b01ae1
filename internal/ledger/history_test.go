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

	"sloehitch/internal/ledger/simdisk"
)

// rounds is the number of rounds that the crash and fault tests run. The README has the command.
var rounds = flag.Int("ledger.rounds", 1, "number of rounds of the ledger's crash and fault tests")

// history records a sequential workload: the content after all acknowledged changes, and after the change whose outcome is
// unknown, if there is one.
type history struct {
	acked, next map[string]string
}

func (h *history) matches(got map[string]string) bool {
	return maps.Equal(got, h.acked) || h.next != nil && maps.Equal(got, h.next)
}

// apply applies one batch of changes to the store and the history. It returns the store's error.
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

// runWorkload opens the disk and runs random operations by seed until one fails. The state of the disk afterwards must match h.
func runWorkload(fs *simdisk.FS, seed uint64, steps int, h *history) error {
	s, err := Open(fs, testOptions())
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

// reopenAndCheck opens the disk twice, checks each time that its content matches the history, and returns the content.
func reopenAndCheck(t *testing.T, what string, fs *simdisk.FS, h *history) map[string]string {
	t.Helper()
	s, err := Open(fs, testOptions())
	if err != nil {
		t.Fatalf("%s: Open: %v", what, err)
	}
	got := allPairs(t, s)
	if !h.matches(got) {
		t.Fatalf("%s:\nfound %v\nacked %v\nor    %v", what, got, h.acked, h.next)
	}
	s.Close()
	if s, err = Open(fs, testOptions()); err != nil {
		t.Fatalf("%s, second Open: %v", what, err)
	}
	if again := allPairs(t, s); !maps.Equal(got, again) {
		t.Fatalf("%s: content after the second Open %v, after the first %v", what, again, got)
	}
	s.Close()
	return got
}
