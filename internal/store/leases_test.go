package store

import (
	"errors"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/testing/standin"
)

func TestLeaseHasOneHolderAtATime(t *testing.T) {
	cluster := newClusterOn(t, 3, lease.Terms{Duration: 2 * time.Second, MaxDrift: 0.02, SafetyMargin: 200 * time.Millisecond}, func() string { return "" })
	leader := cluster.awaitLeader(t)
	var a lease.Record
	waitFor(t, "a lease", func() (ok bool) {
		var err error
		a, err = cluster.client(0).RequestLease("backup", LeaseRequest{Action: LeaseAcquire, Holder: "A"})
		return err == nil
	})
	if _, err := cluster.client(1).RequestLease("backup", LeaseRequest{Action: LeaseAcquire, Holder: "B"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "held by another: A, token 1") {
		t.Errorf("a lease that is held by another: %v", err)
	}
	if _, err := cluster.client(2).Commit(tx("step 1", "backup/step", "1", underToken("backup", a.Token))); err != nil {
		t.Error(err)
	}
	// A new leader can't know when the lease was granted: it restarts the timing, and grants the lease to nobody else
	// before its full duration is over.
	cluster.stop(t, leader.Name)
	next := cluster.awaitLeader(t)
	client := Client{next.AdminAddress, standin.WaitTimeout}
	began := time.Now()
	var b lease.Record
	waitFor(t, "the lease to expire", func() bool {
		var err error
		b, err = client.RequestLease("backup", LeaseRequest{Action: LeaseAcquire, Holder: "B"})
		return err == nil
	})
	if took := time.Since(began); took < time.Second { // 2 s, less the time since the new leader restarted the timing
		t.Errorf("granted to another %v after the change of leader", took)
	}
	if b.Token != a.Token+1 {
		t.Errorf("token %d after %d", b.Token, a.Token)
	}
	// The previous holder is still active: its write and its renewal are rejected.
	if _, err := client.Commit(tx("step 2 of A", "backup/step", "2", underToken("backup", a.Token))); !errors.Is(err, ErrConflict) {
		t.Errorf("a write under the old token: %v", err)
	}
	if _, err := client.RequestLease("backup", LeaseRequest{Action: LeaseRenew, Holder: "A", Token: a.Token}); !errors.Is(err, ErrConflict) {
		t.Errorf("a renewal under the old token: %v", err)
	}
	if _, err := client.RequestLease("backup", LeaseRequest{Action: LeaseHandOver, Holder: "B", Token: b.Token, Successor: "C"}); err != nil {
		t.Error(err)
	}
	if _, err := client.RequestLease("backup", LeaseRequest{Action: LeaseAcquire, Holder: "A"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "handed over to C") {
		t.Errorf("a holder other than the successor: %v", err)
	}
	c, err := client.RequestLease("backup", LeaseRequest{Action: LeaseAcquire, Holder: "C"})
	if err != nil || c.Token != b.Token+1 {
		t.Errorf("the successor: %+v, %v", c, err)
	}
	leases, _, err := client.Leases()
	if err != nil || len(leases) != 1 || leases[0].Holder != "C" || leases[0].RemainingMS <= 0 {
		t.Errorf("leases %+v, %v", leases, err)
	}
	if _, err := client.RequestLease("backup", LeaseRequest{Action: "seize", Holder: "D"}); err == nil || errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "take, renew or hand-over") {
		t.Errorf("an unknown action: %v", err)
	}
}
