package drainpermit

import (
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
)

// Observation is what a node sees: of the store, which may be old, and of itself.
type Observation struct {
	Request        *Request // nil: nobody wants it out
	RequestVersion uint64
	Permit         *Permit // nil: it has none
	PermitVersion  uint64
	Revision       uint64 // as of which this is seen
	InFlight       int    // requests running and held
	Healthy        bool   // it is ready and well, when in service
}

// ActionKind is what a node is to do.
type ActionKind int

// What Next asks for. All but Leave, Enter and Replace are transactions, to be made only if the permit and the ask still have the
// versions seen.
const (
	ActionNone           ActionKind = iota
	ActionStart                     // have the beginning agreed on, if nothing was halted; tell Began
	ActionLeaveService              // go out of service, now
	ActionEnterService              // go into service, now
	ActionUpdatePermit              // write the permit's new state; tell Noted
	ActionReplaceProcess            // run what replaces this process; tell Replaced if that fails. Else the process ends
	ActionReturnPermit              // delete the permit, and the ask with Done; tell Noted
	ActionFailRequest               // write the ask as failed; tell Noted
)

// Action is what is to be done.
type Action struct {
	Kind        ActionKind
	Permit      Permit // as it is to be written
	Request     Request
	RequestDone bool // of GiveBack: the ask is done with too
	NeverUsed   bool // of GiveBack: nobody ever went out by it
}

// AgentOptions is a node's own part: what it is, and what it keeps to.
type AgentOptions struct {
	DeployedVersion    string        // what is deployed on it
	Terms              lease.Terms   // of the window between the agreed beginning and going out
	MinReady           time.Duration // in service and well, before a permit is given back
	MaxReplaceAttempts int           // to be replaced, after which an ask has failed
}

// Agent is one process's side of its permits. It is not safe for concurrent use.
type Agent struct {
	options      AgentOptions
	outOfService bool // out of service, by a permit

	startRequestedAt lease.Instant // before the beginning was asked for
	writePending     bool
	minRevision      uint64        // the revision of the last that it wrote: what is older says nothing
	permitID         string        // the permit whose beginning this process had agreed on, or took over
	mustStay         bool          // the process before may have gone out by it; this one does not
	startedLate      bool          // the answer to it came too late to go out by
	healthySince     lease.Instant // since when it has been in and well
	healthy          bool
	replaceFailure   string // what replaced it did not
	leftAt           lease.Instant
}

// NewAgent returns the part of a process that has just begun, in service.
func NewAgent(n AgentOptions) *Agent { return &Agent{options: n} }

// OutOfService says whether a permit has this process out of service.
func (a *Agent) OutOfService() bool { return a.outOfService }

// DrainOverdue says whether it has been out for longer than its ask gave it to be empty.
func (a *Agent) DrainOverdue(s Observation, now lease.Instant) bool {
	return a.outOfService && s.Request != nil && s.Request.DrainTimeoutMS > 0 && s.InFlight > 0 && time.Duration(now-a.leftAt) > time.Duration(s.Request.DrainTimeoutMS)*time.Millisecond
}

// NextAction returns what is to be done, by what is seen now.
func (a *Agent) NextAction(s Observation, now lease.Instant) Action {
	if in := !a.outOfService && s.Healthy; !in {
		a.healthy = false
	} else if !a.healthy {
		a.healthySince, a.healthy = now, true
	}
	if a.writePending || s.Revision < a.minRevision {
		return Action{}
	}
	p := s.Permit
	if p == nil {
		a.startedLate, a.permitID = false, ""
		if a.outOfService { // it was freed by an operator's word, or the store was put back to before it
			return Action{Kind: ActionEnterService}
		}
		return Action{}
	}
	wanted := s.Request != nil && s.Request.ID == p.RequestID && s.Request.FailureReason == ""
	if p.State == Granted {
		if !wanted {
			return a.awaitWrite(Action{Kind: ActionReturnPermit, NeverUsed: true})
		}
		next := *p
		next.State, next.StartWindowMS = Started, a.options.Terms.Duration.Milliseconds()
		a.startRequestedAt, a.startedLate, a.mustStay, a.permitID = now, false, false, p.ID
		return a.awaitWrite(Action{Kind: ActionStart, Permit: next})
	}
	if a.permitID != p.ID { // the process before this one began it, and has ended
		a.permitID, a.startedLate, a.mustStay = p.ID, false, p.State == Started // it may have gone out, and this process may not do so now: its window is over
	}
	changed := wanted && s.Request.ReleaseName != "" && s.Request.TargetVersion == a.options.DeployedVersion // by a release, to what it wants
	switch {
	case a.outOfService && (!wanted || changed):
		return Action{Kind: ActionEnterService}
	case !a.outOfService && wanted && !changed && !a.mustStay && p.State != Returning:
		if s.Request.ReleaseName != "" && p.ReplaceAttempts >= a.options.MaxReplaceAttempts {
			failed := *s.Request
			failed.FailureReason = fmt.Sprintf("replaced %d times and still %q, not %q", p.ReplaceAttempts, a.options.DeployedVersion, s.Request.TargetVersion)
			if a.replaceFailure != "" {
				failed.FailureReason += ": " + a.replaceFailure
			}
			return a.awaitWrite(Action{Kind: ActionFailRequest, Request: failed})
		}
		return Action{Kind: ActionLeaveService}
	case a.outOfService && p.State != OutOfService:
		next := *p
		next.State = OutOfService
		return a.awaitWrite(Action{Kind: ActionUpdatePermit, Permit: next})
	case a.outOfService && s.Request.ReleaseName != "" && s.InFlight == 0:
		if a.replaceFailure != "" && p.ReplaceAttempts >= a.options.MaxReplaceAttempts {
			return Action{Kind: ActionEnterService}
		}
		next := *p
		next.ReplaceAttempts++
		return a.awaitWrite(Action{Kind: ActionReplaceProcess, Permit: next})
	case a.outOfService:
		return Action{}
	case p.State != Returning:
		next := *p
		next.State = Returning
		return a.awaitWrite(Action{Kind: ActionUpdatePermit, Permit: next})
	case a.healthy && time.Duration(now-a.healthySince) >= a.options.MinReady:
		return a.awaitWrite(Action{Kind: ActionReturnPermit, RequestDone: wanted && s.Request.ReleaseName != "" && !a.startedLate})
	}
	return Action{}
}

func (a *Agent) awaitWrite(x Action) Action {
	a.writePending = true
	return x
}

// HandleStartResult tells how the question about the beginning ended, and returns whether to go out now: it was made, and the answer came within the
// window. Where it turns out to have begun all the same, this process may have done so without knowing in time, or the one before it did, and
// went out: this one had seen an older state of the store. It stays, and gives the permit back as one that comes back does.
func (a *Agent) HandleStartResult(made bool, revision uint64, now lease.Instant) (leave bool) {
	a.HandleWriteResult(made, revision)
	a.startedLate = !made || now >= a.startRequestedAt.Add(a.options.Terms.HolderDuration())
	a.mustStay = a.startedLate
	return !a.startedLate
}

// HandleWriteResult tells that a transaction ended: made, and as which revision, or not, as far as is known.
func (a *Agent) HandleWriteResult(made bool, revision uint64) {
	if a.writePending = false; made {
		a.minRevision = max(a.minRevision, revision)
	}
}

// LeftService tells that the process went out of service; Entered that it is in again.
func (a *Agent) LeftService(now lease.Instant)    { a.outOfService, a.leftAt = true, now }
func (a *Agent) EnteredService(now lease.Instant) { a.outOfService, a.healthy = false, false }

// HandleReplaceFailure tells that what was to replace the process did not.
func (a *Agent) HandleReplaceFailure(why string) { a.writePending, a.replaceFailure = false, why }
