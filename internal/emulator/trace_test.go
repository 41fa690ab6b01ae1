package emulator

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// TestTrace: the timeline of a request has its steps in order, and the trace file has the end of every request.
func TestTrace(t *testing.T) {
	w := smallFleet(2, 1.5, "sloehitch")
	w.Duration, w.WarmUp = 3*time.Second, 0
	var steps []Step
	w.OnStep = func(s Step) { steps = append(steps, s) }
	r, err := Run(w)
	if err != nil {
		t.Fatal(err)
	}
	var life, file strings.Builder
	if err := WriteTimeline(&life, steps, "r5"); err != nil {
		t.Fatal(err)
	}
	at := 0
	for _, want := range []string{"caller", "come", "sent", "offered", "run", "served", "ended", "in aim"} {
		i := strings.Index(life.String()[at:], want)
		if i < 0 {
			t.Fatalf("no %q after byte %d of\n%s", want, at, &life)
		}
		at += i
	}
	if err := WriteTimeline(&life, steps, "r999999"); err == nil {
		t.Error("a request that never came: no error")
	}
	if err := WriteTrace(&file, steps); err != nil {
		t.Fatal(err)
	}
	var read struct {
		TraceEvents []struct {
			Name string
			Dur  float64
		}
	}
	if err := json.Unmarshal([]byte(file.String()), &read); err != nil {
		t.Fatal(err)
	}
	ended, offered := 0, r.Classes[0].Offered+r.Classes[1].Offered
	for _, e := range read.TraceEvents {
		if word := strings.Fields(e.Name); len(word) > 1 && e.Dur == 0 && !strings.Contains(word[0], ".") {
			ended++
		}
	}
	if ended < offered {
		t.Errorf("%d of %d requests end in the file", ended, offered)
	}
}
