package simadapter

import (
	"fmt"
	"strconv"
	"strings"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// This file maps the names and values of the simulator's wire protocol to the terms of package logic. No other file of
// the package contains them. The keys of the settings are mapped by package settings.

// Messages that begin and end batches and instances.
const (
	messageBatchBegin    = "MARK"
	messageBatchEnd      = "FLUSH"
	messageInstanceBegin = "BEGIN"
	messageInstanceEnd   = "SHUTDOWN"
)

// Messages that carry events.
const (
	messageArrival    = "ORDER"
	messageRunEnded   = "WORK_DONE"
	messageCallNeeded = "STALLED_ON_CALL"
	messageCallEnded  = "CALL_RESULT"
	messageCanceled   = "GONE"
	messageTimer      = "FIRED"
	messageDrain      = "QUIESCE"
)

// batchAnswered is the last message of the answer to a batch.
const batchAnswered = "NEXT"

// Bits of the attribute field of an arrival.
const (
	attributeHintValid = 1 << iota
	attributeRetry
)

// outcomeByCode maps the outcome codes of the wire to outcomes.
var outcomeByCode = []logic.Outcome{logic.OutcomeFailed, logic.OutcomeOK, logic.OutcomeRejected, logic.OutcomeTimedOut,
	logic.OutcomeUnreachable, logic.OutcomeReset, logic.OutcomeCanceled, logic.OutcomeNotStarted}

// parseEvent parses the remaining fields of a message that carries an event.
func parseEvent(message string, f *lineFields, names *settings.NameIndex) (logic.Event, error) {
	var ev logic.Event
	if message != messageTimer && message != messageDrain {
		ev.ID = logic.RequestID(f.unsigned("request id"))
	}
	switch message {
	case messageArrival:
		ev.Kind = logic.EventArrival
		ev.Arrival = parseArrival(f, names)
	case messageRunEnded:
		ev.Kind = logic.EventRunEnded
		ev.Outcome, ev.Elapsed = parseOutcome(f)
	case messageCallNeeded:
		ev.Kind = logic.EventCallNeeded
	case messageCallEnded:
		ev.Kind = logic.EventCallEnded
		ev.Outcome, ev.Elapsed = parseOutcome(f)
	case messageCanceled:
		ev.Kind = logic.EventCanceled
	case messageTimer:
		ev.Kind = logic.EventTimer
		ev.TimerID = f.unsigned("tag")
		ev.Gauges = parseGauges(f)
	case messageDrain:
		ev.Kind = logic.EventDrain
		ev.TimeToKill = f.optionalMicros("time-budget")
	default:
		return ev, fmt.Errorf("unknown message %q", message)
	}
	return ev, f.done()
}

func parseArrival(f *lineFields, names *settings.NameIndex) logic.Arrival {
	a := logic.Arrival{Tenant: -1}
	class := f.required("class")
	index, known := names.Classes[class]
	if !known {
		f.invalid("class", class)
	}
	a.Class = index
	a.MemoryKB = f.parseFloat("kb", f.required("kb"))
	if a.MemoryKB < 0 {
		f.invalid("kb", strconv.FormatFloat(a.MemoryKB, 'g', -1, 64))
	}
	a.WorkHint = f.optionalMicros("predicted")
	f.optional() // route-key, which no decision uses
	a.AttemptTimeout = f.optionalMicros("time-budget")
	if tenant := f.optional(); tenant != "" && tenant != "0" {
		if a.Tenant, known = names.Tenants[tenant]; !known {
			f.invalid("owner", tenant)
		}
	}
	attributes := f.optionalUnsigned("attrs")
	if attributes&attributeHintValid == 0 {
		a.WorkHint = 0
	}
	a.Retry = attributes&attributeRetry != 0
	a.PriorityRank = f.optionalFloat("rank")
	a.OriginalID = logic.RequestID(f.optionalUnsigned("earlier"))
	a.CallerID = int(f.optionalUnsigned("src"))
	a.Age = f.optionalMicros("age")
	return a
}

func parseOutcome(f *lineFields) (logic.Outcome, logic.Micros) {
	code := f.unsigned("outcome")
	if code >= uint64(len(outcomeByCode)) {
		f.invalid("outcome", strconv.FormatUint(code, 10))
		return logic.OutcomeFailed, 0
	}
	return outcomeByCode[code], f.optionalMicros("delay-seen")
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

// appendAction appends the line for an action.
func appendAction(b []byte, instance string, a logic.Action) []byte {
	switch a.Kind {
	case logic.ActionRun:
		return fmt.Appendf(b, "RUN %s %d\n", instance, a.ID)
	case logic.ActionReject:
		return fmt.Appendf(b, "SHED %s %d %d %d\n", instance, a.ID, a.Duration, boolDigit(a.NoFailover))
	case logic.ActionFail:
		return fmt.Appendf(b, "LOSE %s %d\n", instance, a.ID)
	case logic.ActionStop:
		return fmt.Appendf(b, "STOP %s %d\n", instance, a.ID)
	case logic.ActionCoalesce:
		return fmt.Appendf(b, "ATTACH %s %d\n", instance, a.ID)
	case logic.ActionStoreKey:
		return fmt.Appendf(b, "STORE_KEY %s %d %d\n", instance, a.ID, a.Duration)
	case logic.ActionDeleteKey:
		return fmt.Appendf(b, "ERASE %s %d\n", instance, a.ID)
	case logic.ActionCall:
		return fmt.Appendf(b, "GO_CALL %s %d %d\n", instance, a.ID, a.Duration)
	case logic.ActionSkipCall:
		return fmt.Appendf(b, "GO_ON %s %d\n", instance, a.ID)
	case logic.ActionSetTimer:
		return fmt.Appendf(b, "DEFER %s %d %d\n", instance, a.TimerID, a.Duration)
	case logic.ActionSetLoadSignal:
		return fmt.Appendf(b, "SAY %s %s\n", instance, strconv.FormatFloat(a.LoadSignal, 'f', 4, 64))
	case logic.ActionSetHealth:
		return fmt.Appendf(b, "HEALTH %s %d 1\n", instance, boolDigit(a.Healthy))
	case logic.ActionSetIdleTimeout:
		return fmt.Appendf(b, "CLOSE_IDLE %s %d\n", instance, a.Duration)
	}
	return b
}

func boolDigit(b bool) int {
	if b {
		return 1
	}
	return 0
}
