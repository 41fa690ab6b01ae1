package admission

import (
	"time"

	"sloehitch/logic"
)

// Arrival is a request as read; see logic.Arrival.
type Arrival = logic.Arrival

// Outcome is how a run or a call to the dependency ended; see logic.Outcome.
type Outcome = logic.Outcome

// Gauges are the server's own measurements; see logic.Gauges.
type Gauges = logic.Gauges

// Event is one thing that happened, to be reported to a Controller. The functions below make events.
type Event struct{ event logic.Event }

// Arrived reports a request that was read. id is new with every request.
func Arrived(id uint64, arrival Arrival) Event {
	return Event{logic.Event{Kind: logic.EventArrival, ID: logic.RequestID(id), Arrival: arrival}}
}

// RunEnded reports that a request's run, or its wait for the run of another request, has ended, and how long that took.
func RunEnded(id uint64, outcome Outcome, elapsed time.Duration) Event {
	return ended(logic.EventRunEnded, id, outcome, elapsed)
}

// CallRequested reports that a run waits for a call to the dependency.
func CallRequested(id uint64) Event {
	return Event{logic.Event{Kind: logic.EventCallNeeded, ID: logic.RequestID(id)}}
}

// CallEnded reports how a call ended, and how long it took.
func CallEnded(id uint64, outcome Outcome, elapsed time.Duration) Event {
	return ended(logic.EventCallEnded, id, outcome, elapsed)
}

// Canceled reports that the caller of a request no longer waits for it.
func Canceled(id uint64) Event {
	return Event{logic.Event{Kind: logic.EventCanceled, ID: logic.RequestID(id)}}
}

// Draining reports that the process will be killed after the given time.
func Draining(left time.Duration) Event {
	return Event{logic.Event{Kind: logic.EventDrain, TimeToKill: micros(left)}}
}

func micros(d time.Duration) logic.Micros { return logic.Micros(d / time.Microsecond) }

func ended(kind logic.EventKind, id uint64, outcome Outcome, elapsed time.Duration) Event {
	return Event{logic.Event{Kind: kind, ID: logic.RequestID(id), Outcome: outcome, Elapsed: micros(elapsed)}}
}
