package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"sloehitch/logic"
)

// numberRange is what a number may be, and what it is where it is absent.
type numberRange struct {
	min, max     float64
	exclusiveMin bool // above least, not least itself
	integer      bool
	required     bool
	defaultValue float64
	reason       string // of the bounds, and what to write
}

const (
	hour = 3600e6 // microseconds
	day  = 24 * hour

	// maxClasses and mostTenants bound the lists; each entry is looked at in every step.
	maxClasses = 256
	maxTenants = 4096
)

// The bounds, each with its reason. Spans are in microseconds.
var (
	fleetSizeRange          = numberRange{0, 1e6, false, true, false, 1, "the servers of the fleet, this one included"}
	coresRange              = numberRange{1, 4096, false, true, true, 1, "the cores on which the work runs"}
	memoryRange             = numberRange{0, 1e10, true, false, true, 1, "kilobytes for held and running requests and keys"}
	runMemoryFactorRange    = numberRange{0, 1e3, false, false, false, 1, "the memory of a running request over that of a held one; below 1 counts as 1"}
	keyEntryRange           = numberRange{0, 1e7, false, false, false, 0, "kilobytes of one entry of the table of keys"}
	concurrencyPerCoreRange = numberRange{1, 1e3, false, false, false, 1e3, "requests on the cores for each core that the server survives"}
	stepIntervalRange       = numberRange{100, 1e6, false, false, false, 4000, "microseconds between two decisions: under 100 a core does nothing else, over a second answers come too late"}
	shareRange              = numberRange{0, 1, false, false, false, 0, "a share"}
	overQuotaWeightRange    = numberRange{0, 1, false, false, false, 1, "the worth of a request over its tenant's share, as a part of its class's"}
	durationRange           = numberRange{0, day, false, false, false, 0, "microseconds, a day at most"}
	idempotencyWindowRange  = numberRange{0, 7 * day, false, false, false, 0, "microseconds, a week at most: each key is kept that long"}
	requiredDurationRange   = numberRange{0, day, true, false, true, 1, "microseconds, a day at most, such as 2500000 for 2.5 s"}
	callConcurrencyRange    = numberRange{0, 1e6, false, false, false, 0, "calls that this server may have in hand, in the mean"}
	objectivePerWorkRange   = numberRange{0, 1e4, false, false, false, 0, "how many times its own work a request's aim grows by"}
	priorityWeightRange     = numberRange{0, 1e9, false, false, false, 1, "the worth of one request; only ratios count"}
	quotaRange              = numberRange{0, 1e9, false, false, false, 1e9, "requests a second within the tenant's share, over all servers; absent: no bound"}
)

// describe says the bound in words.
func (b numberRange) describe() string {
	number, from := "a number", "from "+formatNumber(b.min)
	if b.integer {
		number = "a whole number"
	}
	if b.exclusiveMin {
		from = "above " + formatNumber(b.min)
	}
	return fmt.Sprintf("%s %s to %s is wanted (%s)", number, from, formatNumber(b.max), b.reason)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func (b numberRange) contains(v float64) bool {
	return v >= b.min && v <= b.max && !(b.exclusiveMin && v == b.min) && !(b.integer && v != math.Trunc(v))
}

// FieldError is one thing wrong with settings.
type FieldError struct {
	Path     string // where it stands, such as "classes[0].objective"
	Value    string // as given; empty: it is missing
	Expected string // the bound with its reason, and what to write instead
}

func (f FieldError) Error() string {
	if f.Value == "" {
		return f.Path + " is missing: " + f.Expected
	}
	return fmt.Sprintf("%s is %q: %s", f.Path, f.Value, f.Expected)
}

// FieldErrors is all that is wrong with settings.
type FieldErrors []FieldError

// maxListedErrors is how many faults an error spells out.
const maxListedErrors = 20

func (fs FieldErrors) Error() string {
	var words []string
	for i, f := range fs {
		if i == maxListedErrors {
			words = append(words, fmt.Sprintf("and %d more", len(fs)-maxListedErrors))
			break
		}
		words = append(words, f.Error())
	}
	return strings.Join(words, "; ")
}

// WithPrefix returns the faults as they stand in a file that has the settings under a key.
func (fs FieldErrors) WithPrefix(key string) FieldErrors {
	under := slices.Clone(fs)
	for i := range under {
		under[i].Path = key + "." + under[i].Path
	}
	return under
}

// parser reads settings by path, and notes what is wrong with them.
type parser struct {
	values map[string]string
	errors FieldErrors
}

// text is a value; empty where it is absent, which the simulator writes "-".
func (p *parser) text(path string) string {
	if w := p.values[path]; w != "-" {
		return w
	}
	return ""
}

// addError notes what is wrong with the value at a path.
func (p *parser) addError(path, want string) { p.addErrorAt(path, p.text(path), want) }

func (p *parser) addErrorAt(path, value, want string) {
	var b strings.Builder
	for i, word := range strings.Split(path, ".") {
		_, err := strconv.Atoi(word)
		switch {
		case err == nil && i > 0:
			b.WriteString("[" + word + "]")
			continue
		case i > 0:
			b.WriteByte('.')
		}
		b.WriteString(word)
	}
	if len(value) > 64 {
		value = value[:64] + "…"
	}
	p.errors = append(p.errors, FieldError{b.String(), value, want})
}

// number is a number within its bound; what the bound has for an absent one where it is absent or out of bounds.
func (p *parser) number(path string, b numberRange) float64 {
	w := p.text(path)
	if w == "" {
		if b.required {
			p.addError(path, b.describe())
		}
		return b.defaultValue
	}
	return p.parseNumber(path, w, b)
}

func (p *parser) parseNumber(path, w string, b numberRange) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || !b.contains(v) {
		p.addErrorAt(path, w, b.describe())
		return b.defaultValue
	}
	return v
}

func (p *parser) duration(path string, b numberRange) logic.Micros {
	return logic.Micros(p.number(path, b))
}

func (p *parser) boolean(path string) bool { return p.parseBoolean(path, p.text(path)) }

func (p *parser) parseBoolean(path, w string) bool {
	switch w {
	case "true", "1":
		return true
	case "", "-", "false", "0":
	default:
		p.addErrorAt(path, w, "true or false is wanted")
	}
	return false
}

// oneOf is one of several words; the zero value where it is absent.
func oneOf[V any](p *parser, path string, words map[string]V) V {
	w := p.text(path)
	v, known := words[w]
	if !known && w != "" {
		p.addError(path, "one of "+strings.Join(slices.Sorted(maps.Keys(words)), ", ")+" is wanted")
	}
	return v
}

// listLength is the length of a list of objects: as told, or else as many as follow one another from 0 on.
func (p *parser) listLength(path string, least, most float64) int {
	if p.text(path+".count") != "" {
		n := p.number(path+".count", numberRange{min: least, max: most, integer: true, reason: "the length of the list"})
		return min(int(n), len(p.values))
	}
	if w := p.text(path); w != "" {
		p.addError(path, "a list of objects is wanted")
		return 0
	}
	n := 0
	for n <= int(most) && p.hasPrefix(fmt.Sprintf("%s.%d.", path, n)) {
		n++
	}
	if float64(n) < least || float64(n) > most {
		p.addError(path, fmt.Sprintf("a list of %s to %s objects is wanted", formatNumber(least), formatNumber(most)))
		return 0
	}
	return n
}

// hasPrefix says whether there are values under a path.
func (p *parser) hasPrefix(prefix string) bool {
	for path := range p.values {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// addName takes the name of a list's item into the vocabulary.
func (p *parser) addName(path string, i int, names map[string]int) {
	name := p.text(path)
	if _, taken := names[name]; taken {
		p.addError(path, "another has this name: each needs its own")
	}
	if name == "" {
		p.addError(path, "a name is needed: requests carry it")
	}
	names[name] = i
}

// listItem is the i-th value of a list of plain values; empty where there is none.
func (p *parser) listItem(path string, i int) string {
	list := strings.Split(p.text(path), ",")
	if i >= len(list) {
		return ""
	}
	return list[i]
}
