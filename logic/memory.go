package logic

// Memory bound, in kilobytes. What starts and each new key entry must fit into
//
//	Σ request memory + key entries·KeyEntryKB <= resource share·0.92·MemoryKB
//
// and while it is exceeded, queued requests are rejected from the end of the queue. That harms where one huge
// request displaces many small ones.

// plannedMemoryShare is the share of the memory that may be planned; the rest covers events that come late.
const plannedMemoryShare = 0.92

// memoryInUse returns the memory in use, in kilobytes.
func (s *Server) memoryInUse() float64 {
	return s.requestMemoryKB + float64(len(s.keyExpiries))*s.cfg.KeyEntryKB
}

// fitsMemory reports whether so many more kilobytes are within the bound.
func (s *Server) fitsMemory(additionalKB float64) bool {
	return s.memoryInUse()+additionalKB <= s.resourceShare*plannedMemoryShare*s.cfg.MemoryKB
}

// shedForMemory rejects queued requests that do not fit, those at the end of the queue first.
func (s *Server) shedForMemory() {
	for i := len(s.queue) - 1; i >= 0 && !s.fitsMemory(0); i-- {
		s.rejectOrFail(s.queue[i])
	}
}
