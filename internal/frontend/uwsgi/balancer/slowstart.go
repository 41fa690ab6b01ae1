package balancer

import (
	"math"
	"time"
)

// Rule: slow start of a new or readmitted server (docs/design/slow-start.md has the derivation).
//
// Inputs: the time since the server's slow start began, the rate at which this process assigns requests (requests per second),
// the number of servers in service.
// The load on the server is the sum over all processes, which don't know of one another. Each process sends it, in turns that
// are spread evenly from a random start, at the rate
//
//	turnRateFactor × fraction(t) × sendRate / servers,   fraction(t) = max(MinSlowStartFraction, t / SlowStart)
//
// A turn that is not used within turnValidSpans of a span expires, so that no process saves turns up for a burst.
// Beside the turns, the server's capacity is ceil(limit × fraction(t)) requests in flight (selection.go, capacity). While no
// server is warm, turns are not asked for and that bound stands alone.

const (
	// turnRateFactor leaves room for turns that were begun before a span and are used within it.
	turnRateFactor = 0.8
	// slowStartSpans is the number of spans in Config.SlowStart; the load is bounded over each time as long as one of them.
	slowStartSpans = 5
	// turnValidSpans is the part of a span for which a turn may be used.
	turnValidSpans = 1.0 / 4
	// rateWindowFraction is the part of Config.SlowStart over which the rate of requests is averaged.
	rateWindowFraction = 1.0 / 2
)

// turnSchedule says when a server in slow start gets a request. The zero value has no turns.
type turnSchedule struct {
	credit    float64 // of the next turn, 0 to 1
	updatedAt time.Time
	since     time.Time // of the turn that may be used; zero: none
	validFor  time.Duration
}

// available says whether there is a turn, at a rate of turns per second since the last call.
func (t *turnSchedule) available(now time.Time, perSecond float64) bool {
	t.credit += perSecond * now.Sub(t.updatedAt).Seconds()
	t.updatedAt = now
	if turns := math.Floor(t.credit); turns > 0 {
		t.credit -= turns
		t.since = now.Add(-time.Duration(t.credit / perSecond * float64(time.Second)))
	}
	return !t.since.IsZero() && now.Sub(t.since) <= t.validFor
}

// beginSlowStart has a server begin anew. Its concurrency limit begins no higher than the mean of the warm servers': load is
// shared in proportion to the limits, and an untried server with the initial limit would get a multiple of theirs.
func (b *Balancer) beginSlowStart(now time.Time, s *server) {
	sum, n := 0.0, 0
	for _, other := range b.servers {
		if other != s && !other.draining && !other.ejected && !b.warmingUp(now, other) {
			sum, n = sum+other.limit.value, n+1
		}
	}
	if n > 0 {
		s.limit.value = math.Min(s.limit.value, sum/float64(n))
	}
	s.slowStartAt = now
	validFor := time.Duration(turnValidSpans / slowStartSpans * float64(b.config.SlowStart))
	s.turns = turnSchedule{credit: b.rng.Float64(), updatedAt: now, validFor: validFor}
}

// warmingUp says whether a server is in slow start.
func (b *Balancer) warmingUp(now time.Time, s *server) bool {
	return !s.slowStartAt.IsZero() && now.Sub(s.slowStartAt) < b.config.SlowStart
}

// slowStartFraction returns the part of a warm server's load that a server in slow start gets.
func (b *Balancer) slowStartFraction(now time.Time, s *server) float64 {
	return math.Max(b.config.MinSlowStartFraction, float64(now.Sub(s.slowStartAt))/float64(b.config.SlowStart))
}

// turnRate returns how many requests per second a server in slow start gets from this process.
func (b *Balancer) turnRate(now time.Time, s *server) float64 {
	inService := 0
	for _, other := range b.servers {
		if !other.draining && !other.ejected {
			inService++
		}
	}
	return turnRateFactor * b.slowStartFraction(now, s) * b.sendRate.get(now, b.rateWindow()) / float64(max(1, inService))
}

// rateWindow returns the time over which the rate of requests is averaged.
func (b *Balancer) rateWindow() time.Duration {
	return time.Duration(rateWindowFraction * float64(b.config.SlowStart))
}

// movingRate is an exponentially weighted moving average of events per second.
type movingRate struct {
	value     float64
	updatedAt time.Time
}

// get returns the rate; weights fall by e over a window.
func (r *movingRate) get(now time.Time, window time.Duration) float64 {
	if r.updatedAt.IsZero() || window <= 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.updatedAt))/float64(window))
}

// add counts an event.
func (r *movingRate) add(now time.Time, window time.Duration) {
	r.value = r.get(now, window)
	if r.updatedAt = now; window > 0 {
		r.value += 1 / window.Seconds()
	}
}
