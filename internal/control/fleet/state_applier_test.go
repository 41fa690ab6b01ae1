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

// TestStaleTokenIsRejectedAfterPowerFailure: a stale fencing token is rejected and reported once, also after a
// power failure. After a restart the node continues from the last applied state without the store.
func TestStaleTokenIsRejectedAfterPowerFailure(t *testing.T) {
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
		{`{"out":false,"by":"ann"}`, 2, false, ""}, // from a member of the store that lags behind
		{`{"out":false,"duty":"drain","token":5}`, 4, true, ""},
		{`{"out":true,"duty":"drain","token":4}`, 5, false, "duty drain: token 4 is lower than token 5, the highest seen: another owner has taken over"},
		{`{"out":true,"duty":"drain","token":4}`, 5, false, ""}, // reported only once
		{`{"out":maybe}`, 6, false, "cannot decode the desired state: invalid character 'm'"},
		{`{"out":true,"duty":"drain","token":5}`, 7, true, ""},
	} {
		ok, err := applier.observe(c.text, c.version, c.version)
		if ok != c.applied || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s at version %d: applied %v, error %v", c.text, c.version, ok, err)
		}
	}
	disk.InjectFault = func(int, simdisk.Op, string) simdisk.Fault { return simdisk.FaultNoSpace }
	if ok, err := applier.observe(`{"out":false,"by":"ann"}`, 8, 8); ok || !errors.Is(err, errNotPersisted) || applier.follower.LastApplied().Version != 7 {
		t.Errorf("on a full disk: applied %v, error %v, last applied %+v; want errNotPersisted and version 7", ok, err, applier.follower.LastApplied())
	}
	disk = disk.LosePower(1)
	_ = l.Close() // fails: its disk has lost power
	applier, l = open()
	defer func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}()
	if got := strings.Join(applied, " "); got != "true false true true" {
		t.Errorf("applied states %s, want true false true, and true again after the restart", got)
	}
	var stale *fencing.StaleTokenError
	if _, err := applier.observe(`{"out":false,"duty":"drain","token":4}`, 8, 8); !errors.As(err, &stale) || stale.HighestSeen != 5 {
		t.Errorf("a token that was stale before the power failure: %v, want a StaleTokenError with highest token 5", err)
	}
	if ok, err := applier.observe("", 0, 9); !ok || err != nil || applier.follower.LastApplied().State.OutOfService {
		t.Errorf("after the document was deleted: applied %v, error %v, want the node in service", ok, err)
	}
}

// TestStaleTokenIsAcceptedWithoutDurableTokens shows that a node that loses its fencing tokens in a power failure
// accepts a stale token, so that TestStaleTokenIsRejectedAfterPowerFailure would fail without durable tokens.
func TestStaleTokenIsAcceptedWithoutDurableTokens(t *testing.T) {
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
			t.Errorf("token %d after a power failure: applied %v, error %v; want it accepted, because the ledger was not flushed", token, ok, err)
		}
		disk = disk.LosePower(1)
		_ = l.Close() // fails: its disk has lost power
	}
}
