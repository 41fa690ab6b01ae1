// Package simadapter reads and writes the simulator's line protocol and maps it to the terms of package
// logic. It takes no decision.
package simadapter

import (
	"bufio"
	"fmt"
	"math"
	"strconv"
	"strings"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// lineFields takes the parts of a line one by one and keeps the first error.
type lineFields struct {
	rest string
	err  error
}

func (f *lineFields) next() string {
	word, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return word
}

func (f *lineFields) invalid(what, word string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s %q", what, word)
	}
}

// required is a part that must be there.
func (f *lineFields) required(what string) string {
	w := f.next()
	if w == "" || w == "-" {
		f.invalid(what, w)
	}
	return w
}

// optional is a part that may be absent: "" then.
func (f *lineFields) optional() string {
	if w := f.next(); w != "-" {
		return w
	}
	return ""
}

func (f *lineFields) unsigned(what string) uint64 {
	w := f.required(what)
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.invalid(what, w)
	}
	return n
}

func (f *lineFields) optionalUnsigned(what string) uint64 {
	w := f.optional()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.invalid(what, w)
	}
	return n
}

// micros is a time that must be there; spans are never negative.
func (f *lineFields) micros(what string) logic.Micros {
	w := f.required(what)
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil || n < 0 {
		f.invalid(what, w)
	}
	return logic.Micros(n)
}

func (f *lineFields) optionalMicros(what string) logic.Micros {
	n := f.optionalUnsigned(what)
	if n > math.MaxInt64 {
		f.invalid(what, strconv.FormatUint(n, 10))
	}
	return logic.Micros(n)
}

func (f *lineFields) optionalFloat(what string) float64 {
	w := f.optional()
	if w == "" {
		return 0
	}
	return f.parseFloat(what, w)
}

func (f *lineFields) parseFloat(what, w string) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.invalid(what, w)
	}
	return v
}

func (f *lineFields) done() error {
	if f.err == nil && f.rest != "" {
		f.invalid("trailing text", f.rest)
	}
	return f.err
}

// Bits of the attrs part of ORDER.
const (
	attributeHintValid = 1
	attributeRetry     = 2
)

func parseEvent(name string, f *lineFields, v *settings.NameIndex) (logic.Event, error) {
	var ev logic.Event
	if name != "FIRED" && name != "QUIESCE" {
		ev.ID = logic.RequestID(f.unsigned("request id"))
	}
	switch name {
	case "ORDER":
		ev.Kind = logic.EventArrival
		ev.Arrival = parseArrival(f, v)
	case "WORK_DONE":
		ev.Kind = logic.EventRunEnded
		ev.Outcome, ev.Elapsed = parseOutcome(f)
	case "STALLED_ON_CALL":
		ev.Kind = logic.EventCallNeeded
	case "CALL_RESULT":
		ev.Kind = logic.EventCallEnded
		ev.Outcome, ev.Elapsed = parseOutcome(f)
	case "GONE":
		ev.Kind = logic.EventCanceled
	case "FIRED":
		ev.Kind = logic.EventTimer
		ev.TimerID = f.unsigned("tag")
		ev.Gauges = parseGauges(f)
	case "QUIESCE":
		ev.Kind = logic.EventDrain
		ev.TimeToKill = f.optionalMicros("time-budget")
	default:
		return ev, fmt.Errorf("unknown message %q", name)
	}
	return ev, f.done()
}

func parseArrival(f *lineFields, v *settings.NameIndex) logic.Arrival {
	a := logic.Arrival{Tenant: -1}
	class := f.required("class")
	index, known := v.Classes[class]
	if !known {
		f.invalid("class", class)
	}
	a.Class = index
	a.MemoryKB = f.parseFloat("kb", f.required("kb"))
	if a.MemoryKB < 0 {
		f.invalid("kb", strconv.FormatFloat(a.MemoryKB, 'g', -1, 64))
	}
	a.WorkHint = f.optionalMicros("predicted")
	f.optional() // route-key: no decision uses it
	a.AttemptTimeout = f.optionalMicros("time-budget")
	if owner := f.optional(); owner != "" && owner != "0" {
		if a.Tenant, known = v.Tenants[owner]; !known {
			f.invalid("owner", owner)
		}
	}
	attrs := f.optionalUnsigned("attrs")
	if attrs&attributeHintValid == 0 {
		a.WorkHint = 0
	}
	a.Retry = attrs&attributeRetry != 0
	a.PriorityRank = f.optionalFloat("rank")
	a.OriginalID = logic.RequestID(f.optionalUnsigned("earlier"))
	a.CallerID = int(f.optionalUnsigned("src"))
	a.Age = f.optionalMicros("age")
	return a
}

var outcomeByCode = []logic.Outcome{logic.OutcomeFailed, logic.OutcomeOK, logic.OutcomeRejected, logic.OutcomeTimedOut, logic.OutcomeUnreachable,
	logic.OutcomeReset, logic.OutcomeCanceled, logic.OutcomeNotStarted}

func parseOutcome(f *lineFields) (logic.Outcome, logic.Micros) {
	how := f.unsigned("outcome")
	if how >= uint64(len(outcomeByCode)) {
		f.invalid("outcome", strconv.FormatUint(how, 10))
		return logic.OutcomeFailed, 0
	}
	return outcomeByCode[how], f.optionalMicros("delay-seen")
}

func parseGauges(f *lineFields) logic.Gauges {
	g := logic.Gauges{CPUUtilization: -1, RunQueueLength: -1, MemoryUtilization: -1, Connections: -1}
	text := f.optional()
	if text == "" {
		return g
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		switch name {
		case "core_use":
			g.CPUUtilization = f.parseFloat(name, value)
		case "on_cores":
			g.RunQueueLength = f.parseFloat(name, value)
		case "heap_share":
			g.MemoryUtilization = f.parseFloat(name, value)
		case "links":
			g.Connections = f.parseFloat(name, value)
		}
	}
	return g
}

func writeAction(w *bufio.Writer, instance string, a logic.Action) {
	switch a.Kind {
	case logic.ActionRun:
		fmt.Fprintf(w, "RUN %s %d\n", instance, a.ID)
	case logic.ActionReject:
		fmt.Fprintf(w, "SHED %s %d %d %d\n", instance, a.ID, a.Duration, boolDigit(a.NoFailover))
	case logic.ActionFail:
		fmt.Fprintf(w, "LOSE %s %d\n", instance, a.ID)
	case logic.ActionStop:
		fmt.Fprintf(w, "STOP %s %d\n", instance, a.ID)
	case logic.ActionCoalesce:
		fmt.Fprintf(w, "ATTACH %s %d\n", instance, a.ID)
	case logic.ActionStoreKey:
		fmt.Fprintf(w, "STORE_KEY %s %d %d\n", instance, a.ID, a.Duration)
	case logic.ActionDeleteKey:
		fmt.Fprintf(w, "ERASE %s %d\n", instance, a.ID)
	case logic.ActionCall:
		fmt.Fprintf(w, "GO_CALL %s %d %d\n", instance, a.ID, a.Duration)
	case logic.ActionSkipCall:
		fmt.Fprintf(w, "GO_ON %s %d\n", instance, a.ID)
	case logic.ActionSetTimer:
		fmt.Fprintf(w, "DEFER %s %d %d\n", instance, a.TimerID, a.Duration)
	case logic.ActionSetLoadSignal:
		fmt.Fprintf(w, "SAY %s %s\n", instance, strconv.FormatFloat(a.LoadSignal, 'f', 4, 64))
	case logic.ActionSetHealth:
		fmt.Fprintf(w, "HEALTH %s %d 1\n", instance, boolDigit(a.Healthy))
	case logic.ActionSetIdleTimeout:
		fmt.Fprintf(w, "CLOSE_IDLE %s %d\n", instance, a.Duration)
	}
}

func boolDigit(b bool) int {
	if b {
		return 1
	}
	return 0
}
