package store

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/standin"
)

// diskCluster is a set of members with data directories. Members can be stopped, restarted and added.
type diskCluster struct {
	*testCluster
	t               *testing.T
	dirs            map[string]string
	electionTimeout time.Duration
}

const (
	shortElectionTimeout = 200 * time.Millisecond
	// steadyElectionTimeout is for tests that expect the leader to stay. A leader steps down if it has no answers from a
	// majority for half of the timeout, and on a busy machine heartbeats take over 100 ms.
	steadyElectionTimeout = time.Second
)

// newDiskCluster starts members that bootstrap a store.
func newDiskCluster(t *testing.T, size int, electionTimeout time.Duration) *diskCluster {
	cluster := &diskCluster{testCluster: &testCluster{stores: map[string]*Store{}}, t: t, dirs: map[string]string{}, electionTimeout: electionTimeout}
	for i := range size {
		cluster.members = append(cluster.members, cluster.newMember(fmt.Sprint("n", i)))
	}
	for _, m := range cluster.members {
		cluster.startMember(m.Name, false)
	}
	t.Cleanup(func() {
		for _, s := range cluster.stores {
			closeStore(t, s)
		}
	})
	return cluster
}

// newMember returns a member with a data directory and addresses. Its address for operators is served until the end of
// the test.
func (cluster *diskCluster) newMember(name string) Member {
	cluster.dirs[name] = cluster.t.TempDir()
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cluster.mu.Lock()
		s := cluster.stores[name]
		cluster.mu.Unlock()
		if s == nil {
			http.Error(w, "member not running", http.StatusBadGateway)
			return
		}
		s.Handler().ServeHTTP(w, r)
	}))
	cluster.t.Cleanup(admin.Close)
	return Member{name, standin.FreeAddress(cluster.t), admin.Listener.Addr().String()}
}

func (cluster *diskCluster) startMember(name string, join bool, more ...Member) *Store {
	cluster.t.Helper()
	s, err := Open(Options{
		Name:            name,
		Members:         append(append([]Member(nil), cluster.members...), more...),
		Dir:             cluster.dirs[name],
		Join:            join,
		Logger:          standin.DiscardLogger,
		CommitTimeout:   5 * time.Second,
		ElectionTimeout: cluster.electionTimeout,
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.stores[name] = s
	return s
}

func (cluster *diskCluster) stopMember(name string) {
	cluster.t.Helper()
	cluster.mu.Lock()
	s := cluster.stores[name]
	delete(cluster.stores, name)
	cluster.mu.Unlock()
	if err := s.Close(); err != nil {
		cluster.t.Error(err)
	}
}

// write writes a document through whichever member accepts it.
func (cluster *diskCluster) write(key, value string) (r document.Result) {
	cluster.t.Helper()
	waitFor(cluster.t, key+"="+value, func() bool {
		for _, s := range cluster.stores {
			var err error
			if r, err = s.Commit(tx("id "+key+value, key, value)); err == nil {
				return true
			}
		}
		return false
	})
	return r
}

// requestLease requests a lease until the leader has answered, whichever member that is.
func (cluster *diskCluster) requestLease(task string, q LeaseRequest) (r lease.Record, err error) {
	cluster.t.Helper()
	waitFor(cluster.t, "an answer to the lease request for task "+task, func() bool {
		r, err = operator(cluster.members[0]).RequestLease(task, q)
		return err == nil || errors.Is(err, ErrConflict)
	})
	return r, err
}

// set sets an operators' value through whichever member is the leader.
func (cluster *diskCluster) set(key, value string) {
	cluster.t.Helper()
	waitFor(cluster.t, key+"="+value, func() bool {
		for _, s := range cluster.stores {
			if s.Set(key, value) == nil {
				return true
			}
		}
		return false
	})
}

func (cluster *diskCluster) expectDocument(name, key, value string) {
	cluster.t.Helper()
	waitFor(cluster.t, fmt.Sprintf("%s=%s on %s", key, value, name), func() bool {
		docs, _, _ := cluster.stores[name].Documents(key, false)
		if len(docs) == 0 {
			docs, _, _ = cluster.stores[name].Documents(key, true)
		}
		return len(docs) == 1 && docs[0].Value == value
	})
}

// changeMembers requests a change until it is accepted; it is rejected while it is not safe.
func (cluster *diskCluster) changeMembers(action, name string, at Member) {
	cluster.t.Helper()
	waitFor(cluster.t, action+" "+name, func() bool {
		c := MembershipChange{Action: action, Name: name, RaftAddress: at.RaftAddress, AdminAddress: at.AdminAddress, Author: "test", Reason: "because"}
		_, err := operator(cluster.members[1]).ChangeMembers(c)
		return err == nil
	})
}

func (cluster *diskCluster) expectExclusion(name, reason string) {
	cluster.t.Helper()
	var last string
	for deadline := time.Now().Add(standin.WaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		if last = cluster.stores[name].Members().ExclusionReason; strings.Contains(last, reason) {
			return
		}
		if time.Now().After(deadline) {
			cluster.t.Fatalf("%s: exclusion reason is %q, want one with %q", name, last, reason)
		}
	}
}

func copyDir(t *testing.T, from string) string {
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// operator returns a client for a member, as used by operators.
func operator(m Member) Client { return Client{m.AdminAddress, 5 * time.Second} }
