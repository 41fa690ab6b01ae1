package fleetrig

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store"
)

// startRelease starts a release to all nodes; one seed in four takes a version that can't be installed.
func (d *drainOperator) startRelease(by time.Time) bool {
	to := "w1"
	if d.random.IntN(4) == 0 {
		to = "broken"
	}
	turn := 0
	begun := d.waitUntil(by, func() bool {
		turn++
		docs, _, err := d.client(turn).Documents("node/", false)
		if err != nil {
			return false
		}
		var seen []fleetstate.ObservedMember
		for _, doc := range docs {
			s := fleetstate.ObservedMember{Name: strings.TrimPrefix(doc.Key, "node/")}
			s.Unreadable = json.Unmarshal([]byte(doc.Value), &s.Report) != nil
			seen = append(seen, s)
		}
		r := release.Release{Name: "s", TargetVersion: to, RequestedBy: "rig", Reason: "drains", State: release.Running, SoakMS: 100, ReturnTimeoutMS: d.Recovery.Milliseconds()}
		r.Waves, r.PreviousVersions = release.PlanWaves(seen, to, 2)
		err = fleet.StartRelease(d.client(turn), r)
		return err == nil || errors.Is(err, store.ErrConflict)
	})
	if !begun {
		d.addFailure("no release was started")
	}
	return begun
}

// rollBackRelease requests that release's rollback.
func (d *drainOperator) rollBackRelease(by time.Time) {
	turn := 0
	if !d.waitUntil(by, func() bool {
		turn++
		err := fleet.RollBackRelease(d.client(turn), "s", "rig", "drains")
		return err == nil || strings.Contains(err.Error(), "gone back already")
	}) {
		d.addFailure("a release could not be rolled back")
	}
	d.report.Drains.Backs++
}

// awaitRelease waits until that release is completed or rolled back; it requests the rollback where the release has halted by itself.
func (d *drainOperator) awaitRelease(by time.Time) {
	last := "nothing was read"
	turn := 0
	if !d.waitUntil(by, func() bool {
		turn++
		doc, _, err := d.client(turn).Document(release.KeyPrefix+"s", false)
		if err != nil {
			last = err.Error()
			return false
		}
		r, err := release.Decode(doc)
		if err != nil {
			last = err.Error()
			return false
		}
		last = doc.Value
		halted, _, err := d.client(turn).Document(fleetstate.HaltKeyPrefix+"s", false)
		if err == nil && halted.Version > 0 {
			d.logf("the release halted by itself: %s", r.Note)
			d.report.Drains.ByItself++
			d.rollBackRelease(by)
			return false
		}
		switch r.State {
		case release.Completed:
			d.report.Drains.Over++
		case release.RolledBack:
			d.report.Drains.Undone++
		default:
			return false
		}
		return true
	}) {
		d.addFailure("%v after the last fault the release is %s", d.Recovery, last)
	}
}
