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

// TestRejectsTokensBelowOneSeen: also after a power cut at the worst moment, when the effect had begun and nothing more was stored.
func TestRejectsTokensBelowOneSeen(t *testing.T) {
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
		t.Errorf("%d rejected, %v done", g.RejectedCount(), done)
	}
	if err := g.Do("another", 1, func() error { return nil }); err != nil {
		t.Errorf("another task's first token: %v", err)
	}
	_ = g.Do("release", 9, func() error { disk = disk.LosePower(1); return errors.New("the power is gone") })
	s = open(t, disk)
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
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

// forgetfulStore reports that it stores tokens and does not.
type forgetfulStore struct{}

func (forgetfulStore) Load() (map[string]uint64, error) { return map[string]uint64{}, nil }
func (forgetfulStore) Save(string, uint64) error        { return nil }

// TestDetectsTokensThatAreNotStored: the mutant that stores no token admits an overtaken owner after a restart, which
// TestRejectsTokensBelowOneSeen does not.
func TestDetectsTokensThatAreNotStored(t *testing.T) {
	admitted := func(token uint64) bool {
		g, err := New(forgetfulStore{})
		if err != nil {
			t.Fatal(err)
		}
		return g.Do("release", token, func() error { return nil }) == nil
	}
	if !admitted(9) || !admitted(8) { // by two incarnations of the receiver
		t.Error("a guard without a store rejected a token")
	}
}

// fullStore can store nothing.
type fullStore struct{}

func (fullStore) Load() (map[string]uint64, error) { return map[string]uint64{"d": 4}, nil }
func (fullStore) Save(string, uint64) error        { return errors.New("no space left") }

func TestRunsNoEffectWhoseTokenIsNotStored(t *testing.T) {
	g, err := New(fullStore{})
	if err != nil {
		t.Fatal(err)
	}
	did := false
	if err := g.Do("d", 5, func() error { did = true; return nil }); err == nil || did {
		t.Errorf("a token that was not stored: %v, done %v", err, did)
	}
	if err := g.Do("d", 4, func() error { did = true; return nil }); err != nil || !did {
		t.Errorf("the token that is known: %v, done %v", err, did)
	}
}
