package balancer

import (
	"math"
	"time"
)

// limit is how many requests a server gets at once, following their latency: as TCP Vegas does for a connection (Brakmo, O'Malley
// and Peterson, "TCP Vegas: New Techniques for Congestion Detection and Avoidance", SIGCOMM 1994). With the least latency
// seen as that of an idle server, limit × (1 − least/latency) is how many of them stand in the server's queue. Below alpha the
// limit rises by one for each limit's worth of responses, above beta it falls.
type limit struct {
	value float64
	least time.Duration // the least latency of this and the last period
	fresh time.Duration // of this period
	ends  time.Time     // of this period
}

const (
	// period is for how long a least latency is believed: requests and servers change.
	period = 10 * time.Second
	// alpha and beta are for a limit of 1; they grow with its square root, so that large servers may queue more.
	alpha = 1.0
	beta  = 2.0
)

func newLimit(r Rules) limit { return limit{value: float64(r.LimitFirst)} }

// add takes in the latency of a response that came while so many were open.
func (l *limit) add(now time.Time, took time.Duration, open int, r Rules) {
	if took <= 0 {
		return
	}
	if now.After(l.ends) {
		// The least latency is only seen with few requests there, so the limit is halved for a moment: it grows back within some
		// tens of responses. Without that the crowd of one period is taken for the idle server of the next.
		if l.least, l.fresh, l.ends = l.fresh, 0, now.Add(period); l.least > 0 {
			l.value /= 2
		}
	}
	if l.fresh == 0 || took < l.fresh {
		l.fresh = took
	}
	if l.least == 0 || l.fresh < l.least {
		l.least = l.fresh
	}
	queue := l.value * (1 - float64(l.least)/float64(took))
	scale := math.Sqrt(l.value)
	switch {
	case queue > beta*scale:
		l.value -= 1 / l.value * scale
	case queue < alpha*scale && 2*open >= int(l.value): // else the limit isn't what holds requests back
		l.value += 1 / l.value * scale
	}
	l.value = min(max(l.value, float64(r.LimitLeast)), float64(r.LimitMost))
}

// fail takes in a failure.
func (l *limit) fail(r Rules) {
	l.value = max(l.value*0.9, float64(r.LimitLeast))
}
