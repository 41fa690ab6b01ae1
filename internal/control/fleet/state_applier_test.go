package fleet

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/fencing"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/platform/limits"
)

// TestStateApplier: a stale fencing token is rejected, once, also after the power was cut; the node continues
// from what it applied last without the store.
func TestStateApplier(t *testing.T) {
	disk := simdisk.New(1)
	var applied []string
	open := func() (*stateApplier, *ledger.Store) {
		l, err := ledger.Open(disk, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true})
		if err != nil {
			t.Fatal(err)
		}
		applier, err := newStateApplier(l, func(s desiredstate.State) { applied = append(applied, fmt.Sprint(s.OutOfService)) })
		if err != nil {
			t.Fatal(err)
		}
		return applier, l
	}
	applier, l := open()
	for _, c := range []struct {
		text    string
		version uint64
		applied bool
		err     string
	}{
		{`{"out":true,"by":"ann"}`, 3, true, ""},
		{`{"out":false,"by":"ann"}`, 2, false, ""}, // from a member that is behind
		{`{"out":false,"duty":"drain","token":5}`, 4, true, ""},
		{`{"out":true,"duty":"drain","token":4}`, 5, false, "token 4 comes after token 5"},
		{`{"out":true,"duty":"drain","token":4}`, 5, false, ""}, // reported once
		{`{"out":maybe}`, 6, false, "can't be read"},
		{`{"out":true,"duty":"drain","token":5}`, 7, true, ""},
	} {
		ok, err := applier.observe(c.text, c.version, c.version)
		if ok != c.applied || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s at %d: %v, %v", c.text, c.version, ok, err)
		}
	}
	disk.InjectFault = func(int, simdisk.Op, string) simdisk.Fault { return simdisk.FaultNoSpace }
	if ok, err := applier.observe(`{"out":false,"by":"ann"}`, 8, 8); ok || !errors.Is(err, errNotPersisted) || applier.follower.LastApplied().Version != 7 {
		t.Errorf("a full disk: %v, %v, %+v", ok, err, applier.follower.LastApplied())
	}
	disk = disk.LosePower(1)
	_ = l.Close() // its disk is gone
	applier, l = open()
	defer func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}()
	if got := strings.Join(applied, " "); got != "true false true true" {
		t.Errorf("applied %s", got)
	}
	var stale *fencing.StaleTokenError
	if _, err := applier.observe(`{"out":false,"duty":"drain","token":4}`, 8, 8); !errors.As(err, &stale) || stale.HighestSeen != 5 {
		t.Errorf("a token from before the cut: %v", err)
	}
	if ok, err := applier.observe("", 0, 9); !ok || err != nil || applier.follower.LastApplied().State.OutOfService {
		t.Errorf("the document is gone: %v, %v", ok, err)
	}
}

// TestTokenNotDurable: a node that keeps fencing tokens only until the next power cut accepts a stale one.
// That is the mutant that TestStateApplier must see.
func TestTokenNotDurable(t *testing.T) {
	disk := simdisk.New(1)
	for i, token := range []int{5, 4} {
		l, err := ledger.Open(disk, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true, FlushInterval: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		applier, err := newStateApplier(l, func(desiredstate.State) {})
		if err != nil {
			t.Fatal(err)
		}
		ok, err := applier.observe(fmt.Sprintf(`{"out":true,"duty":"drain","token":%d}`, token), uint64(10+i), uint64(10+i))
		if !ok || err != nil {
			t.Errorf("token %d after a cut: %v, %v: the mutant is not one", token, ok, err)
		}
		disk = disk.LosePower(1)
		_ = l.Close() // its disk is gone
	}
}
