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

// Span is a length of time, written with its unit: "250ms", "1m30s".
type Span struct{ time.Duration } // a struct, so that a bare number is an error

// UnmarshalText reads one. It errs on a number without a unit, on other units, and below 0.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return &badSpan{string(text)}
	}
	s.Duration = d
	return nil
}

// badSpan says that a value is no span of time.
type badSpan struct{ text string }

func (e *badSpan) Error() string {
	return fmt.Sprintf("%q is no span of time: write a number and ns, us, ms, s, m or h, such as \"250ms\"", e.text)
}

// line is the first line of text with that value: the decoder does not tell where it stands.
func (e *badSpan) line(text []byte) int {
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
	Name   string `toml:"name"`
	What   string `toml:"what"`   // the question
	Seeds  int    `toml:"seeds"`  // 1 to so many
	Length Span   `toml:"length"` // of arrivals
	WarmUp Span   `toml:"warmup"` // of them, that count for nothing

	World   World    `toml:"world"`
	Callers Callers  `toml:"callers"`
	Classes []Class  `toml:"class"`
	Below   *Below   `toml:"below"`
	Tenants []Tenant `toml:"tenant"`
	Faults  []Fault  `toml:"fault"`
	Release *Release `toml:"release"`
	Sweep   Sweep    `toml:"sweep"`
	Arms    []Arm    `toml:"arm"`

	text []byte
}

// World is the machines.
type World struct {
	Nodes    int     `toml:"nodes"`
	Cores    int     `toml:"cores"`
	Speed    float64 `toml:"speed"`
	Thrash   float64 `toml:"thrash"`
	ThrashAt float64 `toml:"thrash_at"`
	Crowd    float64 `toml:"crowd"`
	MemoryMB float64 `toml:"memory_mb"`
	Hop      Span    `toml:"hop"`
	Read     float64 `toml:"read"`
	Grace    Span    `toml:"grace"`
	Burst    float64 `toml:"burst"`
	Every    Span    `toml:"every"`
	ColdFrom float64 `toml:"cold_from"`
	ColdFor  Span    `toml:"cold_for"`
}

// Callers are the balancers.
type Callers struct {
	Count    int     `toml:"count"`
	Habit    string  `toml:"habit"`
	Retries  int     `toml:"retries"`
	Backoff  Span    `toml:"backoff"`
	Heed     bool    `toml:"heed"`
	Away     float64 `toml:"away"`
	Walk     bool    `toml:"walk"`
	NoHints  bool    `toml:"no_hints"`
	ToldWait bool    `toml:"told_wait"`
	Budget   float64 `toml:"budget"`
	Notice   Span    `toml:"notice"`
}

// Class is one class of requests.
type Class struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"`
	Work     Span    `toml:"work"`
	CV       float64 `toml:"cv"`
	Dist     string  `toml:"dist"` // lognormal (by default where there is a cv), exponential or fixed
	Aim      Span    `toml:"aim"`
	Deadline Span    `toml:"deadline"`
	Worth    float64 `toml:"worth"`
	Keyed    bool    `toml:"keyed"`
	Window   Span    `toml:"window"`
	HintCV   float64 `toml:"hint_cv"`
	Calls    bool    `toml:"calls"`
}

// Below is the dependency that classes call.
type Below struct {
	Slots   int     `toml:"slots"`
	Service Span    `toml:"service"`
	CV      float64 `toml:"cv"`
	Waiting int     `toml:"waiting"`
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota"` // requests a second, over all nodes
}

// Fault is something that happens to a node.
type Fault struct {
	At     Span    `toml:"at"`
	Node   int     `toml:"node"`
	Kind   string  `toml:"kind"`
	Length Span    `toml:"length"`
	Factor float64 `toml:"factor"`
	Return Span    `toml:"return"`
}

// Release is another version that goes through the fleet, by the arms that have a roll.
type Release struct {
	At      Span    `toml:"at"`
	Zones   int     `toml:"zones"`
	MostOut float64 `toml:"most_out"` // share of the fleet, where the roll is agreed
	Batch   float64 `toml:"batch"`    // share of the fleet, where it is batch
	Settle  Span    `toml:"settle"`
	Soak    Span    `toml:"soak"`
	Start   Span    `toml:"start"`
	Slow    float64 `toml:"slow"`  // the new version's speed as a share of the old one's
	Fails   float64 `toml:"fails"` // share of its answers that are failures
}

// Sweep is what is tried, each with each; what is empty stays as the world says.
type Sweep struct {
	Load    []float64 `toml:"load"` // of what all cores can do
	Nodes   []int     `toml:"nodes"`
	Retries []int     `toml:"retries"`
}

// Arm is one policy.
type Arm struct {
	Name      string  `toml:"name"`
	Policy    string  `toml:"policy"`
	Parameter float64 `toml:"parameter"`
	Roll      string  `toml:"roll"` // how the release goes here: agreed, unbounded or batch; empty: it does not
	Slow      float64 `toml:"slow"` // of the release, where this arm meets another version than the rest
	Fails     float64 `toml:"fails"`
}

// Read reads an experiment. An error is one line that names the file, the line where there is one, and what to do.
func Read(path string) (*File, error) {
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
		var span *badSpan
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
	if err := f.check(); err != nil {
		return nil, fmt.Errorf(" %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return f, nil
}

// check errs on an experiment that can't be run, naming all that is wrong.
func (f *File) check() error {
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
			w, err := f.world(p, a, 1)
			if err == nil {
				err = w.Check()
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
		retries = []int{f.Callers.Retries}
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

// world is what one arm meets at a point, under a seed.
func (f *File) world(p Point, a Arm, seed uint64) (emulator.World, error) {
	policy, err := emulator.Policies(a.Policy, a.Parameter)
	if err != nil {
		return emulator.World{}, err
	}
	w := emulator.World{Seed: seed, Length: f.Length.Duration, WarmUp: f.WarmUp.Duration, Nodes: p.Nodes, Cores: f.World.Cores,
		Speed: f.World.Speed, Thrash: f.World.Thrash, ThrashAt: f.World.ThrashAt, Crowd: f.World.Crowd, MemoryKB: f.World.MemoryMB * 1024,
		Hop: f.World.Hop.Duration, Read: f.World.Read, Grace: f.World.Grace.Duration, Load: p.Load, Burst: f.World.Burst, Every: f.World.Every.Duration, Balancers: f.Callers.Count,
		Habit: emulator.Habit(f.Callers.Habit), Retries: p.Retries, Backoff: f.Callers.Backoff.Duration, Heed: f.Callers.Heed, Policy: policy,
		Away: f.Callers.Away, Walk: f.Callers.Walk, Unhinted: f.Callers.NoHints, TellsWait: f.Callers.ToldWait,
		Budget: f.Callers.Budget, Notice: f.Callers.Notice.Duration, ColdFrom: f.World.ColdFrom, ColdFor: f.World.ColdFor.Duration}
	for _, c := range f.Classes {
		kind := c.Dist
		switch {
		case kind == "" && c.CV > 0:
			kind = "lognormal"
		case kind == "":
			kind = "fixed"
		case kind != "lognormal" && kind != "exponential" && kind != "fixed":
			return w, fmt.Errorf("class %q: no dist %q: lognormal, exponential or fixed", c.Name, kind)
		}
		w.Classes = append(w.Classes, emulator.Class{Name: c.Name, Share: c.Share, Work: emulator.Sizes{Mean: c.Work.Duration.Seconds(), CV: c.CV, Kind: kind},
			Aim: c.Aim.Duration, Deadline: c.Deadline.Duration, Worth: c.Worth, Keyed: c.Keyed, Window: c.Window.Duration, HintCV: c.HintCV, Calls: c.Calls})
	}
	if b := f.Below; b != nil {
		kind := "fixed"
		if b.CV > 0 {
			kind = "lognormal"
		}
		w.Below = &emulator.Dependency{Slots: b.Slots, Waiting: b.Waiting, Service: emulator.Sizes{Mean: b.Service.Seconds(), CV: b.CV, Kind: kind}}
	}
	for _, t := range f.Tenants {
		w.Tenants = append(w.Tenants, emulator.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	for _, x := range f.Faults {
		w.Faults = append(w.Faults, emulator.Fault{At: x.At.Duration, Node: x.Node, Kind: emulator.Kind(x.Kind), Length: x.Length.Duration, Factor: x.Factor, Return: x.Return.Duration})
	}
	if a.Roll != "" {
		x := f.Release
		if x == nil {
			return w, fmt.Errorf("roll %q: there is no [release] to go by", a.Roll)
		}
		w.Release = &emulator.Release{At: x.At.Duration, Roll: emulator.Roll(a.Roll), Zones: x.Zones, MostOut: x.MostOut, Batch: x.Batch, Settle: x.Settle.Duration, Soak: x.Soak.Duration,
			Start: x.Start.Duration, Slow: cmp.Or(a.Slow, x.Slow), Fails: cmp.Or(a.Fails, x.Fails)}
	}
	return w, nil
}
