package fleetrig

import (
	"fmt"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
)

// checkProcessEvents checks the processes' events. It waits up to the recovery time until the last desired states are applied.
func (f *testFleet) checkProcessEvents(r *Report, w *workload) {
	var maxOverlap time.Duration // permitted overlap of two holders' leases: none while clocks stay within the allowed drift
	if f.Schedule.Has(Skew, Jump) {
		// If the store's clock runs ahead, it may grant the lease to another node early. The old holder's last renewal was before that,
		// since a later one is rejected, and the holder relies on it for one holder duration on its own clock, which is shorter if that
		// clock is fast.
		maxOverlap = store.DefaultLeaseTerms.WithDuration(f.Lease).HolderDuration()
	}
	var all []processEvent
	var violations []string
	f.waitUntil(time.Now().Add(f.Recovery), func() bool {
		var err error
		if all, err = f.events(); err != nil {
			violations = []string{err.Error()}
			return true
		}
		violations = checkEvents(all, w.desired, maxOverlap)
		return len(violations) == 0
	})
	r.Violations = append(r.Violations, violations...)
	for _, e := range all {
		if e.What == "applied" {
			r.DesiredStates++
		}
	}
	r.Spans = f.chart(all)
}

// checkEvents checks that no process believes that it holds a leased task for longer than maxOverlap after another process acquired it
// under a later token, that each node applies its desired states in the order of their revisions, and that it has applied the last one.
func checkEvents(all []processEvent, desired map[int]desiredState, maxOverlap time.Duration) (violations []string) {
	addViolation := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	held := spans(all)
	for _, a := range held {
		for _, b := range held {
			if a.What == b.What && a.What != "store" && a.Node != b.Node && a.Token < b.Token && a.To > b.From.Add(maxOverlap) {
				addViolation("n%d believes that it holds %s under token %d until %v after n%d acquired it under token %d", a.Node, a.What,
					a.Token, time.Duration(a.To-b.From), b.Node, b.Token)
			}
		}
	}
	applied := map[int]faulthooks.Event{}
	for _, e := range all {
		if e.What != "applied" {
			continue
		}
		if was := applied[e.Node]; e.N <= was.N {
			addViolation("n%d applied version %d after version %d", e.Node, e.N, was.N)
		}
		applied[e.Node] = e.Event
	}
	for node, w := range desired {
		if e := applied[node]; e.N != w.revision || e.Out != w.out {
			addViolation("n%d has applied version %d (out: %v), but its desired state is version %d (out: %v)", node, e.N, e.Out,
				w.revision, w.out)
		}
	}
	return violations
}
