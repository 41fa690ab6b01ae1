package store

import (
	"os"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

// openFounder opens n0 with settings that name no other member, as those of a store's first member do.
func (cluster *diskCluster) openFounder() *Store {
	cluster.t.Helper()
	s, err := Open(Options{Name: "n0", Members: cluster.members[:1], Dir: cluster.dirs["n0"], Logger: standin.DiscardLogger, CommitTimeout: 5 * time.Second,
		ElectionTimeout: cluster.electionTimeout})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.stores["n0"] = s
	return s
}

// newGrownCluster starts a store that was founded by n0 alone and to which members were added, each with a vote.
func newGrownCluster(t *testing.T, electionTimeout time.Duration, added ...string) *diskCluster {
	cluster := newDiskCluster(t, 0, electionTimeout)
	cluster.members = []Member{cluster.newMember("n0")}
	founder := cluster.openFounder()
	waitFor(t, "n0 to found a store", func() bool { return founder.Members().StoreID != "" })
	for _, name := range added {
		m := cluster.newMember(name)
		cluster.startMember(name, true, m)
		waitFor(t, name+" to find the store", func() bool { return cluster.stores[name].Members().ExclusionReason == "" })
		cluster.members = append(cluster.members, m)
		cluster.changeMembersOf(m, MemberAdd)
		cluster.changeMembersOf(m, MemberPromote)
	}
	return cluster
}

// changeMembersOf makes a change of one member, whichever member leads.
func (cluster *diskCluster) changeMembersOf(m Member, action string) {
	cluster.t.Helper()
	waitFor(cluster.t, action+" "+m.Name, func() bool {
		for _, asked := range cluster.members {
			c := MembershipChange{Action: action, Name: m.Name, RaftAddress: m.RaftAddress, AdminAddress: m.AdminAddress, Author: "test", Reason: "because"}
			if _, err := operator(asked).ChangeMembers(c); err == nil {
				return true
			}
		}
		return false
	})
}

// loseDir stops n0 and starts it again with an empty directory.
func (cluster *diskCluster) loseDir() *Store {
	cluster.t.Helper()
	cluster.stopMember("n0")
	if err := os.RemoveAll(cluster.dirs["n0"]); err != nil {
		cluster.t.Fatal(err)
	}
	return cluster.openFounder()
}

// TestFounderThatLosesItsDirIsReadmitted guards against a second store with its own leader: the first member of a store, whose settings
// name no other one, came back with an empty directory and founded a store of itself alone, or voted again at once.
func TestFounderThatLosesItsDirIsReadmitted(t *testing.T) {
	cluster := newGrownCluster(t, steadyElectionTimeout, "n1", "n2")
	for _, key := range []string{"a", "b"} { // the second loss is met with the records of the first
		cluster.changeMembersOf(cluster.members[0], MemberLead)
		cluster.write(key, "1")
		storeID := cluster.stores["n1"].Members().StoreID
		founder := cluster.loseDir()
		if founder.Members().ExclusionReason == "" {
			t.Error("n0 participates as soon as it starts with an empty directory")
		}
		record := func() string {
			s := founder
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.documents.Get(votersPrefix + "n0").Value
		}
		waitFor(t, "n0 to be readmitted", func() bool {
			return strings.HasPrefix(record(), readmittedPrefix) && founder.peers.localIdentity().ReadmissionID == ""
		})
		cluster.expectDocument("n0", key, "1")
		if got := founder.Members().StoreID; got != storeID {
			t.Errorf("n0 belongs to store %q, want %q", got, storeID)
		}
	}
	cluster.changeMembersOf(cluster.members[0], MemberLead)
	cluster.write("c", "1")
	cluster.expectDocument("n1", "c", "1")
}

// TestFounderThatLosesItsDirWaitsForMajority guards against the same where the others can't take its vote away, since they are no
// majority without it: nothing may be acknowledged.
func TestFounderThatLosesItsDirWaitsForMajority(t *testing.T) {
	cluster := newGrownCluster(t, shortElectionTimeout, "n1")
	cluster.write("a", "1")
	founder := cluster.loseDir()
	for end := time.Now().Add(2 * foundingPolls * shortElectionTimeout / 4); time.Now().Before(end); time.Sleep(shortElectionTimeout / 4) {
		for _, s := range cluster.stores {
			if _, err := s.Commit(tx("t", "b", "1")); err == nil {
				t.Fatal("a change was acknowledged without a majority")
			}
		}
	}
	if m := founder.Members(); m.StoreID != "" || !strings.Contains(m.ExclusionReason, "waits until the store's leader readmits it") {
		t.Errorf("n0: %+v, want it to wait", m)
	}
}
