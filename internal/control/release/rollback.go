package release

import (
	"slices"
	"strings"

	"sloehitch/internal/control/fleetstate"
)

// How a release rolls back.
//
// Inputs: the nodes of all waves with their requests, permits and deployed versions, and their previous
// versions. Waves are rolled back one after the other, the latest first. In a wave, requests for the target
// version and failed requests are withdrawn, and updated nodes are requested to return to their previous
// version. The wave before it follows once the wave has no requests and permits left. When this holds for all
// waves the release is RolledBack.
//
// A node without a previous version keeps the target version, and the release's note names it. A failed request
// for a previous version halts the rollback.

// rollBack returns the next step of a rollback.
func rollBack(r Release, view fleetstate.View, members map[string]fleetstate.ObservedMember) Decision {
	for _, wave := range slices.Backward(r.Waves) {
		progress := inspectRollback(r, wave, view, members)
		switch {
		case progress.failure != "":
			return Decision{HaltReason: progress.failure}
		case progress.pending > 0:
			return Decision{Requests: progress.requests}
		}
	}
	next := r
	next.State, next.CurrentWave = RolledBack, 0
	if irreversible := withoutPreviousVersion(r, members); len(irreversible) > 0 {
		next.Note = "can't go back, since nobody knows to what: " + strings.Join(irreversible, ", ")
	}
	return Decision{Updated: &next}
}

// inspectRollback returns the progress of rolling back a wave. It stops at the first node whose request for its
// previous version has failed.
func inspectRollback(r Release, wave []string, view fleetstate.View, members map[string]fleetstate.ObservedMember) (progress waveProgress) {
	for _, node := range wave {
		request, requested := view.Requests[node]
		_, permitted := view.Permits[node]
		previous, canRollBack := r.PreviousVersions[node]
		ownRequest := requested && request.ReleaseName == r.Name
		failed := request.FailureReason != ""
		forTargetVersion := request.TargetVersion == r.TargetVersion
		switch {
		case ownRequest && failed && !forTargetVersion:
			return waveProgress{failure: failedRequest(node, request)}
		case ownRequest && (forTargetVersion || failed):
			progress.requests = append(progress.requests, NodeRequest{Node: node, Withdraw: true})
		case ownRequest, permitted:
		case members[node].Report.DeployedVersion == r.TargetVersion && canRollBack && !requested:
			progress.requests = append(progress.requests, NodeRequest{Node: node, TargetVersion: previous})
		default:
			continue
		}
		progress.pending++
	}
	return progress
}

// withoutPreviousVersion returns the updated nodes that cannot be rolled back, sorted by name.
func withoutPreviousVersion(r Release, members map[string]fleetstate.ObservedMember) (nodes []string) {
	for _, wave := range r.Waves {
		for _, node := range wave {
			if _, canRollBack := r.PreviousVersions[node]; !canRollBack && members[node].Report.DeployedVersion == r.TargetVersion {
				nodes = append(nodes, node)
			}
		}
	}
	slices.Sort(nodes)
	return nodes
}
