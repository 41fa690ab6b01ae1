package store

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/testing/standin"
)

// openStandalone opens a store without members on a data directory.
func openStandalone(t *testing.T, dir string, change func(*Options)) *Store {
	t.Helper()
	o := Options{Name: "n0", Dir: dir, CommitTimeout: standin.WaitTimeout, ElectionTimeout: standin.WaitTimeout, Logger: standin.DiscardLogger}
	if change != nil {
		change(&o)
	}
	s, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeStore(t, s) })
	return s
}

// expectContents fails the test if the store lacks what TestStoreWithoutMembersKeepsChangesAfterRestart wrote.
func expectContents(t *testing.T, when string, s *Store) {
	t.Helper()
	if got := s.Get(KeyUwsgiServers); got != "127.0.0.1:2" {
		t.Errorf("%s: servers %q, want 127.0.0.1:2", when, got)
	}
	if got := s.Get(KeyClosedNodes); got != "" {
		t.Errorf("%s: closed nodes %q, want none", when, got)
	}
	documents, status, err := s.Documents("a", true)
	if err != nil || len(documents) != 1 || documents[0].Value != "1" || !status.Confirmed {
		t.Errorf("%s: documents %v, %+v, %v", when, documents, status, err)
	}
}

// TestStoreWithoutMembersKeepsChangesAfterRestart guards against the loss of acknowledged changes at a restart or kill of a daemon
// whose store has a data directory and no members.
func TestStoreWithoutMembersKeepsChangesAfterRestart(t *testing.T) {
	dir := t.TempDir()
	s := openStandalone(t, dir, nil)
	for _, err := range []error{s.Set(KeyClosedNodes, "n0"), s.Set(KeyUwsgiServers, "127.0.0.1:2"), s.Set(KeyClosedNodes, "")} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Commit(tx("x", "a", "1")); err != nil {
		t.Fatal(err)
	}
	first, err := s.RequestLease("sweep", LeaseRequest{Action: LeaseAcquire, Holder: "n0"})
	if err != nil {
		t.Fatal(err)
	}
	killed := openStandalone(t, copyDir(t, dir), nil) // as after a kill: s was not closed
	expectContents(t, "after a kill", killed)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := openStandalone(t, dir, nil)
	expectContents(t, "after a restart", restarted)
	if _, err := restarted.RequestLease("sweep", LeaseRequest{Action: LeaseAcquire, Holder: "n1"}); !errors.Is(err, lease.ErrHeld) {
		t.Errorf("a lease that n0 may still hold was requested by n1: %v", err)
	}
	if second, err := restarted.RequestLease("sweep", LeaseRequest{Action: LeaseAcquire, Holder: "n0"}); err != nil || second.Token <= first.Token {
		t.Errorf("token %d after token %d, %v", second.Token, first.Token, err)
	}
	if result, err := restarted.Commit(tx("x", "a", "1")); err != nil || !result.Duplicate {
		t.Errorf("a transaction that was committed before the restart was applied again: %+v, %v", result, err)
	}
}

// TestStoreWithoutMembersKeepsChangesAfterSnapshot guards against the loss of changes that are only in a snapshot.
func TestStoreWithoutMembersKeepsChangesAfterSnapshot(t *testing.T) {
	dir := t.TempDir()
	s := openStandalone(t, dir, nil)
	for i := range 3 {
		if err := errors.Join(s.Set(KeyClosedNodes, fmt.Sprint("n", i)), s.raft.Load().Snapshot().Error()); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(s.Set(KeyUwsgiServers, "127.0.0.1:2"), s.Close()); err != nil {
		t.Fatal(err)
	}
	restarted := openStandalone(t, dir, nil)
	if got := restarted.All(); got[KeyClosedNodes] != "n2" || got[KeyUwsgiServers] != "127.0.0.1:2" {
		t.Errorf("values %v", got)
	}
}

// watchLog records the values that a watcher gets.
type watchLog struct {
	mu   sync.Mutex
	seen []string
}

func (w *watchLog) changed(key, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, key+"="+value)
}

func (w *watchLog) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.seen, " ")
}

// TestReplacingStoreReadsDirOfReplacedProcess guards against a process that ends, or ignores the operators' state, because the
// process that it replaces still holds the data directory. Nothing may be acknowledged that the directory does not contain.
func TestReplacingStoreReadsDirOfReplacedProcess(t *testing.T) {
	dir := t.TempDir()
	old := openStandalone(t, dir, nil)
	for _, nodes := range []string{"n1", "n2", "n3"} {
		if err := old.Set(KeyClosedNodes, nodes); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Open(Options{Name: "n0", Dir: dir, ElectionTimeout: time.Second, Logger: standin.DiscardLogger}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("a directory in use was opened: %v", err)
	}
	replacing := openStandalone(t, dir, func(o *Options) { o.AwaitDir, o.ElectionTimeout = true, 200*time.Millisecond })
	var watched watchLog
	replacing.Watch(watched.changed)
	if got := replacing.Get(KeyClosedNodes); got != "n3" {
		t.Errorf("closed nodes %q while the replaced process holds the directory, want n3", got)
	}
	if err := replacing.Set(KeyClosedNodes, "n9"); !errors.Is(err, ErrNotLeader) || !strings.Contains(err.Error(), "in use") {
		t.Errorf("a change that could not be written: %v", err)
	}
	if _, _, err := replacing.Documents("", true); !errors.Is(err, ErrNotLeader) {
		t.Errorf("a read was confirmed: %v", err)
	}
	if err := old.Set(KeyClosedNodes, "n4"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the change of the replaced process", func() bool { return replacing.Get(KeyClosedNodes) == "n4" })
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the directory", func() bool { return replacing.Set(KeyClosedNodes, "n5") == nil })
	if got := watched.text(); got != "closed=n3 closed=n4 closed=n5" {
		t.Errorf("watched %s: earlier values must not be applied again", got)
	}
}

// TestStoreWithoutMembersRejectsDirOfSeveralMembers guards against a member that continues alone, without the changes of the
// others, because its list of members was removed from the settings.
func TestStoreWithoutMembersRejectsDirOfSeveralMembers(t *testing.T) {
	cluster := newDiskCluster(t, 3, shortElectionTimeout)
	cluster.write("a", "1")
	cluster.expectDocument("n0", "a", "1")
	cluster.stopMember("n0")
	alone := openStandalone(t, cluster.dirs["n0"], nil)
	if err := alone.Set(KeyClosedNodes, "n1"); !errors.Is(err, ErrNotLeader) || !strings.Contains(err.Error(), "n0, n1, n2") {
		t.Errorf("a change without the other members: %v", err)
	}
	if reason := alone.Members().ExclusionReason; !strings.Contains(reason, "n0, n1, n2") {
		t.Errorf("exclusion reason %q", reason)
	}
}

// TestStoreGetsMembersLater checks that a data directory is kept when a list of members is added to the settings and removed
// again, and that a store without members rejects changes of the members.
func TestStoreGetsMembersLater(t *testing.T) {
	dir := t.TempDir()
	s := openStandalone(t, dir, nil)
	if err := s.ChangeMembers(MembershipChange{Action: MemberAdd, Name: "n1", RaftAddress: "127.0.0.1:1"}); !errors.Is(err, ErrChangeRejected) {
		t.Errorf("a member was added to a store without members: %v", err)
	}
	if err := errors.Join(s.Set(KeyClosedNodes, "n1"), s.Close()); err != nil {
		t.Fatal(err)
	}
	listed := openStandalone(t, dir, func(o *Options) {
		o.Members, o.ElectionTimeout = []Member{{Name: "n0", RaftAddress: standin.FreeAddress(t)}}, shortElectionTimeout
	})
	waitFor(t, "a change by the member", func() bool { return listed.Set(KeyUwsgiServers, "127.0.0.1:2") == nil })
	if err := listed.Close(); err != nil {
		t.Fatal(err)
	}
	again := openStandalone(t, dir, nil)
	if got := again.All(); got[KeyClosedNodes] != "n1" || got[KeyUwsgiServers] != "127.0.0.1:2" {
		t.Errorf("values %v", got)
	}
}
