package store

import (
	"strings"
	"testing"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestRecoversFromLostMajority checks that after the permanent loss of the majority one member continues alone from its
// data directory, under a new store id, with revisions and tokens above all earlier ones. A lost member that returns is
// excluded, and can be added again with an empty directory.
func TestRecoversFromLostMajority(t *testing.T) {
	cluster := newDiskCluster(t, 3, shortElectionTimeout)
	cluster.write("a", "1")
	for name := range cluster.stores {
		cluster.expectDocument(name, "a", "1")
	}
	lease, err := cluster.requestLease("d", LeaseRequest{Action: LeaseAcquire, Holder: "A"})
	if err != nil {
		t.Fatal(err)
	}
	revision := cluster.write("b", "1").Revision
	cluster.expectDocument("n0", "b", "1")
	storeID := cluster.stores["n0"].Members().StoreID
	for _, m := range cluster.members {
		cluster.stopMember(m.Name)
	}
	cluster.recoverMember(storeID)
	s := cluster.startMember("n0", false)
	waitFor(t, "n0 to lead alone", func() bool { return s.Barrier() == nil })
	cluster.expectDocument("n0", "b", "1")
	if m := s.Members(); m.StoreID == storeID || len(m.Members) != 1 {
		t.Errorf("members after the recovery: %+v", m)
	}
	if next := cluster.write("c", "1"); next.Revision <= revision+limits.LostChanges {
		t.Errorf("revision %d after %d", next.Revision, revision)
	}
	other, err := cluster.requestLease("e", LeaseRequest{Action: LeaseAcquire, Holder: "B"})
	if err != nil || other.Token <= lease.Token+1<<32 {
		t.Errorf("lease %+v after %+v, %v", other, lease, err)
	}
	cluster.checkLostMember(s)
}

// recoverMember recovers n0 from its own data directory, after checking that other directories are rejected.
func (cluster *diskCluster) recoverMember(storeID string) {
	t := cluster.t
	t.Helper()
	if _, err := Recover(t.TempDir(), cluster.members[0], standin.DiscardLogger); err == nil || !strings.Contains(err.Error(), "empty") {
		t.Errorf("an empty directory was recovered: %v", err)
	}
	dir := cluster.dirs["n0"]
	if _, err := Recover(dir, cluster.members[1], standin.DiscardLogger); err == nil || !strings.Contains(err.Error(), "belongs to member n0, but this is member n1") {
		t.Errorf("another member's directory was recovered: %v", err)
	}
	if d, err := InspectDataDir(dir, "n0", standin.DiscardLogger); err != nil || d.Name != "n0" || d.StoreID != storeID || d.Voters != 3 || d.Progress.Index == 0 {
		t.Errorf("InspectDataDir before the recovery: %+v, %v", d, err)
	}
	before, err := Recover(dir, cluster.members[0], standin.DiscardLogger)
	if err != nil || before.StoreID != storeID {
		t.Fatalf("Recover returned %+v, %v", before, err)
	}
}

// checkLostMember restarts n1: with its old data directory it is excluded, with an empty one it can be added again.
func (cluster *diskCluster) checkLostMember(leader *Store) {
	t := cluster.t
	t.Helper()
	cluster.startMember("n1", false)
	cluster.expectExclusion("n1", "another store's directory")
	cluster.stopMember("n1")
	cluster.dirs["n1"] = t.TempDir()
	cluster.startMember("n1", true)
	waitFor(t, "n1 to find the store", func() bool { return cluster.stores["n1"].Members().ExclusionReason == "" })
	n1 := cluster.members[1]
	for _, action := range []string{MemberAdd, MemberPromote} {
		waitFor(t, action, func() bool {
			return leader.ChangeMembers(MembershipChange{Action: action, Name: "n1", RaftAddress: n1.RaftAddress, AdminAddress: n1.AdminAddress}) == nil
		})
	}
	cluster.expectDocument("n1", "c", "1")
}
