package node

// Counts are totals since the start, for the log and the metrics.
type Counts struct {
	Read                     int
	Served, Rejected, Failed int // final responses
	Canceled                 int // by their callers, before a response
	DeadlineExpired          int // answered by the deadline guard
	Coalesced, Started       int // attempts that waited for their key's run; runs handed to the runner
	Restored, RecordFailures int // runs of earlier processes; starts that could not be recorded
	WaitedElsewhere          int // attempts that waited for a run in another process
	ServedFromElsewhere      int // attempts served with the result of a run in another process
}

// ClassCounts are totals of one class since the start.
type ClassCounts struct {
	Served, Rejected, Failed int // final responses
	Started                  int // runs handed to the runner
}

// maxCountedClasses bounds the names of classes that are counted, among them those that callers made up.
const maxCountedClasses = 512

// countsOf returns the counts of r's class.
func (n *Node) countsOf(r *request) *ClassCounts {
	return n.countsByName(n.opts.Settings.Classes[r.Class].Name, true)
}

// countsByName returns the counts of a class, or nil if it is no class of the settings (known) and there is no space
// for more.
func (n *Node) countsByName(name string, known bool) *ClassCounts {
	c := n.classCounts[name]
	if c == nil && (known || len(n.classCounts) < maxCountedClasses) {
		c = &ClassCounts{}
		n.classCounts[name] = c
	}
	return c
}

// CountUnknownClass counts a request that a front end rejected for a class that the settings do not name, as long as
// there is space for more names. (Balancers learn of a reconfiguration late.)
func (n *Node) CountUnknownClass(class string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.countsByName(class, false); c != nil {
		c.Rejected++
	}
}

// CountsByClass returns the counts of each class of the settings, and of any other that has counts, by name.
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

// InFlight returns how many requests run, and how many wait here to be run.
func (n *Node) InFlight() (running, queued int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.byNumber {
		switch {
		case r.stage == stageRunning:
			running++
		case r.stage != stageCoalesced && r.stage != stageEnded:
			queued++
		}
	}
	return running, queued
}

// Totals returns the counts so far, the number of requests that admission knows and the number of keys in the table.
func (n *Node) Totals() (c Counts, inFlight, keys int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts, len(n.byNumber), len(n.keys.entries)
}
