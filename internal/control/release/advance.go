package release

import (
	"fmt"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// When the nodes of a wave are requested, and when the next wave begins.
//
// Inputs: the nodes of the current wave with their requests, permits and reports, the canary verdict, and SoakMS.
//
//   - All nodes of the wave that are not updated are requested at once. The budgets determine how many go out of
//     service at once. The first node of the release is requested only after the fleet was observed for SoakMS.
//   - The next wave begins once every node of the wave has been updated and available, or gone from the fleet,
//     without a break for SoakMS. While the verdict is not conclusive this takes inconclusiveSoakFactor times as
//     long, and the release gets a note.
//
// Why: the canary analysis compares nodes with themselves before the update, so it needs intervals from
// before. A zone without nodes to compare with must not stop a release, so it is observed for longer.

// inconclusiveSoakFactor multiplies the soak time of a wave that has no conclusive verdict.
const inconclusiveSoakFactor = 3

// waveProgress is the progress of the nodes of a wave.
type waveProgress struct {
	requests []NodeRequest // to be written
	pending  int           // nodes that are not updated and available yet
	failure  string        // why the release must halt
}

// advance decides by the progress of the current wave.
func (c *Controller) advance(
	r Release, progress waveProgress, members map[string]fleetstate.ObservedMember, verdict canary.Verdict, now lease.Instant,
) Decision {
	switch {
	case progress.failure != "":
		return Decision{HaltReason: progress.failure}
	case len(progress.requests) > 0:
		if time.Duration(now-c.watchingSince) < r.soak() && nothingUpdated(r, members) {
			return Decision{}
		}
		return Decision{Requests: progress.requests}
	case progress.pending > 0:
		c.waveReady = false
		return Decision{}
	}
	return c.nextWave(r, verdict, now)
}

// inspectWave returns the progress of the current wave. It stops at the first node whose request has failed.
func inspectWave(
	r Release, view fleetstate.View, members map[string]fleetstate.ObservedMember, minReady time.Duration,
) (progress waveProgress) {
	for _, node := range r.Waves[r.CurrentWave] {
		m, known := members[node]
		request, requested := view.Requests[node]
		_, permitted := view.Permits[node]
		idle := !requested && !permitted
		switch {
		case requested && request.ReleaseName == r.Name && request.FailureReason != "":
			return waveProgress{failure: failedRequest(node, request)}
		case idle && known && m.Report.DeployedVersion == r.TargetVersion:
			if m.Report.Availability(minReady) != disruption.Available {
				progress.pending++
			}
		case idle && !known: // the node left the fleet
		case idle:
			progress.requests = append(progress.requests, NodeRequest{Node: node, TargetVersion: r.TargetVersion})
			progress.pending++
		default:
			progress.pending++
		}
	}
	return progress
}

// nothingUpdated reports whether no node of the release is updated yet.
func nothingUpdated(r Release, members map[string]fleetstate.ObservedMember) bool {
	if r.CurrentWave > 0 {
		return false
	}
	for _, node := range r.Waves[0] {
		if members[node].Report.DeployedVersion == r.TargetVersion {
			return false
		}
	}
	return true
}

// nextWave begins the next wave, or completes the release, once the current wave has been ready for long enough.
func (c *Controller) nextWave(r Release, verdict canary.Verdict, now lease.Instant) Decision {
	if !c.waveReady || c.readyWave != r.CurrentWave {
		c.waveReadySince, c.waveReady, c.readyWave = now, true, r.CurrentWave
	}
	soak := r.soak()
	if !verdict.Conclusive {
		soak *= inconclusiveSoakFactor
	}
	if time.Duration(now-c.waveReadySince) < soak {
		return Decision{}
	}
	next := r
	next.Note = ""
	if !verdict.Conclusive {
		next.Note = fmt.Sprintf("wave %d went without a judgement: %s", r.CurrentWave+1, verdict.Reason)
	}
	next.CurrentWave++
	if next.CurrentWave == len(r.Waves) {
		next.CurrentWave, next.State = r.CurrentWave, Completed
	}
	c.waveReady = false
	return Decision{Updated: &next}
}
