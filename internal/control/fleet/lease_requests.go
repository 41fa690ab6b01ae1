package fleet

import (
	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
)

// Actions of a store.LeaseRequest.
const (
	leaseAcquire  = "take"
	leaseRenew    = "renew"
	leaseHandOver = "hand-over"
)

// handOverLease releases a task's lease, so that another node need not wait until it expires. If the request fails,
// the lease expires.
func (p *Participant) handOverLease(task string, token uint64, reason string) {
	p.options.OnEvent(faulthooks.Event{What: eventLeaseGivenUp, Duty: task, N: token})
	_, err := p.requestLease(task, store.LeaseRequest{Action: leaseHandOver, Holder: p.options.Name, Token: token, Reason: reason})
	p.options.Log.Debug("handed over the lease of a task", "task", task, "token", token, "error", err)
}
