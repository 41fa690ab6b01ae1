package admission

import (
	"math"
	"time"

	"sloehitch/logic"
)

// DecisionKind says what was decided about a request.
type DecisionKind int

// The kinds of decisions.
const (
	Run       DecisionKind = iota // start it, or resume its paused run
	Reject                        // final response: rejected, it never ran
	Fail                          // final response: failed
	Stop                          // stop or pause its run
	Coalesce                      // answer it as the request that it repeats
	StoreKey                      // put its idempotency key into the key table
	DeleteKey                     // take it out
	MakeCall                      // make the call to the dependency that its run waits for
	SkipCall                      // continue its run without that call
)

// Decision is one thing that logic decided about one request.
type Decision struct {
	Kind       DecisionKind
	ID         uint64
	Duration   time.Duration // Reject: when to retry; MakeCall: the call's timeout; StoreKey: for how long
	NoFailover bool          // Reject: no other node would accept it either
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

// decisionOf returns the decision that an action stands for. An action that concerns the server instead is carried
// out, and the result is false.
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
