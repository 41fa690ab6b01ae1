package balancer

import (
	"math"
	"time"
)

// A server that is new or back is cold, and what it bears is the sum of what all processes send it, which know nothing of
// one another. docs/design/slow-start.md derives why the sum holds: each process sends a warming server a part of the rate
// at which it sends to a warm one, in turns that are spread evenly from a start drawn at random, and a turn that nobody
// uses soon is lost.

const (
	rampPart  = 0.8     // of its part that a process sends a warming server: turns that are still to be used come on top
	rampSpans = 5       // into which SlowStart is divided; the budget is to hold in any time as long as one of them
	turnStays = 1.0 / 4 // of such a span, for which a turn may be used
	rateSpans = 1.0 / 2 // of SlowStart, over which the rate of requests is averaged
)

// ramp is the turns of one warming server. The zero value has none.
type ramp struct {
	credit float64   // of the next turn
	at     time.Time // as of then
	turn   time.Time // since when there is a turn to be used; zero: there is none
	stays  time.Duration
}

// may says whether there is a turn, with so many turns a second since it was last asked.
func (r *ramp) may(now time.Time, pace float64) bool {
	r.credit += pace * now.Sub(r.at).Seconds()
	r.at = now
	if whole := math.Floor(r.credit); whole > 0 {
		r.credit -= whole
		r.turn = now.Add(-time.Duration(r.credit / pace * float64(time.Second)))
	}
	return !r.turn.IsZero() && now.Sub(r.turn) <= r.stays
}

// warm has a server begin anew with a small share. Its limit begins no higher than the warm ones' is on the mean: they share
// the requests in proportion to their limits, and one that nothing has tried yet would be sent a multiple of theirs.
func (p *Pool) warm(now time.Time, s *server) {
	sum, n := 0.0, 0
	for _, o := range p.servers {
		if o != s && !o.leaving && !o.out && !p.warming(now, o) {
			sum, n = sum+o.limit.value, n+1
		}
	}
	if n > 0 {
		s.limit.value = math.Min(s.limit.value, sum/float64(n))
	}
	s.since = now
	s.ramp = ramp{credit: p.rng.Float64(), at: now, stays: time.Duration(turnStays / rampSpans * float64(p.rules.SlowStart))}
}

// warming says whether a server is still growing to its full share.
func (p *Pool) warming(now time.Time, s *server) bool {
	return !s.since.IsZero() && now.Sub(s.since) < p.rules.SlowStart
}

// share is the part of a warm server's load that a warming one gets.
func (p *Pool) share(now time.Time, s *server) float64 {
	return math.Max(p.rules.StartShare, float64(now.Sub(s.since))/float64(p.rules.SlowStart))
}

// pace is how many requests a second a warming server is to get from this process.
func (p *Pool) pace(now time.Time, s *server) float64 {
	in := 0
	for _, o := range p.servers {
		if !o.leaving && !o.out {
			in++
		}
	}
	return rampPart * p.share(now, s) * p.sent.get(now, p.averaged()) / float64(max(1, in))
}

func (p *Pool) averaged() time.Duration {
	return time.Duration(rateSpans * float64(p.rules.SlowStart))
}

// give has a server have a request.
func (p *Pool) give(now time.Time, s *server) {
	s.open++
	s.ramp.turn = time.Time{}
	p.sent.add(now, p.averaged())
}

// rate is events a second, averaged with weights that fall by e over a time.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) get(now time.Time, over time.Duration) float64 {
	if r.at.IsZero() || over <= 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(over))
}

func (r *rate) add(now time.Time, over time.Duration) {
	r.value = r.get(now, over)
	if r.at = now; over > 0 {
		r.value += 1 / over.Seconds()
	}
}
