// Package config reads what the platform tells a node at its start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"sloehitch/internal/settings"
	"sloehitch/logic"
)

// Caps are the platform's limits on the program.
type Caps struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Platform is the configuration of one node.
type Platform struct {
	Name    string          `json:"name"`
	Listen  string          `json:"listen"`
	Ops     string          `json:"ops"` // the operators' calls; empty: none. $GW_OPS takes its place where set
	Runtime string          `json:"runtime"`
	Lookup  string          `json:"lookup"`
	Catalog string          `json:"catalog"` // empty in the last tier
	Seed    string          `json:"seed"`
	StopMS  int64           `json:"stop_ms"`
	Caps    Caps            `json:"limits"`
	Raw     json.RawMessage `json:"settings"`

	Logic logic.Settings       `json:"-"`
	Names *settings.Vocabulary `json:"-"`
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
	p := &Platform{StopMS: 3000, Caps: Caps{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, err
	}
	if ops := os.Getenv("GW_OPS"); ops != "" {
		p.Ops = ops
	}
	var object map[string]any
	if err := json.Unmarshal(p.Raw, &object); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var err error
	if p.Logic, p.Names, err = settings.Parse(settings.Flatten(object)); err != nil {
		return nil, err
	}
	if _, err := logic.New(p.Logic, 0); err != nil {
		return nil, err
	}
	return p, p.check()
}

func (p *Platform) check() error {
	if p.Name == "" {
		return errors.New("name is missing")
	}
	for _, a := range []struct {
		field, address string
		needed         bool
	}{{"listen", p.Listen, true}, {"runtime", p.Runtime, false}, {"lookup", p.Lookup, false}, {"catalog", p.Catalog, false}, {"ops", p.Ops, false}} {
		if a.address == "" && !a.needed {
			continue
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fmt.Errorf("%s: %w", a.field, err)
		}
	}
	if p.StopMS <= 0 || p.Caps.MemoryMB <= 0 || p.Caps.Sockets <= 0 {
		return errors.New("stop_ms, memory_mb and sockets must be above 0")
	}
	return nil
}

// Stop is the time from the notice to leave to the kill.
func (p *Platform) Stop() time.Duration { return time.Duration(p.StopMS) * time.Millisecond }

// StopReplaced is that time where a new process replaces this one (the operators' page of days, "Replacing the
// process"): the kill comes after the longest deadline of the classes, taken as 3 s where it is longer, and 0.7 s,
// or after Stop if that is sooner.
func (p *Platform) StopReplaced() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.Logic.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return min(p.Stop(), min(longest, 3*time.Second)+700*time.Millisecond)
}
