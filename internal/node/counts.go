package node

// Counts are totals since the start, for the log.
type Counts struct {
	Read, Served, Refused, Failed, Gone, Late, Joined, Ran int
	Restored, Unrecorded                                   int // bookings of an earlier process; starts that could not be recorded
	Abroad, Shared                                         int // tries that waited for another process's run; answered with what came of one
}

// ClassCounts are what one class of requests came to since the start: the figures that operators read.
type ClassCounts struct {
	Served, Refused, Failed int // final answers of each kind
	Ran                     int // runs handed to the runner
}

// class is the counts of r's class, made where there are none yet.
func (n *Node) class(r *request) *ClassCounts {
	return n.named(n.opts.Settings.Classes[r.Class].Name, true)
}

// named is the counts of a class by name, made where there are none yet and it is a class of the settings (known)
// or there is room for more names; nil otherwise.
func (n *Node) named(name string, known bool) *ClassCounts {
	c := n.classes[name]
	if c == nil && (known || len(n.classes) < mostNames) {
		c = &ClassCounts{}
		n.classes[name] = c
	}
	return c
}

// mostNames bounds the names of classes counted, those that callers made up included.
const mostNames = 512

// Unknown counts a request that a front refused for a class that the settings do not name, under that name, as
// long as there is room for more names; balancers learn of a retuning late.
func (n *Node) Unknown(class string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.named(class, false); c != nil {
		c.Refused++
	}
}

// Classes returns the counts of each class named in the settings, and of any other that has counts, by name.
func (n *Node) Classes() map[string]ClassCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]ClassCounts, len(n.classes))
	for _, c := range n.opts.Settings.Classes {
		out[c.Name] = ClassCounts{}
	}
	for name, c := range n.classes {
		out[name] = *c
	}
	return out
}

// Hand is how many requests run, and how many wait here to be run.
func (n *Node) Hand() (running, held int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.byNum {
		switch {
		case r.stage == runs:
			running++
		case r.stage != joined && r.stage != ended:
			held++
		}
	}
	return running, held
}

// Totals are the counts so far, and the requests in hand.
func (n *Node) Totals() (c Counts, hand, keys int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts, len(n.byNum), len(n.keys.entries)
}
