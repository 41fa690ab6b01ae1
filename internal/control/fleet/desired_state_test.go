package fleet

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/standin"
)

// TestFollowsOwnDesiredStateOnly: a node applies its own desired state and not that of a node whose name begins
// with its own, ignores invalid documents, and follows again after its connections to the store were closed.
func TestFollowsOwnDesiredStateOnly(t *testing.T) {
	s, err := store.Open(store.Options{Name: "s", CommitTimeout: time.Second, Logger: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}()
	admin := httptest.NewServer(s.Handler())
	defer admin.Close()
	applied := make(chan bool, 10)
	p, err := New(Options{Name: "n1", StoreMembers: []string{admin.Listener.Addr().String()}, ReportInterval: 50 * time.Millisecond, SilentAfter: time.Hour, RequestTimeout: 200 * time.Millisecond,
		RetryDelay: 10 * time.Millisecond, LeaseTerms: store.DefaultLeaseTerms, ApplyDesiredState: func(s desiredstate.State) { applied <- s.OutOfService }, Log: standin.DiscardLogger})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { p.Serve(ctx); close(done) }()
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
				t.Errorf("applied out of service: %v, want %v", got, out)
			}
		case <-time.After(standin.WaitTimeout):
			t.Fatal("no desired state was applied")
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
	standin.WaitFor(t, "the node to report the applied state", func() bool {
		docs, _, _ := s.Documents("node/n1", true)
		return len(docs) == 1 && strings.Contains(docs[0].Value, `"out":true`)
	})
	cancel()
	<-done
	if len(applied) > 0 {
		t.Error("more desired states were applied than were written")
	}
}
