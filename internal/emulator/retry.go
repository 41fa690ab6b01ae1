package emulator

import (
	"time"

	"sloehitch/internal/node"
)

// This file holds the callers' retry rules. After a response that did not serve a request a caller either fails over to
// the next node at once (TryAllNodes) or waits and sends a retry, as long as retries are left. Retries also take a token
// of the balancer's retry budget: each first attempt adds RetryBudget tokens, and maxRetryTokens can be saved up.

// maxRetryTokens bounds the retry tokens that a balancer saves up.
const maxRetryTokens = 10

// mayFailOver says whether a rejected request goes to the next node at once.
func (r *request) mayFailOver(response node.Response) bool {
	return r.TryAllNodes && response.Status == node.StatusRejected && r.retriesLeft > 0 && (!response.NoFailover || !r.balancer.honorsRetryAfter)
}

// mayRetry says whether a request is retried after a delay, and takes the retry token for it.
func (r *request) mayRetry(response node.Response) bool {
	return !r.TryAllNodes && r.retriesLeft > 0 && (!response.NoFailover || !r.HonorRetryAfter) && r.balancer.spendRetryToken(r.RetryBudget)
}

// retryDelay is the node's Retry-After where callers honor it, and the fixed backoff otherwise.
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

// spendRetryToken takes one token and says whether there was one. A budget of 0 is unbounded.
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
