package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

const (
	// maxIdleTurns is for how many successive idle turns a node keeps the lease.
	maxIdleTurns = 20
	// waitingDelayFactor multiplies the retry delay between turns while the lease is not held.
	waitingDelayFactor = 4
)

var errLeaseLost = errors.New("lease of the task is no longer held")

// leasedLoop runs a continuous task on one node at a time, as long as there is anything to do. The task has no jobs:
// each turn decides by the documents, and commits transactions under the fencing token of the lease.
type leasedLoop struct {
	*Participant
	task      string
	keyPrefix string // of the documents that the task works on
	// reset discards the task's state from an earlier lease of this process.
	reset func()
	// runTurn runs one turn of the task. idle is set if there was nothing to do.
	runTurn func(token uint64) (idle bool, err error)

	claim     *lease.Claim
	idleTurns int
	delay     time.Duration // until the next turn
}

// run runs turns until the context ends, and then hands the lease over.
func (l *leasedLoop) run(ctx context.Context) {
	l.resetClaim()
	defer l.handOver("this node leaves")
	for {
		l.turn()
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.delay):
		}
	}
}

func (l *leasedLoop) resetClaim() {
	l.claim = lease.NewClaim(l.options.LeaseTerms)
	l.reset()
}

// handOver hands the lease over if it is held.
func (l *leasedLoop) handOver(reason string) {
	if token, held := l.claim.Holds(l.clock()); held {
		l.claim.Stop()
		l.handOverLease(l.task, token, reason)
	}
	l.resetClaim()
}

// turn acquires or renews the lease if necessary, and runs a turn of the task if the lease is held.
func (l *leasedLoop) turn() {
	l.delay = l.options.RetryDelay
	token, held := l.claim.Holds(l.clock())
	if !held {
		l.delay = waitingDelayFactor * l.options.RetryDelay
		if !l.hasWork() {
			return
		}
	}
	if !held || l.claim.RenewalDue(l.clock()) {
		if token, held = l.acquire(token, held); !held {
			return
		}
	}
	idle, err := l.runTurn(token)
	if err != nil {
		l.log.Warn("turn of a continuous task failed", fmt.Errorf("%s: %w", l.task, err))
	}
	l.countIdle(idle)
}

// hasWork reports whether the preferred member has documents that the task works on.
func (l *leasedLoop) hasWork() bool {
	c, memberIndex := l.preferredClient()
	docs, _, err := c.Documents(l.keyPrefix, true)
	if err != nil {
		l.skipMember(memberIndex)
	}
	return len(docs) > 0
}

// acquire acquires the lease, or renews it if renew is set. It returns the fencing token, and whether the lease is
// held now.
func (l *leasedLoop) acquire(token uint64, renew bool) (newToken uint64, held bool) {
	request := store.LeaseRequest{Action: leaseAcquire, Holder: l.options.Name}
	if renew {
		request.Action, request.Token = leaseRenew, token
	} else {
		l.resetClaim()
	}
	requestID := l.claim.BeginRequest(l.clock())
	record, err := l.requestLease(l.task, request)
	switch {
	case errors.Is(err, store.ErrConflict):
		l.claim.HandleRejection(requestID)
		return 0, false
	case err != nil:
		return 0, false
	}
	l.claim.HandleGrant(requestID, record.Token)
	l.options.OnEvent(faulthooks.Event{What: eventLeaseHeld, Duty: l.task, N: record.Token, Until: l.claim.ValidUntil()})
	return l.claim.Holds(l.clock())
}

// countIdle counts successive idle turns, and hands the lease over after more than maxIdleTurns.
func (l *leasedLoop) countIdle(idle bool) {
	if !idle {
		l.idleTurns = 0
		return
	}
	l.idleTurns++
	if l.idleTurns > maxIdleTurns {
		l.idleTurns = 0
		l.handOver("nothing to do")
	}
}

// transactWhileHeld commits a transaction while the lease is held. The error is store.ErrConflict if a
// condition did not hold.
func (l *leasedLoop) transactWhileHeld(t document.Transaction) error {
	if _, held := l.claim.Holds(l.clock()); !held {
		return errLeaseLost
	}
	_, err := l.transact(t)
	return err
}
