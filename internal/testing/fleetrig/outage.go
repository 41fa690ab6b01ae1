package fleetrig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"sloehitch/internal/control/lease"
)

// Outages runs a fleet and injects the same fault repeatedly into the holder of the sweep task's lease. It returns, sorted, the times from
// each fault's start until another node ran the task. The options' Schedule and Length are not used.
func Outages(o Options, kind Kind, repeats int) (took []time.Duration, err error) {
	if !slices.Contains([]Kind{Kill, Stop, Leave, Isolate}, kind) || repeats < 1 {
		return nil, errors.New("kill, stop, leave or isolate is wanted, once or more")
	}
	f := &testFleet{Options: o, startedAt: time.Now()}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	for i := range repeats {
		if !f.waitUntil(time.Now().Add(o.Recovery), f.healthy) {
			return took, fmt.Errorf("%d of %d: the fleet was not healthy %v later: %s", i, repeats, o.Recovery, f.unhealthyReason())
		}
		owner, _, err := f.sweepOwner(-1, 0)
		if err != nil {
			return took, err
		}
		time.Sleep(time.Duration(i%10) * o.Lease / 10) // at different times of a lease
		from := lease.Now()
		over := f.injectFault(Fault{Kind: kind, Nodes: []int{owner}})
		var at lease.Instant
		found := f.waitUntil(time.Now().Add(o.Recovery), func() bool {
			_, at, err = f.sweepOwner(owner, from)
			return err == nil && at > 0
		})
		over()
		if !found {
			return took, fmt.Errorf("no node took over the leased task of n%d within %v: %w", owner, o.Recovery, cmp.Or(err, errors.New("no event")))
		}
		took = append(took, time.Duration(at-from))
		f.logf("%s n%d: another node ran the task after %v", kind, owner, took[len(took)-1].Round(time.Millisecond))
	}
	slices.Sort(took)
	return took, nil
}

// sweepOwner returns the node that ran the sweep last and when, or, where after is set, the first one but other that did after it; an
// instant of 0: none.
func (f *testFleet) sweepOwner(other int, after lease.Instant) (node int, at lease.Instant, err error) {
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
