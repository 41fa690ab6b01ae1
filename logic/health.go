package logic

// Stalls and faults. While all cores are busy, a completion gap longer than G is a stall (FEFM,
// section II.E). Runs that started before its end are not sampled for the run time:
//
//	G = max(100 ms, 6·mean gap); half of the mean latency objective before 6 gaps are known
//
// A server is faulty while its cores are all busy and nothing has completed for 2·G, or while most of its
// runs fail. It rejects queued requests, and runs one probe at a time to detect the end of the fault.
// Limitation: a few very long runs that occupy all cores look like a fault.
const (
	minStallGap      = Micros(100_000) // 100 ms, as in the paper
	stallGapFactor   = 6               // G in mean gaps; sparse traffic must not count as a stall
	faultyStallGaps  = 2               // multiple of G without a completion that counts as a fault
	minHealthSamples = 6               // samples below which a mean is not used
	unhealthyShare   = 0.6             // mean of failures, or of staleness, that counts as unhealthy
)

// healthMonitor tracks the progress of runs.
type healthMonitor struct {
	completionGap  Average // microseconds between completions while all cores are busy
	lastProgressAt Micros  // when a run last started on an idle server, ended, or began or ended a call
	stallEndedAt   Micros
	failedShare    Average // share of runs that failed
	lastProbeAt    Micros
}

// recordProgress adds the gap before a completion to the average, unless a core is idle: the gap then depends
// on the arrivals.
func (s *Server) recordProgress() {
	if s.running >= s.cfg.Cores {
		if s.now-s.lastProgressAt > s.stallGap() {
			s.stallEndedAt = s.now
		}
		s.completionGap.add(float64(s.now-s.lastProgressAt), runTimeSampleWeight)
	}
	s.lastProgressAt = s.now
}

// stallGap returns G, the completion gap above which busy cores are considered stalled.
func (s *Server) stallGap() Micros {
	if s.completionGap.Samples < minHealthSamples {
		return Micros(s.meanObjective / 2)
	}
	return max(minStallGap, Micros(stallGapFactor*s.completionGap.Mean))
}

// stalledOrFailing reports whether the server is faulty: stalled, or with most of its runs failing.
func (s *Server) stalledOrFailing() bool {
	return s.running >= s.cfg.Cores && s.now-s.lastProgressAt > faultyStallGaps*s.stallGap() ||
		s.failedShare.Samples > minHealthSamples && s.failedShare.Mean > unhealthyShare
}

// mayProbe reports whether a request may start despite the estimate, so that neither an outdated T_m nor a
// past fault causes all requests to be rejected: nothing runs and the last probe was over half an objective
// ago.
func (s *Server) mayProbe(r *request) bool {
	objective := s.classes[r.Class].LatencyObjective
	return s.running == 0 && s.now-s.lastProbeAt > objective/2 && s.now < r.arrivedAt+objective
}
