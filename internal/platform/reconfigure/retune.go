// Package reconfigure decides what new settings at SIGHUP come to while requests are in hand: which files are turned
// down whole, and how classes that are added and dropped are laid beside the ones that requests in hand hold. It
// has no I/O and no clock (the operators' page of days in service, "Retuning").
package reconfigure

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sloehitch/logic"
)

// MissingKeys names the keys that the running settings have and new ones lack, in order. values are settings flattened
// by path, as settings.Flatten gives them ("classes.0.hard-limit"). A key of the items of a list, such as a class's
// "hard-limit", is wanted of every item of the new list where every item of the running one has it; other keys are
// wanted where the running settings have them.
func MissingKeys(running, next map[string]string) []string {
	var missing []string
	shapes := map[string]int{} // a path with its first index written "*", and how many running items have it
	for path := range running {
		if list, rest, ok := splitListPath(path); ok {
			shapes[list+".*."+rest]++
			continue
		}
		if _, ok := next[path]; !ok && !strings.HasSuffix(path, ".count") {
			missing = append(missing, path)
		}
	}
	for shape, have := range shapes {
		list, rest, _ := strings.Cut(shape, ".*.")
		if items, _ := strconv.Atoi(running[list+".count"]); have < items {
			continue // some running items go without it: it may be left out
		}
		items, err := strconv.Atoi(next[list+".count"])
		if err != nil {
			missing = append(missing, list)
			continue
		}
		for i := range items {
			if path := list + "." + strconv.Itoa(i) + "." + rest; next[path] == "" {
				missing = append(missing, path)
			}
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// splitListPath splits a path at its first index: "classes.0.hard-limit" is "classes", "hard-limit".
func splitListPath(path string) (list, rest string, ok bool) {
	words := strings.Split(path, ".")
	for i, w := range words {
		if _, err := strconv.Atoi(w); err == nil && i > 0 && i < len(words)-1 {
			return strings.Join(words[:i], "."), strings.Join(words[i+1:], "."), true
		}
	}
	return "", "", false
}

// CheckFile turns down a whole file: empty, or lacking a key that the running one has. A file cut short, or a deadline
// that is not a number above 0, is turned down as it is read (package settings and logic.New).
func CheckFile(text []byte, running, next map[string]string) error {
	if len(strings.TrimSpace(string(text))) == 0 {
		return errors.New("the file is empty")
	}
	if m := MissingKeys(running, next); len(m) > 0 {
		if len(m) > 5 {
			m = append(m[:5], fmt.Sprintf("and %d more", len(m)-5))
		}
		return fmt.Errorf("keys missing: %s", strings.Join(m, ", "))
	}
	return nil
}

// MaxClasses bounds the classes of settings, those kept for requests in hand included: a dropped class keeps its
// place until a restart.
const MaxClasses = 256

// Plan is what new settings come to beside the running ones.
type Plan struct {
	Settings       logic.Settings // the running classes in their places, as the new file has them; then the added ones
	ClassIndex     map[string]int // the classes that fronts take from now on, by name
	Added          []string
	Removed        []string // kept, with the running figures, for the requests in hand and for balancers that learn late
	TenantsChanged bool     // the tenants differ: they stay as they are until a restart
}

// Merge lays new settings beside the running ones. Classes are matched by name: one that both have takes the new
// figures in its old place, one that only the new file has comes after all others, and one that only the running
// settings have stays in its place as it was, so that no request in hand loses its class. It errs where the result
// would not be taken by the module (logic.New).
func Merge(running, next logic.Settings) (Plan, error) {
	p := Plan{Settings: next, ClassIndex: map[string]int{}}
	p.Settings.Classes = slices.Clone(running.Classes)
	p.Settings.Tenants = running.Tenants
	p.TenantsChanged = !slices.Equal(running.Tenants, next.Tenants)
	place := map[string]int{}
	for i, c := range running.Classes {
		place[c.Name] = i
	}
	for _, c := range next.Classes {
		if i, ok := place[c.Name]; ok {
			p.Settings.Classes[i] = c
			delete(place, c.Name)
			continue
		}
		p.Settings.Classes = append(p.Settings.Classes, c)
		p.Added = append(p.Added, c.Name)
	}
	for name := range place {
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
