// Package experiment asks questions of the emulator: a file names a world, arms that differ in policy, and what to
// sweep; every arm meets the same seeds. Results are kept as rows, and reported with intervals.
package experiment

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloehitch/internal/emulator"
)

// Duration is a length of time, written with its unit: "250ms", "1m30s".
type Duration struct{ time.Duration } // a struct, so that a bare number is an error

// UnmarshalText reads one. It errs on a number without a unit, on other units, and below 0.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return &durationError{string(text)}
	}
	s.Duration = d
	return nil
}

// durationError says that a value is no span of time.
type durationError struct{ text string }

func (e *durationError) Error() string {
	return fmt.Sprintf("%q is no span of time: write a number and ns, us, ms, s, m or h, such as \"250ms\"", e.text)
}

// line is the first line of text with that value: the decoder does not tell where it stands.
func (e *durationError) line(text []byte) int {
	for i, line := range strings.Split(string(text), "\n") {
		_, value, _ := strings.Cut(line, "=")
		value, _, _ = strings.Cut(value, "#")
		if strings.Trim(value, " \t\r\"'") == e.text {
			return i + 1
		}
	}
	return 0
}

// File is an experiment as written.
type File struct {
	Name     string   `toml:"name"`
	Question string   `toml:"what"`   // the question
	Seeds    int      `toml:"seeds"`  // 1 to so many
	Duration Duration `toml:"length"` // of arrivals
	WarmUp   Duration `toml:"warmup"` // of them, that count for nothing

	World      World       `toml:"world"`
	Callers    Callers     `toml:"callers"`
	Classes    []Class     `toml:"class"`
	Dependency *Dependency `toml:"below"`
	Tenants    []Tenant    `toml:"tenant"`
	Faults     []Fault     `toml:"fault"`
	Release    *Release    `toml:"release"`
	Sweep      Sweep       `toml:"sweep"`
	Arms       []Arm       `toml:"arm"`

	text []byte
}

// World is the machines.
type World struct {
	Nodes                 int      `toml:"nodes"`
	Cores                 int      `toml:"cores"`
	Speed                 float64  `toml:"speed"`
	Thrash                float64  `toml:"thrash"`
	ThrashThreshold       float64  `toml:"thrash_at"`
	MaxConcurrencyPerCore float64  `toml:"crowd"`
	MemoryMB              float64  `toml:"memory_mb"`
	NetworkDelay          Duration `toml:"hop"`
	ReadCost              float64  `toml:"read"`
	DrainGrace            Duration `toml:"grace"`
	BurstAmplitude        float64  `toml:"burst"`
	BurstPeriod           Duration `toml:"every"`
	SlowStartCapacity     float64  `toml:"cold_from"`
	SlowStartDuration     Duration `toml:"cold_for"`
}

// Callers are the balancers.
type Callers struct {
	Count              int      `toml:"count"`
	Balancing          string   `toml:"habit"`
	MaxRetries         int      `toml:"retries"`
	Backoff            Duration `toml:"backoff"`
	HonorRetryAfter    bool     `toml:"heed"`
	RetryAfterShare    float64  `toml:"away"`
	TryAllNodes        bool     `toml:"walk"`
	NoWorkHints        bool     `toml:"no_hints"`
	DeadlinePropagated bool     `toml:"told_wait"`
	RetryBudget        float64  `toml:"budget"`
	DiscoveryDelay     Duration `toml:"notice"`
}

// Class is one class of requests.
type Class struct {
	Name              string   `toml:"name"`
	Share             float64  `toml:"share"`
	Work              Duration `toml:"work"`
	CV                float64  `toml:"cv"`
	Distribution      string   `toml:"dist"` // lognormal (by default where there is a cv), exponential or fixed
	LatencyObjective  Duration `toml:"aim"`
	ClientTimeout     Duration `toml:"deadline"`
	PriorityWeight    float64  `toml:"worth"`
	HasIdempotencyKey bool     `toml:"keyed"`
	IdempotencyWindow Duration `toml:"window"`
	WorkHintCV        float64  `toml:"hint_cv"`
	CallsDependency   bool     `toml:"calls"`
}

// Dependency is the dependency that classes call.
type Dependency struct {
	Slots       int      `toml:"slots"`
	ServiceTime Duration `toml:"service"`
	CV          float64  `toml:"cv"`
	MaxQueued   int      `toml:"waiting"`
}

// Tenant is one customer.
type Tenant struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"`
	QuotaPerSecond float64 `toml:"quota"` // requests a second, over all nodes
}

// Fault is something that happens to a node.
type Fault struct {
	At           Duration `toml:"at"`
	Node         int      `toml:"node"`
	Kind         string   `toml:"kind"`
	Duration     Duration `toml:"length"`
	Factor       float64  `toml:"factor"`
	RestartDelay Duration `toml:"return"`
}

// Release is another version that goes through the fleet, by the arms that have a roll.
type Release struct {
	At                  Duration `toml:"at"`
	Zones               int      `toml:"zones"`
	MaxUnavailableShare float64  `toml:"most_out"` // share of the fleet, where the roll is agreed
	BatchShare          float64  `toml:"batch"`    // share of the fleet, where it is batch
	MinReady            Duration `toml:"settle"`
	Soak                Duration `toml:"soak"`
	RestartDuration     Duration `toml:"start"`
	SpeedFactor         float64  `toml:"slow"`  // the new version's speed as a share of the old one's
	FailureShare        float64  `toml:"fails"` // share of its answers that are failures
}

// Sweep is what is tried, each with each; what is empty stays as the world says.
type Sweep struct {
	Load    []float64 `toml:"load"` // of what all cores can do
	Nodes   []int     `toml:"nodes"`
	Retries []int     `toml:"retries"`
}

// Arm is one policy.
type Arm struct {
	Name                string  `toml:"name"`
	Policy              string  `toml:"policy"`
	Parameter           float64 `toml:"parameter"`
	ReleaseStrategy     string  `toml:"roll"` // how the release goes here: agreed, unbounded or batch; empty: it does not
	ReleaseSpeedFactor  float64 `toml:"slow"` // of the release, where this arm meets another version than the rest
	ReleaseFailureShare float64 `toml:"fails"`
}

// ReadFile reads an experiment. An error is one line that names the file, the line where there is one, and what to do.
func ReadFile(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return f, nil
}

// Parse reads an experiment's text.
func Parse(text []byte) (*File, error) {
	f := &File{text: text}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		var strict *toml.StrictMissingError
		var bad *toml.DecodeError
		var span *durationError
		switch {
		case errors.As(err, &span):
			return nil, fmt.Errorf("%d: %w", span.line(text), span)
		case errors.As(err, &strict) && len(strict.Errors) > 0:
			row, _ := strict.Errors[0].Position()
			return nil, fmt.Errorf("%d: no key %q here: see docs/operators/lab.md for those there are", row, strings.Join(strict.Errors[0].Key(), "."))
		case errors.As(err, &bad):
			row, _ := bad.Position()
			return nil, fmt.Errorf("%d: %s", row, strings.TrimPrefix(bad.Error(), "toml: "))
		}
		return nil, fmt.Errorf(" %w", err)
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf(" %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return f, nil
}

// validate errs on an experiment that can't be run, naming all that is wrong.
func (f *File) validate() error {
	var errs []error
	want := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	want(f.Name != "" && !strings.ContainsAny(f.Name, "/\\, "), "name: a word without blanks, commas or slashes is wanted")
	want(f.Seeds > 0 && f.Seeds <= 10000, "seeds: 1 to 10000 are wanted, not %d", f.Seeds)
	want(len(f.Sweep.Load) > 0, "sweep.load: at least one load is wanted, such as [0.9]")
	want(len(f.Arms) > 0, "arm: at least one [[arm]] is wanted")
	names := map[string]bool{}
	for i, a := range f.Arms {
		want(a.Name != "" && !strings.ContainsAny(a.Name, ",\n"), "arm %d: a name without commas is wanted", i+1)
		want(!names[a.Name], "arm %q: two of that name", a.Name)
		names[a.Name] = true
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	for _, p := range f.Points() {
		for _, a := range f.Arms {
			w, err := f.emulatorWorld(p, a, 1)
			if err == nil {
				err = w.Validate()
			}
			if err != nil {
				return fmt.Errorf("arm %q, %s: %w", a.Name, p, err)
			}
		}
	}
	return nil
}

// Digest tells experiments apart.
func (f *File) Digest() string { return fmt.Sprintf("%x", sha256.Sum256(f.text)) }

// Point is one combination of what is swept.
type Point struct {
	Load    float64
	Nodes   int
	Retries int
}

func (p Point) String() string {
	return fmt.Sprintf("load %.3g, %d nodes, %d retries", p.Load, p.Nodes, p.Retries)
}

// Points are all combinations, in the file's order.
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

// emulatorWorld is what one arm meets at a point, under a seed.
func (f *File) emulatorWorld(p Point, a Arm, seed uint64) (emulator.World, error) {
	policy, err := emulator.NewPolicy(a.Policy, a.Parameter)
	if err != nil {
		return emulator.World{}, err
	}
	w := emulator.World{Seed: seed, Duration: f.Duration.Duration, WarmUp: f.WarmUp.Duration, Nodes: p.Nodes, Cores: f.World.Cores,
		Speed: f.World.Speed, Thrash: f.World.Thrash, ThrashThreshold: f.World.ThrashThreshold, MaxConcurrencyPerCore: f.World.MaxConcurrencyPerCore, MemoryKB: f.World.MemoryMB * 1024,
		NetworkDelay: f.World.NetworkDelay.Duration, ReadCost: f.World.ReadCost, DrainGrace: f.World.DrainGrace.Duration, Load: p.Load, BurstAmplitude: f.World.BurstAmplitude, BurstPeriod: f.World.BurstPeriod.Duration, Balancers: f.Callers.Count,
		Balancing: emulator.BalancingMethod(f.Callers.Balancing), MaxRetries: p.Retries, Backoff: f.Callers.Backoff.Duration, HonorRetryAfter: f.Callers.HonorRetryAfter, NewServer: policy,
		RetryAfterShare: f.Callers.RetryAfterShare, TryAllNodes: f.Callers.TryAllNodes, NoWorkHints: f.Callers.NoWorkHints, DeadlinePropagated: f.Callers.DeadlinePropagated,
		RetryBudget: f.Callers.RetryBudget, DiscoveryDelay: f.Callers.DiscoveryDelay.Duration, SlowStartCapacity: f.World.SlowStartCapacity, SlowStartDuration: f.World.SlowStartDuration.Duration}
	for _, c := range f.Classes {
		kind := c.Distribution
		switch {
		case kind == "" && c.CV > 0:
			kind = "lognormal"
		case kind == "":
			kind = "fixed"
		case kind != "lognormal" && kind != "exponential" && kind != "fixed":
			return w, fmt.Errorf("class %q: no dist %q: lognormal, exponential or fixed", c.Name, kind)
		}
		w.Classes = append(w.Classes, emulator.Class{Name: c.Name, Share: c.Share, Work: emulator.Distribution{Mean: c.Work.Duration.Seconds(), CV: c.CV, Kind: kind},
			LatencyObjective: c.LatencyObjective.Duration, ClientTimeout: c.ClientTimeout.Duration, PriorityWeight: c.PriorityWeight, HasIdempotencyKey: c.HasIdempotencyKey, IdempotencyWindow: c.IdempotencyWindow.Duration, WorkHintCV: c.WorkHintCV, CallsDependency: c.CallsDependency})
	}
	if b := f.Dependency; b != nil {
		kind := "fixed"
		if b.CV > 0 {
			kind = "lognormal"
		}
		w.Dependency = &emulator.Dependency{Slots: b.Slots, MaxQueued: b.MaxQueued, ServiceTime: emulator.Distribution{Mean: b.ServiceTime.Seconds(), CV: b.CV, Kind: kind}}
	}
	for _, t := range f.Tenants {
		w.Tenants = append(w.Tenants, emulator.Tenant{Name: t.Name, Share: t.Share, QuotaPerSecond: t.QuotaPerSecond})
	}
	for _, x := range f.Faults {
		w.Faults = append(w.Faults, emulator.Fault{At: x.At.Duration, Node: x.Node, Kind: emulator.FaultKind(x.Kind), Duration: x.Duration.Duration, Factor: x.Factor, RestartDelay: x.RestartDelay.Duration})
	}
	if a.ReleaseStrategy != "" {
		x := f.Release
		if x == nil {
			return w, fmt.Errorf("roll %q: there is no [release] to go by", a.ReleaseStrategy)
		}
		w.Release = &emulator.Release{At: x.At.Duration, Strategy: emulator.ReleaseStrategy(a.ReleaseStrategy), Zones: x.Zones, MaxUnavailableShare: x.MaxUnavailableShare, BatchShare: x.BatchShare, MinReady: x.MinReady.Duration, Soak: x.Soak.Duration,
			RestartDuration: x.RestartDuration.Duration, SpeedFactor: cmp.Or(a.ReleaseSpeedFactor, x.SpeedFactor), FailureShare: cmp.Or(a.ReleaseFailureShare, x.FailureShare)}
	}
	return w, nil
}
