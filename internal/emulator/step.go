package emulator

import "time"

// Event is the kind of a Step. Its values are written into traces.
type Event string

// The events of a request and of its attempts.
const (
	EventArrived  Event = "come"    // the client made the request
	EventSent     Event = "sent"    // a balancer sent an attempt
	EventOffered  Event = "offered" // the node has read the attempt
	EventRun      Event = "run"     // the node started to run the attempt
	EventServed   Event = "served"
	EventRejected Event = "refused"
	EventFailed   Event = "failed"
	EventCanceled Event = "gone"  // the node learned that the client no longer waits
	EventBackoff  Event = "waits" // the balancer waits before a retry
	EventEnded    Event = "ended" // the request ended; Detail gives the outcome
)

// Step is one event of a request or of one of its attempts.
type Step struct {
	At      time.Duration // since the simulation's start
	Request string
	Attempt string // empty: the step is about the request as a whole
	Node    string // empty: it happened at the caller
	Event   Event
	Detail  string
}

// emit passes a step to the world's observer, if it has one.
func (s *simulation) emit(request, attempt, node string, event Event, detail string) {
	if s.OnStep != nil {
		s.OnStep(Step{s.clock.Now().Sub(s.startedAt), request, attempt, node, event, detail})
	}
}
