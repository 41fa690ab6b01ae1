package lease

// Rule: when a holder may work, and when it renews its lease.
//
// Inputs: the instants, on the holder's clock, of its requests and of each step that it is about to begin.
//
//	end of the lease = instant before the granted request was sent + Terms.HolderDuration
//	may work         = now < end of the lease, checked before each step
//	renew            = now >= end of the lease - HolderDuration * 2/3
//
// Renewing after a third of the lease leaves two thirds of it for retries.

// Claim is the holder's side of one lease. It is not safe for concurrent use.
type Claim struct {
	terms       Terms
	requestedAt Instant // before the pending request was sent
	requests    uint64  // number of requests so far
	pending     bool
	token       uint64
	validUntil  Instant
	held        bool
}

// NewClaim returns a claim without a lease.
func NewClaim(t Terms) *Claim { return &Claim{terms: t} }

// BeginRequest must be called before a request to acquire or renew is sent. The returned number identifies the request, so
// that a late response to an earlier request is not taken for the response to this one, which would extend the lease for
// too long.
func (c *Claim) BeginRequest(now Instant) (requestID uint64) {
	c.requests++
	c.requestedAt, c.pending = now, true
	return c.requests
}

// HandleGrant handles the grant of a request; the response to any request but the last is ignored. A response that arrives
// after the lease it grants has ended does not make the task held: Holds returns false from the end of the lease.
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

// HandleRejection handles the rejection of the last request: the lease is no longer held.
func (c *Claim) HandleRejection(requestID uint64) {
	if requestID == c.requests {
		c.pending, c.held = false, false
	}
}

// Stop ends the claim: no step may begin under it any more. It must be called before the task is handed over.
func (c *Claim) Stop() { c.held, c.pending = false, false }

// Holds reports whether the holder may work on the task now, and under which token. It must be called before each step; a
// step that began before the end of the lease must finish within the safety margin or be rejected by its fencing token.
func (c *Claim) Holds(now Instant) (token uint64, ok bool) {
	return c.token, c.held && now < c.validUntil
}

// ValidUntil returns the end of the last granted lease.
func (c *Claim) ValidUntil() Instant { return c.validUntil }

// RenewalDue reports whether the lease must be renewed now: a third of it has passed, and no request is pending.
func (c *Claim) RenewalDue(now Instant) bool {
	return c.held && !c.pending && now >= c.validUntil.Add(-c.terms.HolderDuration()*2/3)
}
