// Package lease decides who may do a duty on behalf of the fleet, for how long, and under which fencing token. It has no
// I/O and no clock: instants come from its callers, each on a clock of its own, and no two clocks are ever compared
// (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism", 1989; the bound on drift as there).
//
// The holder counts from before it asked, the store from after it granted, so the holder's end comes first whatever the
// message took. A store whose leader has changed counts anew: it can't know when the one before began. A holder that
// stands still past its end does not know it; that is what the token is for (package fence).
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Instant is a point on one process's clock, in nanoseconds; the clock is to go on while the machine sleeps.
type Instant int64

// Add returns the instant so much later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Terms are what holder and store agree on.
type Terms struct {
	Duration     time.Duration // for which the store keeps a lease, on its own clock
	MaxDrift     float64       // how much faster or slower than true time each clock may go: 0.01 is 1%
	SafetyMargin time.Duration // by which the holder stops sooner still: for what it has begun
}

// WithDuration returns the terms of leases of another length with the same drift, and the margin in proportion.
func (t Terms) WithDuration(length time.Duration) Terms {
	return Terms{Duration: length, MaxDrift: t.MaxDrift, SafetyMargin: time.Duration(float64(t.SafetyMargin) * float64(length) / float64(t.Duration))}
}

// Validate errs on terms under which nothing could be held.
func (t Terms) Validate() error {
	switch {
	case !(t.MaxDrift >= 0 && t.MaxDrift < 0.5):
		return fmt.Errorf("lease: a drift of %v: 0 to under 0.5 is wanted", t.MaxDrift)
	case t.SafetyMargin < 0:
		return fmt.Errorf("lease: a margin of %v: 0 or more is wanted", t.SafetyMargin)
	case t.HolderDuration() <= 0:
		return fmt.Errorf("lease: a length of %v leaves nothing to hold: above %v is wanted", t.Duration, time.Duration(float64(t.SafetyMargin)*(1+t.MaxDrift)/(1-t.MaxDrift)))
	}
	return nil
}

// HolderDuration is for how long the holder may count on a lease, on its clock from before it asked.
//
// In true time the holder stops at most Hold/(1-drift) after it asked, and the store keeps the lease for at least
// Length/(1+drift) after it granted, which was no sooner. Hold = Length*(1-drift)/(1+drift) makes the two equal, and the
// margin puts the holder's end before the store's.
func (t Terms) HolderDuration() time.Duration {
	return time.Duration(float64(t.Duration)*(1-t.MaxDrift)/(1+t.MaxDrift)) - t.SafetyMargin
}

// Record is a duty's lease as the store replicates it. It has no times: each leader counts by itself.
type Record struct {
	Task      string `json:"duty"`
	Holder    string `json:"holder"` // empty: nobody, since it was given back
	Token     uint64 `json:"token"`  // only grows; a renewal keeps it
	Successor string `json:"next"`   // to whom it is being handed over: nobody else is granted it then
	Serial    uint64 `json:"serial"` // of the record: one more than that of the one it was decided on
}

// Why a lease is refused. A refusal changes nothing.
var (
	ErrHeld     = errors.New("held by another")
	ErrLost     = errors.New("no longer held under this token")
	ErrNoHolder = errors.New("a holder needs a name")
)

// HeldError tells who holds a duty, and for how long at the most.
type HeldError struct {
	Record
	Remaining time.Duration // on the store's clock, until another may be granted it
}

func (h *HeldError) Error() string {
	if h.Successor != "" {
		return fmt.Sprintf("duty %s: being handed over to %s", h.Task, h.Successor)
	}
	return fmt.Sprintf("duty %s: %v: %s, token %d, %v left", h.Task, ErrHeld, h.Holder, h.Token, h.Remaining)
}

// Unwrap has errors.Is find ErrHeld.
func (h *HeldError) Unwrap() error { return ErrHeld }

// Table is what a leader of the store decides leases by. Records are replicated; when it counts from is its own. It is not
// safe for concurrent use.
type Table struct {
	terms      Terms
	records    map[string]Record
	grantedAt  map[string]Instant // when each was granted or renewed, as seen here after it was
	tokenFloor uint64             // every token that is granted is above it
}

// NewTable returns a table without leases. It errs on terms that Check turns down.
func NewTable(t Terms) (*Table, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return (&Table{terms: t}).EmptyCopy(), nil
}

// StartLeading begins a lead: all that is held counts from now, since it may have been granted just before.
func (t *Table) StartLeading(now Instant) {
	clear(t.grantedAt)
	for duty := range t.records {
		t.grantedAt[duty] = now
	}
}

// BasedOnCurrent says whether a record was decided on the one that stands.
func (t *Table) BasedOnCurrent(r Record) bool {
	was := t.records[r.Task]
	return r.Serial == was.Serial+1 && r.Token >= was.Token && r.Token >= t.tokenFloor
}

// Apply takes a record that has been agreed on. It is called on every member, in the same order, and returns false where
// another record came between the decision and this: a lease that was renewed meanwhile can't be granted to another.
func (t *Table) Apply(r Record, now Instant) bool {
	if !t.BasedOnCurrent(r) {
		return false
	}
	t.records[r.Task], t.grantedAt[r.Task] = r, now
	return true
}

// EmptyCopy returns a table without leases on the same terms.
func (t *Table) EmptyCopy() *Table {
	return &Table{terms: t.terms, records: map[string]Record{}, grantedAt: map[string]Instant{}}
}

// Restore takes a record from a snapshot, with its serial; it counts from now.
func (t *Table) Restore(r Record, now Instant) { t.records[r.Task], t.grantedAt[r.Task] = r, now }

// RecoveredHolder is who holds all duties after a Recover, until another is granted them.
const RecoveredHolder = "(recovered)"

// Recover takes all duties from whoever holds them, after the state was put back to an earlier one: owners may be at work that it
// does not know of. Tokens go on above floor, which must be above all that were ever granted, and a duty that the state knows
// is granted to nobody for a length from now.
func (t *Table) Recover(floor uint64, now Instant) {
	t.tokenFloor = max(t.tokenFloor, floor)
	for duty, r := range t.records {
		t.records[duty] = Record{Task: duty, Holder: RecoveredHolder, Token: t.tokenFloor, Serial: r.Serial + 1}
		t.grantedAt[duty] = now
	}
}

// TokenFloor is what every token to be granted is above; SetFloor takes it from a snapshot.
func (t *Table) TokenFloor() uint64 { return t.tokenFloor }

// SetTokenFloor is Floor's counterpart.
func (t *Table) SetTokenFloor(floor uint64) { t.tokenFloor = floor }

// HighestToken is the highest token that is known of.
func (t *Table) HighestToken() uint64 {
	n := t.tokenFloor
	for _, r := range t.records {
		n = max(n, r.Token)
	}
	return n
}

// Get returns a duty's record; that of a duty that nobody had has no holder and token 0.
func (t *Table) Get(duty string) Record {
	r := t.records[duty]
	r.Task = duty
	return r
}

// Remaining is how long a duty is kept from others yet, on this clock; 0: it is free.
func (t *Table) Remaining(duty string, now Instant) time.Duration {
	r := t.records[duty]
	if r.Holder == "" {
		return 0
	}
	return max(0, t.terms.Duration-time.Duration(now-t.grantedAt[duty]))
}

// Acquire returns the record by which a duty becomes the holder's, with a token above all before. Who holds it already gets
// a new token as well: it may be a new process of the same name. Others get an error of type *Held while it is held or
// being handed over to another.
func (t *Table) Acquire(duty, holder string, now Instant) (Record, error) {
	if holder == "" || duty == "" {
		return Record{}, ErrNoHolder
	}
	was := t.Get(duty)
	left := t.Remaining(duty, now)
	if left > 0 && holder != was.Holder && holder != was.Successor {
		return Record{}, &HeldError{was, left}
	}
	// To Next at once: who hands a duty over has stopped before it says so.
	return Record{Task: duty, Holder: holder, Token: max(was.Token, t.tokenFloor) + 1, Serial: was.Serial + 1}, nil
}

// Renew returns the record by which the holder keeps the duty for another length. It is refused where the token is not
// the duty's any more, and while it is being handed over.
func (t *Table) Renew(duty, holder string, token uint64) (Record, error) {
	was := t.Get(duty)
	if was.Holder != holder || was.Token != token || was.Successor != "" || holder == "" {
		return Record{}, ErrLost
	}
	was.Serial++
	return was, nil
}

// HandOver returns the record by which the holder, which has stopped, leaves the duty to another at once; to nobody in
// particular with an empty name.
func (t *Table) HandOver(duty, holder string, token uint64, to string) (Record, error) {
	was := t.Get(duty)
	if was.Holder != holder || was.Token != token || holder == "" {
		return Record{}, ErrLost
	}
	was.Serial++
	if to == "" || to == holder {
		return Record{Task: duty, Token: token, Serial: was.Serial}, nil
	}
	was.Successor = to
	return was, nil
}

// Claim is a holder's side of one lease. It is not safe for concurrent use.
type Claim struct {
	terms       Terms
	requestedAt Instant // before the question that is open
	requests    uint64  // questions so far
	pending     bool
	token       uint64
	validUntil  Instant
	held        bool
}

// NewClaim returns a claim that holds nothing.
func NewClaim(t Terms) *Claim { return &Claim{terms: t} }

// BeginRequest is to be called before the store is asked, for a lease or a renewal. It numbers the question, so that a late answer
// to an earlier one is not taken for its answer, and counted from too late.
func (c *Claim) BeginRequest(now Instant) (requestID uint64) {
	c.requests++
	c.requestedAt, c.pending = now, true
	return c.requests
}

// HandleGrant takes the store's answer to a question; one to any but the last is passed over. An answer that comes after its
// own end changes nothing but the token.
func (c *Claim) HandleGrant(requestID, token uint64) {
	if !c.pending || requestID != c.requests || token < c.token {
		return
	}
	c.pending = false
	until := c.requestedAt.Add(c.terms.HolderDuration())
	if token > c.token || until > c.validUntil {
		c.validUntil = until
	}
	c.token, c.held = token, true
}

// HandleRejection takes a refusal of the last question: what was held is held no more.
func (c *Claim) HandleRejection(requestID uint64) {
	if requestID == c.requests {
		c.pending, c.held = false, false
	}
}

// Stop ends the claim: nothing is done under it from now on. It is called before the duty is handed over.
func (c *Claim) Stop() { c.held, c.pending = false, false }

// Holds says whether the duty may be worked at now, and under which token. It is to be asked before each step; what was
// begun before is to end within the margin or be fenced.
func (c *Claim) Holds(now Instant) (token uint64, ok bool) {
	return c.token, c.held && now < c.validUntil
}

// ValidUntil is to when the duty was last known to be held.
func (c *Claim) ValidUntil() Instant { return c.validUntil }

// RenewalDue says whether it is time to renew: a third of what may be held has gone by.
func (c *Claim) RenewalDue(now Instant) bool {
	return c.held && !c.pending && now >= c.validUntil.Add(-c.terms.HolderDuration()*2/3)
}
