package experiment

import (
	"cmp"
	"fmt"

	"sloehitch/internal/emulator"
)

// Point is one combination of the swept values.
type Point struct {
	Load    float64 // offered work relative to the capacity of all cores
	Nodes   int
	Retries int // maximum for each request
}

// String formats the point as text, such as "load 0.9, 4 nodes, 1 retries".
func (p Point) String() string {
	return fmt.Sprintf("load %.3g, %d nodes, %d retries", p.Load, p.Nodes, p.Retries)
}

// Points returns all combinations of the swept values, in the file's order.
func (f *File) Points() (points []Point) {
	nodes, retries := f.Sweep.Nodes, f.Sweep.Retries
	if len(nodes) == 0 {
		nodes = []int{f.World.Nodes}
	}
	if len(retries) == 0 {
		retries = []int{f.Callers.MaxRetries}
	}
	for _, n := range nodes {
		for _, r := range retries {
			for _, l := range f.Sweep.Load {
				points = append(points, Point{l, n, r})
			}
		}
	}
	return points
}

// emulatorWorld returns the world of an arm at a point with a seed.
func (f *File) emulatorWorld(p Point, a Arm, seed uint64) (emulator.World, error) {
	newServer, err := emulator.NewPolicy(a.Policy, a.Parameter)
	if err != nil {
		return emulator.World{}, err
	}
	w := emulator.World{Seed: seed, Duration: f.Duration.Duration, WarmUp: f.WarmUp.Duration, Nodes: p.Nodes, Load: p.Load, MaxRetries: p.Retries, NewServer: newServer}
	f.World.apply(&w)
	f.Callers.apply(&w)
	for _, c := range f.Classes {
		class, err := c.emulatorClass()
		if err != nil {
			return w, err
		}
		w.Classes = append(w.Classes, class)
	}
	if d := f.Dependency; d != nil {
		w.Dependency = d.emulatorDependency()
	}
	for _, t := range f.Tenants {
		w.Tenants = append(w.Tenants, emulator.Tenant{Name: t.Name, Share: t.Share, QuotaPerSecond: t.QuotaPerSecond})
	}
	for _, x := range f.Faults {
		w.Faults = append(w.Faults, emulator.Fault{At: x.At.Duration, Node: x.Node, Kind: emulator.FaultKind(x.Kind), Duration: x.Duration.Duration,
			Factor: x.Factor, RestartDelay: x.RestartDelay.Duration})
	}
	if a.ReleaseStrategy == "" {
		return w, nil
	}
	if f.Release == nil {
		return w, fmt.Errorf("roll %q: the file has no [release]", a.ReleaseStrategy)
	}
	w.Release = f.Release.emulatorRelease(a)
	return w, nil
}

// apply sets the fields of an emulator world that describe its nodes, except their number.
func (n World) apply(w *emulator.World) {
	w.Cores = n.Cores
	w.Speed = n.Speed
	w.Thrash = n.Thrash
	w.ThrashThreshold = n.ThrashThreshold
	w.MaxConcurrencyPerCore = n.MaxConcurrencyPerCore
	w.MemoryKB = n.MemoryMB * 1024
	w.NetworkDelay = n.NetworkDelay.Duration
	w.ReadCost = n.ReadCost
	w.DrainGrace = n.DrainGrace.Duration
	w.BurstAmplitude = n.BurstAmplitude
	w.BurstPeriod = n.BurstPeriod.Duration
	w.SlowStartCapacity = n.SlowStartCapacity
	w.SlowStartDuration = n.SlowStartDuration.Duration
}

// apply sets the fields of an emulator world that describe its callers, except the retries.
func (c Callers) apply(w *emulator.World) {
	w.Balancers = c.Count
	w.Balancing = emulator.BalancingMethod(c.Balancing)
	w.Backoff = c.Backoff.Duration
	w.HonorRetryAfter = c.HonorRetryAfter
	w.RetryAfterShare = c.RetryAfterShare
	w.TryAllNodes = c.TryAllNodes
	w.NoWorkHints = c.NoWorkHints
	w.DeadlinePropagated = c.DeadlinePropagated
	w.RetryBudget = c.RetryBudget
	w.DiscoveryDelay = c.DiscoveryDelay.Duration
}

// emulatorClass returns the class for an emulator world, or an error for an unknown distribution.
func (c Class) emulatorClass() (emulator.Class, error) {
	kind := emulator.DistributionKind(c.Distribution)
	switch kind {
	case "":
		kind = defaultDistribution(c.CV)
	case emulator.Lognormal, emulator.Exponential, emulator.Fixed:
	default:
		return emulator.Class{}, fmt.Errorf("class %q: unknown dist %q: must be lognormal, exponential or fixed", c.Name, c.Distribution)
	}
	return emulator.Class{
		Name:              c.Name,
		Share:             c.Share,
		Work:              emulator.Distribution{Mean: c.Work.Seconds(), CV: c.CV, Kind: kind},
		LatencyObjective:  c.LatencyObjective.Duration,
		ClientTimeout:     c.ClientTimeout.Duration,
		PriorityWeight:    c.PriorityWeight,
		HasIdempotencyKey: c.HasIdempotencyKey,
		IdempotencyWindow: c.IdempotencyWindow.Duration,
		WorkHintCV:        c.WorkHintCV,
		CallsDependency:   c.CallsDependency,
	}, nil
}

// defaultDistribution returns the kind of a distribution for which only a coefficient of variation is given.
func defaultDistribution(cv float64) emulator.DistributionKind {
	if cv > 0 {
		return emulator.Lognormal
	}
	return emulator.Fixed
}

func (d Dependency) emulatorDependency() *emulator.Dependency {
	return &emulator.Dependency{Slots: d.Slots, MaxQueued: d.MaxQueued,
		ServiceTime: emulator.Distribution{Mean: d.ServiceTime.Seconds(), CV: d.CV, Kind: defaultDistribution(d.CV)}}
}

// emulatorRelease returns the release of an arm for an emulator world.
func (r Release) emulatorRelease(a Arm) *emulator.Release {
	return &emulator.Release{
		At:                  r.At.Duration,
		Strategy:            emulator.ReleaseStrategy(a.ReleaseStrategy),
		Zones:               r.Zones,
		MaxUnavailableShare: r.MaxUnavailableShare,
		BatchShare:          r.BatchShare,
		MinReady:            r.MinReady.Duration,
		Soak:                r.Soak.Duration,
		RestartDuration:     r.RestartDuration.Duration,
		SpeedFactor:         cmp.Or(a.ReleaseSpeedFactor, r.SpeedFactor),
		FailureShare:        cmp.Or(a.ReleaseFailureShare, r.FailureShare),
	}
}
