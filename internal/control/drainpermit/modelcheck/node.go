package modelcheck

import (
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

const (
	// busyRequests is how many requests a node in service has in flight. Out of service it finishes one per tick.
	busyRequests = 5
	// replacementDowntime is how long a node is down while its process is replaced.
	replacementDowntime = time.Second
	maxReplaceAttempts  = 2
)

// node is a node with its current process.
type node struct {
	name  string
	zone  string
	agent *drainpermit.Agent
	// incarnation counts the node's processes. Events for an earlier process are dropped.
	incarnation    int
	clockRate      float64
	stalledUntil   time.Duration
	restartAt      time.Duration // 0 while its process runs
	version        string
	nextVersion    string // of the next process; empty if unchanged
	unhealthyUntil time.Duration
	healthySince   time.Duration // in service and healthy
	observation    drainpermit.Observation
	observed       bool
	inFlight       int // requests

	served, failed uint64 // requests, since its process started
	processStart   time.Duration
	random         *rand.Rand // for the outcomes of its requests

	reported     fleetstate.NodeReport // the last report that reached the store
	reportedAt   time.Duration         // when the last report reached the store
	outOfService bool                  // under a permit, as observed from outside
	voluntary    bool                  // it went out of service under a permit, and has not been back for the minimum ready time
}

// whenRunning calls do as soon as the node is not stalled, or never if the process is replaced before.
func (w *world) whenRunning(n *node, incarnation int, do func()) {
	var run func()
	run = func() {
		switch {
		case n.incarnation != incarnation:
		case n.stalledUntil > w.now:
			w.after(n.stalledUntil-w.now, run)
		default:
			do()
		}
	}
	run()
}

// observe reads a node's request and permit from one member of the store. They may be stale when they reach the node.
func (w *world) observe(n *node) {
	o := drainpermit.Observation{Revision: w.store.Revision()}
	if d := w.store.Get(fleetstate.RequestKey(n.name)); d.Version > 0 {
		request := decodeCached(w, w.requests, d)
		o.Request, o.RequestVersion = &request, d.Version
	}
	if d := w.store.Get(fleetstate.PermitKey(n.name)); d.Version > 0 {
		permit := decodeCached(w, w.permits, d)
		o.Permit, o.PermitVersion = &permit, d.Version
	}
	incarnation := n.incarnation
	if delay, arrives := w.messageDelay(); arrives {
		w.after(delay, func() { w.whenRunning(n, incarnation, func() { n.observation, n.observed = o, true }) })
	}
}

func (w *world) healthy(n *node) bool { return n.unhealthyUntil <= w.now && w.now-n.healthySince >= 0 }

// runAgent carries out the next action of a node's agent.
func (w *world) runAgent(n *node) {
	now := w.clock(n.clockRate)
	o := n.observation
	o.InFlight, o.Healthy = n.inFlight, w.healthy(n)
	switch a := n.agent.NextAction(o, now); a.Kind {
	case drainpermit.ActionStart:
		w.startPermit(n, o, a)
	case drainpermit.ActionLeaveService:
		w.leaveService(n)
	case drainpermit.ActionEnterService:
		n.agent.EnteredService()
		n.outOfService, n.healthySince = false, w.now
	case drainpermit.ActionReplaceProcess:
		w.replaceProcess(n, o, a)
	case drainpermit.ActionUpdatePermit, drainpermit.ActionReturnPermit, drainpermit.ActionFailRequest:
		incarnation := n.incarnation
		w.apply(drainpermit.ActionTransaction(n.name, o, a, w.newID()), func(result document.Result, answered bool) {
			w.whenRunning(n, incarnation, func() { n.agent.HandleWriteResult(answered && result.Committed, result.Revision) })
		})
	}
}

// startPermit sends the transaction that starts the permit. The node goes out of service if the agent decides so
// when the answer arrives.
func (w *world) startPermit(n *node, o drainpermit.Observation, a drainpermit.Action) {
	incarnation := n.incarnation
	t := drainpermit.StartTransaction(n.name, o, a.Permit, w.newID())
	w.mutateStart(&t)
	w.apply(t, func(result document.Result, answered bool) {
		w.whenRunning(n, incarnation, func() {
			committed := answered && result.Committed
			leave := n.agent.HandleStartResult(committed, result.Revision, w.clock(n.clockRate))
			if leave || w.mutant == mutantIgnoresWindow && committed {
				w.leaveService(n)
				w.checkHalts(n, o.Request)
			}
		})
	})
}

// replaceProcess sends the transaction that records the replacement. If it is committed, the node's process is
// replaced.
func (w *world) replaceProcess(n *node, o drainpermit.Observation, a drainpermit.Action) {
	incarnation := n.incarnation
	w.apply(drainpermit.ActionTransaction(n.name, o, a, w.newID()), func(result document.Result, answered bool) {
		w.whenRunning(n, incarnation, func() {
			if !answered || !result.Committed {
				n.agent.HandleWriteResult(false, 0)
				return
			}
			w.counts[countReplaced]++
			n.nextVersion = o.Request.TargetVersion
			if !w.faultsOver && w.random.IntN(8) == 0 {
				n.nextVersion = "a third" // neither the current nor the target version
			}
			w.kill(n, replacementDowntime)
		})
	})
}

// leaveService takes a node out of service by its permit.
func (w *world) leaveService(n *node) {
	n.agent.LeftService(w.clock(n.clockRate))
	n.outOfService, n.voluntary = true, true
	w.counts[countOutOfService]++
}

// kill ends a node's process. The next one starts after the downtime.
func (w *world) kill(n *node, downtime time.Duration) {
	n.incarnation++
	n.restartAt, n.outOfService, n.observed = w.now+downtime, false, false
}

// minReady returns the minimum ready time that the program uses.
func (w *world) minReady() time.Duration {
	if w.mutant == mutantWarmingUpIsAvailable {
		return 0
	}
	return minReady
}

// startProcess starts a node's next process.
func (w *world) startProcess(n *node) {
	if n.nextVersion != "" {
		n.version, n.nextVersion = n.nextVersion, ""
	}
	n.restartAt, n.healthySince, n.inFlight, n.stalledUntil, n.outOfService = 0, w.now, 0, 0, false
	n.served, n.failed, n.processStart = 0, 0, w.now
	n.agent = drainpermit.NewAgent(drainpermit.AgentOptions{
		DeployedVersion: n.version, Terms: LeaseTerms, MinReady: w.minReady(), MaxReplaceAttempts: maxReplaceAttempts})
}

// report sends a node's report to the store.
func (w *world) report(n *node) {
	r := fleetstate.NodeReport{State: "ready", Healthy: w.healthy(n), InServiceMS: (w.now - n.healthySince).Milliseconds(), Zone: n.zone,
		DeployedVersion: n.version, ProcessStartMS: (n.processStart + time.Second).Milliseconds(), Served: n.served, Failed: n.failed}
	if n.outOfService {
		r.State, r.InServiceMS = "out of service", 0
	}
	if !r.Healthy {
		n.healthySince, r.InServiceMS = w.now, 0
	}
	if delay, arrives := w.messageDelay(); arrives {
		w.after(delay, func() { n.reported, n.reportedAt = r, w.now })
	}
}

// stepNode runs a node's process for a tick, or starts the next process when it is due.
func (w *world) stepNode(n *node) {
	if n.restartAt > 0 {
		if n.restartAt <= w.now {
			w.startProcess(n)
		}
		return
	}
	if !w.faultsOver {
		w.injectFault(n)
	}
	if n.restartAt > 0 || n.stalledUntil > w.now {
		return
	}
	if n.outOfService {
		n.inFlight = max(0, n.inFlight-1)
	} else {
		n.inFlight = busyRequests
		w.serveRequests(n)
	}
	const ticksPerReport = 3
	if w.now/tick%ticksPerReport == 0 {
		w.observe(n)
		w.report(n)
	}
	if n.observed {
		w.runAgent(n)
	}
}

// injectFault may stall a node, kill its process or make it unhealthy.
func (w *world) injectFault(n *node) {
	switch w.random.IntN(500) {
	case 0, 1:
		n.stalledUntil = w.now + w.randomDelay(3)
	case 2:
		w.counts[countKilled]++
		w.kill(n, time.Duration(w.random.IntN(4000))*time.Millisecond)
	case 3:
		n.unhealthyUntil = w.now + time.Duration(w.random.IntN(8000))*time.Millisecond
	}
}
