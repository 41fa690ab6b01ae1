// Package reconfigure decides which new settings are taken at SIGHUP while requests are in flight, and how the new
// classes are merged with the running ones. It has no I/O and no clock.
//
// A file is rejected as a whole when it is empty or lacks a key that the running settings have; one that was cut
// short or holds an invalid value is rejected before, as it is parsed (package settings, logic.New).
package reconfigure

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// MaxClasses is the largest number of classes, those that were removed included: a removed class keeps its index
// until a restart.
const MaxClasses = settings.MaxClasses

// maxListedKeys is how many missing keys an error lists.
const maxListedKeys = 5

// errEmptyFile is returned for a file of white space.
var errEmptyFile = errors.New("the file is empty")

// CheckFile returns an error where a file is empty or lacks a key that the running settings have. text is the
// file; running and next are settings by path, as settings.Flatten returns them.
func CheckFile(text []byte, running, next map[string]string) error {
	if len(strings.TrimSpace(string(text))) == 0 {
		return errEmptyFile
	}
	missing := MissingKeys(running, next)
	if len(missing) == 0 {
		return nil
	}
	if more := len(missing) - maxListedKeys; more > 0 {
		missing = append(missing[:maxListedKeys], fmt.Sprintf("and %d more", more))
	}
	return fmt.Errorf("keys missing: %s", strings.Join(missing, ", "))
}

// Plan is the result of merging new settings with the running ones.
type Plan struct {
	Settings       logic.Settings // the running classes at their indices with their new values, then the added ones
	ClassIndex     map[string]int // index of each class by name
	Added          []string
	Removed        []string // kept with their running values, for requests in flight and balancers that learn late
	TenantsChanged bool     // the new tenants differ; the running ones stay until a restart
}

// Merge merges new settings with the running ones. Classes are matched by name: a class of both takes the new values
// at its index, an added one comes after all others, and a removed one stays as it was, so that no request in flight
// loses its class. It returns the error of logic.New where the result is invalid.
func Merge(running, next logic.Settings) (Plan, error) {
	p := Plan{Settings: next, ClassIndex: map[string]int{}}
	p.Settings.Classes = slices.Clone(running.Classes)
	p.Settings.Tenants = running.Tenants
	p.TenantsChanged = !slices.Equal(running.Tenants, next.Tenants)
	removed := map[string]int{}
	for i, c := range running.Classes {
		removed[c.Name] = i
	}
	for _, c := range next.Classes {
		if i, ok := removed[c.Name]; ok {
			p.Settings.Classes[i] = c
			delete(removed, c.Name)
			continue
		}
		p.Settings.Classes = append(p.Settings.Classes, c)
		p.Added = append(p.Added, c.Name)
	}
	for name := range removed {
		p.Removed = append(p.Removed, name)
	}
	slices.Sort(p.Removed)
	for i, c := range p.Settings.Classes {
		p.ClassIndex[c.Name] = i
	}
	if _, err := logic.New(p.Settings, 0); err != nil {
		return Plan{}, err
	}
	return p, nil
}
