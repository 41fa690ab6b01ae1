package balancer

import (
	"math"
	"time"
)

// Rule: slow start of a new or readmitted server (docs/design/slow-start.md has the derivation).
//
// Inputs: the time since the server's slow start began, the rate at which this process assigns requests (requests per second),
// and the number of servers in service.
// The load on the server is the sum over all processes, which do not communicate. Each process sends requests to the server in
// turns, which are evenly spaced from a random start, at the rate
//
//	turnRateFactor × fraction(t) × sendRate / servers,   fraction(t) = max(MinSlowStartFraction, t / SlowStart)
//
// Slow start is divided into slowStartSpans spans of equal length. A turn that is not used within turnValidSpans of a span expires,
// so that no process accumulates turns for a burst.
// In addition to the turns, the server's capacity is limited to ceil(limit × fraction(t)) requests in flight (see capacity in
// selection.go). While no server is warm, turns are not required and only that limit applies.

const (
	// turnRateFactor is below 1 to allow for turns that became available before a span and are used within it.
	turnRateFactor = 0.8
	// slowStartSpans is the number of spans in Config.SlowStart; the load is bounded over each interval of the length of one span.
	slowStartSpans = 5
	// turnValidSpans is the fraction of a span for which a turn remains valid.
	turnValidSpans = 1.0 / 4
	// rateWindowFraction is the fraction of Config.SlowStart over which the request rate is averaged.
	rateWindowFraction = 1.0 / 2
)

// turnSchedule determines when a server in slow start gets a request. The zero value has no turns.
type turnSchedule struct {
	credit    float64 // accumulated fraction of the next turn, 0 to 1
	updatedAt time.Time
	since     time.Time // when the current turn became available; zero if there is none
	validFor  time.Duration
}

// available reports whether there is a valid turn. perSecond is the rate of turns since the last call.
func (t *turnSchedule) available(now time.Time, perSecond float64) bool {
	t.credit += perSecond * now.Sub(t.updatedAt).Seconds()
	t.updatedAt = now
	if turns := math.Floor(t.credit); turns > 0 {
		t.credit -= turns
		t.since = now.Add(-time.Duration(t.credit / perSecond * float64(time.Second)))
	}
	return !t.since.IsZero() && now.Sub(t.since) <= t.validFor
}

// beginSlowStart puts a server into slow start. Its concurrency limit is capped at the mean limit of the warm servers: load is
// shared in proportion to the limits, so a server that starts at the initial limit could get a multiple of the others' load.
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

// warmingUp reports whether a server is in slow start.
func (b *Balancer) warmingUp(now time.Time, s *server) bool {
	return !s.slowStartAt.IsZero() && now.Sub(s.slowStartAt) < b.config.SlowStart
}

// slowStartFraction returns the load of a server in slow start as a fraction of a warm server's load.
func (b *Balancer) slowStartFraction(now time.Time, s *server) float64 {
	return math.Max(b.config.MinSlowStartFraction, float64(now.Sub(s.slowStartAt))/float64(b.config.SlowStart))
}

// turnRate returns the rate, in requests per second, at which this process sends to a server in slow start.
func (b *Balancer) turnRate(now time.Time, s *server) float64 {
	inService := 0
	for _, other := range b.servers {
		if !other.draining && !other.ejected {
			inService++
		}
	}
	return turnRateFactor * b.slowStartFraction(now, s) * b.sendRate.get(now, b.rateWindow()) / float64(max(1, inService))
}

// rateWindow returns the time over which the request rate is averaged.
func (b *Balancer) rateWindow() time.Duration {
	return time.Duration(rateWindowFraction * float64(b.config.SlowStart))
}

// movingRate is an exponentially weighted moving average of events per second.
type movingRate struct {
	value     float64
	updatedAt time.Time
}

// get returns the rate. An event's weight decays by a factor of e per window.
func (r *movingRate) get(now time.Time, window time.Duration) float64 {
	if r.updatedAt.IsZero() || window <= 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.updatedAt))/float64(window))
}

// add records an event.
func (r *movingRate) add(now time.Time, window time.Duration) {
	r.value = r.get(now, window)
	if r.updatedAt = now; window > 0 {
		r.value += 1 / window.Seconds()
	}
}
