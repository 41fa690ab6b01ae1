package store

import (
	"errors"
	"strings"
	"testing"
)

// TestChangesMembersWhileRunning checks changes of the members while the store runs. A member is added, catches up, and
// is given a vote and the leadership; the former leader is removed and excluded; a change that would lose the majority
// is rejected; and the history records all changes.
func TestChangesMembersWhileRunning(t *testing.T) {
	cluster := newDiskCluster(t, 3, steadyElectionTimeout)
	cluster.write("a", "1")
	n3 := cluster.newMember("n3")
	cluster.startMember("n3", true, n3)
	waitFor(t, "n3 to find the store", func() bool { return cluster.stores["n3"].Members().ExclusionReason == "" })
	cluster.changeMembers(MemberAdd, "n3", n3)
	cluster.changeMembers(MemberAdd, "n3", n3) // a repetition has no effect
	cluster.expectDocument("n3", "a", "1")
	m, err := operator(cluster.members[0]).Members(false)
	if err != nil || len(m.Members) != 4 || m.Members[3].Voter || m.StoreID == "" || m.Members[3].AdminAddress != n3.AdminAddress {
		t.Errorf("members after n3 was added: %+v, %v", m, err)
	}
	cluster.changeMembers(MemberPromote, "n3", n3)
	cluster.changeMembers(MemberLead, "n3", n3)
	waitFor(t, "n3 to lead", func() bool { l, _ := cluster.stores["n0"].Leader(); return l.Name == "n3" })
	cluster.write("b", "2") // through n3, which the others' settings do not list
	cluster.changeMembers(MemberRemove, "n0", n3)
	cluster.expectExclusion("n0", "removed")
	if _, err := operator(n3).ChangeMembers(MembershipChange{Action: MemberRemove, Name: "n3"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "transfer the leadership to another member first") {
		t.Errorf("removal of the leader: %v", err)
	}
	cluster.stopMember("n0")
	cluster.startMember("n0", false)
	cluster.expectExclusion("n0", "was removed from the store")
	cluster.stopMember("n0")
	cluster.stopMember("n2")
	if _, err := operator(n3).ChangeMembers(MembershipChange{Action: MemberRemove, Name: "n1", Author: "test"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "n2 has not answered") {
		t.Errorf("a removal that leaves no majority: %v", err)
	}
	if _, err := operator(n3).ChangeMembers(MembershipChange{Action: "unknown", Name: "n1"}); err == nil || errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "add, promote, remove or lead") {
		t.Errorf("an unknown action: %v", err)
	}
	changes, _, _, err := operator(n3).Changes("", 0, 0)
	var reasons []string
	for _, c := range changes {
		if c.Author == "test" && strings.HasSuffix(c.Reason, ": because") {
			reasons = append(reasons, strings.TrimSuffix(c.Reason, ": because"))
		}
	}
	if got := strings.Join(reasons, ", "); err != nil || got != "add n3, promote n3, lead n3, remove n0" {
		t.Errorf("changes in the history: %s (%v)", got, err)
	}
}
