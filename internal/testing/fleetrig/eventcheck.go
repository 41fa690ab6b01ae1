package fleetrig

import (
	"fmt"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
)

// checkTold holds what the processes told to what was promised, once the last wishes had time to be applied.
func (f *processes) checkTold(r *Report, w *work) {
	var most time.Duration // one believes while another does: not at all, where clocks are wrong by no more than was allowed for
	if f.Schedule.Has(Skew, Jump) {
		// The store's clock may have run ahead and the lease been granted anew. The holder asked last before that, since a renewal asked
		// for later is refused, and counts for one hold from then on, on its own clock: sooner by true time where that one runs fast.
		most = store.DefaultLeaseTerms.WithDuration(f.Lease).HolderDuration()
	}
	var all []told
	var wrong []string
	f.until(time.Now().Add(f.Recovery), func() bool {
		var err error
		if all, err = f.events(); err != nil {
			wrong = []string{err.Error()}
			return true
		}
		wrong = checkEvents(all, w.wanted, most)
		return len(wrong) == 0
	})
	r.Wrong = append(r.Wrong, wrong...)
	for _, e := range all {
		if e.What == "applied" {
			r.Wishes++
		}
	}
	r.Spans = f.charted(all)
}

// checkEvents holds what the processes told to what was promised: nobody goes on believing that it holds a duty for longer than most
// after another began to under a later token, what is wanted of a node is applied in order only, and the last of it is.
func checkEvents(all []told, wanted map[int]wish, most time.Duration) (wrong []string) {
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
