package logic

// Requests that are not read yet. What is known of them comes from the gauges and the arrivals:
//
//	requests being read = max(0, threads that want a core - running requests)
//	staleness           = mean of min(1, age at reading / half of the latency objective)
//	time to read one    = requests being read · mean interval between reads · min(1, cores/threads)
//
// The last, by Little's law, tells a slow server from a crowded one, where each request has part of a core.
const (
	slowReadShare  = 0.18 // of the mean latency objective, for one request
	staleReadShare = 0.5  // of the latency objective, within which a healthy server reads a request
)

// readMonitor is what is known of reading.
type readMonitor struct {
	gauges        Gauges
	lastReadAt    Micros
	readInterval  Average // microseconds between two arrivals while cores read
	readStaleness Average // 0 to 1
}

// recordRead takes an arrival into the averages.
func (s *Server) recordRead(a Arrival) {
	objective := float64(s.classes[a.Class].LatencyObjective)
	s.readStaleness.add(min(1, float64(a.Age)/(staleReadShare*objective)), callSampleWeight)
	if s.requestsBeingRead() > 0 {
		s.readInterval.add(min(s.meanObjective, float64(s.now-s.lastReadAt)), callSampleWeight)
	}
	s.lastReadAt = s.now
}

// requestsBeingRead returns the number of threads that want a core and do not run a request.
func (s *Server) requestsBeingRead() float64 {
	return max(0, s.gauges.RunQueueLength-float64(s.running))
}

// readsSlowly reports whether a core takes so long to read one request that hardly any can be answered in
// time.
func (s *Server) readsSlowly() bool {
	corePart := min(1, float64(s.cfg.Cores)/max(1, s.gauges.RunQueueLength))
	return s.requestsBeingRead()*s.readInterval.Mean*corePart > slowReadShare*s.meanObjective
}
