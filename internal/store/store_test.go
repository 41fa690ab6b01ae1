package store

import (
	"fmt"
	"strings"
	"testing"

	"sloehitch/internal/testing/standin"
)

func TestValuesReachAllMembers(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.awaitLeader(t)
	for i, m := range cluster.members { // a change requested of any member reaches the leader
		value := fmt.Sprintf("127.0.0.1:%d", 3000+i)
		waitFor(t, "a change through "+m.Name, func() bool { return Client{m.AdminAddress, standin.WaitTimeout}.Set(KeyUwsgiServers, value) == nil })
		cluster.expectValue(t, KeyUwsgiServers, value)
	}
	previous := cluster.awaitLeader(t)
	if err := cluster.stores[previous.Name].Close(); err != nil {
		t.Error(err)
	}
	delete(cluster.stores, previous.Name)
	next := cluster.awaitLeader(t)
	waitFor(t, "a change after the leader died", func() bool { return cluster.stores[next.Name].Set(KeyClosedNodes, "n1") == nil })
	cluster.expectValue(t, KeyClosedNodes, "n1")
	if got, err := (Client{next.AdminAddress, standin.WaitTimeout}).All(); err != nil || got[KeyClosedNodes] != "n1" || len(got) != 2 {
		t.Errorf("state %v, %v", got, err)
	}
}

func TestValuesSurviveRestart(t *testing.T) {
	cluster := &testCluster{members: []Member{{Name: "n0", RaftAddress: standin.FreeAddress(t)}}, stores: map[string]*Store{}}
	dir := t.TempDir()
	s := cluster.open(t, "n0", dir)
	cluster.awaitLeader(t)
	if err := s.Set(KeyClosedNodes, "n1"); err != nil {
		t.Fatal(err)
	}
	if err := s.raft.Load().Snapshot().Error(); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = cluster.open(t, "n0", dir)
	cluster.expectValue(t, KeyClosedNodes, "n1")
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

func TestStoreWithoutMembersValidatesValues(t *testing.T) {
	s, err := Open(Options{Name: "n0", Logger: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	var watched []string
	s.Watch(func(key, value string) { watched = append(watched, key+"="+value) })
	for _, c := range []struct {
		key, value string
		ok         bool
	}{
		{KeyClosedNodes, "n1,n2", true}, {KeyClosedNodes, "n1,n2", true}, {KeyClosedNodes, "", true}, {KeyClosedNodes, ", ", false},
		{KeyUwsgiServers, "127.0.0.1:1, 127.0.0.1:2", true}, {KeyUwsgiServers, "127.0.0.1", false}, {"other", "x", false},
	} {
		if err := s.Set(c.key, c.value); (err == nil) != c.ok {
			t.Errorf("%s=%s: %v", c.key, c.value, err)
		}
	}
	if got := strings.Join(watched, " "); got != "closed=n1,n2 closed= uwsgi-servers=127.0.0.1:1, 127.0.0.1:2" {
		t.Errorf("watched %s", got)
	}
	if _, err := Open(Options{Name: "n9", Members: []Member{{Name: "n0", RaftAddress: "127.0.0.1:0"}}, Logger: standin.DiscardLogger}); err == nil {
		t.Error("a store was opened under a name that is not a member")
	}
}
