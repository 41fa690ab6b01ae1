package release

import (
	"slices"
	"strings"

	"sloehitch/internal/control/fleetstate"
)

// How a release rolls back.
//
// Inputs: the nodes of all waves with their requests, permits and deployed versions, and their previous
// versions. Waves go back one after the other, the latest first. In a wave, requests that are not needed any
// more (for the target version, or failed) are withdrawn, and updated nodes are asked to go back to their
// previous version. The wave before it follows once nothing is requested or permitted in it. When no wave has
// anything left the release is RolledBack.
//
// A node without a previous version keeps the target version, and the note says so. A failed request to go
// back halts the rollback.

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
	if stuck := withoutPreviousVersion(r, members); len(stuck) > 0 {
		next.Note = "can't go back, since nobody knows to what: " + strings.Join(stuck, ", ")
	}
	return Decision{Updated: &next}
}

// inspectRollback looks at the nodes of a wave up to the first whose request to go back has failed.
func inspectRollback(r Release, wave []string, view fleetstate.View, members map[string]fleetstate.ObservedMember) (progress waveProgress) {
	for _, node := range wave {
		request, requested := view.Requests[node]
		_, permitted := view.Permits[node]
		previous, canRollBack := r.PreviousVersions[node]
		ours := requested && request.ReleaseName == r.Name
		failed := request.FailureReason != ""
		forwards := request.TargetVersion == r.TargetVersion
		switch {
		case ours && failed && !forwards:
			return waveProgress{failure: failedRequest(node, request)}
		case ours && (forwards || failed):
			progress.requests = append(progress.requests, NodeRequest{Node: node, Withdraw: true})
		case ours, permitted:
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
