package store

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/testing/standin"
)

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(standin.Patience); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// group is some members on loopback, each with its operators' address.
type group struct {
	members []Member
	stores  map[string]*Store
	terms   lease.Terms // zero: the ordinary ones
	mu      sync.Mutex  // over stores, where other goroutines look into them
}

func (g *group) open(t testing.TB, name, dir string) *Store {
	t.Helper()
	s, err := Open(Options{Name: name, Members: g.members, Dir: dir, CommitTimeout: standin.Patience, ElectionTimeout: 200 * time.Millisecond, Logger: standin.Quiet, LeaseTerms: g.terms})
	if err != nil {
		t.Fatal(err)
	}
	g.stores[name] = s
	return s
}

func newGroup(t testing.TB, size int) *group {
	return newGroupOn(t, size, lease.Terms{}, func() string { return "" })
}

// newGroupOn has its members' folders made by dir; "": in memory.
func newGroupOn(t testing.TB, size int, terms lease.Terms, dir func() string) *group {
	t.Helper()
	g := &group{stores: map[string]*Store{}, terms: terms}
	var admins []*httptest.Server
	for i := range size {
		admin := httptest.NewUnstartedServer(nil)
		admins = append(admins, admin)
		g.members = append(g.members, Member{fmt.Sprint("n", i), standin.Free(t), admin.Listener.Addr().String()})
	}
	for i, m := range g.members {
		admins[i].Config.Handler = g.open(t, m.Name, dir()).Handler()
		admins[i].Start()
	}
	t.Cleanup(func() {
		for _, a := range admins {
			a.Close()
		}
		for _, s := range g.stores {
			s.Close()
		}
	})
	return g
}

func (g *group) leader(t testing.TB) (leader Member) {
	t.Helper()
	waitFor(t, "one leader", func() bool {
		names := map[string]int{}
		for _, s := range g.stores {
			if m, known := s.Leader(); known && g.stores[m.Name] != nil {
				leader = m
				names[m.Name]++
			}
		}
		return len(names) == 1 && names[leader.Name] == len(g.stores)
	})
	return leader
}

func (g *group) all(t testing.TB, key, value string) {
	t.Helper()
	waitFor(t, key+"="+value+" on all members", func() bool {
		for _, s := range g.stores {
			if s.Get(key) != value {
				return false
			}
		}
		return true
	})
}

func TestMembersAgree(t *testing.T) {
	g := newGroup(t, 3)
	g.leader(t)
	for i, m := range g.members { // asked of any member, a change reaches the leader
		value := fmt.Sprintf("127.0.0.1:%d", 3000+i)
		waitFor(t, "a change through "+m.Name, func() bool { return Client{m.AdminAddress, standin.Patience}.Set(KeyUwsgiServers, value) == nil })
		g.all(t, KeyUwsgiServers, value)
	}
	old := g.leader(t)
	if err := g.stores[old.Name].Close(); err != nil {
		t.Error(err)
	}
	delete(g.stores, old.Name)
	next := g.leader(t)
	waitFor(t, "a change after the leader died", func() bool { return g.stores[next.Name].Set(KeyClosedNodes, "n1") == nil })
	g.all(t, KeyClosedNodes, "n1")
	if got, err := (Client{next.AdminAddress, standin.Patience}).All(); err != nil || got[KeyClosedNodes] != "n1" || len(got) != 2 {
		t.Errorf("state %v, %v", got, err)
	}
}

func TestStateOutlivesARestart(t *testing.T) {
	g := &group{members: []Member{{Name: "n0", RaftAddress: standin.Free(t)}}, stores: map[string]*Store{}}
	dir := t.TempDir()
	s := g.open(t, "n0", dir)
	g.leader(t)
	if err := s.Set(KeyClosedNodes, "n1"); err != nil {
		t.Fatal(err)
	}
	if err := s.raft.Load().Snapshot().Error(); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = g.open(t, "n0", dir)
	g.all(t, KeyClosedNodes, "n1")
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

func TestAlone(t *testing.T) {
	s, err := Open(Options{Name: "n0", Logger: standin.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	var seen []string
	s.Watch(func(key, value string) { seen = append(seen, key+"="+value) })
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
	if got := strings.Join(seen, " "); got != "closed=n1,n2 closed= uwsgi-servers=127.0.0.1:1, 127.0.0.1:2" {
		t.Errorf("watched %s", got)
	}
	if _, err := Open(Options{Name: "n9", Members: []Member{{Name: "n0", RaftAddress: "127.0.0.1:0"}}, Logger: standin.Quiet}); err == nil {
		t.Error("opened by no member")
	}
}
