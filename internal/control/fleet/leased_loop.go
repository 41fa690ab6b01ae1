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
	// maxIdleTurns is how many turns in a row a node keeps a lease with nothing to do.
	maxIdleTurns = 20
	// waitingDelayFactor is how many times the retry delay a node waits between turns without the lease.
	waitingDelayFactor = 4
)

var errLeaseLost = errors.New("the lease of the task is not held any more")

// leasedLoop runs a continuous task on one node at a time, for as long as there is anything to do. It has no
// jobs: what is done in each turn follows from the documents, in transactions under the fencing token of the
// lease.
type leasedLoop struct {
	*Participant
	task      string
	keyPrefix string // of the documents that give it something to do
	// reset forgets what an earlier holder of the lease in this process has seen.
	reset func()
	// runTurn does what there is to do. idle says that there was nothing.
	runTurn func(token uint64) (idle bool, err error)

	claim     *lease.Claim
	idleTurns int
	delay     time.Duration // until the next turn
}

// run takes turns until the context ends; then it hands the lease over.
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

// handOver gives the lease up, if it is held.
func (l *leasedLoop) handOver(reason string) {
	if token, held := l.claim.Holds(l.clock()); held {
		l.claim.Stop()
		l.handOverLease(l.task, token, reason)
	}
	l.resetClaim()
}

// turn acquires or renews the lease, and runs a turn of the task if it is held.
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
		l.log.Warn("a turn of a task failed", fmt.Errorf("%s: %w", l.task, err))
	}
	l.countIdle(idle)
}

// hasWork says whether there are documents that give the task something to do, as the preferred member has them.
func (l *leasedLoop) hasWork() bool {
	c, turn := l.preferredClient()
	docs, _, err := c.Documents(l.keyPrefix, true)
	if err != nil {
		l.skipMember(turn)
	}
	return len(docs) > 0
}

// acquire acquires the lease, or renews the one that is held. It returns whether the task may be run now, and
// under which token.
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

// countIdle hands the lease over after too many turns with nothing to do.
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
