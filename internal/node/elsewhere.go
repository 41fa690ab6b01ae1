package node

import (
	"errors"
)

// While one process of a node replaces another, both serve requests and share their keys through a SharedJournal. An
// attempt whose key is held by another process is not run here and not reported to admission. It is answered with the
// outcome of the run in that process, at once or when the run ends:
//
//	the run has ended, its result is stored   served with the result
//	the run has ended otherwise               failed, also if its process died before the end
//	the run is in flight                      waits for its end, until the request's deadline
//	the start was withdrawn                   handled like a new request

// SharedJournal is a Journal that other processes of this node also write to while one replaces another. Its
// RecordStart reports ErrKeyHeld if one of them holds the key.
type SharedJournal interface {
	Journal
	// Lookup returns the record of another process for record.Key and record.Class; other fields are not used. It must
	// not block for long.
	Lookup(record RunRecord) (RunRecord, bool)
	// NotifyOnChange calls done once, from another goroutine, when the key's run may have ended or its start may have
	// been withdrawn, so that Lookup may return another result.
	NotifyOnChange(record RunRecord, done func())
}

// ErrKeyHeld is reported by a Journal for a start whose key is held by another process. The request may have run there,
// so an attempt here is neither run nor rejected.
var ErrKeyHeld = errors.New("idempotency key is held by another process of the node")

// keyHeldByOtherProcess reports whether another process holds r's key, as far as the journal shows.
func (n *Node) keyHeldByOtherProcess(r *request) bool {
	s, ok := n.opts.Journal.(SharedJournal)
	if !ok {
		return false
	}
	_, held := s.Lookup(n.runRecord(r))
	return held
}

// answerFromOtherProcess answers an attempt from its key's run in another process, at once or when that run ends. It
// returns false if no other process holds the key.
func (n *Node) answerFromOtherProcess(r *request) bool {
	s, ok := n.opts.Journal.(SharedJournal)
	if !ok {
		return false
	}
	record, held := s.Lookup(n.runRecord(r))
	switch {
	case !held:
		return false
	case record.Fingerprint != r.fingerprint:
		n.respond(r, Response{Status: StatusFailed, KeyReused: true})
	case !record.Ended:
		r.stage = stageInOtherProcess
		n.counts.WaitedElsewhere++
		s.NotifyOnChange(n.runRecord(r), func() { n.otherProcessChanged(r) })
		return true
	case record.Succeeded && record.ResultStored && record.Protocol == r.Protocol:
		n.counts.ServedFromElsewhere++
		n.respond(r, Response{Status: StatusServed, Result: record.Result})
	default:
		n.respond(r, Response{Status: StatusFailed})
	}
	n.removeUnreported(r)
	return true
}

// removeUnreported unregisters an answered attempt that is not reported to admission.
func (n *Node) removeUnreported(r *request) {
	r.stage = stageEnded
	if n.byID[r.ID] == r {
		delete(n.byID, r.ID)
	}
}

// otherProcessChanged handles a change of the key for which an attempt waits in another process: it answers the
// attempt, or reports it to admission if the start there was withdrawn.
func (n *Node) otherProcessChanged(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled || r.stage != stageInOtherProcess || n.answerFromOtherProcess(r) {
		return
	}
	n.reportArrival(r, n.opts.Clock.Now()) // the start was withdrawn
}

// waitForOtherProcess has a queued attempt that admission rejects wait for another process that has started its key in
// the meantime. If the attempt were rejected, its caller would send it to another node, which would run it. It returns
// false if no other process holds the key.
func (n *Node) waitForOtherProcess(r *request) bool {
	if r.settled || r.IdempotencyKey == "" || n.keys.started(r) || !n.keyHeldByOtherProcess(r) {
		return false
	}
	delete(n.byNumber, r.number) // admission has removed it
	n.releaseKey(r)
	if !n.answerFromOtherProcess(r) { // the start was withdrawn since the last Lookup
		n.reportArrival(r, n.opts.Clock.Now())
	}
	return true
}

// keyTakenByOtherProcess handles an attempt whose start could not be recorded because another process holds its key:
// the attempt, and all that are coalesced with it, wait for that process.
func (n *Node) keyTakenByOtherProcess(r *request) {
	n.returnToQueue(r)
	for _, attempt := range append([]*request{r}, n.keys.release(r)...) {
		n.removeFromAdmission(attempt)
		attempt.stage = stageQueued
		switch {
		case attempt.settled:
			n.removeUnreported(attempt)
		case !n.answerFromOtherProcess(attempt): // the start was withdrawn since RecordStart
			n.reportArrival(attempt, n.opts.Clock.Now())
		}
	}
}
