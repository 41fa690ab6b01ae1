package logic

// Stalls and faults. While the cores are full, a completion gap beyond G is a stall (FEFM, section II.E),
// whose runs are no samples of the run time:
//
//	G = max(100 ms, 6·mean gap); half of the mean latency objective before 6 gaps are known
//
// A server is faulty while its cores are full and nothing has completed for 2·G, or while most of its runs
// fail. It rejects what is queued, and one probe at a time shows when the fault is over. That harms where a
// few very long runs fill all cores.
const (
	minStallGap      = Micros(100_000) // the paper's 100 ms
	stallGapFactor   = 6               // mean gaps; thin traffic is no stall
	faultyStallGaps  = 2               // stall gaps without a completion that are a fault
	minHealthSamples = 6               // samples below which a mean says nothing
	unhealthyShare   = 0.6             // mean of failures, or of staleness, that is unhealthy
)

// healthMonitor is what is known of the progress of runs.
type healthMonitor struct {
	completionGap  Average // microseconds between completions while the cores are full
	lastProgressAt Micros  // when a run last started on an idle server, ended or went to or came from a call
	stallEndedAt   Micros
	failedShare    Average // share of runs that failed
	lastProbeAt    Micros
}

// recordProgress takes the gap before a completion into the average. While cores are idle a gap says nothing.
func (s *Server) recordProgress() {
	if s.running >= s.cfg.Cores {
		if s.now-s.lastProgressAt > s.stallGap() {
			s.stallEndedAt = s.now
		}
		s.completionGap.add(float64(s.now-s.lastProgressAt), runTimeSampleWeight)
	}
	s.lastProgressAt = s.now
}

// stallGap returns G, the completion gap beyond which full cores are taken to make no progress.
func (s *Server) stallGap() Micros {
	if s.completionGap.Samples < minHealthSamples {
		return Micros(s.meanObjective / 2)
	}
	return max(minStallGap, Micros(stallGapFactor*s.completionGap.Mean))
}

// stalledOrFailing reports whether the server is faulty.
func (s *Server) stalledOrFailing() bool {
	return s.running >= s.cfg.Cores && s.now-s.lastProgressAt > faultyStallGaps*s.stallGap() ||
		s.failedShare.Samples > minHealthSamples && s.failedShare.Mean > unhealthyShare
}

// mayProbe reports whether a request may start against the estimate, so that neither a stale T_m nor a fault
// that is over keeps all requests out: nothing runs and the last probe was half an objective ago.
func (s *Server) mayProbe(r *request) bool {
	objective := s.classes[r.Class].LatencyObjective
	return s.running == 0 && s.now-s.lastProbeAt > objective/2 && s.now < r.arrivedAt+objective
}
