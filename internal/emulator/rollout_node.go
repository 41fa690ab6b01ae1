package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/latency"
)

// maxReplaceAttempts is the number of failed process replacements after which a drain request fails.
const maxReplaceAttempts = 2

// version is the state of a node's process in a world with a release.
type version struct {
	label          string
	startedAt      time.Time
	inServiceSince time.Time

	served, rejected, failed uint64 // responses
	failureRandom            *rand.Rand
	latencies                *latency.Window
	p99MS                    float64 // as last reported

	agent        *drainpermit.Agent
	outOfService bool
}

// startVersion sets the version of a node's process, which has just started.
func (ro *rollout) startVersion(h *host, label string) {
	now := ro.clock.Now()
	agent := drainpermit.NewAgent(drainpermit.AgentOptions{DeployedVersion: label, Terms: leaseTerms, MinReady: ro.MinReady, MaxReplaceAttempts: maxReplaceAttempts})
	h.version = &version{label: label, startedAt: now, inServiceSince: now, latencies: latency.New(now),
		failureRandom: ro.streams.Stream(fmt.Sprint("luck ", h.name, " ", h.incarnation)), agent: agent}
	h.speedFactor = 1
	if label == newVersion && ro.SpeedFactor > 0 {
		h.speedFactor = ro.SpeedFactor
	}
	h.machine.SetSpeed(ro.warmSpeed(h))
}

// startNextVersion sets the version of a process that has just started: the one that the node was to change to or, if
// there is none, the same as before.
func (ro *rollout) startNextVersion(h *host) {
	label := h.version.label
	if next, ok := ro.nextVersion[h]; ok {
		label = next
		delete(ro.nextVersion, h)
	}
	ro.startVersion(h, label)
}

// recordResponse counts a response. It turns a FailureShare of the new version's served responses into failures.
func (ro *rollout) recordResponse(h *host, a *Attempt, response *node.Response) {
	v := h.version
	if response.Status == node.StatusServed && v.label == newVersion && ro.FailureShare > 0 && v.failureRandom.Float64() < ro.FailureShare {
		response.Status = node.StatusFailed
	}
	switch response.Status {
	case node.StatusServed:
		v.served++
		v.latencies.Add(ro.clock.Now().Sub(a.ArrivedAt))
	case node.StatusRejected:
		v.rejected++
	default:
		v.failed++
	}
}

// nodeReport returns the report that a node publishes about itself.
func (ro *rollout) nodeReport(h *host, zone int) fleetstate.NodeReport {
	v := h.version
	report := fleetstate.NodeReport{State: "ready", Healthy: true, Zone: fmt.Sprint("z", zone), DeployedVersion: v.label,
		ProcessStartMS: v.startedAt.UnixMilli(), Served: v.served, Rejected: v.rejected, Failed: v.failed, P99MS: v.p99MS,
		InServiceMS: ro.clock.Now().Sub(v.inServiceSince).Milliseconds()}
	switch {
	case h.down:
		report.State, report.InServiceMS = "starting", 0
	case v.outOfService:
		report.State, report.InServiceMS = "out of service", 0
	}
	return report
}

// stepAgent runs one step of a node's drain agent.
func (ro *rollout) stepAgent(h *host) {
	agent, now := h.version.agent, ro.now()
	observed := ro.observeNode(h)
	switch action := agent.NextAction(observed, now); action.Kind {
	case drainpermit.ActionStart:
		result := ro.store.Apply(drainpermit.StartTransaction(h.name, observed, action.Permit, ro.transactionID()), now)
		if agent.HandleStartResult(result.Committed, result.Revision, now) {
			ro.leaveService(h)
		}
	case drainpermit.ActionLeaveService:
		ro.leaveService(h)
	case drainpermit.ActionEnterService:
		agent.EnteredService()
		h.version.outOfService, h.version.inServiceSince = false, ro.clock.Now()
		ro.announce(h, true)
	case drainpermit.ActionReplaceProcess:
		result := ro.store.Apply(drainpermit.ActionTransaction(h.name, observed, action, ro.transactionID()), now)
		if result.Committed {
			ro.replaceProcess(h, observed.Request.TargetVersion)
		} else {
			agent.HandleWriteResult(false, 0)
		}
	case drainpermit.ActionUpdatePermit, drainpermit.ActionReturnPermit, drainpermit.ActionFailRequest:
		result := ro.store.Apply(drainpermit.ActionTransaction(h.name, observed, action, ro.transactionID()), now)
		agent.HandleWriteResult(result.Committed, result.Revision)
	}
}

// observeNode returns the observation on which a node's drain agent decides.
func (ro *rollout) observeNode(h *host) drainpermit.Observation {
	running, queued := h.invariants.InFlight()
	observed := drainpermit.Observation{Revision: ro.store.Revision(), InFlight: running + queued + len(h.reader.unread), Healthy: true}
	if d := ro.store.Get(fleetstate.RequestKey(h.name)); d.Version > 0 {
		if request, err := fleetstate.Decode[fleetstate.DrainRequest](d.Value); err == nil {
			observed.Request, observed.RequestVersion = &request, d.Version
		}
	}
	if d := ro.store.Get(fleetstate.PermitKey(h.name)); d.Version > 0 {
		if permit, err := fleetstate.Decode[fleetstate.Permit](d.Value); err == nil {
			observed.Permit, observed.PermitVersion = &permit, d.Version
		}
	}
	return observed
}

// leaveService removes a node from the balancers' endpoint list. Requests in flight on the node continue.
func (ro *rollout) leaveService(h *host) {
	h.version.agent.LeftService(ro.now())
	h.version.outOfService = true
	ro.announce(h, false)
}

// replaceProcess ends a node's process and starts the next one, of the given version, after RestartDuration.
func (ro *rollout) replaceProcess(h *host, label string) {
	ro.nextVersion[h] = label
	ro.stopNode(h, ro.RestartDuration)
}
