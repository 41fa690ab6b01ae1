package node

import (
	"errors"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// SharedJournal is a Journal that other processes of this node write too, while one replaces another. Its Began tells ErrTaken
// where one of them holds the key.
type SharedJournal interface {
	Journal
	// Lookup returns what another process told of b's key: its content's digest, whether the run is over and what came of it.
	// It must not block for long.
	Lookup(b RunRecord) (RunRecord, bool)
	// NotifyOnChange calls done once, from another goroutine, when Find may have more to say than that the key's run is not over.
	NotifyOnChange(b RunRecord, done func())
}

// ErrKeyHeld is what a Journal tells of a start whose key another process holds: it may have run there, so a try of it
// here is neither run nor refused.
var ErrKeyHeld = errors.New("the key is held by another process")

// keyHeldElsewhere tells whether another process is known to hold r's key.
func (n *Node) keyHeldElsewhere(r *request) bool {
	s, ok := n.opts.Journal.(SharedJournal)
	if !ok {
		return false
	}
	_, held := s.Lookup(n.runRecord(r))
	return held
}

// answerFromElsewhere answers a try whose key another process holds as that process's run was answered, now or when it is over. It
// returns false where none holds it. The module is not asked: nothing of the try will run here.
func (n *Node) answerFromElsewhere(r *request) bool {
	s, ok := n.opts.Journal.(SharedJournal)
	if !ok {
		return false
	}
	b, held := s.Lookup(n.runRecord(r))
	switch {
	case !held:
		return false
	case b.Fingerprint != r.fingerprint:
		n.respond(r, Response{Status: StatusFailed, KeyReused: true})
	case !b.Ended:
		r.stage = stageElsewhere
		n.counts.WaitedElsewhere++
		s.NotifyOnChange(n.runRecord(r), func() { n.elsewhereChanged(r) })
		return true
	case b.Succeeded && b.ResultStored && b.Protocol == r.Protocol:
		n.counts.ServedFromElsewhere++
		n.respond(r, Response{Status: StatusServed, Result: b.Result})
	default: // it ended badly, or its process died before it could tell
		n.respond(r, Response{Status: StatusFailed})
	}
	n.removeUnreported(r)
	return true
}

// removeUnreported forgets a try that the module does not know, once it is answered.
func (n *Node) removeUnreported(r *request) {
	r.stage = stageEnded
	if n.byID[r.ID] == r {
		delete(n.byID, r.ID)
	}
}

// elsewhereChanged goes on with a try that waits for what comes of its key's run in another process.
func (n *Node) elsewhereChanged(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled || r.stage != stageElsewhere || n.answerFromElsewhere(r) {
		return
	}
	n.reportArrival(r, n.opts.Clock.Now()) // nothing ran there after all
}

// moveElsewhere has a held try that the module turned away wait for the process that has begun its key meanwhile: refused, it
// would be sent to run elsewhere. It returns false where none has.
func (n *Node) moveElsewhere(r *request) bool {
	if r.settled || r.IdempotencyKey == "" || n.keys.started(r) || !n.keyHeldElsewhere(r) {
		return false
	}
	delete(n.byNumber, r.number) // the module has done with it
	for _, waiting := range n.keys.release(r) {
		n.resubmit(waiting)
	}
	if !n.answerFromElsewhere(r) { // withdrawn in this moment
		n.reportArrival(r, n.opts.Clock.Now())
	}
	return true
}

// keyTakenElsewhere has a try, and all that wait for it, wait for the process that holds their key.
func (n *Node) keyTakenElsewhere(r *request) {
	if r.recordTimer != nil {
		r.recordTimer.Stop()
	}
	r.stage = stageQueued
	if e := n.keys.entries[r.IdempotencyKey]; e != nil && e.owner == r {
		e.started = false
	}
	for _, try := range append([]*request{r}, n.keys.release(r)...) {
		n.opts.Admission.Report(admission.RunEnded(try.number, logic.OutcomeNotStarted, 0))
		delete(n.byNumber, try.number)
		try.stage = stageQueued
		switch {
		case try.settled:
			n.removeUnreported(try)
		case !n.answerFromElsewhere(try): // withdrawn in the meantime
			n.reportArrival(try, n.opts.Clock.Now())
		}
	}
}
