package fleetrig

import (
	"fmt"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
)

// checkProcessEvents checks the processes' events, waiting up to the recovery time for the last desired states to be applied.
func (f *testFleet) checkProcessEvents(r *Report, w *workload) {
	var most time.Duration // overlap of two holders' beliefs: none while clocks stay within the allowed drift
	if f.Schedule.Has(Skew, Jump) {
		// The store's clock may have run ahead and the lease been granted to another. The old holder's last renewal was before that, since a
		// later one is rejected, and it believes in it for one holder duration on its own clock, which is shorter where that runs fast.
		most = store.DefaultLeaseTerms.WithDuration(f.Lease).HolderDuration()
	}
	var all []processEvent
	var wrong []string
	f.waitUntil(time.Now().Add(f.Recovery), func() bool {
		var err error
		if all, err = f.events(); err != nil {
			wrong = []string{err.Error()}
			return true
		}
		wrong = checkEvents(all, w.desired, most)
		return len(wrong) == 0
	})
	r.Violations = append(r.Violations, wrong...)
	for _, e := range all {
		if e.What == "applied" {
			r.DesiredStates++
		}
	}
	r.Spans = f.chart(all)
}

// checkEvents checks that no process believes that it holds a leased task for longer than most after another one began to under a later
// token, that each node applies its desired states in the order of their revisions, and that it has applied the last.
func checkEvents(all []processEvent, wanted map[int]desiredState, most time.Duration) (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	held := spans(all)
	for _, a := range held {
		for _, b := range held {
			if a.What == b.What && a.What != "store" && a.Node != b.Node && a.Token < b.Token && a.To > b.From.Add(most) {
				say("n%d believes that it holds %s under token %d until %v after n%d began to under token %d", a.Node, a.What, a.Token, time.Duration(a.To-b.From), b.Node, b.Token)
			}
		}
	}
	applied := map[int]faulthooks.Event{}
	for _, e := range all {
		if e.What != "applied" {
			continue
		}
		if was := applied[e.Node]; e.N <= was.N {
			say("n%d applied version %d after version %d", e.Node, e.N, was.N)
		}
		applied[e.Node] = e.Event
	}
	for node, w := range wanted {
		if e := applied[node]; e.N != w.revision || e.Out != w.out {
			say("n%d has applied version %d (out: %v), and version %d (out: %v) is wanted", node, e.N, e.Out, w.revision, w.out)
		}
	}
	return wrong
}
