// Package experiment runs experiments in the emulator. A file describes a world, arms that differ in policy, and the
// values to sweep; every arm is run with the same seeds. Results are stored as rows and reported with confidence
// intervals. The keys of files are described in docs/operators/lab.md.
package experiment

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is an experiment file.
type File struct {
	Name     string   `toml:"name"`
	Question string   `toml:"what"`
	Seeds    int      `toml:"seeds"`  // the runs use seeds 1 to Seeds
	Duration Duration `toml:"length"` // of arrivals
	WarmUp   Duration `toml:"warmup"` // at the start; its requests are not counted

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

// World describes the nodes (see emulator.World).
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

// Callers describes the balancers (see emulator.World).
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

// Class is one class of requests (see emulator.Class).
type Class struct {
	Name              string   `toml:"name"`
	Share             float64  `toml:"share"`
	Work              Duration `toml:"work"`
	CV                float64  `toml:"cv"`
	Distribution      string   `toml:"dist"` // lognormal, exponential or fixed; empty: lognormal with a CV above 0, otherwise fixed
	LatencyObjective  Duration `toml:"aim"`
	ClientTimeout     Duration `toml:"deadline"`
	PriorityWeight    float64  `toml:"worth"`
	HasIdempotencyKey bool     `toml:"keyed"`
	IdempotencyWindow Duration `toml:"window"`
	WorkHintCV        float64  `toml:"hint_cv"`
	CallsDependency   bool     `toml:"calls"`
}

// Dependency is the service that classes call (see emulator.Dependency).
type Dependency struct {
	Slots       int      `toml:"slots"`
	ServiceTime Duration `toml:"service"`
	CV          float64  `toml:"cv"`
	MaxQueued   int      `toml:"waiting"`
}

// Tenant is a customer that makes a share of the requests (see emulator.Tenant).
type Tenant struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"`
	QuotaPerSecond float64 `toml:"quota"` // requests a second, over all nodes
}

// Fault is a failure of a node or of the dependency (see emulator.Fault).
type Fault struct {
	At           Duration `toml:"at"`
	Node         int      `toml:"node"`
	Kind         string   `toml:"kind"`
	Duration     Duration `toml:"length"`
	Factor       float64  `toml:"factor"`
	RestartDelay Duration `toml:"return"`
}

// Release is the rollout of a new version in the arms with a release strategy (see emulator.Release).
type Release struct {
	At                  Duration `toml:"at"`
	Zones               int      `toml:"zones"`
	MaxUnavailableShare float64  `toml:"most_out"` // of the fleet; of strategy agreed
	BatchShare          float64  `toml:"batch"`    // of the fleet; of strategy batch
	MinReady            Duration `toml:"settle"`
	Soak                Duration `toml:"soak"`
	RestartDuration     Duration `toml:"start"`
	SpeedFactor         float64  `toml:"slow"`  // the new version's speed relative to the old one's
	FailureShare        float64  `toml:"fails"` // share of the new version's responses that fail
}

// Sweep holds the values of which all combinations are run. An empty list stands for the value of the world or the callers.
type Sweep struct {
	Load    []float64 `toml:"load"` // offered work relative to the capacity of all cores
	Nodes   []int     `toml:"nodes"`
	Retries []int     `toml:"retries"`
}

// Arm is one of the alternatives that are compared.
type Arm struct {
	Name                string  `toml:"name"`
	Policy              string  `toml:"policy"`
	Parameter           float64 `toml:"parameter"` // concurrency limit for each core, for policies that have one
	ReleaseStrategy     string  `toml:"roll"`      // agreed, unbounded or batch; empty: no release in this arm
	ReleaseSpeedFactor  float64 `toml:"slow"`      // replaces the release's if not 0
	ReleaseFailureShare float64 `toml:"fails"`     // replaces the release's if not 0
}

// ReadFile reads an experiment file. The error is one line that names the file, the line number if it is known, and the
// remedy.
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

// Parse parses the text of an experiment file.
func Parse(text []byte) (*File, error) {
	f := &File{text: text}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(f); err != nil {
		return nil, decodeError(err, text)
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf(" %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return f, nil
}

// decodeError prefixes a decoder's error with the line number.
func decodeError(err error, text []byte) error {
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	var duration *durationError
	switch {
	case errors.As(err, &duration):
		return fmt.Errorf("%d: %w", duration.line(text), duration)
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%d: unknown key %q: see docs/operators/lab.md for the known keys", row, strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &bad):
		row, _ := bad.Position()
		return fmt.Errorf("%d: %s", row, strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return fmt.Errorf(" %w", err)
}

// maxSeeds bounds the seeds of an experiment.
const maxSeeds = 10000

// validate returns an error that names the reasons why the experiment can't be run, or nil.
func (f *File) validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(f.Name != "" && !strings.ContainsAny(f.Name, "/\\, "), "name: must not be empty or contain spaces, commas, slashes or backslashes")
	require(f.Seeds > 0 && f.Seeds <= maxSeeds, "seeds: must be from 1 to 10000, not %d", f.Seeds)
	require(len(f.Sweep.Load) > 0, "sweep.load: must hold at least one load, such as [0.9]")
	require(len(f.Arms) > 0, "arm: there must be at least one [[arm]]")
	names := map[string]bool{}
	for i, a := range f.Arms {
		require(a.Name != "" && !strings.ContainsAny(a.Name, ",\n"), "arm %d: name must not be empty or contain commas or line breaks", i+1)
		require(!names[a.Name], "arm %q: name is used by two arms", a.Name)
		names[a.Name] = true
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	return f.validateWorlds()
}

// validateWorlds validates the world of each arm at each point and returns the first error.
func (f *File) validateWorlds() error {
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

// Digest returns the SHA-256 hash of the file's text in hexadecimal digits.
func (f *File) Digest() string { return fmt.Sprintf("%x", sha256.Sum256(f.text)) }
