package fencing

import (
	"errors"
	"testing"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/platform/limits"
)

func open(t *testing.T, d *simdisk.FS) *ledger.Store {
	t.Helper()
	s, err := ledger.Open(d, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestNoTokenBelowOneSeen: also after a power cut at the worst moment, when the effect had begun and nothing more was kept.
func TestNoTokenBelowOneSeen(t *testing.T) {
	disk := simdisk.New(1)
	s := open(t, disk)
	g, err := New(LedgerTokenStore{s})
	if err != nil {
		t.Fatal(err)
	}
	var done []uint64
	pass := func(g *Guard, token uint64) error {
		return g.Do("release", token, func() error { done = append(done, token); return nil })
	}
	for _, c := range []struct {
		token uint64
		ok    bool
	}{{0, false}, {3, true}, {2, false}, {3, true}, {7, true}, {6, false}} {
		err := pass(g, c.token)
		var stale *StaleTokenError
		if (err == nil) != c.ok || err != nil && !errors.As(err, &stale) {
			t.Errorf("token %d: %v", c.token, err)
		}
	}
	if g.RejectedCount() != 3 || len(done) != 3 {
		t.Errorf("%d turned away, %v done", g.RejectedCount(), done)
	}
	if err := g.Do("another", 1, func() error { return nil }); err != nil {
		t.Errorf("another duty's first token: %v", err)
	}
	_ = g.Do("release", 9, func() error { disk = disk.Cut(1); return errors.New("the power is gone") })
	s = open(t, disk)
	defer s.Close()
	if g, err = New(LedgerTokenStore{s}); err != nil {
		t.Fatal(err)
	}
	if err := pass(g, 8); err == nil {
		t.Error("a token below one that had passed before the cut")
	}
	if err := pass(g, 9); err != nil {
		t.Error(err)
	}
}

// forgetful says that it keeps tokens and does not.
type forgetful struct{}

func (forgetful) Load() (map[string]uint64, error) { return map[string]uint64{}, nil }
func (forgetful) Save(string, uint64) error        { return nil }

// TestATokenThatIsNotKeptIsSeen: the mutant that keeps no token lets an overtaken owner through after a restart, which
// TestNoTokenBelowOneSeen does not.
func TestATokenThatIsNotKeptIsSeen(t *testing.T) {
	let := func(token uint64) bool {
		g, err := New(forgetful{})
		if err != nil {
			t.Fatal(err)
		}
		return g.Do("release", token, func() error { return nil }) == nil
	}
	if !let(9) || !let(8) { // two lives of the receiver
		t.Error("a gate without memory is not what it is said to be")
	}
}

type full struct{}

func (full) Load() (map[string]uint64, error) { return map[string]uint64{"d": 4}, nil }
func (full) Save(string, uint64) error        { return errors.New("no space left") }

func TestNothingIsDoneThatCantBeRemembered(t *testing.T) {
	g, err := New(full{})
	if err != nil {
		t.Fatal(err)
	}
	did := false
	if err := g.Do("d", 5, func() error { did = true; return nil }); err == nil || did {
		t.Errorf("a token that was not kept: %v, done %v", err, did)
	}
	if err := g.Do("d", 4, func() error { did = true; return nil }); err != nil || !did {
		t.Errorf("the token that is known: %v, done %v", err, did)
	}
}
