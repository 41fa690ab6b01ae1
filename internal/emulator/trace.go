package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTimeline writes the steps of one request, as people read them.
func WriteTimeline(w io.Writer, steps []Step, request string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "at\twith\ttry\twhat\t")
	last := time.Duration(-1)
	for _, s := range steps {
		if s.Request != request {
			continue
		}
		with, after := s.Node, ""
		if with == "" {
			with = "caller"
		}
		if last >= 0 {
			after = fmt.Sprintf("+%v ", s.At-last)
		}
		last = s.At
		fmt.Fprintf(t, "%v\t%s\t%s\t%s\t%s%s\n", s.At, with, s.Attempt, s.Event, after, s.Detail)
	}
	if last < 0 {
		return fmt.Errorf("no request %s came", request)
	}
	return t.Flush()
}

// traceEvent is an event of the Trace Event Format that trace viewers read.
type traceEvent struct {
	Name  string            `json:"name"`
	Phase string            `json:"ph"`
	At    float64           `json:"ts"` // microseconds
	Span  float64           `json:"dur,omitempty"`
	Node  string            `json:"pid"`
	Lane  string            `json:"tid"`
	Args  map[string]string `json:"args,omitempty"`
}

// WriteTrace writes all steps for a trace viewer: each try on its node from when it was offered until it was answered, how
// it ended, and its run within.
func WriteTrace(w io.Writer, steps []Step) error {
	type span struct{ offered, ran time.Duration }
	open := map[string]span{}
	var events []traceEvent
	us := func(d time.Duration) float64 { return float64(d) / 1000 }
	for _, s := range steps {
		key := s.Node + " " + s.Attempt
		switch s.Event {
		case "offered":
			open[key] = span{s.At, -1}
		case "run":
			if o, ok := open[key]; ok {
				o.ran = s.At
				open[key] = o
			}
		case "served", "refused", "failed", "gone":
			o, ok := open[key]
			if !ok || s.Node == "" {
				continue
			}
			delete(open, key)
			events = append(events, traceEvent{Name: s.Attempt + " " + s.Event, Phase: "X", At: us(o.offered), Span: us(s.At - o.offered), Node: s.Node, Lane: s.Attempt,
				Args: map[string]string{"request": s.Request}})
			if o.ran >= 0 {
				events = append(events, traceEvent{Name: "run", Phase: "X", At: us(o.ran), Span: us(s.At - o.ran), Node: s.Node, Lane: s.Attempt})
			}
		case "ended":
			events = append(events, traceEvent{Name: s.Request + " " + strings.SplitN(s.Detail, ",", 2)[0], Phase: "i", At: us(s.At), Node: "callers", Lane: s.Request})
		}
	}
	return json.NewEncoder(w).Encode(map[string]any{"traceEvents": events, "displayTimeUnit": "ms"})
}
