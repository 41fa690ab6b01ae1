// Package lease decides which node may do a task on behalf of the fleet, for how long, and under which fencing token. It
// performs no I/O and reads no clock: its callers pass instants of their own clocks in.
//
// The parts:
//
//   - Terms (terms.go): how long a holder may rely on a lease, given how wrong clocks may go.
//   - Table (table.go, grant.go): the store's side. A leader decides by it on requests to acquire, renew and hand over.
//   - Claim (claim.go): the holder's side of one lease.
//
// No two clocks are ever compared (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
// cache consistency", 1989). The holder counts from before it sent its request, the store from after it granted the lease,
// so the holder's end comes first however long the message took. A new leader of the store restarts the count of every
// lease, since it can't know when the previous leader began it. A holder that is paused past its end does not notice;
// receivers of its effects reject it by its token (package fencing).
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Errors of requests for a lease. A rejected request changes nothing.
var (
	ErrHeld     = errors.New("held by another")
	ErrLost     = errors.New("no longer held under this token")
	ErrNoHolder = errors.New("a holder needs a name")
)

// RecoveredHolder is the holder of every task after Table.Recover, until another is granted it.
const RecoveredHolder = "(recovered)"

// Record is the lease of one task as the store replicates it. It holds no times: each leader counts by its own clock.
type Record struct {
	Task      string `json:"duty"`
	Holder    string `json:"holder"` // empty: released
	Token     uint64 `json:"token"`  // fencing token: grows with each grant, unchanged by a renewal
	Successor string `json:"next"`   // to whom the lease is being handed over; nobody else is granted it meanwhile
	Serial    uint64 `json:"serial"` // version of the record: one more than that of the record it was decided on
}

// HeldError reports who holds a task. It wraps ErrHeld.
type HeldError struct {
	Record
	Remaining time.Duration // on the store's clock, until another may be granted the task
}

func (h *HeldError) Error() string {
	if h.Successor != "" {
		return fmt.Sprintf("duty %s: being handed over to %s", h.Task, h.Successor)
	}
	return fmt.Sprintf("duty %s: %v: %s, token %d, %v left", h.Task, ErrHeld, h.Holder, h.Token, h.Remaining)
}

// Unwrap returns ErrHeld.
func (h *HeldError) Unwrap() error { return ErrHeld }
