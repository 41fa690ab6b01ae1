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
	Length time.Duration // for which the store keeps a lease, on its own clock
	Drift  float64       // how much faster or slower than true time each clock may go: 0.01 is 1%
	Margin time.Duration // by which the holder stops sooner still: for what it has begun
}

// Of returns the terms of leases of another length with the same drift, and the margin in proportion.
func (t Terms) Of(length time.Duration) Terms {
	return Terms{Length: length, Drift: t.Drift, Margin: time.Duration(float64(t.Margin) * float64(length) / float64(t.Length))}
}

// Check errs on terms under which nothing could be held.
func (t Terms) Check() error {
	switch {
	case !(t.Drift >= 0 && t.Drift < 0.5):
		return fmt.Errorf("lease: a drift of %v: 0 to under 0.5 is wanted", t.Drift)
	case t.Margin < 0:
		return fmt.Errorf("lease: a margin of %v: 0 or more is wanted", t.Margin)
	case t.Hold() <= 0:
		return fmt.Errorf("lease: a length of %v leaves nothing to hold: above %v is wanted", t.Length, time.Duration(float64(t.Margin)*(1+t.Drift)/(1-t.Drift)))
	}
	return nil
}

// Hold is for how long the holder may count on a lease, on its clock from before it asked.
//
// In true time the holder stops at most Hold/(1-drift) after it asked, and the store keeps the lease for at least
// Length/(1+drift) after it granted, which was no sooner. Hold = Length*(1-drift)/(1+drift) makes the two equal, and the
// margin puts the holder's end before the store's.
func (t Terms) Hold() time.Duration {
	return time.Duration(float64(t.Length)*(1-t.Drift)/(1+t.Drift)) - t.Margin
}

// Record is a duty's lease as the store replicates it. It has no times: each leader counts by itself.
type Record struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"` // empty: nobody, since it was given back
	Token  uint64 `json:"token"`  // only grows; a renewal keeps it
	Next   string `json:"next"`   // to whom it is being handed over: nobody else is granted it then
	Serial uint64 `json:"serial"` // of the record: one more than that of the one it was decided on
}

// Why a lease is refused. A refusal changes nothing.
var (
	ErrHeld   = errors.New("held by another")
	ErrLost   = errors.New("no longer held under this token")
	ErrNobody = errors.New("a holder needs a name")
)

// Held tells who holds a duty, and for how long at the most.
type Held struct {
	Record
	Left time.Duration // on the store's clock, until another may be granted it
}

func (h *Held) Error() string {
	if h.Next != "" {
		return fmt.Sprintf("duty %s: being handed over to %s", h.Duty, h.Next)
	}
	return fmt.Sprintf("duty %s: %v: %s, token %d, %v left", h.Duty, ErrHeld, h.Holder, h.Token, h.Left)
}

// Unwrap has errors.Is find ErrHeld.
func (h *Held) Unwrap() error { return ErrHeld }

// Table is what a leader of the store decides leases by. Records are replicated; when it counts from is its own. It is not
// safe for concurrent use.
type Table struct {
	terms   Terms
	records map[string]Record
	since   map[string]Instant // when each was granted or renewed, as seen here after it was
	floor   uint64             // every token that is granted is above it
}

// NewTable returns a table without leases. It errs on terms that Check turns down.
func NewTable(t Terms) (*Table, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	return (&Table{terms: t}).Empty(), nil
}

// Lead begins a lead: all that is held counts from now, since it may have been granted just before.
func (t *Table) Lead(now Instant) {
	clear(t.since)
	for duty := range t.records {
		t.since[duty] = now
	}
}

// Follows says whether a record was decided on the one that stands.
func (t *Table) Follows(r Record) bool {
	was := t.records[r.Duty]
	return r.Serial == was.Serial+1 && r.Token >= was.Token && r.Token >= t.floor
}

// Applied takes a record that has been agreed on. It is called on every member, in the same order, and returns false where
// another record came between the decision and this: a lease that was renewed meanwhile can't be granted to another.
func (t *Table) Applied(r Record, now Instant) bool {
	if !t.Follows(r) {
		return false
	}
	t.records[r.Duty], t.since[r.Duty] = r, now
	return true
}

// Empty returns a table without leases on the same terms.
func (t *Table) Empty() *Table {
	return &Table{terms: t.terms, records: map[string]Record{}, since: map[string]Instant{}}
}

// Restore takes a record from a snapshot, with its serial; it counts from now.
func (t *Table) Restore(r Record, now Instant) { t.records[r.Duty], t.since[r.Duty] = r, now }

// Recovered is who holds all duties after a Recover, until another is granted them.
const Recovered = "(recovered)"

// Recover takes all duties from whoever holds them, after the state was put back to an earlier one: owners may be at work that it
// does not know of. Tokens go on above floor, which must be above all that were ever granted, and a duty that the state knows
// is granted to nobody for a length from now.
func (t *Table) Recover(floor uint64, now Instant) {
	t.floor = max(t.floor, floor)
	for duty, r := range t.records {
		t.records[duty] = Record{Duty: duty, Holder: Recovered, Token: t.floor, Serial: r.Serial + 1}
		t.since[duty] = now
	}
}

// Floor is what every token to be granted is above; SetFloor takes it from a snapshot.
func (t *Table) Floor() uint64 { return t.floor }

// SetFloor is Floor's counterpart.
func (t *Table) SetFloor(floor uint64) { t.floor = floor }

// Highest is the highest token that is known of.
func (t *Table) Highest() uint64 {
	n := t.floor
	for _, r := range t.records {
		n = max(n, r.Token)
	}
	return n
}

// Get returns a duty's record; that of a duty that nobody had has no holder and token 0.
func (t *Table) Get(duty string) Record {
	r := t.records[duty]
	r.Duty = duty
	return r
}

// Left is how long a duty is kept from others yet, on this clock; 0: it is free.
func (t *Table) Left(duty string, now Instant) time.Duration {
	r := t.records[duty]
	if r.Holder == "" {
		return 0
	}
	return max(0, t.terms.Length-time.Duration(now-t.since[duty]))
}

// Take returns the record by which a duty becomes the holder's, with a token above all before. Who holds it already gets
// a new token as well: it may be a new process of the same name. Others get an error of type *Held while it is held or
// being handed over to another.
func (t *Table) Take(duty, holder string, now Instant) (Record, error) {
	if holder == "" || duty == "" {
		return Record{}, ErrNobody
	}
	was := t.Get(duty)
	left := t.Left(duty, now)
	if left > 0 && holder != was.Holder && holder != was.Next {
		return Record{}, &Held{was, left}
	}
	// To Next at once: who hands a duty over has stopped before it says so.
	return Record{Duty: duty, Holder: holder, Token: max(was.Token, t.floor) + 1, Serial: was.Serial + 1}, nil
}

// Renew returns the record by which the holder keeps the duty for another length. It is refused where the token is not
// the duty's any more, and while it is being handed over.
func (t *Table) Renew(duty, holder string, token uint64) (Record, error) {
	was := t.Get(duty)
	if was.Holder != holder || was.Token != token || was.Next != "" || holder == "" {
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
		return Record{Duty: duty, Token: token, Serial: was.Serial}, nil
	}
	was.Next = to
	return was, nil
}

// Claim is a holder's side of one lease. It is not safe for concurrent use.
type Claim struct {
	terms Terms
	asked Instant // before the question that is open
	asks  uint64  // questions so far
	open  bool
	token uint64
	until Instant
	held  bool
}

// NewClaim returns a claim that holds nothing.
func NewClaim(t Terms) *Claim { return &Claim{terms: t} }

// Ask is to be called before the store is asked, for a lease or a renewal. It numbers the question, so that a late answer
// to an earlier one is not taken for its answer, and counted from too late.
func (c *Claim) Ask(now Instant) (question uint64) {
	c.asks++
	c.asked, c.open = now, true
	return c.asks
}

// Granted takes the store's answer to a question; one to any but the last is passed over. An answer that comes after its
// own end changes nothing but the token.
func (c *Claim) Granted(question, token uint64) {
	if !c.open || question != c.asks || token < c.token {
		return
	}
	c.open = false
	until := c.asked.Add(c.terms.Hold())
	if token > c.token || until > c.until {
		c.until = until
	}
	c.token, c.held = token, true
}

// Refused takes a refusal of the last question: what was held is held no more.
func (c *Claim) Refused(question uint64) {
	if question == c.asks {
		c.open, c.held = false, false
	}
}

// Stop ends the claim: nothing is done under it from now on. It is called before the duty is handed over.
func (c *Claim) Stop() { c.held, c.open = false, false }

// Holds says whether the duty may be worked at now, and under which token. It is to be asked before each step; what was
// begun before is to end within the margin or be fenced.
func (c *Claim) Holds(now Instant) (token uint64, ok bool) {
	return c.token, c.held && now < c.until
}

// Until is to when the duty was last known to be held.
func (c *Claim) Until() Instant { return c.until }

// Renews says whether it is time to renew: a third of what may be held has gone by.
func (c *Claim) Renews(now Instant) bool {
	return c.held && !c.open && now >= c.until.Add(-c.terms.Hold()*2/3)
}
