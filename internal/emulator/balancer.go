package emulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// balancer is one of the callers' load balancers. Each request goes through one of them.
type balancer struct {
	number           int
	nextIndex        int   // of RoundRobin
	inFlight         []int // attempts, by node
	random           *rand.Rand
	retryTokens      float64
	honorsRetryAfter bool        // sends nothing to a node until its Retry-After has passed
	avoidUntil       []time.Time // by node
}

// avoid excludes a node until the given time if the balancer honors Retry-After.
func (b *balancer) avoid(node int, until time.Time) {
	if b.honorsRetryAfter && until.After(b.avoidUntil[node]) {
		b.avoidUntil[node] = until
	}
}

// mayUse reports whether the balancer may send to a node now.
func (b *balancer) mayUse(node int, now time.Time) bool { return !now.Before(b.avoidUntil[node]) }

// pickNode returns the index of the node for the next attempt. It prefers any other node to that of the last attempt,
// and returns -1 if no node can be used.
func (r *request) pickNode() int {
	b := r.balancer
	candidates := r.candidates[:0]
	for i, h := range r.nodes {
		if h.inEndpointList && i != r.lastNode && b.mayUse(i, r.clock.Now()) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 && r.lastNode >= 0 && r.nodes[r.lastNode].inEndpointList && b.mayUse(r.lastNode, r.clock.Now()) {
		candidates = append(candidates, r.lastNode)
	}
	r.candidates = candidates
	if len(candidates) == 0 {
		return -1
	}
	return b.pick(r.Balancing, candidates)
}

// pick returns one of the candidates. There must be at least one.
func (b *balancer) pick(method BalancingMethod, candidates []int) int {
	switch method {
	case LeastRequests:
		return b.leastRequests(candidates)
	case PowerOfTwoChoices:
		first, second := candidates[b.random.IntN(len(candidates))], candidates[b.random.IntN(len(candidates))]
		if b.inFlight[second] < b.inFlight[first] {
			return second
		}
		return first
	case Random:
		return candidates[b.random.IntN(len(candidates))]
	}
	b.nextIndex++
	return candidates[b.nextIndex%len(candidates)]
}

// leastRequests returns the candidate with the fewest attempts in flight. The search starts at a random candidate, so
// that ties are spread evenly.
func (b *balancer) leastRequests(candidates []int) int {
	best, fewest := -1, math.MaxInt
	start := b.random.IntN(len(candidates))
	for k := range candidates {
		if i := candidates[(start+k)%len(candidates)]; b.inFlight[i] < fewest {
			best, fewest = i, b.inFlight[i]
		}
	}
	return best
}
