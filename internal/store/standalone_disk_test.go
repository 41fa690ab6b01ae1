package store

import (
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/testing/standin"
)

// openOnDisk opens a store without members whose data directory is on a simulated disk.
func openOnDisk(t *testing.T, simulated *simdisk.FS) (*Store, error) {
	return Open(Options{Name: "n0", Dir: t.TempDir(), CommitTimeout: standin.WaitTimeout, ElectionTimeout: 500 * time.Millisecond,
		Logger: standin.DiscardLogger, WrapFS: func(disk.FS) disk.FS { return simulated }})
}

// setUntilError sets values n0, n1 and so on until one is rejected, and returns the number of those that were acknowledged.
func setUntilError(s *Store) (acknowledged int) {
	for s.Set(KeyClosedNodes, fmt.Sprint("n", acknowledged)) == nil {
		acknowledged++
	}
	return acknowledged
}

// TestStoreWithoutMembersKeepsChangesAfterPowerLoss guards against changes that are acknowledged before they are durable. The power
// is lost during one of the first operations of the disk after the start, each of them in turn.
func TestStoreWithoutMembersKeepsChangesAfterPowerLoss(t *testing.T) {
	for seed := range uint64(24) {
		var allowed atomic.Int64 // operations until the power is lost
		allowed.Store(math.MaxInt64)
		losing := simdisk.New(seed)
		losing.InjectFault = func(int, simdisk.Op, string) simdisk.Fault {
			if allowed.Add(-1) < 0 {
				return simdisk.FaultPowerLoss
			}
			return simdisk.FaultNone
		}
		s, err := openOnDisk(t, losing)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		allowed.Store(int64(seed))
		acknowledged := setUntilError(s)
		_ = s.Close() // the disk has lost power
		restarted, err := openOnDisk(t, losing.LosePower(seed))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		got := restarted.Get(KeyClosedNodes)
		last, unacknowledged := fmt.Sprint("n", acknowledged-1), fmt.Sprint("n", acknowledged)
		if acknowledged == 0 {
			last = ""
		}
		if got != last && got != unacknowledged {
			t.Errorf("seed %d: value %q after %d acknowledged changes", seed, got, acknowledged)
		}
		closeStore(t, restarted)
	}
}

// TestStoreWithoutMembersRejectsChangesOnFullDisk guards against changes that are acknowledged but can't be written. The state
// stays readable, and changes are accepted again once there is room.
func TestStoreWithoutMembersRejectsChangesOnFullDisk(t *testing.T) {
	var full atomic.Bool
	simulated := simdisk.New(1)
	simulated.InjectFault = func(_ int, op simdisk.Op, _ string) simdisk.Fault {
		if full.Load() && op == simdisk.OpWrite {
			return simdisk.FaultNoSpace
		}
		return simdisk.FaultNone
	}
	s, err := openOnDisk(t, simulated)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Set(KeyClosedNodes, "n1"); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	if err := s.Set(KeyClosedNodes, "n2"); err == nil {
		t.Error("a change was acknowledged on a full disk")
	}
	if got := s.Get(KeyClosedNodes); got != "n1" {
		t.Errorf("value %q on a full disk, want n1", got)
	}
	full.Store(false)
	waitFor(t, "a change once there is room", func() bool { return s.Set(KeyUwsgiServers, "127.0.0.1:2") == nil })
	closeStore(t, s)
	restarted, err := openOnDisk(t, simulated.KillProcess())
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, restarted)
	if got := restarted.Get(KeyUwsgiServers); got != "127.0.0.1:2" {
		t.Errorf("value %q after a restart", got)
	}
}
