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

func tx(id, key, value string, conditions ...document.Condition) document.Transaction {
	return document.Transaction{ID: id, Author: "ops", Conditions: conditions, Operations: []document.Operation{{Key: key, Value: value}}}
}

func underToken(duty string, token uint64) document.Condition {
	return document.Condition{Task: duty, Token: token}
}

// client asks one member.
func (g *group) client(i int) Client { return Client{g.members[i].AdminAddress, standin.Patience} }

// stop has a member go without a word.
func (g *group) stop(t testing.TB, name string) {
	t.Helper()
	if err := g.stores[name].Close(); err != nil {
		t.Error(err)
	}
	delete(g.stores, name)
}

func TestDocumentsAreMadeOnceOnWhicheverMember(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader(t)
	waitFor(t, "the store's id, which a new leader writes", func() bool {
		docs, _, err := g.client(0).Documents("store/", false)
		return err == nil && len(docs) == 1
	})
	var first document.Result
	waitFor(t, "a first transaction", func() (ok bool) {
		var err error
		first, err = g.client(0).Commit(tx("t1", "release", "v1"))
		return err == nil
	})
	for i := range 3 { // asked again of each member
		again, err := g.client(i).Commit(tx("t1", "release", "v1"))
		if err != nil || !again.Duplicate || again.Revision != first.Revision {
			t.Errorf("a repeat through member %d: %+v, %v", i, again, err)
		}
	}
	if _, err := g.client(1).Commit(tx("t2", "release", "v2", document.Condition{Key: "release", Version: 99})); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "version") {
		t.Errorf("a wrong version: %v", err)
	}
	if _, err := g.client(1).Commit(document.Transaction{ID: "t3", Operations: []document.Operation{{Lease: &lease.Record{Task: "d", Holder: "me", Token: 9, Serial: 1}}}}); err == nil || errors.Is(err, ErrConflict) {
		t.Errorf("a lease by a transaction: %v", err)
	}
	watched := make(chan []document.Change, 1)
	go func() {
		changes, _, _, _ := g.client(2).Changes("", first.Revision, standin.Patience)
		watched <- changes
	}()
	second, err := g.client(2).Commit(tx("t4", "release", "v2", document.Condition{Key: "release", Version: first.Revision}))
	if err != nil {
		t.Fatal(err)
	}
	if got := <-watched; len(got) != 1 || got[0].Value != "v2" || got[0].Revision != second.Revision {
		t.Errorf("watched %+v", got)
	}
	for i, m := range g.members {
		docs, seen, err := g.client(i).Documents("rel", false)
		if err != nil || !seen.Confirmed || len(docs) != 1 || docs[0].Value != "v2" {
			t.Errorf("a confirmed read through member %d: %+v, %+v, %v", i, docs, seen, err)
		}
		waitFor(t, "v2 on "+m.Name, func() bool {
			docs, seen, err := g.client(i).Documents("rel", true)
			return err == nil && !seen.Confirmed && seen.AgeMS != 0 && len(docs) == 1 && docs[0].Value == "v2"
		})
	}
	g.stop(t, leader.Name)
	next := g.leader(t)
	waitFor(t, "a repeat after the leader died", func() bool {
		again, err := Client{next.AdminAddress, standin.Patience}.Commit(tx("t4", "release", "v2", document.Condition{Key: "release", Version: first.Revision}))
		return err == nil && again.Duplicate && again.Revision == second.Revision
	})
}

func TestOneOwnerAtATime(t *testing.T) {
	g := newGroupOn(t, 3, lease.Terms{Duration: 2 * time.Second, MaxDrift: 0.02, SafetyMargin: 200 * time.Millisecond}, func() string { return "" })
	leader := g.leader(t)
	var a lease.Record
	waitFor(t, "a lease", func() (ok bool) {
		var err error
		a, err = g.client(0).RequestLease("backup", LeaseRequest{Action: "take", Holder: "A"})
		return err == nil
	})
	if _, err := g.client(1).RequestLease("backup", LeaseRequest{Action: "take", Holder: "B"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "held by another: A, token 1") {
		t.Errorf("a second owner: %v", err)
	}
	if _, err := g.client(2).Commit(tx("step 1", "backup/step", "1", underToken("backup", a.Token))); err != nil {
		t.Error(err)
	}
	// A new leader can't know when the lease began: it counts anew, and nobody else gets it before.
	g.stop(t, leader.Name)
	next := g.leader(t)
	ask := Client{next.AdminAddress, standin.Patience}
	began := time.Now()
	var b lease.Record
	waitFor(t, "the lease to lapse", func() bool {
		var err error
		b, err = ask.RequestLease("backup", LeaseRequest{Action: "take", Holder: "B"})
		return err == nil
	})
	if took := time.Since(began); took < time.Second { // 2 s less what passed since the new leader began to count
		t.Errorf("granted to another %v after the change of leader", took)
	}
	if b.Token != a.Token+1 {
		t.Errorf("token %d after %d", b.Token, a.Token)
	}
	// The old owner wakes up late: its write is turned away, its renewal too.
	if _, err := ask.Commit(tx("step 2 of A", "backup/step", "2", underToken("backup", a.Token))); !errors.Is(err, ErrConflict) {
		t.Errorf("a write under the old token: %v", err)
	}
	if _, err := ask.RequestLease("backup", LeaseRequest{Action: "renew", Holder: "A", Token: a.Token}); !errors.Is(err, ErrConflict) {
		t.Errorf("a renewal under the old token: %v", err)
	}
	if _, err := ask.RequestLease("backup", LeaseRequest{Action: "hand-over", Holder: "B", Token: b.Token, Successor: "C"}); err != nil {
		t.Error(err)
	}
	if _, err := ask.RequestLease("backup", LeaseRequest{Action: "take", Holder: "A"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "handed over to C") {
		t.Errorf("another than the next: %v", err)
	}
	c, err := ask.RequestLease("backup", LeaseRequest{Action: "take", Holder: "C"})
	if err != nil || c.Token != b.Token+1 {
		t.Errorf("the next: %+v, %v", c, err)
	}
	owners, _, err := ask.Leases()
	if err != nil || len(owners) != 1 || owners[0].Holder != "C" || owners[0].RemainingMS <= 0 {
		t.Errorf("owners %+v, %v", owners, err)
	}
	if _, err := ask.RequestLease("backup", LeaseRequest{Action: "seize", Holder: "D"}); err == nil || errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "take, renew or hand-over") {
		t.Errorf("a question that is none: %v", err)
	}
}

func TestDocumentsOutliveARestartAndASnapshot(t *testing.T) {
	g := &group{members: []Member{{Name: "n0", RaftAddress: standin.Free(t)}}, stores: map[string]*Store{}}
	dir := t.TempDir()
	s := g.open(t, "n0", dir)
	g.leader(t)
	var a lease.Record
	waitFor(t, "a lease", func() (ok bool) {
		var err error
		a, err = s.RequestLease("d", LeaseRequest{Action: "take", Holder: "A"})
		return err == nil
	})
	made, err := s.Commit(tx("1", "k", "v"))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	g.stop(t, "n0")
	s = g.open(t, "n0", dir)
	defer s.Close()
	g.leader(t)
	waitFor(t, "a repeat after the restart", func() bool {
		again, err := s.Commit(tx("1", "k", "v"))
		return err == nil && again.Duplicate && again.Revision == made.Revision
	})
	if owners, _ := s.Leases(); len(owners) != 1 || owners[0].Token != a.Token {
		t.Errorf("owners %+v", owners)
	}
	// A snapshot from before there were documents.
	if err := (*stateMachine)(s).Restore(io.NopCloser(bytes.NewReader([]byte(`{"closed":"n7"}`)))); err != nil || s.Get(KeyClosedNodes) != "n7" {
		t.Errorf("an old snapshot: %v, closed %q", err, s.Get(KeyClosedNodes))
	}
}

// TestAWatchOnAMemberThatIsBehind: a caller resumes its watch on a member that has not applied yet what the caller has seen on another. The member
// answered at once that it does not remember all changes, and a caller that did not look at that took it for no change; beside load this failed
// 2 of 60 plays of TestDocumentsAreMadeOnceOnWhicheverMember ("watched []"). It waits until it has caught up, and tells what comes then.
func TestAWatchOnAMemberThatIsBehind(t *testing.T) {
	s, err := Open(Options{Name: "n0", Logger: standin.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	first, err := s.Commit(tx("t1", "release", "v1"))
	if err != nil {
		t.Fatal(err)
	}
	if changes, _, whole := s.Changes("", first.Revision+1, 10*time.Millisecond); whole || len(changes) > 0 {
		t.Errorf("%+v, whole %v from a member that does not catch up", changes, whole)
	}
	type told struct {
		changes []document.Change
		whole   bool
	}
	watched := make(chan told, 1)
	go func() {
		changes, _, whole := s.Changes("", first.Revision+1, standin.Patience)
		watched <- told{changes, whole}
	}()
	time.Sleep(20 * time.Millisecond)
	for _, id := range []string{"t2", "t3"} {
		if _, err := s.Commit(tx(id, "release", id)); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-watched; !got.whole || len(got.changes) != 1 || got.changes[0].Value != "t3" {
		t.Errorf("%+v, want the change after the one that the caller has", got)
	}
}
