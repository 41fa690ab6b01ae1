package balancer

import "time"

// Rule: outlier ejection and readmission.
//
// Inputs: the results of attempts on a server, one after the other, and of probes.
// A server with Config.FailureThreshold consecutive failures is ejected, unless it is the last one in service or more than
// Config.MaxEjectedFraction of the listed servers would then be ejected: when many fail at once, the cause is rarely theirs.
// Its n-th consecutive ejection lasts min(BaseEjectionTime × 2^(n−1), MaxEjectionTime), lengthened at random by up to
// ejectionJitter. Then it is probed: a probe that succeeds readmits it in slow start, one that fails ejects it again. A
// request that succeeds on an ejected server readmits it too.

const (
	// ejectionJitter is the largest random addition to an ejection, as a fraction of it, so that servers that failed together
	// are not probed together.
	ejectionJitter = 0.2
	// maxEjectionDoublings bounds the exponent, against overflow.
	maxEjectionDoublings = 20
)

// recordSuccess notes that a server works, and readmits it if it was ejected.
func (b *Balancer) recordSuccess(now time.Time, s *server) {
	if s.ejected {
		b.beginSlowStart(now, s)
	}
	s.consecutiveFailures, s.consecutiveEjections, s.ejected, s.probing = 0, 0, false, false
}

// recordFailure notes a failed attempt, and ejects the server if there were too many.
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

// mayEject says whether one more server may be ejected.
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
	span := b.config.BaseEjectionTime << min(s.consecutiveEjections, maxEjectionDoublings)
	span = min(span, b.config.MaxEjectionTime)
	span += time.Duration(b.rng.Float64() * ejectionJitter * float64(span))
	s.ejected, s.probing, s.ejectedUntil = true, false, now.Add(span)
	s.consecutiveEjections++
}

// DueProbes returns the servers whose ejection is over. Each must be probed and the result reported to ReportProbe.
func (b *Balancer) DueProbes(now time.Time) (names []string) {
	for _, s := range b.servers {
		if s.ejected && !s.probing && !s.draining && !now.Before(s.ejectedUntil) {
			s.probing = true
			names = append(names, s.name)
		}
	}
	return names
}

// ReportProbe reports the result of a probe. It returns what is assigned to queued requests.
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
