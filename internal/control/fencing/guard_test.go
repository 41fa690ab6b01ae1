package fencing

import (
	"errors"
	"testing"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/platform/limits"
)

// openLedger opens a ledger on a simulated disk.
func openLedger(t *testing.T, d *simdisk.FS) *ledger.Store {
	t.Helper()
	s, err := ledger.Open(d, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRejectsTokensBelowHighestSeen checks that a token lower than one seen before is rejected, even after a power
// cut while an effect is in progress.
func TestRejectsTokensBelowHighestSeen(t *testing.T) {
	disk := simdisk.New(1)
	s := openLedger(t, disk)
	g, err := New(LedgerTokenStore{s})
	if err != nil {
		t.Fatal(err)
	}
	var done []uint64
	admit := func(g *Guard, token uint64) error {
		return g.Do("release", token, func() error { done = append(done, token); return nil })
	}
	for _, c := range []struct {
		token uint64
		ok    bool
	}{{0, false}, {3, true}, {2, false}, {3, true}, {7, true}, {6, false}} {
		err := admit(g, c.token)
		var stale *StaleTokenError
		if (err == nil) != c.ok || err != nil && !errors.As(err, &stale) {
			t.Errorf("token %d: %v", c.token, err)
		}
	}
	if g.RejectedCount() != 3 || len(done) != 3 {
		t.Errorf("%d effects were rejected and those of tokens %v were run, want 3 and 3", g.RejectedCount(), done)
	}
	if err := g.Do("another", 1, func() error { return nil }); err != nil {
		t.Errorf("the first token of another task was rejected: %v", err)
	}
	_ = g.Do("release", 9, func() error { disk = disk.LosePower(1); return errors.New("the power was cut") })
	s = openLedger(t, disk)
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	if g, err = New(LedgerTokenStore{s}); err != nil {
		t.Fatal(err)
	}
	if err := admit(g, 8); err == nil {
		t.Error("token 8 was admitted after the power cut though token 9 had been admitted before")
	}
	if err := admit(g, 9); err != nil {
		t.Error(err)
	}
}

// forgetfulStore reports success without storing tokens.
type forgetfulStore struct{}

func (forgetfulStore) Load() (map[string]uint64, error) { return map[string]uint64{}, nil }
func (forgetfulStore) Save(string, uint64) error        { return nil }

// TestGuardAdmitsStaleTokenIfStoreSavesNothing shows that a guard whose store saves no tokens admits a superseded
// owner after a restart, so that TestRejectsTokensBelowHighestSeen would fail with such a store.
func TestGuardAdmitsStaleTokenIfStoreSavesNothing(t *testing.T) {
	admitted := func(token uint64) bool {
		g, err := New(forgetfulStore{})
		if err != nil {
			t.Fatal(err)
		}
		return g.Do("release", token, func() error { return nil }) == nil
	}
	if !admitted(9) || !admitted(8) { // by two incarnations of the receiver
		t.Error("a guard whose store saves nothing rejected a token after a restart")
	}
}

// failingStore fails to save any token.
type failingStore struct{}

func (failingStore) Load() (map[string]uint64, error) { return map[string]uint64{"d": 4}, nil }
func (failingStore) Save(string, uint64) error        { return errors.New("no space left") }

func TestRunsNoEffectWhoseTokenIsNotStored(t *testing.T) {
	g, err := New(failingStore{})
	if err != nil {
		t.Fatal(err)
	}
	ran := false
	if err := g.Do("d", 5, func() error { ran = true; return nil }); err == nil || ran {
		t.Errorf("with a token that can't be stored: %v, effect run: %v, want an error and no effect", err, ran)
	}
	if err := g.Do("d", 4, func() error { ran = true; return nil }); err != nil || !ran {
		t.Errorf("with a token that is stored already: %v, effect run: %v", err, ran)
	}
}
