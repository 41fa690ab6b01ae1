package fleetrig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"sloehitch/internal/control/lease"
)

// Outages runs a fleet and repeatedly injects the same fault into the holder of the sweep task's lease. It returns the sorted times from
// each fault's start until another node ran the task. It does not use the options' Schedule and Length.
func Outages(o Options, kind Kind, repeats int) (took []time.Duration, err error) {
	if !slices.Contains([]Kind{Kill, Stop, Leave, Isolate}, kind) || repeats < 1 {
		return nil, errors.New("unsupported fault or number of repeats: expected kill, stop, leave or isolate, and 1 repeat or more")
	}
	f := &testFleet{Options: o, startedAt: time.Now()}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	for i := range repeats {
		if !f.waitUntil(time.Now().Add(o.Recovery), f.healthy) {
			return took, fmt.Errorf("after %d of %d faults: the fleet was not healthy within %v: %s", i, repeats, o.Recovery,
				f.unhealthyReason())
		}
		owner, _, err := f.sweepOwner(-1, 0)
		if err != nil {
			return took, err
		}
		time.Sleep(time.Duration(i%10) * o.Lease / 10) // so that faults occur at different times within a lease
		from := lease.Now()
		endFault := f.injectFault(Fault{Kind: kind, Nodes: []int{owner}})
		var at lease.Instant
		found := f.waitUntil(time.Now().Add(o.Recovery), func() bool {
			_, at, err = f.sweepOwner(owner, from)
			return err == nil && at > 0
		})
		endFault()
		if !found {
			return took, fmt.Errorf("no node took over the leased task of n%d within %v: %w", owner, o.Recovery,
				cmp.Or(err, errors.New("no event of the task by another node")))
		}
		took = append(took, time.Duration(at-from))
		f.logf("%s n%d: another node ran the task after %v", kind, owner, took[len(took)-1].Round(time.Millisecond))
	}
	slices.Sort(took)
	return took, nil
}

// sweepOwner returns the node that ran the sweep task last and the time of that run. If after is set, it returns the first run after that
// time instead. Runs of the node other are ignored. The time is 0 if there is no such run.
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
