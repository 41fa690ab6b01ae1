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

// The kinds of fault. Faults of a link take two nodes, first the one that opens the connections.
const (
	Cut     Kind = "cut"     // the link's connections are reset, and new ones are closed
	Deaf    Kind = "deaf"    // bytes to the first node are held back
	Mute    Kind = "mute"    // bytes from the first node are held back
	Slow    Kind = "slow"    // 0.1 s of extra delay in each direction
	Reset   Kind = "reset"   // connections are reset; new ones work
	Isolate Kind = "isolate" // all links from and to a node are cut
	Stop    Kind = "stop"    // a process is stopped by SIGSTOP, and continued
	Kill    Kind = "kill"    // a process is killed, and started again
	Leave   Kind = "leave"   // a process gets SIGTERM, exits, and is started again
	Twice   Kind = "twice"   // new connections to the second node are duplicated; the answers of the copy are discarded
	Drag    Kind = "drag"    // each flush of a node's disk takes 50 ms longer
	Full    Kind = "full"    // a node's disk is full; afterwards the node is killed and started again
	Skew    Kind = "skew"    // a node's clocks run 5% fast
	Jump    Kind = "jump"    // a node's clocks are set an hour ahead permanently
	Older   Kind = "older"   // a member is started on an older copy of its store; once excluded it is removed and added again
)

// kinds maps each kind of fault to the number of nodes that it names.
var kinds = map[Kind]int{Cut: 2, Deaf: 2, Mute: 2, Slow: 2, Reset: 2, Isolate: 1, Stop: 1, Kill: 1, Leave: 1,
	Twice: 2, Drag: 1, Full: 1, Skew: 1, Jump: 1, Older: 1}

// Fault is a fault at a time since the run's start. The Nodes of a link fault are the node that connects and its peer.
type Fault struct {
	At, Length time.Duration
	Kind       Kind
	Nodes      []int
}

// String returns the fault in the form of a schedule file, such as "1.2s stop n1 for 2s".
func (f Fault) String() string {
	s := fmt.Sprintf("%v %s", f.At, f.Kind)
	for _, n := range f.Nodes {
		s += fmt.Sprintf(" n%d", n)
	}
	return s + fmt.Sprintf(" for %v", f.Length)
}

// Schedule is a list of faults in the order of their start.
type Schedule []Fault

func (s Schedule) String() string {
	var b strings.Builder
	for _, f := range s {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// Longest is the longest permitted run.
const Longest = 10 * time.Minute

// ParseSchedule parses a schedule in the form that String returns, for the given number of nodes. Lines that begin with # are comments.
// Errors name the line and the expected form.
func ParseSchedule(text string, nodes int) (s Schedule, err error) {
	lines := bufio.NewScanner(strings.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		f, err := parse(words, nodes)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w; expected a form such as \"1.2s stop n1 for 2s\" or \"500ms cut n0 n2 for 1s\"", n, err)
		}
		s = append(s, f)
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s, lines.Err()
}

func parse(words []string, nodes int) (f Fault, err error) {
	if len(words) < 2 {
		return f, fmt.Errorf("expected a time and a fault")
	}
	if f.At, err = time.ParseDuration(words[0]); err != nil {
		return f, err
	}
	f.Kind = Kind(words[1])
	takes, known := kinds[f.Kind]
	if !known {
		return f, fmt.Errorf("unknown fault %q", words[1])
	}
	if len(words) != 2+takes+2 || words[2+takes] != "for" {
		return f, fmt.Errorf("%s takes %d nodes, \"for\" and a time", f.Kind, takes)
	}
	for _, w := range words[2 : 2+takes] {
		var n int
		if _, err := fmt.Sscanf(w, "n%d", &n); err != nil || n < 0 || n >= nodes {
			return f, fmt.Errorf("unknown node %q: expected n0 to n%d", w, nodes-1)
		}
		f.Nodes = append(f.Nodes, n)
	}
	if takes == 2 && f.Nodes[0] == f.Nodes[1] {
		return f, fmt.Errorf("a link is between two different nodes")
	}
	if f.Length, err = time.ParseDuration(words[3+takes]); err != nil {
		return f, err
	}
	if f.At < 0 || f.Length < 0 || f.At+f.Length > Longest {
		return f, fmt.Errorf("the start or the end of the fault is out of range: expected 0 to %v", Longest)
	}
	return f, nil
}

// Has reports whether a schedule has a fault of one of the kinds.
func (s Schedule) Has(k ...Kind) bool {
	return slices.ContainsFunc(s, func(f Fault) bool { return slices.Contains(k, f.Kind) })
}

// Draw derives a schedule from a seed: about two faults per second, some of them longer than a lease. The first nodes are the store's
// members. One schedule in four rolls a member's store back to an older copy. No other process is killed in such a schedule, because then
// no member might be left that remembers the lost writes (docs/design/fleet.md). A change of the order of the draws changes the schedule of
// every seed.
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
