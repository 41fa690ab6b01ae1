package node

// Counts are totals since the start, for the log.
type Counts struct {
	Read, Served, Rejected, Failed, Canceled, DeadlineExpired, Coalesced, Started int
	Restored, RecordFailures                                                      int // bookings of an earlier process; starts that could not be recorded
	WaitedElsewhere, ServedFromElsewhere                                          int // tries that waited for another process's run; answered with what came of one
}

// ClassCounts are what one class of requests came to since the start: the figures that operators read.
type ClassCounts struct {
	Served, Rejected, Failed int // final answers of each kind
	Started                  int // runs handed to the runner
}

// countsOf is the counts of r's class, made where there are none yet.
func (n *Node) countsOf(r *request) *ClassCounts {
	return n.countsByName(n.opts.Settings.Classes[r.Class].Name, true)
}

// countsByName is the counts of a class by name, made where there are none yet and it is a class of the settings (known)
// or there is room for more names; nil otherwise.
func (n *Node) countsByName(name string, known bool) *ClassCounts {
	c := n.classCounts[name]
	if c == nil && (known || len(n.classCounts) < maxCountedClasses) {
		c = &ClassCounts{}
		n.classCounts[name] = c
	}
	return c
}

// maxCountedClasses bounds the names of classes counted, those that callers made up included.
const maxCountedClasses = 512

// CountUnknownClass counts a request that a front refused for a class that the settings do not name, under that name, as
// long as there is room for more names; balancers learn of a retuning late.
func (n *Node) CountUnknownClass(class string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.countsByName(class, false); c != nil {
		c.Rejected++
	}
}

// CountsByClass returns the counts of each class named in the settings, and of any other that has counts, by name.
func (n *Node) CountsByClass() map[string]ClassCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]ClassCounts, len(n.classCounts))
	for _, c := range n.opts.Settings.Classes {
		out[c.Name] = ClassCounts{}
	}
	for name, c := range n.classCounts {
		out[name] = *c
	}
	return out
}

// InFlight is how many requests run, and how many wait here to be run.
func (n *Node) InFlight() (running, held int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.byNumber {
		switch {
		case r.stage == stageRunning:
			running++
		case r.stage != stageCoalesced && r.stage != stageEnded:
			held++
		}
	}
	return running, held
}

// Totals are the counts so far, and the requests in hand.
func (n *Node) Totals() (c Counts, hand, keys int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts, len(n.byNumber), len(n.keys.entries)
}
