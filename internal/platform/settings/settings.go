// Package settings reads the settings object that a server is told at its start, as pairs of path=value or as
// nested JSON, into the terms of package logic. What can't be used is named key by key, all of it together.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"sloehitch/logic"
)

var effects = map[string]logic.Effect{"retryable": logic.Safe, "dedup": logic.Keyed, "fragile": logic.Unsafe}
var signals = map[string]logic.Signal{"off": logic.SignalNone, "floor": logic.SignalFloor,
	"allowance": logic.SignalAllowance, "weight": logic.SignalWeight}
var stopModes = map[string]logic.StopMode{"off": logic.StopOff, "discard": logic.StopDiscard,
	"freeze": logic.StopFreeze}
var downstreams = map[string]bool{"off": false, "tier": false, "one_for_all": true}
var counts = map[string]bool{"request": false, "work": true}

// Vocabulary maps the names in the settings to the indices that package logic uses.
type Vocabulary struct {
	Classes map[string]int
	Tenants map[string]int
	Meters  []string // the names of the gauges, in the order in which they are told
}

// Parse reads settings given as values by path. Keys that it does not know are left alone, and most may be absent;
// what an absent one comes to is said with its bound. An error is of type Faults and names all that is wrong.
func Parse(values map[string]string) (logic.Settings, *Vocabulary, error) {
	p := &reader{values: values}
	s := logic.Settings{
		Servers: int(p.number("servers", servers)), Cold: p.flag("domain.just-started"),
		Cores:    int(p.number("domain.cores", cores)),
		MemoryKB: p.number("domain.memory-kb", memory), RunFactor: p.number("domain.run-factor", runFactor),
		KeyKB: p.number("domain.kb-per-key", keyKB), ColdCapacity: p.number("rules.start-capacity", share),
		WarmAfter: p.micros("rules.cold", span), CrowdFactor: p.number("rules.overload-factor", crowd),
		CrowdSpan: p.micros("rules.fall", span), AnswerGrace: p.micros("rules.grace-to-answer", span),
		DrainGrace: p.micros("rules.stop-sending-within", span), Tick: p.micros("tick", tick),
		CallsSpan: p.micros("domain.calls-over", span), CallLinger: p.micros("domain.linger", span),
		TellsWait: p.flag("domain.passes-deadline"), Stop: word(p, "domain.stop-mode", stopModes),
		Signal: word(p, "domain.signal", signals), IdleSpan: p.micros("domain.idle", span),
		WorthByWork: word(p, "counted-by", counts), OverShareWorth: p.number("over-share-worth", overShare),
	}
	if advice := p.micros("ceilings.max-retry-after", span); p.flag("ceilings.retry-after") {
		s.MaxAdvice = advice
	}
	if calls := p.number("domain.calls-out", callsOut); word(p, "domain.downstream", downstreams) {
		s.CallsShare = calls
		if s.CallsShare > 0 && s.CallsSpan == 0 {
			p.fault("domain.calls-over", "a share of calls needs the span over which it is averaged: write microseconds, such as 5000000")
		}
	}
	v := &Vocabulary{Classes: map[string]int{}, Tenants: map[string]int{}}
	if meters := p.text("domain.meters"); meters != "" {
		v.Meters = strings.Split(meters, ",")
	}
	for i := range p.count("classes", 1, mostClasses) {
		c := p.class(i)
		p.name(fmt.Sprintf("classes.%d.name", i), i, v.Classes)
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("projects", 0, mostTenants) {
		at := fmt.Sprintf("projects.%d.", i)
		p.name(at+"name", i, v.Tenants)
		s.Tenants = append(s.Tenants, logic.Tenant{Name: p.text(at + "name"), Quota: p.number(at+"quota-per-s", quota)})
	}
	if len(p.faults) > 0 {
		return s, v, p.faults
	}
	return s, v, nil
}

func (p *reader) class(i int) logic.Class {
	at := fmt.Sprintf("classes.%d.", i)
	c := logic.Class{
		Name: p.text(at + "name"), Aim: p.micros(at+"objective", wanted), AimStretch: p.number(at+"aim-stretch", stretch),
		Deadline: p.micros(at+"hard-limit", wanted), Worth: p.number(at+"credit", credit),
		LateWorth: p.number(at+"late-worth", share), Effect: word(p, at+"semantics", effects), Window: p.micros(at+"window", window),
		Calls: p.truth("domain.class-calls", p.item("domain.class-calls", i)),
	}
	if p.text(at+"semantics") == "" {
		p.fault(at+"semantics", "one of dedup, fragile or retryable is needed: whether a request may run again can't be guessed")
	}
	if c.Effect == logic.Keyed && c.Window == 0 {
		p.fault(at+"window", "a dedup class needs the time within which a request may come again: write microseconds, such as 60000000")
	}
	if w := p.item("domain.degraded-worth", i); w != "" {
		c.DegradedWorth = p.parse("domain.degraded-worth", w, share)
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
