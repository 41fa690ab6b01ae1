package node

import (
	"errors"
)

// While one process of a node replaces another, both serve requests and share their keys by a SharedJournal. An
// attempt whose key another process holds is not run here and not reported to admission: it is answered as that
// process's run is, now or when it ends.
//
//	the run has ended, its result is stored   served with the result
//	the run has ended otherwise               failed, also if its process died before the end
//	the run is in flight                      wait for its end, until the request's deadline
//	the start was withdrawn                   as any new request

// SharedJournal is a Journal that other processes of this node write too, while one replaces another. Its RecordStart
// reports ErrKeyHeld if one of them holds the key.
type SharedJournal interface {
	Journal
	// Lookup returns what another process has recorded of record's key, record.Key and record.Class being all that it
	// needs. It must not block for long.
	Lookup(record RunRecord) (RunRecord, bool)
	// NotifyOnChange calls done once, from another goroutine, when Lookup may say more than that the key's run has
	// not ended.
	NotifyOnChange(record RunRecord, done func())
}

// ErrKeyHeld is reported by a Journal for a start whose key another process holds: it may have run there, so an
// attempt of it here is neither run nor rejected.
var ErrKeyHeld = errors.New("the key is held by another process")

// keyHeldElsewhere reports whether another process is known to hold r's key.
func (n *Node) keyHeldElsewhere(r *request) bool {
	s, ok := n.opts.Journal.(SharedJournal)
	if !ok {
		return false
	}
	_, held := s.Lookup(n.runRecord(r))
	return held
}

// answerFromElsewhere answers an attempt from its key's run in another process, now or when that ends. It returns
// false if no other process holds the key.
func (n *Node) answerFromElsewhere(r *request) bool {
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
		r.stage = stageElsewhere
		n.counts.WaitedElsewhere++
		s.NotifyOnChange(n.runRecord(r), func() { n.elsewhereChanged(r) })
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

// removeUnreported forgets an answered attempt that admission does not know.
func (n *Node) removeUnreported(r *request) {
	r.stage = stageEnded
	if n.byID[r.ID] == r {
		delete(n.byID, r.ID)
	}
}

// elsewhereChanged continues with an attempt that waits for its key's run in another process.
func (n *Node) elsewhereChanged(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled || r.stage != stageElsewhere || n.answerFromElsewhere(r) {
		return
	}
	n.reportArrival(r, n.opts.Clock.Now()) // the start was withdrawn
}

// moveElsewhere has a queued attempt that admission rejects wait for the process that has started its key meanwhile:
// rejected, it would be sent to run on another node. It returns false if no process has.
func (n *Node) moveElsewhere(r *request) bool {
	if r.settled || r.IdempotencyKey == "" || n.keys.started(r) || !n.keyHeldElsewhere(r) {
		return false
	}
	delete(n.byNumber, r.number) // admission has forgotten it
	n.releaseKey(r)
	if !n.answerFromElsewhere(r) { // withdrawn just now
		n.reportArrival(r, n.opts.Clock.Now())
	}
	return true
}

// keyTakenElsewhere has an attempt whose start could not be recorded, and all that wait for it, wait for the process
// that holds their key.
func (n *Node) keyTakenElsewhere(r *request) {
	n.unclaimStart(r)
	for _, attempt := range append([]*request{r}, n.keys.release(r)...) {
		n.unreport(attempt)
		attempt.stage = stageQueued
		switch {
		case attempt.settled:
			n.removeUnreported(attempt)
		case !n.answerFromElsewhere(attempt): // withdrawn just now
			n.reportArrival(attempt, n.opts.Clock.Now())
		}
	}
}
