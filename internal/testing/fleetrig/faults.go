package fleetrig

import (
	"fmt"
	"syscall"
	"time"
)

// Sizes of the injected faults.
const (
	linkDelay     = 100 * time.Millisecond // added to each direction of a slow link
	clockJump     = time.Hour              // by which a jump sets a clock forward
	fastClockRate = 1.05                   // rate of a fast clock relative to the machine's
)

// injectFault begins a fault and returns the function that ends it. A process fault has no effect on a node whose process is already down
// or stopped.
func (f *testFleet) injectFault(x Fault) (end func()) {
	f.logf("%v", x)
	switch x.Kind {
	case Cut, Deaf, Mute, Slow, Twice, Reset, Isolate:
		return f.injectLinkFault(x)
	case Drag, Full:
		return f.injectDiskFault(x)
	case Skew, Jump:
		return f.injectClockFault(x)
	case Stop, Kill, Leave:
		return f.injectProcessFault(x)
	case Older:
		if copied := f.copyStore(x.Nodes[0]); copied != "" {
			return func() { f.restoreStore(x.Nodes[0], copied) }
		}
	}
	return func() {}
}

// linkFault is a fault of some links: begin and end are called on each with the link's lock held.
type linkFault struct {
	begin, end func(l *link)
}

// linkFaults maps each kind of link fault to its effect on a link. Isolating a node cuts all its links.
var linkFaults = map[Kind]linkFault{
	Cut:     {func(l *link) { l.cutFaults++ }, func(l *link) { l.cutFaults-- }},
	Isolate: {func(l *link) { l.cutFaults++ }, func(l *link) { l.cutFaults-- }},
	Deaf:    {func(l *link) { l.deafFaults++ }, func(l *link) { l.deafFaults-- }},
	Mute:    {func(l *link) { l.muteFaults++ }, func(l *link) { l.muteFaults-- }},
	Slow:    {func(l *link) { l.delay += linkDelay }, func(l *link) { l.delay -= linkDelay }},
	Twice:   {func(l *link) { l.duplicateFaults++ }, func(l *link) { l.duplicateFaults-- }},
	Reset:   {func(l *link) { l.reset() }, func(*link) {}},
}

func (f *testFleet) injectLinkFault(x Fault) (end func()) {
	var links []*link
	if x.Kind == Isolate {
		for i := range f.Nodes {
			if i != x.Nodes[0] {
				links = append(append(links, f.linksBetween(i, x.Nodes[0])...), f.linksBetween(x.Nodes[0], i)...)
			}
		}
	} else {
		links = f.linksBetween(x.Nodes[0], x.Nodes[1])
	}
	fault := linkFaults[x.Kind]
	for _, l := range links {
		l.change(func() { fault.begin(l) })
	}
	return func() {
		for _, l := range links {
			l.change(func() { fault.end(l) })
		}
	}
}

func (f *testFleet) injectDiskFault(x Fault) (end func()) {
	node := x.Nodes[0]
	if x.Kind == Drag {
		f.setDisk(node, "slow 50ms")
		return func() { f.setDisk(node, "") }
	}
	f.addFullDisk(node, 1)
	f.setDisk(node, "full")
	return func() {
		f.setDisk(node, "")
		f.addFullDisk(node, -1)
		f.restart(node) // its ledger accepts no writes after a failed one
	}
}

// injectClockFault makes a clock run fast until the end of the fault, or jump ahead permanently.
func (f *testFleet) injectClockFault(x Fault) (end func()) {
	node := x.Nodes[0]
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.clocks[node]
	if x.Kind == Jump {
		c.offset += clockJump
		f.setClock(node, *c)
		return func() {}
	}
	c.fastFaults++
	f.setClock(node, *c)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.clocks[node].fastFaults--
		f.setClock(node, f.clocks[node])
	}
}

func (f *testFleet) injectProcessFault(x Fault) (end func()) {
	node := x.Nodes[0]
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.procs[node] == nil || f.faulted[node] {
		return func() {} // it has a process fault already
	}
	f.faulted[node] = true
	switch x.Kind {
	case Kill:
		f.kill(node)
	case Leave:
		f.shutDown(node)
	default:
		f.procs[node].signal(syscall.SIGSTOP)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.faulted[node] = false
		if x.Kind == Stop {
			f.procs[node].signal(syscall.SIGCONT)
		} else if err := f.start(node); err != nil {
			f.failures = append(f.failures, err.Error())
		}
	}
}

// addFullDisk changes the number of active faults that fill a node's disk.
func (f *testFleet) addFullDisk(i, more int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fullDisks[i] += more
}

// setClock sets a process's clock offset and rate; the caller holds mu.
func (f *testFleet) setClock(i int, c clock) {
	rate := 1.0
	if c.fastFaults > 0 {
		rate = fastClockRate
	}
	if err := f.writeHook(i, "clock", fmt.Sprintf("%v %v", c.offset, rate)); err != nil {
		f.failures = append(f.failures, err.Error())
	}
}

// restart kills a process and starts it again, unless it has another fault already.
func (f *testFleet) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.procs[i] == nil || f.faulted[i] {
		return
	}
	f.kill(i)
	if err := f.start(i); err != nil {
		f.failures = append(f.failures, err.Error())
	}
}
