package emulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// balancer is one caller of the nodes. Each request belongs to one.
type balancer struct {
	number           int
	nextIndex        int   // of RoundRobin
	inFlight         []int // attempts, by node
	random           *rand.Rand
	retryTokens      float64
	honorsRetryAfter bool        // keeps away from nodes that said Retry-After
	avoidUntil       []time.Time // by node
}

// avoid keeps a balancer that honors Retry-After away from a node.
func (b *balancer) avoid(node int, until time.Time) {
	if b.honorsRetryAfter && until.After(b.avoidUntil[node]) {
		b.avoidUntil[node] = until
	}
}

// mayUse says whether a balancer may send to a node now.
func (b *balancer) mayUse(node int, now time.Time) bool { return !now.Before(b.avoidUntil[node]) }

// pickNode picks the index of the node for the next attempt: another than that of the last attempt, where there is
// one. -1: there is none.
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

// pick picks one of the candidates, of which there is at least one.
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

// leastRequests picks the candidate with the fewest attempts in flight. The search starts at random, so that ties are
// spread evenly.
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
