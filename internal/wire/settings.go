package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"ravendrift/logic"
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

func parseSettings(f *fields) (logic.Settings, *vocabulary, error) {
	p := &pairs{values: map[string]string{}}
	for _, pair := range strings.Fields(f.rest) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			f.fail("setting", pair)
		}
		p.values[path] = value
	}
	if f.err != nil {
		return logic.Settings{}, nil, f.err
	}
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
	v := &vocabulary{classes: map[string]int{}, tenants: map[string]int{}}
	for i := range p.count("classes") {
		c := p.class(i)
		v.classes[c.Name] = i
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("projects") {
		at := fmt.Sprintf("projects.%d.", i)
		t := logic.Tenant{Name: p.text(at + "name"), Quota: p.number(at + "quota-per-s")}
		v.tenants[t.Name] = i
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
