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

// fields takes the parts of a line one by one and keeps the first error.
type fields struct {
	rest string
	err  error
}

func (f *fields) next() string {
	word, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return word
}

func (f *fields) fail(what, word string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s %q", what, word)
	}
}

// word is a part that must be there.
func (f *fields) word(what string) string {
	w := f.next()
	if w == "" || w == "-" {
		f.fail(what, w)
	}
	return w
}

// optional is a part that may be absent: "" then.
func (f *fields) optional() string {
	if w := f.next(); w != "-" {
		return w
	}
	return ""
}

func (f *fields) unsigned(what string) uint64 {
	w := f.word(what)
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(what, w)
	}
	return n
}

func (f *fields) optionalUnsigned(what string) uint64 {
	w := f.optional()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(what, w)
	}
	return n
}

// micros is a time that must be there; spans are never negative.
func (f *fields) micros(what string) logic.Micros {
	w := f.word(what)
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil || n < 0 {
		f.fail(what, w)
	}
	return logic.Micros(n)
}

func (f *fields) optionalMicros(what string) logic.Micros {
	n := f.optionalUnsigned(what)
	if n > math.MaxInt64 {
		f.fail(what, strconv.FormatUint(n, 10))
	}
	return logic.Micros(n)
}

func (f *fields) optionalFloat(what string) float64 {
	w := f.optional()
	if w == "" {
		return 0
	}
	return f.parseFloat(what, w)
}

func (f *fields) parseFloat(what, w string) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(what, w)
	}
	return v
}

func (f *fields) done() error {
	if f.err == nil && f.rest != "" {
		f.fail("trailing text", f.rest)
	}
	return f.err
}

// Bits of the attrs part of ORDER.
const (
	flagHint  = 1
	flagRetry = 2
)

func parseEvent(name string, f *fields, v *settings.Vocabulary) (logic.Event, error) {
	var ev logic.Event
	if name != "FIRED" && name != "QUIESCE" {
		ev.ID = logic.RequestID(f.unsigned("request id"))
	}
	switch name {
	case "ORDER":
		ev.Kind = logic.EvArrival
		ev.Arrival = parseArrival(f, v)
	case "WORK_DONE":
		ev.Kind = logic.EvDone
		ev.Outcome, ev.Elapsed = parseOutcome(f)
	case "STALLED_ON_CALL":
		ev.Kind = logic.EvNeedsCall
	case "CALL_RESULT":
		ev.Kind = logic.EvCallResult
		ev.Outcome, ev.Elapsed = parseOutcome(f)
	case "GONE":
		ev.Kind = logic.EvGone
	case "FIRED":
		ev.Kind = logic.EvTimer
		ev.Tag = f.unsigned("tag")
		ev.Gauges = parseGauges(f)
	case "QUIESCE":
		ev.Kind = logic.EvDrain
		ev.Left = f.optionalMicros("time-budget")
	default:
		return ev, fmt.Errorf("unknown message %q", name)
	}
	return ev, f.done()
}

func parseArrival(f *fields, v *settings.Vocabulary) logic.Arrival {
	a := logic.Arrival{Tenant: -1}
	class := f.word("class")
	index, known := v.Classes[class]
	if !known {
		f.fail("class", class)
	}
	a.Class = index
	a.KB = f.parseFloat("kb", f.word("kb"))
	if a.KB < 0 {
		f.fail("kb", strconv.FormatFloat(a.KB, 'g', -1, 64))
	}
	a.Hint = f.optionalMicros("predicted")
	f.optional() // route-key: no decision uses it
	a.Wait = f.optionalMicros("time-budget")
	if owner := f.optional(); owner != "" && owner != "0" {
		if a.Tenant, known = v.Tenants[owner]; !known {
			f.fail("owner", owner)
		}
	}
	attrs := f.optionalUnsigned("attrs")
	if attrs&flagHint == 0 {
		a.Hint = 0
	}
	a.Retry = attrs&flagRetry != 0
	a.Rank = f.optionalFloat("rank")
	a.Forerunner = logic.RequestID(f.optionalUnsigned("earlier"))
	a.Source = int(f.optionalUnsigned("src"))
	a.Age = f.optionalMicros("age")
	return a
}

var outcomes = []logic.Outcome{logic.Failed, logic.OK, logic.Full, logic.TimedOut, logic.Unreachable,
	logic.Reset, logic.Cancelled, logic.Moot}

func parseOutcome(f *fields) (logic.Outcome, logic.Micros) {
	how := f.unsigned("outcome")
	if how >= uint64(len(outcomes)) {
		f.fail("outcome", strconv.FormatUint(how, 10))
		return logic.Failed, 0
	}
	return outcomes[how], f.optionalMicros("delay-seen")
}

func parseGauges(f *fields) logic.Gauges {
	g := logic.Gauges{CoreUse: -1, RunQueue: -1, MemoryShare: -1, Connections: -1}
	text := f.optional()
	if text == "" {
		return g
	}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		switch name {
		case "core_use":
			g.CoreUse = f.parseFloat(name, value)
		case "on_cores":
			g.RunQueue = f.parseFloat(name, value)
		case "heap_share":
			g.MemoryShare = f.parseFloat(name, value)
		case "links":
			g.Connections = f.parseFloat(name, value)
		}
	}
	return g
}

func writeAction(w *bufio.Writer, instance string, a logic.Action) {
	switch a.Kind {
	case logic.ActRun:
		fmt.Fprintf(w, "RUN %s %d\n", instance, a.ID)
	case logic.ActRefuse:
		fmt.Fprintf(w, "SHED %s %d %d %d\n", instance, a.ID, a.Span, bit(a.Last))
	case logic.ActFail:
		fmt.Fprintf(w, "LOSE %s %d\n", instance, a.ID)
	case logic.ActStop:
		fmt.Fprintf(w, "STOP %s %d\n", instance, a.ID)
	case logic.ActJoin:
		fmt.Fprintf(w, "ATTACH %s %d\n", instance, a.ID)
	case logic.ActKeepKey:
		fmt.Fprintf(w, "STORE_KEY %s %d %d\n", instance, a.ID, a.Span)
	case logic.ActForgetKey:
		fmt.Fprintf(w, "ERASE %s %d\n", instance, a.ID)
	case logic.ActCall:
		fmt.Fprintf(w, "GO_CALL %s %d %d\n", instance, a.ID, a.Span)
	case logic.ActGoOn:
		fmt.Fprintf(w, "GO_ON %s %d\n", instance, a.ID)
	case logic.ActTimer:
		fmt.Fprintf(w, "DEFER %s %d %d\n", instance, a.Tag, a.Span)
	case logic.ActSay:
		fmt.Fprintf(w, "SAY %s %s\n", instance, strconv.FormatFloat(a.Value, 'f', 4, 64))
	case logic.ActHealth:
		fmt.Fprintf(w, "HEALTH %s %d 1\n", instance, bit(a.On))
	case logic.ActCloseIdle:
		fmt.Fprintf(w, "CLOSE_IDLE %s %d\n", instance, a.Span)
	}
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
