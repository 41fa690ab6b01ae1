// Package config reads the configuration that the platform gives a node at its start, and the deployment file.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// Limits are the resource limits that the platform sets for the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Platform is the configuration of one node.
type Platform struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	OperatorAddress string          `json:"ops"` // address for operators' calls; empty: none. Overridden by $GW_OPS if that is set
	Runtime         string          `json:"runtime"`
	Directory       string          `json:"lookup"`
	Catalogue       string          `json:"catalog"` // empty in the last tier
	Seed            string          `json:"seed"`
	StopMS          int64           `json:"stop_ms"`
	Limits          Limits          `json:"limits"`
	RawSettings     json.RawMessage `json:"settings"`

	Text  []byte              `json:"-"` // the file that this configuration was parsed from
	Logic logic.Settings      `json:"-"`
	Names *settings.NameIndex `json:"-"`
}

// Load reads and checks the file at path.
func Load(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Parse reads and checks a configuration.
func Parse(text []byte) (*Platform, error) {
	p := &Platform{Text: text, StopMS: 3000, Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(text, p); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return nil, settings.FieldErrors{{Path: typeError.Field, Value: "a JSON " + typeError.Value, Expected: "a value of type " + typeError.Type.String() + " is required"}}
		}
		return nil, err
	}
	if ops := os.Getenv("GW_OPS"); ops != "" {
		p.OperatorAddress = ops
	}
	errs := p.check()
	var object map[string]any
	if err := json.Unmarshal(p.RawSettings, &object); err != nil || object == nil {
		errs = append(errs, settings.FieldError{Path: "settings", Expected: "must be the JSON object that the platform provides"})
		return nil, errs
	}
	var err error
	if p.Logic, p.Names, err = settings.Parse(settings.Flatten(object)); err != nil {
		var fs settings.FieldErrors
		if !errors.As(err, &fs) {
			return nil, err
		}
		errs = append(errs, fs.WithPrefix("settings")...)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	_, err = logic.New(p.Logic, 0)
	return p, err
}

// check validates all fields except the settings and returns all errors.
func (p *Platform) check() (errs settings.FieldErrors) {
	if p.Name == "" {
		errs = append(errs, settings.FieldError{Path: "name", Expected: "must be the node's name, under which the directory lists it"})
	}
	for _, a := range []struct {
		field, address string
		needed         bool
	}{{"listen", p.Listen, true}, {"runtime", p.Runtime, false}, {"lookup", p.Directory, false}, {"catalog", p.Catalogue, false}, {"ops", p.OperatorAddress, false}} {
		if a.address == "" && !a.needed {
			continue
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			errs = append(errs, settings.FieldError{Path: a.field, Value: a.address, Expected: "must be host:port, such as 127.0.0.1:4100"})
		}
	}
	for _, n := range []struct {
		field                   string
		value, minimum, maximum float64
		meaning                 string
	}{
		{"stop_ms", float64(p.StopMS), 1, 3600000, "milliseconds from the shutdown signal to the kill"},
		{"limits.cores", p.Limits.Cores, 0.01, 4096, "cores that the process may use"},
		{"limits.memory_mb", float64(p.Limits.MemoryMB), 1, 1 << 20, "megabytes above which the process is killed"},
		{"limits.sockets", float64(p.Limits.Sockets), 16, 1 << 20, "descriptors; fewer do not suffice for links and callers"},
	} {
		if !(n.value >= n.minimum && n.value <= n.maximum) {
			errs = append(errs, settings.FieldError{Path: n.field, Value: fmt.Sprint(n.value),
				Expected: fmt.Sprintf("must be a number from %v to %v (%s)", n.minimum, strconv.FormatFloat(n.maximum, 'f', -1, 64), n.meaning)})
		}
	}
	return errs
}

// KillAfter returns the time from the shutdown signal to the kill.
func (p *Platform) KillAfter() time.Duration { return time.Duration(p.StopMS) * time.Millisecond }

// KillAfterReplaced returns the time from the shutdown signal to the kill when a new process replaces this one: the longest client
// timeout of the classes, at most 3 s, plus 0.7 s, but no more than KillAfter.
func (p *Platform) KillAfterReplaced() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.Logic.Classes {
		longest = max(longest, time.Duration(c.ClientTimeout)*time.Microsecond)
	}
	return min(p.KillAfter(), min(longest, 3*time.Second)+700*time.Millisecond)
}
