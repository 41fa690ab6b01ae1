package store

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/standin"
)

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(standin.WaitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// testCluster is a set of members on the loopback interface, each with an address for operators.
type testCluster struct {
	members []Member
	stores  map[string]*Store
	terms   lease.Terms // zero: DefaultLeaseTerms
	mu      sync.Mutex  // guards stores in tests that access it from other goroutines
}

func (cluster *testCluster) open(t testing.TB, name, dir string) *Store {
	t.Helper()
	s, err := Open(Options{Name: name, Members: cluster.members, Dir: dir, CommitTimeout: standin.WaitTimeout, ElectionTimeout: 200 * time.Millisecond, Logger: standin.DiscardLogger, LeaseTerms: cluster.terms})
	if err != nil {
		t.Fatal(err)
	}
	cluster.stores[name] = s
	return s
}

func newCluster(t testing.TB, size int) *testCluster {
	return newClusterOn(t, size, lease.Terms{}, func() string { return "" })
}

// newClusterOn starts members whose data directories are returned by dir; "" means in memory.
func newClusterOn(t testing.TB, size int, terms lease.Terms, dir func() string) *testCluster {
	t.Helper()
	cluster := &testCluster{stores: map[string]*Store{}, terms: terms}
	var admins []*httptest.Server
	for i := range size {
		admin := httptest.NewUnstartedServer(nil)
		admins = append(admins, admin)
		cluster.members = append(cluster.members, Member{fmt.Sprint("n", i), standin.FreeAddress(t), admin.Listener.Addr().String()})
	}
	for i, m := range cluster.members {
		admins[i].Config.Handler = cluster.open(t, m.Name, dir()).Handler()
		admins[i].Start()
	}
	t.Cleanup(func() {
		for _, a := range admins {
			a.Close()
		}
		for _, s := range cluster.stores {
			closeStore(t, s)
		}
	})
	return cluster
}

func (cluster *testCluster) awaitLeader(t testing.TB) (leader Member) {
	t.Helper()
	waitFor(t, "one leader", func() bool {
		names := map[string]int{}
		for _, s := range cluster.stores {
			if m, known := s.Leader(); known && cluster.stores[m.Name] != nil {
				leader = m
				names[m.Name]++
			}
		}
		return len(names) == 1 && names[leader.Name] == len(cluster.stores)
	})
	return leader
}

func (cluster *testCluster) expectValue(t testing.TB, key, value string) {
	t.Helper()
	waitFor(t, key+"="+value+" on all members", func() bool {
		for _, s := range cluster.stores {
			if s.Get(key) != value {
				return false
			}
		}
		return true
	})
}

// client returns a client for member i.
func (cluster *testCluster) client(i int) Client {
	return Client{cluster.members[i].AdminAddress, standin.WaitTimeout}
}

// stop closes a member's store.
func (cluster *testCluster) stop(t testing.TB, name string) {
	t.Helper()
	if err := cluster.stores[name].Close(); err != nil {
		t.Error(err)
	}
	delete(cluster.stores, name)
}

func tx(id, key, value string, conditions ...document.Condition) document.Transaction {
	return document.Transaction{ID: id, Author: "ops", Conditions: conditions, Operations: []document.Operation{{Key: key, Value: value}}}
}

func underToken(task string, token uint64) document.Condition {
	return document.Condition{Task: task, Token: token}
}

// closeStore closes a store at the end of a test.
func closeStore(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
