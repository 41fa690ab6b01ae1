package node

import (
	"errors"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// Sharer is a Journal that other processes of this node write too, while one replaces another. Its Began tells ErrTaken
// where one of them holds the key.
type Sharer interface {
	Journal
	// Find returns what another process told of b's key: its content's digest, whether the run is over and what came of it.
	// It must not block for long.
	Find(b Booking) (Booking, bool)
	// Await calls done once, from another goroutine, when Find may have more to say than that the key's run is not over.
	Await(b Booking, done func())
}

// ErrTaken is what a Journal tells of a start whose key another process holds: it may have run there, so a try of it
// here is neither run nor refused.
var ErrTaken = errors.New("the key is held by another process")

// heldAbroad tells whether another process is known to hold r's key.
func (n *Node) heldAbroad(r *request) bool {
	s, ok := n.opts.Journal.(Sharer)
	if !ok {
		return false
	}
	_, held := s.Find(n.booking(r))
	return held
}

// abroad answers a try whose key another process holds as that process's run was answered, now or when it is over. It
// returns false where none holds it. The module is not asked: nothing of the try will run here.
func (n *Node) abroad(r *request) bool {
	s, ok := n.opts.Journal.(Sharer)
	if !ok {
		return false
	}
	b, held := s.Find(n.booking(r))
	switch {
	case !held:
		return false
	case b.Digest != r.digest:
		n.settle(r, Answer{Kind: Failed, Taken: true})
	case !b.Ended:
		r.stage = abroad
		n.counts.Abroad++
		s.Await(n.booking(r), func() { n.heard(r) })
		return true
	case b.Served && b.Kept && b.Front == r.Front:
		n.counts.Shared++
		n.settle(r, Answer{Kind: Served, Result: b.Result})
	default: // it ended badly, or its process died before it could tell
		n.settle(r, Answer{Kind: Failed})
	}
	n.leave(r)
	return true
}

// leave forgets a try that the module does not know, once it is answered.
func (n *Node) leave(r *request) {
	r.stage = ended
	if n.byID[r.ID] == r {
		delete(n.byID, r.ID)
	}
}

// heard goes on with a try that waits for what comes of its key's run in another process.
func (n *Node) heard(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled || r.stage != abroad || n.abroad(r) {
		return
	}
	n.enter(r, n.opts.Clock.Now()) // nothing ran there after all
}

// moved has a held try that the module turned away wait for the process that has begun its key meanwhile: refused, it
// would be sent to run elsewhere. It returns false where none has.
func (n *Node) moved(r *request) bool {
	if r.settled || r.Key == "" || n.keys.ran(r) || !n.heldAbroad(r) {
		return false
	}
	delete(n.byNum, r.num) // the module has done with it
	for _, waiting := range n.keys.abandon(r) {
		n.again(waiting)
	}
	if !n.abroad(r) { // withdrawn in this moment
		n.enter(r, n.opts.Clock.Now())
	}
	return true
}

// taken has a try, and all that wait for it, wait for the process that holds their key.
func (n *Node) taken(r *request) {
	if r.wait != nil {
		r.wait.Stop()
	}
	r.stage = held
	if e := n.keys.entries[r.Key]; e != nil && e.owner == r {
		e.ran = false
	}
	for _, try := range append([]*request{r}, n.keys.abandon(r)...) {
		n.opts.Gate.Report(admission.Ended(try.num, logic.Moot, 0))
		delete(n.byNum, try.num)
		try.stage = held
		switch {
		case try.settled:
			n.leave(try)
		case !n.abroad(try): // withdrawn in the meantime
			n.enter(try, n.opts.Clock.Now())
		}
	}
}
