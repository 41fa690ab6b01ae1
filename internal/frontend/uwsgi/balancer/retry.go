package balancer

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Rule: retries.
//
// Inputs: what is known of the failed attempt (FailedAttempt), and the retry budget.
// A request is sent to another server if nothing of a response has reached the client, it can't have run or is idempotent, its
// body can be sent once more, fewer than Config.MaxAttempts were made, and more than ExpectedDuration is left before the deadline.
// The pool does not estimate how long an attempt takes and leaves ExpectedDuration 0, so that last condition says there that the
// deadline has not passed.
// A retry that may repeat work takes a token of the budget. Each first attempt adds Config.RetryRatio tokens and each second
// Config.MinRetriesPerSecond, up to max(10 × MinRetriesPerSecond, 20). An attempt that never got a connection cost the servers
// nothing, so its retry takes none.

const (
	// initialRetryTokens are the retries that a new balancer allows.
	initialRetryTokens = 2
	// minRetryBurst is the least number of retries that can be saved up.
	minRetryBurst = 20
	// retryBurstSeconds is the time for which retries of MinRetriesPerSecond can be saved up.
	retryBurstSeconds = 10
)

// The reasons for which AllowRetry refuses.
var (
	ErrResponseStarted   = errors.New("part of the response was sent to the client")
	ErrNotIdempotent     = errors.New("the request may have run and is not idempotent")
	ErrBodyNotReplayable = errors.New("part of the request's body is no longer buffered")
	ErrMaxAttempts       = errors.New("too many attempts")
	ErrDeadline          = errors.New("too little time is left before the deadline")
	ErrRetryBudget       = errors.New("the retry budget is used up")
)

// FailedAttempt describes a failed attempt as far as it matters for a retry.
type FailedAttempt struct {
	Sent             bool          // the server may have got some of the request
	Idempotent       bool          // the request may run twice
	BodyAvailable    bool          // the request's body can be sent once more
	ResponseStarted  bool          // part of the response was sent to the client
	Attempts         int           // so far, this one included
	TimeLeft         time.Duration // until the deadline
	ExpectedDuration time.Duration // of another attempt; 0: unknown, as the pool always leaves it
}

// AllowRetry returns nil if the request may be sent to another server, which takes a token of the retry budget, or the reason
// why not.
func (b *Balancer) AllowRetry(now time.Time, a FailedAttempt) error {
	switch {
	case a.ResponseStarted:
		return ErrResponseStarted
	case a.Sent && !a.Idempotent:
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

// retryBudget is a token bucket; a token is a retry.
type retryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// maxRetryTokens returns how many tokens can be saved up.
func maxRetryTokens(c Config) float64 {
	return math.Max(retryBurstSeconds*c.MinRetriesPerSecond, minRetryBurst)
}

// deposit adds the tokens of one first attempt.
func (r *retryBudget) deposit(now time.Time, c Config) {
	r.refill(now, c)
	r.tokens = math.Min(r.tokens+c.RetryRatio, maxRetryTokens(c))
}

// withdraw takes a token, and says whether there was one.
func (r *retryBudget) withdraw(now time.Time, c Config) bool {
	r.refill(now, c)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// refill adds the tokens that have come with time.
func (r *retryBudget) refill(now time.Time, c Config) {
	if !r.refilledAt.IsZero() {
		r.tokens = math.Min(maxRetryTokens(c), r.tokens+c.MinRetriesPerSecond*now.Sub(r.refilledAt).Seconds())
	}
	r.refilledAt = now
}
