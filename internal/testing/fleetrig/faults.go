package fleetrig

import (
	"fmt"
	"syscall"
	"time"
)

// Sizes of the injected faults.
const (
	linkDelay     = 100 * time.Millisecond // that a slow link adds to each direction
	clockJump     = time.Hour              // that a jumping clock goes ahead by
	fastClockRate = 1.05                   // seconds that a fast clock counts in a second
)

// injectFault begins a fault and returns the function that ends it. A process fault on a node whose process is already down or stopped does
// nothing.
func (f *processes) injectFault(x Fault) (end func()) {
	f.say("%v", x)
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

// linkFaults is what each kind of fault does to a link; an isolated node is one with all its links cut.
var linkFaults = map[Kind]linkFault{
	Cut:     {func(l *link) { l.cut++ }, func(l *link) { l.cut-- }},
	Isolate: {func(l *link) { l.cut++ }, func(l *link) { l.cut-- }},
	Deaf:    {func(l *link) { l.back++ }, func(l *link) { l.back-- }},
	Mute:    {func(l *link) { l.there++ }, func(l *link) { l.there-- }},
	Slow:    {func(l *link) { l.delay += linkDelay }, func(l *link) { l.delay -= linkDelay }},
	Twice:   {func(l *link) { l.twice++ }, func(l *link) { l.twice-- }},
	Reset:   {func(l *link) { l.reset() }, func(*link) {}},
}

func (f *processes) injectLinkFault(x Fault) (end func()) {
	var links []*link
	if x.Kind == Isolate {
		for i := range f.Nodes {
			if i != x.Nodes[0] {
				links = append(append(links, f.linked(i, x.Nodes[0])...), f.linked(x.Nodes[0], i)...)
			}
		}
	} else {
		links = f.linked(x.Nodes[0], x.Nodes[1])
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

func (f *processes) injectDiskFault(x Fault) (end func()) {
	node := x.Nodes[0]
	if x.Kind == Drag {
		f.tellDisk(node, "slow 50ms")
		return func() { f.tellDisk(node, "") }
	}
	f.addFullDisk(node, 1)
	f.tellDisk(node, "full")
	return func() {
		f.tellDisk(node, "")
		f.addFullDisk(node, -1)
		f.restart(node) // its ledger takes no writes since one failed
	}
}

// injectClockFault has a clock run fast until the end of the fault, or jump ahead for good.
func (f *processes) injectClockFault(x Fault) (end func()) {
	node := x.Nodes[0]
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.clocks[node]
	if x.Kind == Jump {
		c.ahead += clockJump
		f.tellClock(node, *c)
		return func() {}
	}
	c.fast++
	f.tellClock(node, *c)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.clocks[node].fast--
		f.tellClock(node, f.clocks[node])
	}
}

func (f *processes) injectProcessFault(x Fault) (end func()) {
	node := x.Nodes[0]
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.procs[node] == nil || f.still[node] {
		return func() {} // it has its fault already
	}
	f.still[node] = true
	switch x.Kind {
	case Kill:
		f.end(node)
	case Leave:
		f.leave(node)
	default:
		f.procs[node].signal(syscall.SIGSTOP)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.still[node] = false
		if x.Kind == Stop {
			f.procs[node].signal(syscall.SIGCONT)
		} else if err := f.start(node); err != nil {
			f.wrong = append(f.wrong, err.Error())
		}
	}
}

// addFullDisk adds to the number of faults that have a node's disk full.
func (f *processes) addFullDisk(i, more int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full[i] += more
}

// tellClock has a process see its clocks so; the caller holds mu.
func (f *processes) tellClock(i int, c clock) {
	rate := 1.0
	if c.fast > 0 {
		rate = fastClockRate
	}
	if err := f.put(i, "clock", fmt.Sprintf("%v %v", c.ahead, rate)); err != nil {
		f.wrong = append(f.wrong, err.Error())
	}
}

// restart kills a process and starts it on its folder, unless it has another fault already.
func (f *processes) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.procs[i] == nil || f.still[i] {
		return
	}
	f.end(i)
	if err := f.start(i); err != nil {
		f.wrong = append(f.wrong, err.Error())
	}
}
