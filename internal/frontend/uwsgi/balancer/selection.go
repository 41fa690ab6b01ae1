package balancer

import (
	"math"
	"slices"
	"time"
)

// Rule: server selection (weighted least request, round robin among equals).
//
// Inputs: of each server the requests in flight and its capacity (requests), whether it is ejected or in slow start; the
// servers that the request has been sent to.
// Formula: of the servers with inFlight < capacity that were not tried, the one with the least inFlight / capacity, beginning
// the scan behind the server chosen last. Two exceptions:
//   - with all candidates ejected, ejected ones are chosen from too: a server that may be faulty is better than none;
//   - while some server is warm, one in slow start is chosen when its turn schedule has a turn, and only then (slowstart.go).

// pick returns the server for a request, or nil if none has capacity now. candidates says whether there is any server that the
// request may be sent to, now or later.
func (b *Balancer) pick(now time.Time, attempted []string) (best *server, candidates bool) {
	var bestLoad float64
	anyWarm := slices.ContainsFunc(b.servers, func(s *server) bool { return !s.draining && !s.ejected && !b.warmingUp(now, s) })
	allEjected := !slices.ContainsFunc(b.servers, func(s *server) bool {
		return !s.draining && !s.ejected && !slices.Contains(attempted, s.name)
	})
	for i := range b.servers {
		s := b.servers[(b.next+i)%len(b.servers)]
		if s.draining || slices.Contains(attempted, s.name) {
			continue
		}
		candidates = true
		if s.ejected && !allEjected {
			continue
		}
		capacity := b.capacity(now, s)
		if s.inFlight >= capacity {
			continue
		}
		if anyWarm && b.warmingUp(now, s) && !s.ejected {
			if s.turns.available(now, b.turnRate(now, s)) {
				best, bestLoad = s, 0
			}
			continue
		}
		if load := float64(s.inFlight) / float64(capacity); best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	if best != nil {
		b.next = (slices.Index(b.servers, best) + 1) % len(b.servers)
	}
	return best, candidates
}

// capacity returns how many requests a server may have in flight now, at least 1.
func (b *Balancer) capacity(now time.Time, s *server) int {
	capacity := b.config.MaxConcurrency
	if capacity == 0 {
		capacity = int(s.limit.value)
	}
	if s.ejected {
		return 1
	}
	if b.warmingUp(now, s) {
		capacity = int(math.Ceil(float64(capacity) * b.slowStartFraction(now, s)))
	}
	return max(1, capacity)
}

// assign counts a request as in flight on a server.
func (b *Balancer) assign(now time.Time, s *server) {
	s.inFlight++
	s.turns.since = time.Time{}
	b.sendRate.add(now, b.rateWindow())
}
