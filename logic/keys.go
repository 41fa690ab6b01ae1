package logic

import "slices"

// Idempotency keys. A request of a class that is IdempotentByKey has an entry in the host's key table until
//
//	arrival + IdempotencyWindow + 2 steps
//
// Without memory for the entry the request must not run, since its repeats could not be recognized. The entry
// of a request that never ran is deleted. A repeat that names its original is coalesced and gets the
// original's result. If the original is still queued, the repeat replaces it in the queue and takes over its
// entry, and the original is rejected.

// storeKey stores or renews the entry of a request, if it needs one and there is memory for it.
func (s *Server) storeKey(r *request) {
	c := s.classes[r.Class]
	if !c.needsKey() || r.keyExpiresAt == 0 && !s.fitsMemory(s.cfg.KeyEntryKB) {
		return
	}
	s.removeKeyExpiry(r)
	r.keyExpiresAt = r.arrivedAt + c.IdempotencyWindow + 2*s.cfg.StepInterval
	at, _ := slices.BinarySearch(s.keyExpiries, r.keyExpiresAt)
	s.keyExpiries = slices.Insert(s.keyExpiries, at, r.keyExpiresAt)
	s.emit(Action{Kind: ActionStoreKey, ID: r.id, Duration: r.keyExpiresAt - s.now})
}

// needsKey reports whether requests of the class need a key entry.
func (c *classState) needsKey() bool {
	return c.Idempotency == IdempotentByKey && c.IdempotencyWindow > 0
}

// deleteKey deletes the entry of a request that never ran.
func (s *Server) deleteKey(r *request) {
	if r.keyExpiresAt == 0 {
		return
	}
	s.removeKeyExpiry(r)
	r.keyExpiresAt = 0
	s.emit(Action{Kind: ActionDeleteKey, ID: r.id})
}

// removeKeyExpiry stops counting a request's entry in the memory in use.
func (s *Server) removeKeyExpiry(r *request) {
	if at, found := slices.BinarySearch(s.keyExpiries, r.keyExpiresAt); found {
		s.keyExpiries = slices.Delete(s.keyExpiries, at, at+1)
	}
}

// removeExpiredKeys stops counting expired entries in the memory in use.
func (s *Server) removeExpiredKeys() {
	at, _ := slices.BinarySearch(s.keyExpiries, s.now)
	s.keyExpiries = s.keyExpiries[at:]
}

// handleRepeat handles an arrival that names its original and reports whether it was coalesced.
func (s *Server) handleRepeat(r *request) bool {
	original := s.byID[r.OriginalID]
	if original != nil && original.state == stateQueued && s.classes[r.Class].Idempotency == IdempotentByKey {
		original.keyExpiresAt, r.keyExpiresAt = 0, original.keyExpiresAt
		s.rejectOrFail(original)
		return false
	}
	r.state = stateCoalesced
	s.active = append(s.active, r)
	s.emit(Action{Kind: ActionCoalesce, ID: r.id})
	return true
}
