package node

import (
	"fmt"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// carryOut does what the module decided about a request.
func (n *Node) carryOut(r *request, d admission.Decision) {
	switch d.Verb {
	case admission.Run:
		n.run(r)
	case admission.Refuse:
		n.turnAway(r, Answer{Kind: Refused, Holdoff: d.Span, Last: d.Last})
	case admission.Fail:
		n.turnAway(r, Answer{Kind: Failed})
	case admission.Stop:
		switch r.stage {
		case starting:
			r.paused = true
		case runs:
			r.paused = true
			r.Runner.Stop(r.ID)
		}
	case admission.Join:
		n.join(r)
	case admission.Keep:
		if r.Key != "" {
			n.keys.own(r)
		}
	case admission.Forget:
		for _, waiting := range n.keys.abandon(r) {
			n.again(waiting)
		}
	case admission.Call:
		n.call(r, d.Span)
	case admission.GoOn:
		if r.wants != 0 {
			pos := r.wants
			r.wants, r.call = 0, nil
			r.Runner.Omit(r.ID, pos)
		}
	}
}

// turnAway answers a request by the module's word, and drops it if nothing of it runs.
func (n *Node) turnAway(r *request, a Answer) {
	if r.stage == starting {
		n.takeBack(r, a)
		return
	}
	if a.Kind == Refused && r.stage == held && n.moved(r) {
		return
	}
	n.settle(r, a)
	if r.stage == held || r.stage == joined {
		n.drop(r)
	}
	n.writeOff(r)
}

// run starts a request, or goes on with a paused run. It guards two rules against a mistaken module: nothing that
// came too late after the notice to leave is started, and no second try of a key.
func (n *Node) run(r *request) {
	switch {
	case r.stage == runs && r.paused:
		r.paused = false
		r.Runner.Continue(r.ID)
		return
	case r.stage == starting:
		r.paused = false
		return
	case r.stage != held:
		return
	case n.tooLate(r):
		n.settle(r, Answer{Kind: Refused})
		n.finish(r, logic.Moot, 0, nil)
		return
	}
	if r.Key != "" {
		e := n.keys.own(r)
		if e == nil {
			n.settle(r, Answer{Kind: Refused})
			n.finish(r, logic.Moot, 0, nil)
			return
		}
		if e.ran {
			n.join(r)
			return
		}
		e.ran, e.from, e.window = true, r.stamp, n.keys.window(r.Class)
		if n.opts.Journal != nil {
			n.record(r)
			return
		}
	}
	n.start(r)
}

// start hands a request to its runner.
func (n *Node) start(r *request) {
	if r.wait != nil {
		r.wait.Stop()
	}
	r.stage = runs
	n.trace("started", r)
	n.counts.Ran++
	n.class(r).Ran++
	class := &n.opts.Settings.Classes[r.Class]
	r.Runner.Start(r.ID, class.Name, r.Body, class.Effect != logic.Safe)
	if r.paused { // while its start was being recorded
		r.Runner.Stop(r.ID)
	}
}

// join serves a request from the result of the try that it repeats, now or when that is over.
func (n *Node) join(r *request) {
	e := n.keys.key(r)
	switch {
	case r.stage != held || r.settled:
	case r.Key == "" || e == nil || e.owner == r && !e.ran:
		// The try that it repeats was answered without a run since: nothing stands in the way of this one.
		n.again(r)
	case e.over:
		n.finishJoin(r, e)
	default:
		n.trace("waits for the run of its key", r, "run", e.owner.ID)
		n.counts.Joined++
		r.stage = joined
		e.waiting = append(e.waiting, r)
	}
}

// finishJoin answers a request as the try that it waited for was answered.
func (n *Node) finishJoin(r *request, e *entry) {
	r.stage = ended
	took := n.opts.Clock.Now().Sub(r.entered)
	if e.served && e.owner.Front == r.Front { // another protocol's result would not be understood
		n.settle(r, Answer{Kind: Served, Result: e.result})
		n.opts.Gate.Report(admission.Ended(r.num, logic.OK, took))
	} else {
		n.settle(r, Answer{Kind: Failed})
		n.opts.Gate.Report(admission.Ended(r.num, logic.Failed, took))
	}
	n.drop(r)
}

// Ended tells that a run is over.
func (n *Node) Ended(id string, o admission.Outcome, took time.Duration, result []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != runs {
		n.traceUnknown("an end of a run that is not in hand", id, o)
		return
	}
	n.trace("its run has ended", r, "outcome", o, "took", took)
	n.finish(r, o, took, result)
}

// finish ends a request's run: it answers it and all that waited for it.
func (n *Node) finish(r *request, o admission.Outcome, took time.Duration, result []byte) {
	n.opts.Gate.Report(admission.Ended(r.num, o, took))
	n.conclude(r, o, result)
}

// conclude is what finish does beside telling the module.
func (n *Node) conclude(r *request, o admission.Outcome, result []byte) {
	started := r.stage == runs
	r.stage = ended
	if o == logic.OK {
		n.settle(r, Answer{Kind: Served, Result: result})
	} else {
		n.settle(r, Answer{Kind: Failed})
	}
	if e := n.keys.entries[r.Key]; r.Key != "" && e != nil && e.owner == r && started {
		if o == logic.Moot {
			n.log.Warn("a keyed run was not started: its key is free again", fmt.Errorf("request %s, key %s", r.ID, r.Key))
			e.ran = false // nothing was started: drop hands the key to whoever waits
			if n.opts.Journal != nil {
				n.opts.Journal.Withdraw(n.booking(r))
			}
		} else {
			e.over, e.served = true, o == logic.OK
			e.result = result
			waiting := e.waiting
			e.waiting = nil
			for _, w := range waiting {
				n.finishJoin(w, e)
			}
			e.result = nil
			// Without its result later repeats fail: it must not run again.
			e.served = e.served && n.keys.keep(e, result, n.opts.Limits.KeptResult)
			if n.opts.Journal != nil {
				b := n.booking(r)
				b.Ended, b.Served = true, o == logic.OK
				if b.Kept = b.Served && len(result) <= n.opts.Limits.KeptResult; b.Kept {
					b.Result = result
				}
				n.opts.Journal.Ended(b)
			}
		}
	}
	n.drop(r)
}

// Wants tells that a run stands at a call; pos is the notice that asked for it.
func (n *Node) Wants(id string, pos uint64, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != runs {
		return
	}
	r.wants, r.call, r.lost = pos, body, false
	n.trace("stands at a call", r, "notice", pos)
	n.opts.Gate.Report(admission.AtCall(r.num))
}

// call makes the call that a run stands at.
func (n *Node) call(r *request, patience time.Duration) {
	if r.stage != runs || r.wants == 0 || r.calling {
		return
	}
	if n.opts.Caller == nil {
		n.opts.Gate.Report(admission.CallEnded(r.num, logic.Unreachable, 0))
		return
	}
	if patience <= 0 {
		patience = max(r.due.Sub(n.opts.Clock.Now()), time.Millisecond)
	}
	r.calling = true
	num := r.num
	once := n.opts.Settings.Classes[r.Class].Effect != logic.Safe
	n.opts.Caller.Call(r.ID, patience, r.call, once, func(o admission.Outcome, took time.Duration, reply []byte) {
		n.called(num, o, took, reply)
	})
}

// called takes in how a call ended.
func (n *Node) called(num uint64, o admission.Outcome, took time.Duration, reply []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byNum[num]
	if r == nil || !r.calling {
		return
	}
	r.calling = false
	n.trace("its call has ended", r, "outcome", o, "took", took)
	if o == logic.OK && r.wants != 0 {
		r.wants, r.call = 0, nil
		r.Runner.Give(r.ID, reply)
	}
	n.opts.Gate.Report(admission.CallEnded(num, o, took))
}
