package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTimeline writes the steps of one request as a table. It returns an error if the request has no steps.
func WriteTimeline(w io.Writer, steps []Step, request string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "time\tlocation\tattempt\tevent\t")
	last := time.Duration(-1)
	for _, s := range steps {
		if s.Request != request {
			continue
		}
		location, sinceLast := s.Node, ""
		if location == "" {
			location = "caller"
		}
		if last >= 0 {
			sinceLast = fmt.Sprintf("+%v ", s.At-last)
		}
		last = s.At
		fmt.Fprintf(t, "%v\t%s\t%s\t%s\t%s%s\n", s.At, location, s.Attempt, s.Event, sinceLast, s.Detail)
	}
	if last < 0 {
		return fmt.Errorf("no steps of request %s", request)
	}
	return t.Flush()
}

// traceEvent is an event of the Trace Event Format that trace viewers read.
type traceEvent struct {
	Name     string            `json:"name"`
	Phase    string            `json:"ph"`
	At       float64           `json:"ts"` // microseconds
	Duration float64           `json:"dur,omitempty"`
	Process  string            `json:"pid"`
	Thread   string            `json:"tid"`
	Args     map[string]string `json:"args,omitempty"`
}

// traceFile is a file in the Trace Event Format.
type traceFile struct {
	DisplayTimeUnit string       `json:"displayTimeUnit"`
	TraceEvents     []traceEvent `json:"traceEvents"`
}

// The phases of trace events (a complete event has a duration).
const (
	phaseComplete = "X"
	phaseInstant  = "i"
)

// nodeSpan holds when an attempt was submitted on a node and when its run started (-1: not yet).
type nodeSpan struct{ submitted, runStarted time.Duration }

// WriteTrace writes all steps for a trace viewer: a span for each attempt on its node from submission to response, a span
// for the run within it, and an event for the outcome of each request.
func WriteTrace(w io.Writer, steps []Step) error {
	spans := map[string]nodeSpan{}
	var events []traceEvent
	for _, s := range steps {
		key := s.Node + " " + s.Attempt
		switch s.Event {
		case EventOffered:
			spans[key] = nodeSpan{s.At, -1}
		case EventRun:
			if span, ok := spans[key]; ok {
				span.runStarted = s.At
				spans[key] = span
			}
		case EventServed, EventRejected, EventFailed, EventCanceled:
			if span, ok := spans[key]; ok && s.Node != "" {
				delete(spans, key)
				events = append(events, span.events(s)...)
			}
		case EventEnded:
			outcome, _, _ := strings.Cut(s.Detail, ",")
			events = append(events, traceEvent{Name: s.Request + " " + outcome, Phase: phaseInstant, At: micro(s.At), Process: "callers", Thread: s.Request})
		}
	}
	return json.NewEncoder(w).Encode(traceFile{DisplayTimeUnit: "ms", TraceEvents: events})
}

// events returns the trace events of a span that ends with a step.
func (n nodeSpan) events(end Step) []traceEvent {
	events := []traceEvent{{Name: end.Attempt + " " + string(end.Event), Phase: phaseComplete, At: micro(n.submitted), Duration: micro(end.At - n.submitted),
		Process: end.Node, Thread: end.Attempt, Args: map[string]string{"request": end.Request}}}
	if n.runStarted >= 0 {
		events = append(events, traceEvent{Name: "run", Phase: phaseComplete, At: micro(n.runStarted), Duration: micro(end.At - n.runStarted),
			Process: end.Node, Thread: end.Attempt})
	}
	return events
}

// micro converts a duration to microseconds, the unit of trace events.
func micro(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
