package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/release"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// canaryOptions are the terms by which releases are judged, with spans of two reports.
func (f *Participant) canaryOptions() canary.Options {
	span := 2 * f.options.ReportInterval
	return canary.Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8, SmoothingIntervals: int((latency.MaxWindow + span - 1) / span)}
}

// recordedIntervals is how many spans of reports are kept to compare by.
const recordedIntervals = 400

// releaseTask is one candidate for that duty.
type releaseTask struct {
	*leasedLoop
	detector        *FailureDetector
	controllers     map[string]*release.Controller
	recorders       map[string]*canary.Recorder
	intervalEndedAt lease.Instant // when the last span ended
}

// runReleaseTask takes this node's turn at releases, while there are any, until the context ends.
func (f *Participant) runReleaseTask(ctx context.Context) {
	k := &releaseTask{}
	k.leasedLoop = &leasedLoop{Participant: f, task: release.TaskName, keyPrefix: release.KeyPrefix, runTurn: k.advanceReleases, reset: func() {
		k.detector = NewFailureDetector(f.options.SilentAfter)
		k.controllers, k.recorders = map[string]*release.Controller{}, map[string]*canary.Recorder{}
		f.updateStats(func(x *Stats) { x.Releases = nil })
	}}
	k.run(ctx)
}

// advanceReleases has each release go on by a step.
func (k *releaseTask) advanceReleases(token uint64) (idle bool, err error) {
	v, at, docs, err := k.readView(k.detector)
	if err != nil {
		return false, err
	}
	now := k.clock()
	span := now.Add(-2*k.options.ReportInterval) >= k.intervalEndedAt
	if span {
		k.intervalEndedAt = now
	}
	idle = true
	var rolling []release.Status
	for _, d := range docs {
		if !strings.HasPrefix(d.Key, release.KeyPrefix) {
			continue
		}
		r, err := release.Decode(d)
		if err != nil || r.Validate() != nil || release.KeyPrefix+r.Name != d.Key || r.CurrentWave < 0 || r.CurrentWave >= len(r.Waves) {
			k.log.Warn("a release can't be read", fmt.Errorf("%s: %w", d.Key, errors.Join(err, r.Validate())))
			continue
		}
		if r.State != release.Running && r.State != release.RollingBack {
			continue
		}
		idle = false
		rolling = append(rolling, release.StatusOf(r, v))
		if k.controllers[r.Name] == nil {
			k.controllers[r.Name], k.recorders[r.Name] = &release.Controller{}, canary.NewRecorder(recordedIntervals)
		}
		if span {
			k.recorders[r.Name].Record(r.CanaryReports(v, k.options.Drain.MinReady))
		}
		j := canary.Analyze(k.canaryOptions(), k.recorders[r.Name].Nodes())
		step := k.controllers[r.Name].Decide(r, v, j, k.options.Drain.MinReady, now)
		if err := k.applyDecision(r, step, v, at, token); err != nil && !errors.Is(err, store.ErrConflict) {
			return false, err
		}
	}
	k.updateStats(func(x *Stats) { x.Releases = rolling })
	return idle, nil
}

// applyDecision makes what a step of a release is, and says so.
func (k *releaseTask) applyDecision(r release.Release, step release.Decision, v fleetstate.View, at fleetstate.Versions, token uint64) error {
	for _, t := range step.Transactions(r, v, at, token, k.options.Name, rand.Text) {
		if err := k.transactWhileHeld(t); err != nil {
			return err
		}
	}
	switch {
	case step.HaltReason != "":
		k.options.Log.Warn("a release halted by itself", "release", r.Name, "why", step.HaltReason)
		k.options.OnEvent(faulthooks.Event{What: "halts", Duty: r.Name, ID: step.HaltReason})
	case step.Updated != nil:
		k.options.Log.Info("a release goes on", "release", r.Name, "state", step.Updated.State, "wave", step.Updated.CurrentWave+1, "of", len(r.Waves), "note", step.Updated.Note)
		k.options.OnEvent(faulthooks.Event{What: "release", Duty: r.Name, ID: string(step.Updated.State), N: uint64(step.Updated.CurrentWave)})
	}
	return nil
}

// StartRelease puts a release on record, which whoever has the duty then takes through the fleet. It errs with store.ErrConflict where there is
// one of that name. One that is over makes room for another of its name.
func StartRelease(ask store.Client, r release.Release) error {
	if err := r.Validate(); err != nil {
		return err
	}
	was, _, err := ask.Document(release.KeyPrefix+r.Name, false)
	if err != nil {
		return err
	}
	if was.Version > 0 {
		old, err := release.Decode(was)
		if err != nil || old.State == release.Running || old.State == release.RollingBack {
			return fmt.Errorf("%w: there is a release %s that is not over", store.ErrConflict, r.Name)
		}
	}
	_, err = ask.Commit(document.Transaction{ID: rand.Text(), Author: r.RequestedBy, Reason: "release " + r.Name + " to " + r.TargetVersion + ": " + r.Reason, Conditions: []document.Condition{{Key: was.Key, Version: was.Version}, {Key: fleetstate.HaltKeyPrefix + r.Name}},
		Operations: []document.Operation{{Key: was.Key, Value: fleetstate.Encode(r)}}})
	return err
}

// RollBackRelease has a release go back: what is changed goes back to what it was, newest first, under the same budgets. It may have been halted
// before; it goes on then.
func RollBackRelease(ask store.Client, name, by, why string) error {
	key := release.KeyPrefix + name
	for range 5 { // its owner may write at the same time
		was, _, err := ask.Document(key, false)
		if err != nil {
			return err
		}
		r, err := release.Decode(was)
		if err != nil {
			return err
		}
		halted, _, err := ask.Document(fleetstate.HaltKeyPrefix+name, false)
		if err != nil {
			return err
		}
		if r.State == release.RolledBack {
			return fmt.Errorf("release %s has gone back already", name)
		}
		r.State, r.Note = release.RollingBack, "back, by "+by+": "+why
		t := document.Transaction{ID: rand.Text(), Author: by, Reason: "release " + name + " goes back: " + why, Conditions: []document.Condition{{Key: key, Version: was.Version}, {Key: halted.Key, Version: halted.Version}},
			Operations: []document.Operation{{Key: key, Value: fleetstate.Encode(r)}}}
		if halted.Version > 0 {
			t.Operations = append(t.Operations, document.Operation{Key: halted.Key, Delete: true})
		}
		if _, err = ask.Commit(t); !errors.Is(err, store.ErrConflict) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%w: it changes all the time; ask again", store.ErrConflict)
}
