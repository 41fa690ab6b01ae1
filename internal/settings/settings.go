// Package settings reads the settings object that a server is told at its start, as pairs of path=value or as
// nested JSON, into the terms of package logic.
package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sloehitch/logic"
)

// pairs are the path=value settings of BEGIN; it keeps the first error.
type pairs struct {
	values map[string]string
	err    error
}

func (p *pairs) text(path string) string { return p.values[path] }

// number is a setting that may be absent: 0 then. None is negative.
func (p *pairs) number(path string) float64 {
	w, ok := p.values[path]
	if !ok || w == "" || w == "-" {
		return 0
	}
	return p.parse(path, w)
}

// parse reads one number of a setting.
func (p *pairs) parse(path, w string) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if (err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0)) && p.err == nil {
		p.err = fmt.Errorf("bad setting %s=%q", path, p.text(path))
	}
	return v
}

func (p *pairs) micros(path string) logic.Micros { return logic.Micros(p.number(path)) }
func (p *pairs) flag(path string) bool           { return p.text(path) == "true" || p.text(path) == "1" }

// count is the length of a list of objects.
func (p *pairs) count(path string) int {
	n := p.number(path + ".count")
	if n < 0 || n > float64(len(p.values)) {
		if p.err == nil {
			p.err = fmt.Errorf("bad setting %s.count=%q", path, p.text(path+".count"))
		}
		return 0
	}
	return int(n)
}

// item is the i-th value of a list of plain values.
func (p *pairs) item(path string, i int) string {
	list := strings.Split(p.text(path), ",")
	if i >= len(list) {
		return ""
	}
	return list[i]
}

var effects = map[string]logic.Effect{"retryable": logic.Safe, "dedup": logic.Keyed, "fragile": logic.Unsafe}
var signals = map[string]logic.Signal{"off": logic.SignalNone, "floor": logic.SignalFloor,
	"allowance": logic.SignalAllowance, "weight": logic.SignalWeight}
var stopModes = map[string]logic.StopMode{"off": logic.StopOff, "discard": logic.StopDiscard,
	"freeze": logic.StopFreeze}

// Vocabulary maps the names in the settings to the indices that package logic uses.
type Vocabulary struct {
	Classes map[string]int
	Tenants map[string]int
	Meters  []string // the names of the gauges, in the order in which they are told
}

// Parse reads settings given as values by path.
func Parse(values map[string]string) (logic.Settings, *Vocabulary, error) {
	p := &pairs{values: values}
	s := logic.Settings{
		Servers: int(p.number("servers")), Cold: p.flag("domain.just-started"),
		Cores:    int(p.number("domain.cores")),
		MemoryKB: p.number("domain.memory-kb"), RunFactor: p.number("domain.run-factor"),
		KeyKB: p.number("domain.kb-per-key"), ColdCapacity: p.number("rules.start-capacity"),
		WarmAfter: p.micros("rules.cold"), CrowdFactor: p.number("rules.overload-factor"),
		CrowdSpan: p.micros("rules.fall"), AnswerGrace: p.micros("rules.grace-to-answer"),
		DrainGrace: p.micros("rules.stop-sending-within"), Tick: p.micros("tick"),
		CallsSpan: p.micros("domain.calls-over"), CallLinger: p.micros("domain.linger"),
		TellsWait: p.flag("domain.passes-deadline"), Stop: stopModes[p.text("domain.stop-mode")],
		Signal: signals[p.text("domain.signal")], IdleSpan: p.micros("domain.idle"),
		WorthByWork: p.text("counted-by") == "work", OverShareWorth: p.number("over-share-worth"),
	}
	if p.flag("ceilings.retry-after") {
		s.MaxAdvice = p.micros("ceilings.max-retry-after")
	}
	if p.text("domain.downstream") == "one_for_all" {
		s.CallsShare = p.number("domain.calls-out")
	}
	v := &Vocabulary{Classes: map[string]int{}, Tenants: map[string]int{}}
	if meters := p.text("domain.meters"); meters != "" {
		v.Meters = strings.Split(meters, ",")
	}
	for i := range p.count("classes") {
		c := p.class(i)
		v.Classes[c.Name] = i
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("projects") {
		at := fmt.Sprintf("projects.%d.", i)
		t := logic.Tenant{Name: p.text(at + "name"), Quota: p.number(at + "quota-per-s")}
		v.Tenants[t.Name] = i
		s.Tenants = append(s.Tenants, t)
	}
	return s, v, p.err
}

func (p *pairs) class(i int) logic.Class {
	at := fmt.Sprintf("classes.%d.", i)
	effect, known := effects[p.text(at+"semantics")]
	if !known && p.err == nil {
		p.err = fmt.Errorf("bad setting %ssemantics=%q", at, p.text(at+"semantics"))
	}
	degraded := p.parse("domain.degraded-worth", "0"+p.item("domain.degraded-worth", i)) // 0 where absent
	calls := p.item("domain.class-calls", i)
	return logic.Class{
		Name: p.text(at + "name"), Aim: p.micros(at + "objective"), AimStretch: p.number(at + "aim-stretch"),
		Deadline: p.micros(at + "hard-limit"), Worth: p.number(at + "credit"),
		LateWorth: p.number(at + "late-worth"), Effect: effect, Window: p.micros(at + "window"),
		Calls: calls == "true" || calls == "1", DegradedWorth: degraded,
	}
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
		if _, object := item.(map[string]any); object {
			values[path+".count"] = strconv.Itoa(len(list))
			flatten(values, join(path, strconv.Itoa(i)), item)
			continue
		}
		words[i] = fmt.Sprint(item)
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
