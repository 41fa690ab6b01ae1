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

// long is for how many rounds the crash and fault tests run; the README has the command.
var long = flag.Int("ledger.rounds", 1, "rounds of the ledger's torture tests")

// history is what a sequential workload did: the state after all acknowledged changes, and after the one in progress.
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
