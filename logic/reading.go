package logic

// Requests that are not read yet. They are estimated from the gauges and the arrivals:
//
//	requests being read = max(0, runnable threads - running requests)
//	staleness           = mean of min(1, age at reading / half of the latency objective)
//	time to read one    = requests being read · mean interval between reads · min(1, cores/threads)
//
// The time to read one request, by Little's law, distinguishes a slow server from a crowded one, where each
// request has only part of a core.
const (
	slowReadShare  = 0.18 // share of the mean latency objective above which reading one request is slow
	staleReadShare = 0.5  // share of the latency objective within which a healthy server reads a request
)

// readMonitor tracks how fast requests are read.
type readMonitor struct {
	gauges        Gauges
	lastReadAt    Micros
	readInterval  Average // microseconds between two arrivals while requests are being read
	readStaleness Average // 0 to 1
}

// recordRead adds an arrival to the averages.
func (s *Server) recordRead(a Arrival) {
	objective := float64(s.classes[a.Class].LatencyObjective)
	s.readStaleness.add(min(1, float64(a.Age)/(staleReadShare*objective)), callSampleWeight)
	if s.requestsBeingRead() > 0 {
		s.readInterval.add(min(s.meanObjective, float64(s.now-s.lastReadAt)), callSampleWeight)
	}
	s.lastReadAt = s.now
}

// requestsBeingRead returns the number of runnable threads that do not run a request.
func (s *Server) requestsBeingRead() float64 {
	return max(0, s.gauges.RunQueueLength-float64(s.running))
}

// readsSlowly reports whether reading one request takes a core so long that hardly any request can be
// answered in time.
func (s *Server) readsSlowly() bool {
	coreShare := min(1, float64(s.cfg.Cores)/max(1, s.gauges.RunQueueLength))
	return s.requestsBeingRead()*s.readInterval.Mean*coreShare > slowReadShare*s.meanObjective
}
