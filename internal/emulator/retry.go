package emulator

import (
	"time"

	"sloehitch/internal/node"
)

// This file holds the callers' retry rules. If a response does not serve the request, the caller either fails over to
// the next node at once (TryAllNodes) or sends a retry after a delay, as long as retries are left. Each retry after a
// delay also takes a token from the balancer's retry budget: each request adds RetryBudget tokens, up to maxRetryTokens.

// maxRetryTokens bounds the retry tokens that a balancer accumulates.
const maxRetryTokens = 10

// mayFailOver reports whether a rejected request is sent to the next node at once.
func (r *request) mayFailOver(response node.Response) bool {
	return r.TryAllNodes && response.Status == node.StatusRejected && r.retriesLeft > 0 && (!response.NoFailover || !r.balancer.honorsRetryAfter)
}

// mayRetry reports whether a request is retried after a delay, and takes the retry token for it.
func (r *request) mayRetry(response node.Response) bool {
	return !r.TryAllNodes && r.retriesLeft > 0 && (!response.NoFailover || !r.HonorRetryAfter) && r.balancer.spendRetryToken(r.RetryBudget)
}

// retryDelay returns the node's Retry-After if callers honor it, and the fixed backoff otherwise.
func (r *request) retryDelay(response node.Response) time.Duration {
	if r.HonorRetryAfter && response.RetryAfter > 0 {
		return response.RetryAfter
	}
	return r.Backoff
}

// retryAfter sends the next attempt after a delay, unless the client has given up by then.
func (r *request) retryAfter(delay time.Duration) {
	if r.OnStep != nil {
		r.emit(r.template.RequestID, "", "", EventBackoff, delay.String())
	}
	r.clock.AfterFunc(delay, func() {
		if !r.finished {
			r.send()
		}
	})
}

// spendRetryToken takes one token and reports whether there was one. A budget of 0 is unbounded.
func (b *balancer) spendRetryToken(budget float64) bool {
	if budget == 0 {
		return true
	}
	if b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}
