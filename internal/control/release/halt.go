package release

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// When a release halts by itself.
//
// Inputs: permits and since when this controller has observed them as started, the canary verdict, and the
// liveness of updated nodes. A release halts if
//
//   - a node of the release has been out of service for more than ReturnTimeoutMS, also during a rollback;
//   - the updated nodes are worse than the others (package canary), unless the release is rolling back;
//   - an updated node is silent or its report cannot be decoded, unless the release is rolling back;
//   - a node's request failed (advance.go and rollback.go).
//
// Why: the state of nodes that do not report is not known, so it counts as bad.

// overdueNode describes the first node of the release that has been out of service for too long, or returns "".
func (c *Controller) overdueNode(r Release, view fleetstate.View, now lease.Instant) (reason string) {
	outOfServiceSince := map[string]lease.Instant{}
	for _, node := range slices.Sorted(maps.Keys(view.Permits)) {
		permit := view.Permits[node]
		if view.Requests[node].ReleaseName != r.Name || permit.State == fleetstate.PermitGranted {
			continue
		}
		since, known := c.outOfServiceSince[permit.ID]
		if !known {
			since = now
		}
		outOfServiceSince[permit.ID] = since
		if reason == "" && time.Duration(now-since) > r.returnTimeout() {
			reason = fmt.Sprintf("%s is not back %v after it went out (%s)", node, r.returnTimeout(), permit.State)
		}
	}
	c.outOfServiceSince = outOfServiceSince
	return reason
}

// badVersion returns why no further nodes may be updated to the target version, or "".
func badVersion(r Release, members map[string]fleetstate.ObservedMember, verdict canary.Verdict) string {
	if verdict.Worse {
		return "worse: " + verdict.Reason
	}
	for _, wave := range r.Waves[:r.CurrentWave+1] {
		for _, node := range wave {
			m := members[node]
			if m.Report.DeployedVersion == r.TargetVersion && (m.Liveness == disruption.Silent || m.Unreadable) {
				return fmt.Sprintf("%s runs %s and its figures are unknown", node, r.TargetVersion)
			}
		}
	}
	return ""
}

// failedRequest describes a failed request of a node, for the reason of a halt.
func failedRequest(node string, request fleetstate.DrainRequest) string {
	return fmt.Sprintf("%s: %s", node, request.FailureReason)
}
