// Package settings parses the settings object that the platform gives a server at its start into logic.Settings. It
// accepts values by path, such as "domain.cores", or nested JSON, and reports all invalid values together.
//
// The platform's keys and its names of enumerated values appear in this file only.
package settings

import (
	"fmt"
	"strings"

	"sloehitch/logic"
)

// The platform's names of enumerated values.
var (
	idempotencyByName = map[string]logic.Idempotency{"retryable": logic.Idempotent, "dedup": logic.IdempotentByKey,
		"fragile": logic.NonIdempotent}
	signalModeByName = map[string]logic.SignalMode{"off": logic.SignalOff, "floor": logic.SignalPriorityFloor,
		"allowance": logic.SignalConcurrencyLimit, "weight": logic.SignalWeight}
	stopModeByName = map[string]logic.StopMode{"off": logic.StopOff, "discard": logic.StopDiscard,
		"freeze": logic.StopPause}
	sharedDependencyByName = map[string]bool{"off": false, "tier": false, "one_for_all": true}
	weightPerWorkByName    = map[string]bool{"request": false, "work": true}
)

// ParseIdempotency returns the idempotency that the platform calls word, and whether the word is known.
func ParseIdempotency(word string) (logic.Idempotency, bool) {
	idempotency, known := idempotencyByName[word]
	return idempotency, known
}

// IdempotencyWord returns the platform's name of a kind of idempotency.
func IdempotencyWord(idempotency logic.Idempotency) string {
	for word, named := range idempotencyByName {
		if named == idempotency {
			return word
		}
	}
	return ""
}

// Maximum lengths of the lists. They are bounded because every step of package logic reads all entries.
const (
	// MaxClasses is the maximum number of classes.
	MaxClasses = 256
	maxTenants = 4096
)

// NameIndex maps the names in the settings to the indices that package logic uses.
type NameIndex struct {
	Classes    map[string]int
	Tenants    map[string]int
	GaugeNames []string // names of the gauges, in the order in which the platform reports them
}

// Parse reads settings from values by path. Unknown keys are ignored, and an absent number gets the default of its
// range. An error is of type FieldErrors and lists all invalid and missing values.
func Parse(values map[string]string) (logic.Settings, *NameIndex, error) {
	p := &parser{values: values}
	s := logic.Settings{
		FleetSize:             int(p.number("servers", fleetSizeRange)),
		SlowStart:             p.boolean("domain.just-started"),
		Cores:                 int(p.number("domain.cores", coresRange)),
		MemoryKB:              p.number("domain.memory-kb", memoryRange),
		RunMemoryFactor:       p.number("domain.run-factor", runMemoryFactorRange),
		KeyEntryKB:            p.number("domain.kb-per-key", keyEntryRange),
		SlowStartCapacity:     p.number("rules.start-capacity", shareRange),
		SlowStartDuration:     p.duration("rules.cold", durationRange),
		MaxConcurrencyPerCore: p.number("rules.overload-factor", concurrencyPerCoreRange),
		ConcurrencyWindow:     p.duration("rules.fall", durationRange),
		ResponseGrace:         p.duration("rules.grace-to-answer", durationRange),
		DrainGrace:            p.duration("rules.stop-sending-within", durationRange),
		StepInterval:          p.duration("tick", stepIntervalRange),
		CallConcurrencyWindow: p.duration("domain.calls-over", durationRange),
		AbandonedCallDuration: p.duration("domain.linger", durationRange),
		DeadlinePropagated:    p.boolean("domain.passes-deadline"),
		StopMode:              oneOf(p, "domain.stop-mode", stopModeByName),
		SignalMode:            oneOf(p, "domain.signal", signalModeByName),
		CallerIdleTimeout:     p.duration("domain.idle", durationRange),
		WeightPerWork:         oneOf(p, "counted-by", weightPerWorkByName),
		OverQuotaWeightShare:  p.number("over-share-worth", overQuotaWeightRange),
	}
	if retryAfter := p.duration("ceilings.max-retry-after", durationRange); p.boolean("ceilings.retry-after") {
		s.MaxRetryAfter = retryAfter
	}
	s.CallConcurrencyLimit = p.callConcurrencyLimit(s.CallConcurrencyWindow)
	names := &NameIndex{Classes: map[string]int{}, Tenants: map[string]int{}}
	if gauges := p.text("domain.meters"); gauges != "" {
		names.GaugeNames = strings.Split(gauges, ",")
	}
	s.Classes = p.classes(names)
	s.Tenants = p.tenants(names)
	if len(p.errors) > 0 {
		return s, names, p.errors
	}
	return s, names, nil
}

// callConcurrencyLimit returns the limit on calls in flight; 0 unless the dependency is shared by all servers.
func (p *parser) callConcurrencyLimit(window logic.Micros) float64 {
	limit := p.number("domain.calls-out", callConcurrencyRange)
	if !oneOf(p, "domain.downstream", sharedDependencyByName) {
		return 0
	}
	if limit > 0 && window == 0 {
		p.addError("domain.calls-over", "a share of calls requires the span over which it is averaged: write microseconds, such as 5000000")
	}
	return limit
}

func (p *parser) classes(names *NameIndex) []logic.Class {
	var classes []logic.Class
	for i := range p.listLength("classes", 1, MaxClasses) {
		classes = append(classes, p.class(i))
		p.addName(fmt.Sprintf("classes.%d.name", i), i, names.Classes)
	}
	return classes
}

func (p *parser) class(i int) logic.Class {
	at := fmt.Sprintf("classes.%d.", i)
	c := logic.Class{
		Name:              p.text(at + "name"),
		LatencyObjective:  p.duration(at+"objective", requiredDurationRange),
		ObjectivePerWork:  p.number(at+"aim-stretch", objectivePerWorkRange),
		ClientTimeout:     p.duration(at+"hard-limit", requiredDurationRange),
		PriorityWeight:    p.number(at+"credit", priorityWeightRange),
		LateWeightShare:   p.number(at+"late-worth", shareRange),
		Idempotency:       oneOf(p, at+"semantics", idempotencyByName),
		IdempotencyWindow: p.duration(at+"window", idempotencyWindowRange),
		CallsDependency:   p.parseBoolean("domain.class-calls", p.listItem("domain.class-calls", i)),
	}
	if p.text(at+"semantics") == "" {
		p.addError(at+"semantics", "must be dedup, fragile or retryable; there is no safe default for whether a request may run again")
	}
	if c.Idempotency == logic.IdempotentByKey && c.IdempotencyWindow == 0 {
		p.addError(at+"window", "a dedup class requires the time within which a request may be repeated: write microseconds, such as 60000000")
	}
	if share := p.listItem("domain.degraded-worth", i); share != "" {
		c.DegradedWeightShare = p.parseNumber("domain.degraded-worth", share, shareRange)
	}
	return c
}

func (p *parser) tenants(names *NameIndex) []logic.Tenant {
	var tenants []logic.Tenant
	for i := range p.listLength("projects", 0, maxTenants) {
		at := fmt.Sprintf("projects.%d.", i)
		p.addName(at+"name", i, names.Tenants)
		tenants = append(tenants, logic.Tenant{Name: p.text(at + "name"), QuotaPerSecond: p.number(at+"quota-per-s", quotaRange)})
	}
	return tenants
}
