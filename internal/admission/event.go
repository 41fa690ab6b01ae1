package admission

import (
	"time"

	"sloehitch/logic"
)

// Arrival describes a request that was read; see logic.Arrival.
type Arrival = logic.Arrival

// Outcome says how a run or a call to the dependency ended; see logic.Outcome.
type Outcome = logic.Outcome

// Gauges are the server's own measurements; see logic.Gauges.
type Gauges = logic.Gauges

// Event is an event for Controller.Report. The functions below create events.
type Event struct{ event logic.Event }

// Arrived returns the event that a request was read. id must be unique.
func Arrived(id uint64, arrival Arrival) Event {
	return Event{logic.Event{Kind: logic.EventArrival, ID: logic.RequestID(id), Arrival: arrival}}
}

// RunEnded returns the event that a request's run, or its wait for another request's run, has ended after the given
// time.
func RunEnded(id uint64, outcome Outcome, elapsed time.Duration) Event {
	return ended(logic.EventRunEnded, id, outcome, elapsed)
}

// CallRequested returns the event that a run waits for a call to the dependency.
func CallRequested(id uint64) Event {
	return Event{logic.Event{Kind: logic.EventCallNeeded, ID: logic.RequestID(id)}}
}

// CallEnded returns the event that a call has ended after the given time.
func CallEnded(id uint64, outcome Outcome, elapsed time.Duration) Event {
	return ended(logic.EventCallEnded, id, outcome, elapsed)
}

// Canceled returns the event that the caller of a request no longer waits for it.
func Canceled(id uint64) Event {
	return Event{logic.Event{Kind: logic.EventCanceled, ID: logic.RequestID(id)}}
}

// Draining returns the event that the process is shutting down and will be killed after the given time.
func Draining(left time.Duration) Event {
	return Event{logic.Event{Kind: logic.EventDrain, TimeToKill: micros(left)}}
}

func micros(d time.Duration) logic.Micros { return logic.Micros(d / time.Microsecond) }

func ended(kind logic.EventKind, id uint64, outcome Outcome, elapsed time.Duration) Event {
	return Event{logic.Event{Kind: kind, ID: logic.RequestID(id), Outcome: outcome, Elapsed: micros(elapsed)}}
}
