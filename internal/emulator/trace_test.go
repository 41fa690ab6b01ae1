package emulator

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// TestTraceHoldsEveryRequest: the timeline of a request has its steps in order, and the trace has an event for the end of
// every request.
func TestTraceHoldsEveryRequest(t *testing.T) {
	w := smallFleet(2, 1.5, "sloehitch")
	w.Duration, w.WarmUp = 3*time.Second, 0
	var steps []Step
	w.OnStep = func(s Step) { steps = append(steps, s) }
	r, err := Run(w)
	if err != nil {
		t.Fatal(err)
	}
	var timeline, trace strings.Builder
	if err := WriteTimeline(&timeline, steps, "r5"); err != nil {
		t.Fatal(err)
	}
	at := 0
	for _, want := range []string{"caller", "come", "sent", "offered", "run", "served", "ended", "in aim"} {
		i := strings.Index(timeline.String()[at:], want)
		if i < 0 {
			t.Fatalf("no %q after byte %d of the timeline\n%s", want, at, &timeline)
		}
		at += i
	}
	if err := WriteTimeline(&timeline, steps, "r999999"); err == nil {
		t.Error("no error for a request without steps")
	}
	if err := WriteTrace(&trace, steps); err != nil {
		t.Fatal(err)
	}
	var decoded struct {
		TraceEvents []struct {
			Name string
			Dur  float64
		}
	}
	if err := json.Unmarshal([]byte(trace.String()), &decoded); err != nil {
		t.Fatal(err)
	}
	ended, offered := 0, r.Classes[0].Offered+r.Classes[1].Offered
	for _, e := range decoded.TraceEvents {
		if words := strings.Fields(e.Name); len(words) > 1 && e.Dur == 0 && !strings.Contains(words[0], ".") {
			ended++
		}
	}
	if ended < offered {
		t.Errorf("the trace has the ends of %d requests, want at least %d", ended, offered)
	}
}
