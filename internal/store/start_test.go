package store

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

// TestExcludesMemberOnWrongDataDir checks that a member is excluded if it starts on an older copy of its data
// directory, an empty one, another member's or another store's, and participates with its own.
func TestExcludesMemberOnWrongDataDir(t *testing.T) {
	cluster := newDiskCluster(t, 3, shortElectionTimeout)
	cluster.write("a", "1")
	cluster.expectDocument("n2", "a", "1")
	cluster.stopMember("n2")
	own := cluster.dirs["n2"]
	older := copyDir(t, own)
	cluster.startMember("n2", false)
	cluster.write("a", "2")
	cluster.expectDocument("n2", "a", "2")
	cluster.stopMember("n2")

	cluster.checkOlderCopy(older)
	cluster.dirs["n2"] = t.TempDir()
	cluster.startMember("n2", false)
	cluster.expectExclusion("n2", "it is empty")
	cluster.stopMember("n2")
	if _, err := Open(Options{Name: "n1", Members: cluster.members, Dir: own, ElectionTimeout: time.Second, Logger: standin.DiscardLogger}); err == nil || !strings.Contains(err.Error(), "belongs to member n2, but this is member n1") {
		t.Errorf("another member's directory: %v", err)
	}
	cluster.checkOtherStore()

	cluster.startMember("n0", false)
	cluster.dirs["n2"] = own
	cluster.startMember("n2", false)
	cluster.write("a", "3")
	cluster.expectDocument("n2", "a", "3")
	if reason := cluster.stores["n2"].Members().ExclusionReason; reason != "" {
		t.Errorf("excluded with its own directory: %s", reason)
	}
}

// checkOlderCopy starts n2 on an older copy of its data directory. It must be excluded, also after a restart of all
// members.
func (cluster *diskCluster) checkOlderCopy(older string) {
	t := cluster.t
	t.Helper()
	cluster.dirs["n2"] = older
	cluster.startMember("n2", false)
	cluster.expectExclusion("n2", "it is an older copy")
	if _, err := cluster.stores["n2"].Commit(tx("x", "x", "x")); !errors.Is(err, ErrNotLeader) || !strings.Contains(err.Error(), "older copy") {
		t.Errorf("a change through an excluded member: %v", err)
	}
	waitFor(t, "the removal of others to be rejected for the reason that n2 reports", func() bool {
		reported := false
		for _, name := range []string{"n0", "n1"} { // one of them leads
			_, err := operator(cluster.members[1]).ChangeMembers(MembershipChange{Action: MemberRemove, Name: name, Author: "test"})
			reported = reported || err != nil && strings.Contains(err.Error(), "n2 is excluded (") && strings.Contains(err.Error(), "it is an older copy")
		}
		return reported
	})
	cluster.stopMember("n2")
	cluster.stopMember("n0")
	cluster.stopMember("n1")
	cluster.startMember("n2", false) // none of the members that remember its progress is running
	cluster.expectExclusion("n2", "it is an older copy")
	cluster.startMember("n0", false)
	cluster.startMember("n1", false)
	cluster.stopMember("n2")
}

// checkOtherStore starts n0 on the data directory of another store's n0, which must be excluded, and stops it again.
func (cluster *diskCluster) checkOtherStore() {
	t := cluster.t
	t.Helper()
	other := newDiskCluster(t, 1, shortElectionTimeout)
	waitFor(t, "the other store's id", func() bool { return other.stores["n0"].Members().StoreID != "" })
	other.stopMember("n0")
	cluster.stopMember("n0")
	own := cluster.dirs["n0"]
	cluster.dirs["n0"] = other.dirs["n0"]
	cluster.startMember("n0", false)
	cluster.expectExclusion("n0", "another store's directory")
	cluster.stopMember("n0")
	cluster.dirs["n0"] = own
}

// TestCountsEachPeerOfOlderVersion checks that members whose version does not support the identity request are counted as
// separate answers.
func TestCountsEachPeerOfOlderVersion(t *testing.T) {
	members := []Member{{Name: "n0", RaftAddress: standin.FreeAddress(t)}}
	for i := range 4 {
		m := Member{Name: fmt.Sprint("n", i+1), RaftAddress: standin.FreeAddress(t), AdminAddress: standin.FreeAddress(t)}
		if i < 2 {
			old := httptest.NewServer(http.NotFoundHandler())
			defer old.Close()
			m.AdminAddress = old.Listener.Addr().String()
		}
		members = append(members, m)
	}
	s, err := Open(Options{Name: "n0", Members: members, Dir: t.TempDir(), CommitTimeout: time.Second, ElectionTimeout: 200 * time.Millisecond, Logger: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeStore(t, s) })
	waitFor(t, "raft to start after two of four answers", func() bool { return s.raft.Load() != nil })
}
