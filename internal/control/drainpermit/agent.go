package drainpermit

import (
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
)

// Sight is what a node sees: of the store, which may be old, and of itself.
type Sight struct {
	Ask           *Ask // nil: nobody wants it out
	AskVersion    uint64
	Permit        *Permit // nil: it has none
	PermitVersion uint64
	Revision      uint64 // as of which this is seen
	InHand        int    // requests running and held
	Well          bool   // it is ready and well, when in service
}

// Kind is what a node is to do.
type Kind int

// What Next asks for. All but Leave, Enter and Replace are transactions, to be made only if the permit and the ask still have the
// versions seen.
const (
	Nothing  Kind = iota
	Begin         // have the beginning agreed on, if nothing was halted; tell Began
	Leave         // go out of service, now
	Enter         // go into service, now
	Note          // write the permit's new state; tell Noted
	Replace       // run what replaces this process; tell Replaced if that fails. Else the process ends
	GiveBack      // delete the permit, and the ask with Done; tell Noted
	Fail          // write the ask as failed; tell Noted
)

// Action is what is to be done.
type Action struct {
	Kind   Kind
	Permit Permit // as it is to be written
	Ask    Ask
	Done   bool // of GiveBack: the ask is done with too
	Late   bool // of GiveBack: nobody ever went out by it
}

// Node is a node's own part: what it is, and what it keeps to.
type Node struct {
	Release string        // what is deployed on it
	Terms   lease.Terms   // of the window between the agreed beginning and going out
	Settle  time.Duration // in service and well, before a permit is given back
	Tries   int           // to be replaced, after which an ask has failed
}

// Agent is one process's side of its permits. It is not safe for concurrent use.
type Agent struct {
	node Node
	out  bool // out of service, by a permit

	asked    lease.Instant // before the beginning was asked for
	busy     bool
	after    uint64        // the revision of the last that it wrote: what is older says nothing
	mine     string        // the permit whose beginning this process had agreed on, or took over
	stays    bool          // the process before may have gone out by it; this one does not
	late     bool          // the answer to it came too late to go out by
	well     lease.Instant // since when it has been in and well
	wellSeen bool
	failed   string // what replaced it did not
	since    lease.Instant
}

// NewAgent returns the part of a process that has just begun, in service.
func NewAgent(n Node) *Agent { return &Agent{node: n} }

// Out says whether a permit has this process out of service.
func (a *Agent) Out() bool { return a.out }

// Overdue says whether it has been out for longer than its ask gave it to be empty.
func (a *Agent) Overdue(s Sight, now lease.Instant) bool {
	return a.out && s.Ask != nil && s.Ask.Within > 0 && s.InHand > 0 && time.Duration(now-a.since) > time.Duration(s.Ask.Within)*time.Millisecond
}

// Next returns what is to be done, by what is seen now.
func (a *Agent) Next(s Sight, now lease.Instant) Action {
	if in := !a.out && s.Well; !in {
		a.wellSeen = false
	} else if !a.wellSeen {
		a.well, a.wellSeen = now, true
	}
	if a.busy || s.Revision < a.after {
		return Action{}
	}
	p := s.Permit
	if p == nil {
		a.late, a.mine = false, ""
		if a.out { // it was freed by an operator's word, or the store was put back to before it
			return Action{Kind: Enter}
		}
		return Action{}
	}
	wanted := s.Ask != nil && s.Ask.ID == p.Ask && s.Ask.Failed == ""
	if p.State == Granted {
		if !wanted {
			return a.does(Action{Kind: GiveBack, Late: true})
		}
		next := *p
		next.State, next.Window = Begun, a.node.Terms.Length.Milliseconds()
		a.asked, a.late, a.stays, a.mine = now, false, false, p.ID
		return a.does(Action{Kind: Begin, Permit: next})
	}
	if a.mine != p.ID { // the process before this one began it, and has ended
		a.mine, a.late, a.stays = p.ID, false, p.State == Begun // it may have gone out, and this process may not do so now: its window is over
	}
	changed := wanted && s.Ask.Release != "" && s.Ask.To == a.node.Release // by a release, to what it wants
	switch {
	case a.out && (!wanted || changed):
		return Action{Kind: Enter}
	case !a.out && wanted && !changed && !a.stays && p.State != Back:
		if s.Ask.Release != "" && p.Tries >= a.node.Tries {
			failed := *s.Ask
			failed.Failed = fmt.Sprintf("replaced %d times and still %q, not %q", p.Tries, a.node.Release, s.Ask.To)
			if a.failed != "" {
				failed.Failed += ": " + a.failed
			}
			return a.does(Action{Kind: Fail, Ask: failed})
		}
		return Action{Kind: Leave}
	case a.out && p.State != Out:
		next := *p
		next.State = Out
		return a.does(Action{Kind: Note, Permit: next})
	case a.out && s.Ask.Release != "" && s.InHand == 0:
		if a.failed != "" && p.Tries >= a.node.Tries {
			return Action{Kind: Enter}
		}
		next := *p
		next.Tries++
		return a.does(Action{Kind: Replace, Permit: next})
	case a.out:
		return Action{}
	case p.State != Back:
		next := *p
		next.State = Back
		return a.does(Action{Kind: Note, Permit: next})
	case a.wellSeen && time.Duration(now-a.well) >= a.node.Settle:
		return a.does(Action{Kind: GiveBack, Done: wanted && s.Ask.Release != "" && !a.late})
	}
	return Action{}
}

func (a *Agent) does(x Action) Action {
	a.busy = true
	return x
}

// Began tells how the question about the beginning ended, and returns whether to go out now: it was made, and the answer came within the
// window. Where it turns out to have begun all the same, this process may have done so without knowing in time, or the one before it did, and
// went out: this one had seen an older state of the store. It stays, and gives the permit back as one that comes back does.
func (a *Agent) Began(made bool, revision uint64, now lease.Instant) (leave bool) {
	a.Noted(made, revision)
	a.late = !made || now >= a.asked.Add(a.node.Terms.Hold())
	a.stays = a.late
	return !a.late
}

// Noted tells that a transaction ended: made, and as which revision, or not, as far as is known.
func (a *Agent) Noted(made bool, revision uint64) {
	if a.busy = false; made {
		a.after = max(a.after, revision)
	}
}

// Left tells that the process went out of service; Entered that it is in again.
func (a *Agent) Left(now lease.Instant)    { a.out, a.since = true, now }
func (a *Agent) Entered(now lease.Instant) { a.out, a.wellSeen = false, false }

// Replaced tells that what was to replace the process did not.
func (a *Agent) Replaced(why string) { a.busy, a.failed = false, why }
