package store

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/standin"
)

// TestCommitsOncePerIDOnAnyMember checks that a transaction is committed once per id, whichever member receives the
// requests, and that its change can be watched and read on all members, also after the leader has died.
func TestCommitsOncePerIDOnAnyMember(t *testing.T) {
	cluster := newCluster(t, 3)
	leader := cluster.awaitLeader(t)
	waitFor(t, "the store's id, which a new leader writes", func() bool {
		documents, _, err := cluster.client(0).Documents("store/", false)
		return err == nil && len(documents) == 1
	})
	var first document.Result
	waitFor(t, "a first transaction", func() (ok bool) {
		var err error
		first, err = cluster.client(0).Commit(tx("t1", "release", "v1"))
		return err == nil
	})
	for i := range 3 {
		repeat, err := cluster.client(i).Commit(tx("t1", "release", "v1"))
		if err != nil || !repeat.Duplicate || repeat.Revision != first.Revision {
			t.Errorf("a repeat through member %d: %+v, %v", i, repeat, err)
		}
	}
	cluster.checkRejected(t)
	watched := make(chan []document.Change, 1)
	go func() {
		changes, _, _, _ := cluster.client(2).Changes("", first.Revision, standin.WaitTimeout)
		watched <- changes
	}()
	next := tx("t4", "release", "v2", document.Condition{Key: "release", Version: first.Revision})
	second, err := cluster.client(2).Commit(next)
	if err != nil {
		t.Fatal(err)
	}
	if got := <-watched; len(got) != 1 || got[0].Value != "v2" || got[0].Revision != second.Revision {
		t.Errorf("watched %+v", got)
	}
	cluster.checkReads(t, "v2")
	cluster.stop(t, leader.Name)
	leader = cluster.awaitLeader(t)
	waitFor(t, "a repeat after the leader died", func() bool {
		again, err := Client{leader.AdminAddress, standin.WaitTimeout}.Commit(next)
		return err == nil && again.Duplicate && again.Revision == second.Revision
	})
}

// checkRejected sends transactions that must be rejected.
func (cluster *testCluster) checkRejected(t *testing.T) {
	t.Helper()
	wrongVersion := tx("t2", "release", "v2", document.Condition{Key: "release", Version: 99})
	if _, err := cluster.client(1).Commit(wrongVersion); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "version") {
		t.Errorf("a wrong version: %v", err)
	}
	record := lease.Record{Task: "d", Holder: "me", Token: 9, Serial: 1}
	withLease := document.Transaction{ID: "t3", Operations: []document.Operation{{Lease: &record}}}
	if _, err := cluster.client(1).Commit(withLease); err == nil || errors.Is(err, ErrConflict) {
		t.Errorf("a transaction with a lease: %v", err)
	}
}

// checkReads reads the document "release" from each member, confirmed and local.
func (cluster *testCluster) checkReads(t *testing.T, value string) {
	t.Helper()
	for i, m := range cluster.members {
		documents, status, err := cluster.client(i).Documents("rel", false)
		if err != nil || !status.Confirmed || len(documents) != 1 || documents[0].Value != value {
			t.Errorf("a confirmed read through member %d: %+v, %+v, %v", i, documents, status, err)
		}
		waitFor(t, value+" on "+m.Name, func() bool {
			documents, status, err := cluster.client(i).Documents("rel", true)
			return err == nil && !status.Confirmed && status.AgeMS != 0 && len(documents) == 1 && documents[0].Value == value
		})
	}
}

func TestDocumentsSurviveSnapshotAndRestart(t *testing.T) {
	cluster := &testCluster{members: []Member{{Name: "n0", RaftAddress: standin.FreeAddress(t)}}, stores: map[string]*Store{}}
	dir := t.TempDir()
	s := cluster.open(t, "n0", dir)
	cluster.awaitLeader(t)
	var a lease.Record
	waitFor(t, "a lease", func() (ok bool) {
		var err error
		a, err = s.RequestLease("d", LeaseRequest{Action: LeaseAcquire, Holder: "A"})
		return err == nil
	})
	committed, err := s.Commit(tx("1", "k", "v"))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	cluster.stop(t, "n0")
	s = cluster.open(t, "n0", dir)
	t.Cleanup(func() { closeStore(t, s) })
	cluster.awaitLeader(t)
	waitFor(t, "a repeat after the restart", func() bool {
		again, err := s.Commit(tx("1", "k", "v"))
		return err == nil && again.Duplicate && again.Revision == committed.Revision
	})
	if leases, _ := s.Leases(); len(leases) != 1 || leases[0].Token != a.Token {
		t.Errorf("leases %+v", leases)
	}
	// A snapshot written before documents existed.
	if err := (*stateMachine)(s).Restore(io.NopCloser(bytes.NewReader([]byte(`{"closed":"n7"}`)))); err != nil || s.Get(KeyClosedNodes) != "n7" {
		t.Errorf("an old snapshot: %v, closed %q", err, s.Get(KeyClosedNodes))
	}
}

// TestWatchWaitsForLaggingMember checks that a watcher can resume on a member that has not yet applied what the
// watcher has seen on another. The member waits until it has caught up and returns the changes after that. It must not
// return at once as if the changes were no longer remembered.
func TestWatchWaitsForLaggingMember(t *testing.T) {
	s, err := Open(Options{Name: "n0", Logger: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	first, err := s.Commit(tx("t1", "release", "v1"))
	if err != nil {
		t.Fatal(err)
	}
	if changes, _, ok := s.Changes("", first.Revision+1, 10*time.Millisecond); ok || len(changes) > 0 {
		t.Errorf("%+v, ok %v from a member that stays behind", changes, ok)
	}
	type result struct {
		changes []document.Change
		ok      bool
	}
	watched := make(chan result, 1)
	go func() {
		changes, _, ok := s.Changes("", first.Revision+1, standin.WaitTimeout)
		watched <- result{changes, ok}
	}()
	time.Sleep(20 * time.Millisecond)
	for _, id := range []string{"t2", "t3"} {
		if _, err := s.Commit(tx(id, "release", id)); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-watched; !got.ok || len(got.changes) != 1 || got.changes[0].Value != "t3" {
		t.Errorf("%+v, want the change after the requested revision", got)
	}
}

// TestInvalidDocumentIsRejected guards against the acknowledgement of a document on which nodes can't act: the reason is reported, and
// the last valid version stays in force.
func TestInvalidDocumentIsRejected(t *testing.T) {
	s := openStandalone(t, "", func(o *Options) {
		o.CheckDocument = func(key, value string) error {
			if key == "budget" && value != "valid" {
				return errors.New("no bound is set")
			}
			return nil
		}
	})
	if _, err := s.Commit(tx("1", "budget", "valid")); err != nil {
		t.Fatal(err)
	}
	invalid := tx("2", "budget", "invalid")
	invalid.Operations = append(invalid.Operations, document.Operation{Key: "other", Value: "1"})
	if _, err := s.Commit(invalid); !errors.Is(err, ErrChangeRejected) || !strings.Contains(err.Error(), "no bound is set") {
		t.Errorf("error %v, want a rejection with the reason", err)
	}
	if got, _, err := s.Documents("", true); err != nil || len(got) != 1 || got[0].Value != "valid" {
		t.Errorf("documents %+v, %v; want the valid one alone", got, err)
	}
	deletion := tx("3", "budget", "")
	deletion.Operations[0].Delete = true
	if _, err := s.Commit(deletion); err != nil {
		t.Errorf("deletion: %v", err)
	}
}
