package fleetrig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"sloehitch/internal/control/lease"
)

// Outages plays a fleet in which the node that does the sweep has the same fault again and again, and returns for each time how long it
// took from the fault's beginning until another node was at the duty. Options' Schedule and Length don't count.
func Outages(o Options, kind Kind, repeats int) (took []time.Duration, err error) {
	if !slices.Contains([]Kind{Kill, Stop, Leave, Isolate}, kind) || repeats < 1 {
		return nil, errors.New("kill, stop, leave or isolate is wanted, once or more")
	}
	f := &processes{Options: o, begun: time.Now()}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	for i := range repeats {
		if !f.until(time.Now().Add(o.Recovery), f.whole) {
			return took, fmt.Errorf("%d of %d: the fleet was not at work %v later: %s", i, repeats, o.Recovery, f.missing())
		}
		owner, _, err := f.sweeper(-1, 0)
		if err != nil {
			return took, err
		}
		time.Sleep(time.Duration(i%10) * o.Lease / 10) // at any time between two jobs
		from := lease.Now()
		over := f.injectFault(Fault{Kind: kind, Nodes: []int{owner}})
		var at lease.Instant
		found := f.until(time.Now().Add(o.Recovery), func() bool {
			_, at, err = f.sweeper(owner, from)
			return err == nil && at > 0
		})
		over()
		if !found {
			return took, fmt.Errorf("nobody took the duty of n%d within %v: %w", owner, o.Recovery, cmp.Or(err, errors.New("no event")))
		}
		took = append(took, time.Duration(at-from))
		f.say("%s n%d: another was at the duty after %v", kind, owner, took[len(took)-1].Round(time.Millisecond))
	}
	slices.Sort(took)
	return took, nil
}

// sweeper is who was last at the sweep, or with an instant the first other than a node after it, and when; 0: nobody.
func (f *processes) sweeper(other int, after lease.Instant) (node int, at lease.Instant, err error) {
	all, err := f.events()
	for _, e := range all {
		if e.What != "does" || e.Duty != "sweep" || e.At < after || e.Node == other {
			continue
		}
		node, at = e.Node, e.At
		if after > 0 {
			break
		}
	}
	return node, at, err
}
