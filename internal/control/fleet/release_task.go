package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/release"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Parameters of the canary analysis of a release (canary.Options).
const (
	canaryFalseAlarmProbability = 0.01
	canaryMaxAnalyses           = 200
	canaryMinIntervals          = 8
	canaryRecordedIntervals     = 400
	// canaryReportsPerInterval is the length of an interval in reports of a node.
	canaryReportsPerInterval = 2
)

// releaseTask controls releases while this node holds the task's lease.
type releaseTask struct {
	*leasedLoop
	detector        *FailureDetector
	controllers     map[string]*release.Controller // by release name
	recorders       map[string]*canary.Recorder    // by release name
	intervalEndedAt lease.Instant
}

// runReleaseTask runs the task of controlling releases, whenever this node holds its lease, until the context ends.
func (p *Participant) runReleaseTask(ctx context.Context) {
	t := &releaseTask{}
	t.leasedLoop = &leasedLoop{Participant: p, task: release.TaskName, keyPrefix: release.KeyPrefix, runTurn: t.advanceReleases, reset: func() {
		t.detector = NewFailureDetector(p.options.SilentAfter)
		t.controllers, t.recorders = map[string]*release.Controller{}, map[string]*canary.Recorder{}
		p.updateStats(func(stats *Stats) { stats.Releases = nil })
	}}
	t.run(ctx)
}

// canaryInterval returns the length of an interval of the canary analysis.
func (p *Participant) canaryInterval() time.Duration {
	return canaryReportsPerInterval * p.options.ReportInterval
}

// canaryOptions returns the options of the canary analysis.
func (p *Participant) canaryOptions() canary.Options {
	interval := p.canaryInterval()
	return canary.Options{
		FalseAlarmProbability: canaryFalseAlarmProbability,
		MaxAnalyses:           canaryMaxAnalyses,
		MinIntervals:          canaryMinIntervals,
		SmoothingIntervals:    int((latency.MaxWindow + interval - 1) / interval),
	}
}

// advanceReleases decides on each active release, and commits the decisions.
func (t *releaseTask) advanceReleases(token uint64) (idle bool, err error) {
	state, err := t.readState(t.detector)
	if err != nil {
		return false, err
	}
	now := t.clock()
	intervalEnds := now.Add(-t.canaryInterval()) >= t.intervalEndedAt
	if intervalEnds {
		t.intervalEndedAt = now
	}
	idle = true
	var active []release.Status
	for _, d := range state.docs {
		r, found := t.activeRelease(d)
		if !found {
			continue
		}
		idle = false
		active = append(active, release.StatusOf(r, state.view))
		if err := t.advance(r, state, intervalEnds, token, now); err != nil {
			return false, err
		}
	}
	t.updateStats(func(stats *Stats) { stats.Releases = active })
	return idle, nil
}

// activeRelease decodes a document. found is false if the document is not a release, or if the release is not active
// or not valid.
func (t *releaseTask) activeRelease(d document.Document) (r release.Release, found bool) {
	if !strings.HasPrefix(d.Key, release.KeyPrefix) {
		return r, false
	}
	r, err := release.Decode(d)
	if err != nil || r.Validate() != nil || release.KeyPrefix+r.Name != d.Key || r.CurrentWave < 0 || r.CurrentWave >= len(r.Waves) {
		t.log.Warn("cannot use the document of a release", fmt.Errorf("%s: %w", d.Key, errors.Join(err, r.Validate())))
		return r, false
	}
	return r, r.Active()
}

// advance records an interval of the release if one ends now, and commits the decision of its controller.
func (t *releaseTask) advance(r release.Release, state fleetState, intervalEnds bool, token uint64, now lease.Instant) error {
	if t.controllers[r.Name] == nil {
		t.controllers[r.Name], t.recorders[r.Name] = &release.Controller{}, canary.NewRecorder(canaryRecordedIntervals)
	}
	recorder := t.recorders[r.Name]
	minReady := t.options.Drain.MinReady
	if intervalEnds {
		recorder.Record(r.CanaryReports(state.view, minReady))
	}
	verdict := canary.Analyze(t.canaryOptions(), recorder.Nodes())
	decision := t.controllers[r.Name].Decide(r, state.view, verdict, minReady, now)
	if err := t.applyDecision(r, decision, state, token); err != nil && !errors.Is(err, store.ErrConflict) {
		return err
	}
	return nil
}

// applyDecision commits and logs a decision.
func (t *releaseTask) applyDecision(r release.Release, decision release.Decision, state fleetState, token uint64) error {
	for _, transaction := range decision.Transactions(r, state.view, state.versions, token, t.options.Name, rand.Text) {
		if err := t.transactWhileHeld(transaction); err != nil {
			return err
		}
	}
	switch {
	case decision.HaltReason != "":
		t.options.Log.Warn("release halted automatically", "release", r.Name, "reason", decision.HaltReason)
		t.options.OnEvent(faulthooks.Event{What: eventReleaseHalted, Duty: r.Name, ID: decision.HaltReason})
	case decision.Updated != nil:
		next := decision.Updated
		t.options.Log.Info("release advanced", "release", r.Name, "state", next.State, "wave", next.CurrentWave+1, "of", len(r.Waves), "note", next.Note)
		t.options.OnEvent(faulthooks.Event{What: eventReleaseUpdated, Duty: r.Name, ID: string(next.State), N: uint64(next.CurrentWave)})
	}
	return nil
}
