package modelcheck

import (
	"slices"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store/document"
)

// canaryOptions allow no false alarm in ten thousand releases.
var canaryOptions = canary.Options{FalseAlarmProbability: 0.0001, MaxAnalyses: 1000, MinIntervals: 8}

// recordedIntervals is how many intervals a controller keeps.
const recordedIntervals = 400

// releaseCandidate is a candidate for the task of controlling the release.
type releaseCandidate struct {
	candidate
	controller release.Controller
	recorder   *canary.Recorder
	recordedAt time.Duration
}

// runReleaseCandidate takes a candidate's turn at controlling the release.
func (w *world) runReleaseCandidate(c *releaseCandidate) {
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
	delay := w.stall()
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
		w.fail("a good version is called worse: %s", verdict.Reason)
	}
	return verdict
}

// mutateReleaseRequest changes a controller's request to what a faulty program would send.
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

// freezeUnchanged returns the nodes with all intervals of those that are not updated as their first was: what
// is compared with them is compared with the past.
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
