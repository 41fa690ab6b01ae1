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

// bound is what a number may be, and what it is where it is absent.
type bound struct {
	least, most float64
	above       bool // above least, not least itself
	whole       bool
	needed      bool
	absent      float64
	why         string // of the bounds, and what to write
}

const (
	hour = 3600e6 // microseconds
	day  = 24 * hour

	// mostClasses and mostTenants bound the lists; each entry is looked at in every step.
	mostClasses = 256
	mostTenants = 4096
)

// The bounds, each with its reason. Spans are in microseconds.
var (
	servers   = bound{0, 1e6, false, true, false, 1, "the servers of the fleet, this one included"}
	cores     = bound{1, 4096, false, true, true, 1, "the cores on which the work runs"}
	memory    = bound{0, 1e10, true, false, true, 1, "kilobytes for held and running requests and keys"}
	runFactor = bound{0, 1e3, false, false, false, 1, "the memory of a running request over that of a held one; below 1 counts as 1"}
	keyKB     = bound{0, 1e7, false, false, false, 0, "kilobytes of one entry of the table of keys"}
	crowd     = bound{1, 1e3, false, false, false, 1e3, "requests on the cores for each core that the server survives"}
	tick      = bound{100, 1e6, false, false, false, 4000, "microseconds between two decisions: under 100 a core does nothing else, over a second answers come too late"}
	share     = bound{0, 1, false, false, false, 0, "a share"}
	overShare = bound{0, 1, false, false, false, 1, "the worth of a request over its tenant's share, as a part of its class's"}
	span      = bound{0, day, false, false, false, 0, "microseconds, a day at most"}
	window    = bound{0, 7 * day, false, false, false, 0, "microseconds, a week at most: each key is kept that long"}
	wanted    = bound{0, day, true, false, true, 1, "microseconds, a day at most, such as 2500000 for 2.5 s"}
	callsOut  = bound{0, 1e6, false, false, false, 0, "calls that this server may have in hand, in the mean"}
	stretch   = bound{0, 1e4, false, false, false, 0, "how many times its own work a request's aim grows by"}
	credit    = bound{0, 1e9, false, false, false, 1, "the worth of one request; only ratios count"}
	quota     = bound{0, 1e9, false, false, false, 1e9, "requests a second within the tenant's share, over all servers; absent: no bound"}
)

// want says the bound in words.
func (b bound) want() string {
	number, from := "a number", "from "+plain(b.least)
	if b.whole {
		number = "a whole number"
	}
	if b.above {
		from = "above " + plain(b.least)
	}
	return fmt.Sprintf("%s %s to %s is wanted (%s)", number, from, plain(b.most), b.why)
}

func plain(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func (b bound) holds(v float64) bool {
	return v >= b.least && v <= b.most && !(b.above && v == b.least) && !(b.whole && v != math.Trunc(v))
}

// Fault is one thing wrong with settings.
type Fault struct {
	Path  string // where it stands, such as "classes[0].objective"
	Value string // as given; empty: it is missing
	Want  string // the bound with its reason, and what to write instead
}

func (f Fault) Error() string {
	if f.Value == "" {
		return f.Path + " is missing: " + f.Want
	}
	return fmt.Sprintf("%s is %q: %s", f.Path, f.Value, f.Want)
}

// Faults is all that is wrong with settings.
type Faults []Fault

// told is how many faults an error spells out.
const told = 20

func (fs Faults) Error() string {
	var words []string
	for i, f := range fs {
		if i == told {
			words = append(words, fmt.Sprintf("and %d more", len(fs)-told))
			break
		}
		words = append(words, f.Error())
	}
	return strings.Join(words, "; ")
}

// Under returns the faults as they stand in a file that has the settings under a key.
func (fs Faults) Under(key string) Faults {
	under := slices.Clone(fs)
	for i := range under {
		under[i].Path = key + "." + under[i].Path
	}
	return under
}

// reader reads settings by path, and notes what is wrong with them.
type reader struct {
	values map[string]string
	faults Faults
}

// text is a value; empty where it is absent, which the simulator writes "-".
func (p *reader) text(path string) string {
	if w := p.values[path]; w != "-" {
		return w
	}
	return ""
}

// fault notes what is wrong with the value at a path.
func (p *reader) fault(path, want string) { p.faulty(path, p.text(path), want) }

func (p *reader) faulty(path, value, want string) {
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
	p.faults = append(p.faults, Fault{b.String(), value, want})
}

// number is a number within its bound; what the bound has for an absent one where it is absent or out of bounds.
func (p *reader) number(path string, b bound) float64 {
	w := p.text(path)
	if w == "" {
		if b.needed {
			p.fault(path, b.want())
		}
		return b.absent
	}
	return p.parse(path, w, b)
}

func (p *reader) parse(path, w string, b bound) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || !b.holds(v) {
		p.faulty(path, w, b.want())
		return b.absent
	}
	return v
}

func (p *reader) micros(path string, b bound) logic.Micros { return logic.Micros(p.number(path, b)) }

func (p *reader) flag(path string) bool { return p.truth(path, p.text(path)) }

func (p *reader) truth(path, w string) bool {
	switch w {
	case "true", "1":
		return true
	case "", "-", "false", "0":
	default:
		p.faulty(path, w, "true or false is wanted")
	}
	return false
}

// word is one of several words; the zero value where it is absent.
func word[V any](p *reader, path string, words map[string]V) V {
	w := p.text(path)
	v, known := words[w]
	if !known && w != "" {
		p.fault(path, "one of "+strings.Join(slices.Sorted(maps.Keys(words)), ", ")+" is wanted")
	}
	return v
}

// count is the length of a list of objects: as told, or else as many as follow one another from 0 on.
func (p *reader) count(path string, least, most float64) int {
	if p.text(path+".count") != "" {
		n := p.number(path+".count", bound{least: least, most: most, whole: true, why: "the length of the list"})
		return min(int(n), len(p.values))
	}
	if w := p.text(path); w != "" {
		p.fault(path, "a list of objects is wanted")
		return 0
	}
	n := 0
	for n <= int(most) && p.any(fmt.Sprintf("%s.%d.", path, n)) {
		n++
	}
	if float64(n) < least || float64(n) > most {
		p.fault(path, fmt.Sprintf("a list of %s to %s objects is wanted", plain(least), plain(most)))
		return 0
	}
	return n
}

// any says whether there are values under a path.
func (p *reader) any(prefix string) bool {
	for path := range p.values {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// name takes the name of a list's item into the vocabulary.
func (p *reader) name(path string, i int, names map[string]int) {
	name := p.text(path)
	if _, taken := names[name]; taken {
		p.fault(path, "another has this name: each needs its own")
	}
	if name == "" {
		p.fault(path, "a name is needed: requests carry it")
	}
	names[name] = i
}

// item is the i-th value of a list of plain values; empty where there is none.
func (p *reader) item(path string, i int) string {
	list := strings.Split(p.text(path), ",")
	if i >= len(list) {
		return ""
	}
	return list[i]
}
