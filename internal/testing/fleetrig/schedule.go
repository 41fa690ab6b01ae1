package fleetrig

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The faults. Those of a link take two nodes, the one that makes the connections first.
const (
	Cut     Kind = "cut"     // the link ends what it carries and takes nothing
	Deaf    Kind = "deaf"    // what the first sends arrives; it hears nothing back
	Mute    Kind = "mute"    // what the first sends does not arrive
	Slow    Kind = "slow"    // everything takes 0.1 s longer each way
	Reset   Kind = "reset"   // connections end midway; new ones are taken
	Isolate Kind = "isolate" // all links of one node are cut, both ways
	Stop    Kind = "stop"    // a process stands still, and goes on
	Kill    Kind = "kill"    // a process is killed, and started again on its folder
	Leave   Kind = "leave"   // a process is told to leave, goes by itself, and is started again
	Twice   Kind = "twice"   // connections that are made meanwhile reach the second twice; the answers of one of them count
	Drag    Kind = "drag"    // each flush of a node's disk takes 50 ms longer
	Full    Kind = "full"    // a node's disk takes no more writes; it is killed and started again with room after it
	Skew    Kind = "skew"    // a node's clocks run 5% fast
	Jump    Kind = "jump"    // a node's clocks are an hour ahead from then on
	Older   Kind = "older"   // a node is killed, and started on a copy of its folder from before; then it is added anew
)

// kinds says how many nodes each takes.
var kinds = map[Kind]int{Cut: 2, Deaf: 2, Mute: 2, Slow: 2, Reset: 2, Isolate: 1, Stop: 1, Kill: 1, Leave: 1,
	Twice: 2, Drag: 1, Full: 1, Skew: 1, Jump: 1, Older: 1}

// Fault is one thing that goes wrong.
type Fault struct {
	At, Length time.Duration
	Kind       Kind
	Nodes      []int
}

// String is the fault as it stands in a file: "1.2s stop n1 for 2s".
func (f Fault) String() string {
	s := fmt.Sprintf("%v %s", f.At, f.Kind)
	for _, n := range f.Nodes {
		s += fmt.Sprintf(" n%d", n)
	}
	return s + fmt.Sprintf(" for %v", f.Length)
}

// Schedule is what goes wrong, in time.
type Schedule []Fault

func (s Schedule) String() string {
	var b strings.Builder
	for _, f := range s {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// Longest bounds a schedule.
const Longest = 10 * time.Minute

// ParseSchedule reads a schedule as it is printed, for so many nodes; lines that begin with # are passed over. An error
// names the line and what it should be.
func ParseSchedule(text string, nodes int) (s Schedule, err error) {
	lines := bufio.NewScanner(strings.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		f, err := parse(words, nodes)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w; write such as \"1.2s stop n1 for 2s\" or \"500ms cut n0 n2 for 1s\"", n, err)
		}
		s = append(s, f)
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s, lines.Err()
}

func parse(words []string, nodes int) (f Fault, err error) {
	if len(words) < 2 {
		return f, fmt.Errorf("a time and a fault are wanted")
	}
	if f.At, err = time.ParseDuration(words[0]); err != nil {
		return f, err
	}
	f.Kind = Kind(words[1])
	takes, known := kinds[f.Kind]
	if !known {
		return f, fmt.Errorf("no fault %q", words[1])
	}
	if len(words) != 2+takes+2 || words[2+takes] != "for" {
		return f, fmt.Errorf("%s takes %d nodes, \"for\" and a time", f.Kind, takes)
	}
	for _, w := range words[2 : 2+takes] {
		var n int
		if _, err := fmt.Sscanf(w, "n%d", &n); err != nil || n < 0 || n >= nodes {
			return f, fmt.Errorf("%q is none of n0 to n%d", w, nodes-1)
		}
		f.Nodes = append(f.Nodes, n)
	}
	if takes == 2 && f.Nodes[0] == f.Nodes[1] {
		return f, fmt.Errorf("a link is between two nodes")
	}
	if f.Length, err = time.ParseDuration(words[3+takes]); err != nil {
		return f, err
	}
	if f.At < 0 || f.Length < 0 || f.At+f.Length > Longest {
		return f, fmt.Errorf("0 to %v are wanted", Longest)
	}
	return f, nil
}

// Has says whether a kind of fault is in a schedule.
func (s Schedule) Has(k ...Kind) bool {
	return slices.ContainsFunc(s, func(f Fault) bool { return slices.Contains(k, f.Kind) })
}

// Draw draws a schedule by seed, for nodes of which the first so many are members of the store: about two faults a second of it, some of them longer than a lease. One in four has a node put back to
// an older copy of its folder; nobody is killed beside it, since nobody would be left that remembers (docs/design/fleet.md).
func Draw(seed uint64, nodes, members int, length, lease time.Duration) (s Schedule) {
	r := rand.New(rand.NewPCG(seed, 7))
	all := []Kind{Cut, Deaf, Mute, Slow, Reset, Isolate, Stop, Kill, Leave, Twice, Drag, Full, Skew, Jump}
	older := r.IntN(4) == 0
	for at := time.Duration(r.Float64() * 5e8); at < length; at += time.Duration(r.ExpFloat64() * 5e8) {
		f := Fault{At: at.Round(time.Millisecond), Kind: all[r.IntN(len(all))]}
		f.Length = min(time.Duration(r.Float64()*2*float64(lease)), length-at).Round(time.Millisecond)
		if f.Nodes = r.Perm(nodes)[:kinds[f.Kind]]; len(f.Nodes) == 2 && f.Nodes[1] >= members { // links lead to members
			f.Nodes[1] %= members
			if f.Nodes[1] == f.Nodes[0] {
				f.Nodes[1] = (f.Nodes[1] + 1) % members
			}
		}
		if older && (f.Kind == Kill || f.Kind == Leave || f.Kind == Full) {
			f.Kind = Stop
		}
		s = append(s, f)
	}
	if older {
		at := time.Duration((0.3 + 0.4*r.Float64()) * float64(length)).Round(time.Millisecond)
		s = append(s, Fault{At: at, Length: lease, Kind: Older, Nodes: r.Perm(members)[:1]})
		slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	}
	return s
}
