package logic

// Memory bound, in kilobytes. Each run that starts and each new key entry must keep the memory in use within
//
//	Σ request memory + key entries·KeyEntryKB <= resource share·0.92·MemoryKB
//
// While the bound is exceeded, queued requests are rejected from the end of the queue. Limitation: one huge
// request can displace many small ones.

// plannedMemoryShare is the share of the memory that may be allocated; the rest covers events that come late.
const plannedMemoryShare = 0.92

// memoryInUse returns the memory in use, in kilobytes.
func (s *Server) memoryInUse() float64 {
	return s.requestMemoryKB + float64(len(s.keyExpiries))*s.cfg.KeyEntryKB
}

// fitsMemory reports whether the given number of additional kilobytes is within the bound.
func (s *Server) fitsMemory(additionalKB float64) bool {
	return s.memoryInUse()+additionalKB <= s.resourceShare*plannedMemoryShare*s.cfg.MemoryKB
}

// shedForMemory rejects queued requests, from the end of the queue, until the memory in use is within the
// bound.
func (s *Server) shedForMemory() {
	for i := len(s.queue) - 1; i >= 0 && !s.fitsMemory(0); i-- {
		s.rejectOrFail(s.queue[i])
	}
}
