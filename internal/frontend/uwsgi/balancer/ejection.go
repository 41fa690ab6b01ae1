package balancer

import "time"

// Rule: outlier ejection and readmission.
//
// Inputs: the sequence of results of attempts on a server, and the results of probes.
// A server with Config.FailureThreshold consecutive failures is ejected, unless it is the last one in service or more than
// Config.MaxEjectedFraction of the listed servers would then be ejected: when many servers fail at once, the cause is rarely in
// the servers. The n-th consecutive ejection lasts min(BaseEjectionTime × 2^(n−1), MaxEjectionTime), extended at random by up to
// ejectionJitter. The server is then probed: a successful probe readmits it in slow start, a failed one ejects it again. A
// request that succeeds on an ejected server also readmits it.

const (
	// ejectionJitter is the maximum random extension of an ejection, as a fraction of its length. It keeps servers that failed
	// together from being probed together.
	ejectionJitter = 0.2
	// maxEjectionDoublings bounds the exponent of the ejection time, to prevent overflow.
	maxEjectionDoublings = 20
)

// recordSuccess resets a server's failure counts, and readmits the server if it was ejected.
func (b *Balancer) recordSuccess(now time.Time, s *server) {
	if s.ejected {
		b.beginSlowStart(now, s)
	}
	s.consecutiveFailures, s.consecutiveEjections, s.ejected, s.probing = 0, 0, false, false
}

// recordFailure counts a failed attempt, and ejects the server once the failure threshold is reached.
func (b *Balancer) recordFailure(now time.Time, s *server) {
	s.consecutiveFailures++
	if s.ejected {
		if !now.Before(s.ejectedUntil) || s.probing {
			b.eject(now, s)
		}
		return
	}
	if s.consecutiveFailures >= b.config.FailureThreshold && b.mayEject() {
		b.eject(now, s)
	}
}

// mayEject reports whether one more server may be ejected.
func (b *Balancer) mayEject() bool {
	inService, ejected := 0, 0
	for _, s := range b.servers {
		switch {
		case s.draining:
		case s.ejected:
			ejected++
		default:
			inService++
		}
	}
	return inService > 1 && (ejected == 0 || float64(ejected+1) <= b.config.MaxEjectedFraction*float64(inService+ejected))
}

func (b *Balancer) eject(now time.Time, s *server) {
	length := b.config.BaseEjectionTime << min(s.consecutiveEjections, maxEjectionDoublings)
	length = min(length, b.config.MaxEjectionTime)
	length += time.Duration(b.rng.Float64() * ejectionJitter * float64(length))
	s.ejected, s.probing, s.ejectedUntil = true, false, now.Add(length)
	s.consecutiveEjections++
}

// DueProbes returns the servers whose ejection time has passed. The caller must probe each of them and report the result to
// ReportProbe.
func (b *Balancer) DueProbes(now time.Time) (names []string) {
	for _, s := range b.servers {
		if s.ejected && !s.probing && !s.draining && !now.Before(s.ejectedUntil) {
			s.probing = true
			names = append(names, s.name)
		}
	}
	return names
}

// ReportProbe reports the result of a probe. It returns the assignments of queued requests that this allows.
func (b *Balancer) ReportProbe(now time.Time, name string, ok bool) []Assignment {
	s := b.find(name)
	if s == nil || !s.ejected {
		return nil
	}
	if ok {
		b.recordSuccess(now, s)
	} else {
		b.eject(now, s)
	}
	return b.assignQueued(now)
}
