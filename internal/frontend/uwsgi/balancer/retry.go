package balancer

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Rule: retries.
//
// Inputs: the failed attempt (FailedAttempt) and the retry budget.
// A request is sent to another server if no part of a response has reached the client, no attempt of the request can have run or
// it is idempotent, its body can be sent again, fewer than Config.MaxAttempts attempts were made, and more than ExpectedDuration is left
// before the deadline. The pool does not estimate how long an attempt takes and leaves ExpectedDuration at 0, so for the pool the
// last condition means that the deadline has not passed.
// A retry of a request that may have reached a server takes a token from the budget. Each first attempt adds Config.RetryRatio
// tokens and each second adds Config.MinRetriesPerSecond, up to max(10 × MinRetriesPerSecond, 20). An attempt without a connection
// cost the servers nothing, so its retry takes no token.

const (
	// initialRetryTokens is the retry budget of a new balancer.
	initialRetryTokens = 2
	// minRetryBurst is the lower bound of the budget's capacity, in retries.
	minRetryBurst = 20
	// retryBurstSeconds is the time over which tokens from MinRetriesPerSecond accumulate.
	retryBurstSeconds = 10
)

// The errors that AllowRetry returns.
var (
	ErrResponseStarted   = errors.New("part of the response was sent to the client")
	ErrNotIdempotent     = errors.New("the request may have run and is not idempotent")
	ErrBodyNotReplayable = errors.New("part of the request body is no longer buffered")
	ErrMaxAttempts       = errors.New("too many attempts")
	ErrDeadline          = errors.New("too little time is left before the deadline")
	ErrRetryBudget       = errors.New("the retry budget is used up")
)

// FailedAttempt describes a failed attempt, as input for the decision on a retry.
type FailedAttempt struct {
	Sent             bool          // the server may have received part of the request
	SentEarlier      bool          // the server of an earlier attempt may have received part of it
	Idempotent       bool          // the request may run more than once, by the semantics in force now
	BodyAvailable    bool          // the request body can be sent again
	ResponseStarted  bool          // part of the response was sent to the client
	Attempts         int           // attempts made so far, including this one
	TimeLeft         time.Duration // time until the deadline
	ExpectedDuration time.Duration // of another attempt; 0 if unknown, as it always is in the pool
}

// AllowRetry returns nil if the request may be sent to another server, or the reason why not. A retry of a request that may have
// reached a server takes a token from the retry budget.
func (b *Balancer) AllowRetry(now time.Time, a FailedAttempt) error {
	switch {
	case a.ResponseStarted:
		return ErrResponseStarted
	case (a.Sent || a.SentEarlier) && !a.Idempotent:
		return ErrNotIdempotent
	case !a.BodyAvailable:
		return ErrBodyNotReplayable
	case a.Attempts >= b.config.MaxAttempts:
		return fmt.Errorf("%w: %d", ErrMaxAttempts, a.Attempts)
	case a.TimeLeft <= a.ExpectedDuration:
		return ErrDeadline
	case a.Sent && !b.retries.withdraw(now, b.config):
		return ErrRetryBudget
	}
	return nil
}

// retryBudget is a token bucket in which each token allows one retry.
type retryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// maxRetryTokens returns the capacity of the token bucket.
func maxRetryTokens(c Config) float64 {
	return math.Max(retryBurstSeconds*c.MinRetriesPerSecond, minRetryBurst)
}

// deposit adds the tokens earned by a first attempt.
func (r *retryBudget) deposit(now time.Time, c Config) {
	r.refill(now, c)
	r.tokens = math.Min(r.tokens+c.RetryRatio, maxRetryTokens(c))
}

// withdraw takes a token, and reports whether there was one.
func (r *retryBudget) withdraw(now time.Time, c Config) bool {
	r.refill(now, c)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// refill adds the tokens earned since the last refill.
func (r *retryBudget) refill(now time.Time, c Config) {
	if !r.refilledAt.IsZero() {
		r.tokens = math.Min(maxRetryTokens(c), r.tokens+c.MinRetriesPerSecond*now.Sub(r.refilledAt).Seconds())
	}
	r.refilledAt = now
}
