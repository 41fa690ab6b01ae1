package emulator

import (
	"errors"
	"fmt"

	"sloehitch/logic"
)

// validation collects the errors of a world. Its messages use the keys of experiment files (docs/operators/lab.md).
type validation struct{ errs []error }

func (v *validation) require(ok bool, problem string) {
	if !ok {
		v.errs = append(v.errs, errors.New(problem))
	}
}

// Validate returns an error that joins all reasons why the world can't be run, or nil.
func (w *World) Validate() error {
	v := &validation{}
	w.validateNodes(v)
	w.Release.validate(v)
	w.validateClasses(v)
	w.validateDependency(v)
	w.validateTenants(v)
	w.validateRanges(v)
	w.validateBalancing(v)
	for _, f := range w.Faults {
		w.validateFault(v, f)
	}
	_, err := logic.New(w.Settings(), 0)
	return errors.Join(append(v.errs, err)...)
}

func (w *World) validateNodes(v *validation) {
	v.require(w.Nodes > 0 && w.Cores > 0 && w.Balancers > 0, "nodes, cores and balancers must be above 0")
	v.require(w.Speed > 0 && w.Duration > 0, "speed and length must be above 0")
	v.require(w.WarmUp >= 0 && w.WarmUp < w.Duration, "warmup must not be below 0 and must be shorter than length")
	v.require((w.ArrivalRate > 0) != (w.Load > 0), "exactly one of rate and load must be above 0")
	v.require(w.BurstAmplitude >= 0 && w.BurstAmplitude <= 1 && (w.BurstAmplitude == 0 || w.BurstPeriod > 0),
		"burst must be from 0 to 1, and its period, every, above 0")
	v.require(w.NewServer != nil, "policy must be set")
}

func (w *World) validateClasses(v *validation) {
	v.require(len(w.Classes) > 0, "there must be at least one class")
	for _, c := range w.Classes {
		v.require(c.Share > 0 && c.Work.Mean > 0 && c.LatencyObjective > 0 && c.ClientTimeout >= c.LatencyObjective,
			fmt.Sprintf("class %q: share, work and aim must be above 0, and deadline must not be shorter than aim", c.Name))
		v.require(!c.HasIdempotencyKey || c.IdempotencyWindow > 0, fmt.Sprintf("class %q: window must be above 0 in a keyed class", c.Name))
	}
}

func (w *World) validateDependency(v *validation) {
	calls := false
	for _, c := range w.Classes {
		calls = calls || c.CallsDependency
	}
	v.require(!calls || w.Dependency != nil, "a class calls the dependency, but the world has none")
	if d := w.Dependency; d != nil {
		v.require(d.Slots > 0 && d.ServiceTime.Mean > 0 && d.MaxQueued >= 0,
			"dependency: slots and service must be above 0, and waiting must not be below 0")
	}
}

func (w *World) validateTenants(v *validation) {
	for _, t := range w.Tenants {
		v.require(t.Name != "" && t.Share > 0 && t.QuotaPerSecond >= 0,
			fmt.Sprintf("tenant %q: name must not be empty, share must be above 0 and quota must not be below 0", t.Name))
	}
}

// maxReadCost bounds World.ReadCost, in multiples of the mean work of a request.
const maxReadCost = 10

func (w *World) validateRanges(v *validation) {
	v.require(w.ReadCost >= 0 && w.ReadCost <= maxReadCost, "read must be from 0 to 10 times the mean work")
	v.require(w.RetryAfterShare >= 0 && w.RetryAfterShare <= 1, "away must be from 0 to 1")
	v.require(w.DrainGrace >= 0, "grace must not be below 0")
	v.require(w.RetryBudget >= 0 && w.DiscoveryDelay >= 0, "budget and notice must not be below 0")
	v.require(w.SlowStartCapacity >= 0 && w.SlowStartCapacity <= 1, "cold_from must be from 0 to 1")
}

func (w *World) validateBalancing(v *validation) {
	switch w.Balancing {
	case RoundRobin, LeastRequests, PowerOfTwoChoices, Random:
	default:
		v.require(false, fmt.Sprintf("unknown habit %q: must be round-robin, least-open, two-choices or random", w.Balancing))
	}
}

func (w *World) validateFault(v *validation, f Fault) {
	v.require(f.Node >= 0 && f.Node < w.Nodes, fmt.Sprintf("fault: node %d does not exist, number of nodes: %d", f.Node, w.Nodes))
	switch f.Kind {
	case FaultStall, FaultDrain, FaultCrash:
	case FaultSlow, FaultMessageLoss, FaultSlowDependency:
		v.require(f.Kind != FaultSlowDependency || w.Dependency != nil, "fault of the dependency, but the world has none")
		v.require(f.Factor > 0 && f.Factor <= 1, fmt.Sprintf("fault %q: factor must be above 0 and at most 1", f.Kind))
	default:
		v.require(false, fmt.Sprintf("unknown fault %q: must be stall, slow, leave, die, lossy or below", f.Kind))
	}
}
