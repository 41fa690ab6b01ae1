// Package lease decides which node may perform a task on behalf of the fleet, for how long, and under which fencing token. It
// performs no I/O and reads no clock: callers pass instants of their own clocks.
//
// The parts:
//
//   - Terms (terms.go): how long a holder may rely on a lease, given the maximum drift of the clocks.
//   - Table (table.go, grant.go): the store's side. The leader uses it to decide on requests to acquire, renew and hand over.
//   - Claim (claim.go): the holder's side of one lease.
//
// The clocks of two machines are never compared (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism
// for distributed file cache consistency", 1989). The holder measures the lease from before it sent its request, the
// store from after it granted the lease, so the lease ends at the holder first, whatever the message delay. A new
// leader of the store restarts every lease, since it can't know when the previous leader granted it. A holder that is
// paused beyond the end of its lease does not notice; receivers of its effects reject it by its token (package
// fencing).
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
	ErrNoHolder = errors.New("the name of the task or the holder is empty")
)

// RecoveredHolder is the holder of every task after Table.Recover, until the task is granted to a candidate.
const RecoveredHolder = "(recovered)"

// Record is the lease of one task as the store replicates it. It contains no times: each leader uses its own clock.
type Record struct {
	Task      string `json:"duty"`
	Holder    string `json:"holder"` // empty: released
	Token     uint64 `json:"token"`  // fencing token: increases with each grant, unchanged by a renewal
	Successor string `json:"next"`   // candidate that the lease is being handed over to; no other can acquire it meanwhile
	Serial    uint64 `json:"serial"` // version of the record: one more than that of the record it was decided on
}

// HeldError reports who holds a task. It wraps ErrHeld.
type HeldError struct {
	Record
	Remaining time.Duration // time until the task can be granted to another candidate, on the store's clock
}

func (h *HeldError) Error() string {
	if h.Successor != "" {
		return fmt.Sprintf("duty %s: being handed over to %s", h.Task, h.Successor)
	}
	return fmt.Sprintf("duty %s: %v: %s, token %d, %v left", h.Task, ErrHeld, h.Holder, h.Token, h.Remaining)
}

// Unwrap returns ErrHeld.
func (h *HeldError) Unwrap() error { return ErrHeld }
