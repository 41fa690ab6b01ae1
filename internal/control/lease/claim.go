package lease

// Rule: when a holder may work, and when it renews.
//
// Inputs: the instants, on the holder's clock, of its requests and of each step that it is about to do.
//
//	end of the lease = instant before the request that was granted + Terms.HolderDuration
//	may work         = now < end of the lease, asked before each step
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

// NewClaim returns a claim that holds nothing.
func NewClaim(t Terms) *Claim { return &Claim{terms: t} }

// BeginRequest must be called before a request to acquire or renew is sent. The returned number identifies the request, so
// that a late response to an earlier one is not taken for its response and counted from too late.
func (c *Claim) BeginRequest(now Instant) (requestID uint64) {
	c.requests++
	c.requestedAt, c.pending = now, true
	return c.requests
}

// HandleGrant takes the response to a request; a response to any request but the last is ignored. A response that comes after
// the lease it grants has ended changes the token alone.
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

// HandleRejection takes the rejection of the last request: the lease is held no longer.
func (c *Claim) HandleRejection(requestID uint64) {
	if requestID == c.requests {
		c.pending, c.held = false, false
	}
}

// Stop ends the claim: nothing is done under it from now on. It must be called before the task is handed over.
func (c *Claim) Stop() { c.held, c.pending = false, false }

// Holds reports whether the task may be worked at now, and under which token. It must be called before each step; a step that
// was begun before the end must finish within the margin or be fenced off.
func (c *Claim) Holds(now Instant) (token uint64, ok bool) {
	return c.token, c.held && now < c.validUntil
}

// ValidUntil returns the end of the last lease that was granted.
func (c *Claim) ValidUntil() Instant { return c.validUntil }

// RenewalDue reports whether it is time to renew: a third of the lease has passed and no request is pending.
func (c *Claim) RenewalDue(now Instant) bool {
	return c.held && !c.pending && now >= c.validUntil.Add(-c.terms.HolderDuration()*2/3)
}
