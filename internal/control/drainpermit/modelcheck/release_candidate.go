package modelcheck

import (
	"slices"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store/document"
)

// canaryOptions limit false alarms to one in ten thousand releases, because no run may find a good version worse.
var canaryOptions = canary.Options{FalseAlarmProbability: 0.0001, MaxAnalyses: 1000, MinIntervals: 8}

// recordedIntervals is the capacity of a controller's recorder.
const recordedIntervals = 400

// controllerCandidate is a candidate for the task of controlling the release.
type controllerCandidate struct {
	candidate
	controller release.Controller
	recorder   *canary.Recorder
	recordedAt time.Duration
}

// runControllerCandidate runs a candidate for the control of the release for a tick.
func (w *world) runControllerCandidate(c *controllerCandidate) {
	if c.busyUntil > w.now {
		return
	}
	held, acquired := w.holdLease(&c.candidate, release.TaskName)
	if acquired {
		c.controller, c.recorder = release.Controller{}, canary.NewRecorder(recordedIntervals)
		w.counts[countControllers]++
	}
	if !held || acquired {
		return
	}
	view, versions := w.readView(&c.candidate)
	r, version := w.readRelease()
	if version == 0 {
		r.TargetVersion = w.rollout.targetVersion
	}
	if w.now-c.recordedAt >= canaryInterval {
		c.recordedAt = w.now
		c.recorder.Record(r.CanaryReports(view, w.minReady()))
	}
	c.busyUntil = w.now + 2*tick
	if version == 0 {
		return
	}
	verdict := w.analyze(c.recorder.Nodes())
	if w.mutant == mutantRequestIgnoresHalt {
		clear(view.Halted)
	}
	decision := c.controller.Decide(r, view, verdict, w.minReady(), w.clock(c.clockRate))
	if decision.HaltReason != "" {
		w.counts[countHaltedByItself]++
		if verdict.Worse {
			w.counts[countFoundWorse]++
		}
	}
	delay := w.randomStall()
	transactions := decision.Transactions(r, view, versions, c.token, c.name, w.newID)
	for i := range transactions {
		w.mutateReleaseRequest(&transactions[i])
	}
	w.send(&c.candidate, transactions, delay)
}

// analyze returns the verdict on the release, and checks that a good version is not found worse.
func (w *world) analyze(nodes []canary.NodeSeries) canary.Verdict {
	if w.mutant == mutantUnpairedAnalysis {
		nodes = freezeUnchanged(nodes)
	}
	verdict := canary.Analyze(canaryOptions, nodes)
	if verdict.Worse && w.rollout.targetVersion == goodVersion {
		w.fail("the canary analysis found a good version worse: %s", verdict.Reason)
	}
	return verdict
}

// mutateReleaseRequest applies the mutant to a transaction of the release controller that writes a request.
func (w *world) mutateReleaseRequest(t *document.Transaction) {
	if isRequest := len(t.Conditions) > 2 && len(t.Operations) == 1 && !t.Operations[0].Delete; !isRequest {
		return
	}
	switch w.mutant {
	case mutantRequestIgnoresHalt:
		t.Conditions = t.Conditions[:3]
	case mutantRequestWithoutLease:
		t.Conditions = t.Conditions[2:]
	case mutantRollbackIgnoresBudget:
		request, found := writtenRequest(t.Operations[0])
		if !found || request.TargetVersion == w.rollout.targetVersion {
			return
		}
		node, _ := fleetstate.RequestMember(t.Operations[0].Key)
		permit := fleetstate.Permit{ID: w.newID(), RequestID: request.ID, State: fleetstate.PermitGranted}
		t.Operations = append(t.Operations, document.Operation{Key: fleetstate.PermitKey(node), Value: fleetstate.Encode(permit)})
	}
}

// freezeUnchanged returns the nodes with all intervals of those that are not updated replaced by their first
// known one, so that updated nodes are compared with past values of their peers.
func freezeUnchanged(nodes []canary.NodeSeries) []canary.NodeSeries {
	frozen := slices.Clone(nodes)
	for i := range frozen {
		n := &frozen[i]
		if n.UpdatedFrom > 0 || len(n.Intervals) == 0 {
			continue
		}
		if first := slices.Index(n.Known, true); first >= 0 {
			n.Intervals = slices.Repeat([]canary.Interval{n.Intervals[first]}, len(n.Intervals))
		}
	}
	return frozen
}
