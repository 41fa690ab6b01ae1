// Package reconfigure decides which new settings are applied at SIGHUP while requests are in flight, and merges the
// new classes with the running ones. It does no I/O and reads no clock.
//
// A file is rejected as a whole if it is empty or lacks a key that the running file has, inside or outside its settings:
// the default of a missing key would take the place of a value that the platform had set. A truncated file or an
// invalid value is rejected earlier, by the parsers (packages config and settings, logic.New).
package reconfigure

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// MaxClasses is the maximum number of classes. It includes removed ones, which keep their indices until a restart.
const MaxClasses = settings.MaxClasses

// maxListedKeys is the maximum number of missing keys that an error lists.
const maxListedKeys = 5

// errEmptyFile is returned for a file that is empty or contains only white space.
var errEmptyFile = errors.New("the file is empty")

// CheckFile returns an error if a file is empty or lacks a key that the running file has. text is the content of the
// file; running and next are the values of both files by path, as settings.Flatten returns them.
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
	Removed        []string // kept with their running values, for requests in flight and for balancers that still use them
	Idempotency    []IdempotencyChange
	TenantsChanged bool // the new tenants differ from the running ones, which stay until a restart
}

// IdempotencyChange is a class whose requests may be repeated under other rules than before.
type IdempotencyChange struct {
	Class    string
	From, To logic.Idempotency
}

// String returns the change in the platform's words, as in "book: retryable to fragile".
func (c IdempotencyChange) String() string {
	return fmt.Sprintf("%s: %s to %s", c.Class, settings.IdempotencyWord(c.From), settings.IdempotencyWord(c.To))
}

// Merge merges new settings with the running ones. Classes are matched by name: a class in both gets the new values and
// keeps its index, an added one is appended, and a removed one stays unchanged, so that requests in flight keep their
// class. It returns the error of logic.New if the result is invalid.
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
			if from := running.Classes[i].Idempotency; from != c.Idempotency {
				p.Idempotency = append(p.Idempotency, IdempotencyChange{Class: c.Name, From: from, To: c.Idempotency})
			}
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
