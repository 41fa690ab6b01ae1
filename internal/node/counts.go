package node

// Counts holds totals since the start of the process, for the log and the metrics.
type Counts struct {
	Read                     int
	Served, Rejected, Failed int // final responses
	Canceled                 int // by their callers, before a response
	DeadlineExpired          int // answered by the deadline guard
	Coalesced, Started       int // attempts that waited for their key's run; runs passed to the runner
	Restored, RecordFailures int // runs restored from earlier processes; starts that could not be recorded
	WaitedElsewhere          int // attempts that waited for a run in another process
	ServedFromElsewhere      int // attempts served with the result of a run in another process
}

// ClassCounts holds totals of one class since the start of the process.
type ClassCounts struct {
	Served, Rejected, Failed int // final responses
	Started                  int // runs passed to the runner
}

// maxCountedClasses limits the number of classes that are counted, since callers may send arbitrary class names.
const maxCountedClasses = 512

// countsOf returns the counts of the request's class.
func (n *Node) countsOf(r *request) *ClassCounts {
	return n.countsByName(n.opts.Settings.Classes[r.Class].Name, true)
}

// countsByName returns the counts of a class, or nil if the class is not in the settings (known) and maxCountedClasses
// classes are counted already.
func (n *Node) countsByName(name string, known bool) *ClassCounts {
	c := n.classCounts[name]
	if c == nil && (known || len(n.classCounts) < maxCountedClasses) {
		c = &ClassCounts{}
		n.classCounts[name] = c
	}
	return c
}

// CountUnknownClass counts a request that a front end rejected because its class is not in the settings, for up to
// maxCountedClasses names. Such requests occur while balancers have not yet learned of a reconfiguration.
func (n *Node) CountUnknownClass(class string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.countsByName(class, false); c != nil {
		c.Rejected++
	}
}

// CountsByClass returns the counts by class name, for all classes of the settings and all other counted classes.
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

// InFlight returns the number of running requests and the number of requests that wait to run in this process.
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

// Totals returns the counts, the number of requests reported to admission and the number of keys in the key table.
func (n *Node) Totals() (c Counts, inFlight, keys int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts, len(n.byNumber), len(n.keys.entries)
}
