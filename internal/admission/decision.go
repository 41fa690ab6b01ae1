package admission

import (
	"math"
	"time"

	"sloehitch/logic"
)

// DecisionKind is the kind of a Decision.
type DecisionKind int

// The kinds of decisions.
const (
	Run       DecisionKind = iota // start the request, or resume its paused run
	Reject                        // final response: rejected, never ran
	Fail                          // final response: failed
	Stop                          // stop or pause the run
	Coalesce                      // answer the request like the one that it repeats
	StoreKey                      // store the request's idempotency key in the key table
	DeleteKey                     // delete the request's idempotency key from the key table
	MakeCall                      // make the call to the dependency that the run waits for
	SkipCall                      // continue the run without that call
)

// Decision is a decision about one request.
type Decision struct {
	Kind       DecisionKind
	ID         uint64
	Duration   time.Duration // Reject: Retry-After; MakeCall: timeout of the call; StoreKey: lifetime of the entry
	NoFailover bool          // Reject: no other node would accept the request either
}

var decisionKinds = map[logic.ActionKind]DecisionKind{
	logic.ActionRun:       Run,
	logic.ActionReject:    Reject,
	logic.ActionFail:      Fail,
	logic.ActionStop:      Stop,
	logic.ActionCoalesce:  Coalesce,
	logic.ActionStoreKey:  StoreKey,
	logic.ActionDeleteKey: DeleteKey,
	logic.ActionCall:      MakeCall,
	logic.ActionSkipCall:  SkipCall,
}

// decisionOf returns the decision for an action that concerns a request. It carries out any other action, which
// concerns the server, and returns false.
func (c *Controller) decisionOf(action logic.Action) (Decision, bool) {
	switch action.Kind {
	case logic.ActionSetTimer:
		c.timerID = action.TimerID
		c.setTimer(time.Duration(action.Duration) * time.Microsecond)
	case logic.ActionSetLoadSignal:
		c.loadSignal.Store(math.Float64bits(action.LoadSignal))
	case logic.ActionSetHealth:
		c.unhealthy.Store(!action.Healthy)
	case logic.ActionSetIdleTimeout:
		c.idleTimeout.Store(int64(action.Duration) * int64(time.Microsecond))
	default:
		return Decision{
			Kind:       decisionKinds[action.Kind],
			ID:         uint64(action.ID),
			Duration:   time.Duration(action.Duration) * time.Microsecond,
			NoFailover: action.NoFailover,
		}, true
	}
	return Decision{}, false
}
