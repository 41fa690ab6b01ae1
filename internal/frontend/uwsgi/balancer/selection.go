package balancer

import (
	"math"
	"slices"
	"time"
)

// Rule: server selection (weighted least request, round robin among equals).
//
// Inputs: for each server its requests in flight, its capacity (in requests), and whether it is ejected or in slow start; the
// servers that the request was already sent to.
// Formula: among the servers with inFlight < capacity that the request was not sent to, the one with the lowest
// inFlight / capacity, scanning from the server after the one chosen last. There are two exceptions:
//   - if all candidates are ejected, ejected ones may be chosen: a server that may be faulty is better than none;
//   - while any server is warm, a server in slow start is chosen exactly when its turn schedule has a turn (slowstart.go).

// pick returns the server for a request, or nil if none has capacity now. candidates reports whether there is any server that the
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

// capacity returns the maximum number of requests that a server may have in flight at present, at least 1.
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
