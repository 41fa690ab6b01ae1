package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/fencing"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/simdisk"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/standin"
)

// TestWishes: an owner that was overtaken is turned away, told once, also after the power was cut; the node goes on from what it
// applied last without hearing the store.
func TestWishes(t *testing.T) {
	disk := simdisk.New(1)
	var applied []string
	open := func() (*stateApplier, *ledger.Store) {
		l, err := ledger.Open(disk, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true})
		if err != nil {
			t.Fatal(err)
		}
		w, err := newStateApplier(l, func(s desiredstate.State) { applied = append(applied, fmt.Sprint(s.OutOfService)) })
		if err != nil {
			t.Fatal(err)
		}
		return w, l
	}
	w, l := open()
	for _, c := range []struct {
		text    string
		version uint64
		applied bool
		err     string
	}{
		{`{"out":true,"by":"ann"}`, 3, true, ""},
		{`{"out":false,"by":"ann"}`, 2, false, ""}, // from a member that is behind
		{`{"out":false,"duty":"drain","token":5}`, 4, true, ""},
		{`{"out":true,"duty":"drain","token":4}`, 5, false, "token 4 comes after token 5"},
		{`{"out":true,"duty":"drain","token":4}`, 5, false, ""}, // told once
		{`{"out":maybe}`, 6, false, "can't be read"},
		{`{"out":true,"duty":"drain","token":5}`, 7, true, ""},
	} {
		ok, err := w.observe(c.text, c.version, c.version)
		if ok != c.applied || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s at %d: %v, %v", c.text, c.version, ok, err)
		}
	}
	disk.Decide = func(int, simdisk.Op, string) simdisk.Fault { return simdisk.ENOSPC }
	if ok, err := w.observe(`{"out":false,"by":"ann"}`, 8, 8); ok || !errors.Is(err, errNotPersisted) || w.follower.LastApplied().Version != 7 {
		t.Errorf("a full disk: %v, %v, %+v", ok, err, w.follower.LastApplied())
	}
	disk = disk.Cut(1)
	l.Close()
	w, l = open()
	defer l.Close()
	if got := strings.Join(applied, " "); got != "true false true true" {
		t.Errorf("applied %s", got)
	}
	var stale *fencing.StaleTokenError
	if _, err := w.observe(`{"out":false,"duty":"drain","token":4}`, 8, 8); !errors.As(err, &stale) || stale.HighestSeen != 5 {
		t.Errorf("an owner of before the cut: %v", err)
	}
	if ok, err := w.observe("", 0, 9); !ok || err != nil || w.follower.LastApplied().State.OutOfService {
		t.Errorf("the document is gone: %v, %v", ok, err)
	}
}

// TestTokenNotDurable: a node that keeps tokens no better than until the next cut lets an overtaken owner through; that is the
// mutant which TestWishes has to see.
func TestTokenNotDurable(t *testing.T) {
	disk := simdisk.New(1)
	for i, token := range []int{5, 4} {
		l, err := ledger.Open(disk, ledger.Options{Limits: limits.ForLedger(1 << 20), Manual: true, Flush: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		w, err := newStateApplier(l, func(desiredstate.State) {})
		if err != nil {
			t.Fatal(err)
		}
		ok, err := w.observe(fmt.Sprintf(`{"out":true,"duty":"drain","token":%d}`, token), uint64(10+i), uint64(10+i))
		if !ok || err != nil {
			t.Errorf("token %d after a cut: %v, %v: the mutant is none", token, ok, err)
		}
		disk = disk.Cut(1)
		l.Close()
	}
}

// TestFollow: a node applies what is wanted of it, and of no other, and goes on as it is while the store is away.
func TestFollow(t *testing.T) {
	s, err := store.Open(store.Options{Name: "s", CommitTimeout: time.Second, Logger: standin.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	admin := httptest.NewServer(s.Handler())
	defer admin.Close()
	applied := make(chan bool, 10)
	f, err := New(Options{Name: "n1", StoreMembers: []string{admin.Listener.Addr().String()}, ReportInterval: 50 * time.Millisecond, SilentAfter: time.Hour, RequestTimeout: 200 * time.Millisecond,
		RetryDelay: 10 * time.Millisecond, LeaseTerms: store.DefaultLeaseTerms, ApplyDesiredState: func(s desiredstate.State) { applied <- s.OutOfService }, Log: standin.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Serve(ctx); close(done) }()
	put := func(key, value string) {
		t.Helper()
		if r, err := s.Commit(document.Transaction{ID: fmt.Sprint(key, value, time.Now().UnixNano()), Author: "test", Operations: []document.Operation{{Key: desiredstate.KeyPrefix + key, Value: value, Delete: value == ""}}}); err != nil || !r.Committed {
			t.Fatal(r, err)
		}
	}
	expect := func(out bool) {
		t.Helper()
		select {
		case got := <-applied:
			if got != out {
				t.Errorf("out: %v, want %v", got, out)
			}
		case <-time.After(standin.Patience):
			t.Fatal("nothing was applied")
		}
	}
	put("n10", `{"out":true}`)
	put("n1", `{"out":true}`)
	expect(true)
	put("n1", `{"out":`)
	put("n1", "")
	expect(false)
	admin.CloseClientConnections()
	put("n1", `{"out":true,"by":"ann"}`)
	expect(true)
	standin.WaitFor(t, "the report to say so", func() bool {
		docs, _, _ := s.Documents("node/n1", true)
		return len(docs) == 1 && strings.Contains(docs[0].Value, `"out":true`)
	})
	cancel()
	<-done
	if len(applied) > 0 {
		t.Error("more was applied than was wanted")
	}
}
