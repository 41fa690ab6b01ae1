// Package settings reads the settings object that a server is told at its start, as pairs of path=value or as
// nested JSON, into the terms of package logic. What can't be used is named key by key, all of it together.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"sloehitch/logic"
)

var idempotencyByName = map[string]logic.Idempotency{"retryable": logic.Idempotent, "dedup": logic.IdempotentByKey, "fragile": logic.NonIdempotent}
var signalModeByName = map[string]logic.SignalMode{"off": logic.SignalOff, "floor": logic.SignalPriorityFloor,
	"allowance": logic.SignalConcurrencyLimit, "weight": logic.SignalWeight}
var stopModeByName = map[string]logic.StopMode{"off": logic.StopOff, "discard": logic.StopDiscard,
	"freeze": logic.StopPause}
var sharedDependencyByName = map[string]bool{"off": false, "tier": false, "one_for_all": true}
var weightPerWorkByName = map[string]bool{"request": false, "work": true}

// NameIndex maps the names in the settings to the indices that package logic uses.
type NameIndex struct {
	Classes    map[string]int
	Tenants    map[string]int
	GaugeNames []string // the names of the gauges, in the order in which they are told
}

// Parse reads settings given as values by path. Keys that it does not know are left alone, and most may be absent;
// what an absent one comes to is said with its bound. An error is of type Faults and names all that is wrong.
func Parse(values map[string]string) (logic.Settings, *NameIndex, error) {
	p := &parser{values: values}
	s := logic.Settings{
		FleetSize: int(p.number("servers", fleetSizeRange)), SlowStart: p.boolean("domain.just-started"),
		Cores:    int(p.number("domain.cores", coresRange)),
		MemoryKB: p.number("domain.memory-kb", memoryRange), RunMemoryFactor: p.number("domain.run-factor", runMemoryFactorRange),
		KeyEntryKB: p.number("domain.kb-per-key", keyEntryRange), SlowStartCapacity: p.number("rules.start-capacity", shareRange),
		SlowStartDuration: p.duration("rules.cold", durationRange), MaxConcurrencyPerCore: p.number("rules.overload-factor", concurrencyPerCoreRange),
		ConcurrencyWindow: p.duration("rules.fall", durationRange), ResponseGrace: p.duration("rules.grace-to-answer", durationRange),
		DrainGrace: p.duration("rules.stop-sending-within", durationRange), StepInterval: p.duration("tick", stepIntervalRange),
		CallConcurrencyWindow: p.duration("domain.calls-over", durationRange), AbandonedCallDuration: p.duration("domain.linger", durationRange),
		DeadlinePropagated: p.boolean("domain.passes-deadline"), StopMode: oneOf(p, "domain.stop-mode", stopModeByName),
		SignalMode: oneOf(p, "domain.signal", signalModeByName), CallerIdleTimeout: p.duration("domain.idle", durationRange),
		WeightPerWork: oneOf(p, "counted-by", weightPerWorkByName), OverQuotaWeightShare: p.number("over-share-worth", overQuotaWeightRange),
	}
	if advice := p.duration("ceilings.max-retry-after", durationRange); p.boolean("ceilings.retry-after") {
		s.MaxRetryAfter = advice
	}
	if calls := p.number("domain.calls-out", callConcurrencyRange); oneOf(p, "domain.downstream", sharedDependencyByName) {
		s.CallConcurrencyLimit = calls
		if s.CallConcurrencyLimit > 0 && s.CallConcurrencyWindow == 0 {
			p.addError("domain.calls-over", "a share of calls needs the span over which it is averaged: write microseconds, such as 5000000")
		}
	}
	v := &NameIndex{Classes: map[string]int{}, Tenants: map[string]int{}}
	if meters := p.text("domain.meters"); meters != "" {
		v.GaugeNames = strings.Split(meters, ",")
	}
	for i := range p.listLength("classes", 1, maxClasses) {
		c := p.class(i)
		p.addName(fmt.Sprintf("classes.%d.name", i), i, v.Classes)
		s.Classes = append(s.Classes, c)
	}
	for i := range p.listLength("projects", 0, maxTenants) {
		at := fmt.Sprintf("projects.%d.", i)
		p.addName(at+"name", i, v.Tenants)
		s.Tenants = append(s.Tenants, logic.Tenant{Name: p.text(at + "name"), QuotaPerSecond: p.number(at+"quota-per-s", quotaRange)})
	}
	if len(p.errors) > 0 {
		return s, v, p.errors
	}
	return s, v, nil
}

func (p *parser) class(i int) logic.Class {
	at := fmt.Sprintf("classes.%d.", i)
	c := logic.Class{
		Name: p.text(at + "name"), LatencyObjective: p.duration(at+"objective", requiredDurationRange), ObjectivePerWork: p.number(at+"aim-stretch", objectivePerWorkRange),
		ClientTimeout: p.duration(at+"hard-limit", requiredDurationRange), PriorityWeight: p.number(at+"credit", priorityWeightRange),
		LateWeightShare: p.number(at+"late-worth", shareRange), Idempotency: oneOf(p, at+"semantics", idempotencyByName), IdempotencyWindow: p.duration(at+"window", idempotencyWindowRange),
		CallsDependency: p.parseBoolean("domain.class-calls", p.listItem("domain.class-calls", i)),
	}
	if p.text(at+"semantics") == "" {
		p.addError(at+"semantics", "one of dedup, fragile or retryable is needed: whether a request may run again can't be guessed")
	}
	if c.Idempotency == logic.IdempotentByKey && c.IdempotencyWindow == 0 {
		p.addError(at+"window", "a dedup class needs the time within which a request may come again: write microseconds, such as 60000000")
	}
	if w := p.listItem("domain.degraded-worth", i); w != "" {
		c.DegradedWeightShare = p.parseNumber("domain.degraded-worth", w, shareRange)
	}
	return c
}

// Flatten turns the settings' JSON form into values by path: list items stand under their index and a list of
// objects tells its length under "count", as on the simulator's wire.
func Flatten(object map[string]any) map[string]string {
	values := map[string]string{}
	flatten(values, "", object)
	return values
}

func flatten(values map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			flatten(values, join(path, name), item)
		}
	case []any:
		flattenList(values, path, v)
	case nil:
	case float64:
		values[path] = strconv.FormatFloat(v, 'f', -1, 64)
	default:
		values[path] = fmt.Sprint(v)
	}
}

func flattenList(values map[string]string, path string, list []any) {
	words := make([]string, len(list))
	for i, item := range list {
		switch item.(type) {
		case map[string]any:
			values[path+".count"] = strconv.Itoa(len(list))
			flatten(values, join(path, strconv.Itoa(i)), item)
		case nil: // a value that is absent keeps its place
		default:
			words[i] = fmt.Sprint(item)
		}
	}
	if values[path+".count"] == "" {
		values[path] = strings.Join(words, ",")
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
