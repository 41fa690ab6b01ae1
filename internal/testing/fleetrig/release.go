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

// startRelease starts a release to all nodes; one seed in four draws a version that can't be installed.
func (d *drainOperator) startRelease(by time.Time) bool {
	to := "w1"
	if d.random.IntN(4) == 0 {
		to = "broken"
	}
	attempt := 0
	started := d.waitUntil(by, func() bool {
		attempt++
		docs, _, err := d.client(attempt).Documents("node/", false)
		if err != nil {
			return false
		}
		var members []fleetstate.ObservedMember
		for _, doc := range docs {
			s := fleetstate.ObservedMember{Name: strings.TrimPrefix(doc.Key, "node/")}
			s.Unreadable = json.Unmarshal([]byte(doc.Value), &s.Report) != nil
			members = append(members, s)
		}
		r := release.Release{Name: "s", TargetVersion: to, RequestedBy: "rig", Reason: "drains", State: release.Running, SoakMS: 100, ReturnTimeoutMS: d.Recovery.Milliseconds()}
		r.Waves, r.PreviousVersions = release.PlanWaves(members, to, 2)
		err = fleet.StartRelease(d.client(attempt), r)
		return err == nil || errors.Is(err, store.ErrConflict)
	})
	if !started {
		d.addFailure("the release was not started within the recovery time")
	}
	return started
}

// rollBackRelease requests the rollback of the release.
func (d *drainOperator) rollBackRelease(by time.Time) {
	attempt := 0
	if !d.waitUntil(by, func() bool {
		attempt++
		err := fleet.RollBackRelease(d.client(attempt), "s", "rig", "drains")
		return err == nil || strings.Contains(err.Error(), "is already rolled back")
	}) {
		d.addFailure("the rollback of the release was not accepted within the recovery time")
	}
	d.report.Drains.Backs++
}

// awaitRelease waits until the release is completed or rolled back. It requests the rollback if the release has halted by itself.
func (d *drainOperator) awaitRelease(by time.Time) {
	last := "unknown: no member returned it"
	attempt := 0
	if !d.waitUntil(by, func() bool {
		attempt++
		doc, _, err := d.client(attempt).Document(release.KeyPrefix+"s", false)
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
		halted, _, err := d.client(attempt).Document(fleetstate.HaltKeyPrefix+"s", false)
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
		d.addFailure("%v after the last fault, the release has not ended: %s", d.Recovery, last)
	}
}
