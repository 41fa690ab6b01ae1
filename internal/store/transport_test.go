package store

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
	"sloehitch/internal/testing/standin"
)

// TestJoiningMemberWithholdsVotes checks that a joining member grants no vote while its data directory is empty, and passes
// vote requests to raft afterwards.
func TestJoiningMemberWithholdsVotes(t *testing.T) {
	listenLocal := func() (*transport, raft.ServerAddress) {
		address := standin.FreeAddress(t)
		l, err := listen(transportOptions{
			address:    address,
			timeout:    time.Second,
			maxPool:    3,
			logger:     standin.DiscardLogger,
			addressOf:  func(id raft.ServerID) (raft.ServerAddress, error) { return raft.ServerAddress(id), nil },
			verify:     func(raft.ServerAddress, time.Duration) error { return nil },
			onProgress: func(string, quorum.Progress) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := l.Close(); err != nil {
				t.Error(err)
			}
		})
		return l, raft.ServerAddress(address)
	}
	candidate, _ := listenLocal()
	joined, address := listenLocal()
	var empty atomic.Bool
	empty.Store(true)
	joined.withholdVotesWhile(empty.Load)
	go func() {
		rpc := <-joined.Consumer()
		rpc.Respond(&raft.RequestVoteResponse{Granted: true}, nil)
	}()
	for _, want := range []bool{false, true} {
		var got raft.RequestVoteResponse
		if err := candidate.RequestVote(raft.ServerID(address), address, &raft.RequestVoteRequest{Term: 3}, &got); err != nil || got.Granted != want {
			t.Errorf("granted: %v, %v, want %v", got.Granted, err, want)
		}
		empty.Store(false)
	}
}
