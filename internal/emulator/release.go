package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/release"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/store/document"
)

// Release is another version that goes through the fleet while it serves.
type Release struct {
	At       time.Duration
	Strategy ReleaseStrategy

	Zones               int           // that the nodes are in, by turns
	MaxUnavailableShare float64       // of Agreed: share of the fleet that may be out at once; a zone's share is three times that
	BatchShare          float64       // of Batched: share of the fleet that is replaced at once
	MinReady            time.Duration // in and well, before a node counts as in
	Soak                time.Duration // for which a wave is watched
	RestartDuration     time.Duration // from a process's end until the next one serves

	SpeedFactor  float64 // the new version's speed as a share of the old one's; 0: the same
	FailureShare float64 // share of its answers that are failures
}

// ReleaseStrategy is how a release goes.
type ReleaseStrategy string

// The ways. The first two are the fleet's own: real permits, waves and judgement, without lost messages.
const (
	BudgetedWaves  ReleaseStrategy = "agreed"    // by budgets
	UnboundedWaves ReleaseStrategy = "unbounded" // in the same waves, all of a wave out at once
	FixedBatches   ReleaseStrategy = "batch"     // in fixed batches; the next goes as the last one serves again, whatever it is like
)

// ReleaseResult is what became of a release.
type ReleaseResult struct {
	NodesChanged   int           // nodes that run the new version at the end of the world
	MaxUnavailable int           // nodes that took no callers, or were cold, at once
	Duration       time.Duration // until it was over, or halted by itself; 0: neither
	HaltReason     string        // why it halted by itself
}

func (r *Release) validate(want func(ok bool, what string)) {
	if r == nil {
		return
	}
	want(r.Strategy == BudgetedWaves || r.Strategy == UnboundedWaves || r.Strategy == FixedBatches, fmt.Sprintf("release: no roll %q: agreed, unbounded or batch", r.Strategy))
	want(r.Zones >= 1 && r.MinReady >= 0 && r.Soak >= 0 && r.RestartDuration > 0, "release: zones and start above 0 are wanted, settle and soak of 0 or more")
	want(r.Strategy != BudgetedWaves || r.MaxUnavailableShare > 0 && r.MaxUnavailableShare <= 1, "release: most_out above 0 and up to 1 is wanted")
	want(r.Strategy != FixedBatches || r.BatchShare > 0 && r.BatchShare <= 1, "release: batch above 0 and up to 1 is wanted")
	want(r.SpeedFactor >= 0 && r.SpeedFactor <= 1 && r.FailureShare >= 0 && r.FailureShare <= 1, "release: slow and fails must be from 0 to 1")
}

const (
	oldVersion, newVersion = "old", "new"

	rolloutInterval    = 250 * time.Millisecond // between looks of agents, keeper and owner
	canaryInterval     = 4 * time.Second        // a span of the judgement, as the daemon has it
	batchDrainDuration = 3 * time.Second        // after which a node of a batch is replaced, whatever it still has in hand
)

// terms of leases; nobody takes another's place here.
var leaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// canaryOptions is by which terms, as in package fleet.
var canaryOptions = canary.Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8, SmoothingIntervals: int(latency.MaxWindow / canaryInterval)}

// version is what a node runs, and what it has done by it.
type version struct {
	label                     string
	startedAt, inServiceSince time.Time // its process began; it is in service and warm or getting so
	served, rejected, failed  uint64
	failureRandom             *rand.Rand // of answers that fail
	latencies                 *latency.Window
	p99                       float64 // milliseconds, as reported last
	agent                     *drainpermit.Agent
	outOfService              bool
}

// rollout is a release under way.
type rollout struct {
	*simulation
	*Release
	store            *document.State
	permits          drainpermit.Controller
	controller       release.Controller
	recorder         *canary.Recorder
	tokens           map[string]uint64
	transactionCount int
	recordedAt       time.Time
	currentBatch     []*host // that are being replaced
	releaseStarted   bool
	nextVersion      map[*host]string // what a host's next process runs
	pending          []*host          // of batches: those that are to come
}

func (w *rollout) transactionID() string {
	w.transactionCount++
	return fmt.Sprint("id", w.transactionCount)
}

// now is the time on the one clock that there is.
func (w *rollout) now() lease.Instant { return lease.Instant(w.clock.Now().Sub(w.startedAt)) }

// setUpRelease sets a release up.
func (p *simulation) setUpRelease() error {
	if p.Release == nil {
		return nil
	}
	w := &rollout{simulation: p, Release: p.Release, permits: drainpermit.Controller{Terms: leaseTerms, MinReady: p.Release.MinReady}, recorder: canary.NewRecorder(400), tokens: map[string]uint64{}, nextVersion: map[*host]string{}}
	var err error
	if w.store, err = document.New(document.DefaultLimits, leaseTerms); err != nil {
		return err
	}
	for _, duty := range []string{"permits", release.TaskName} {
		rec, err := w.store.Leases().Acquire(duty, "all", 0)
		if err != nil {
			return err
		}
		w.store.Apply(document.Transaction{ID: w.transactionID(), Operations: []document.Operation{{Lease: &rec}}}, 0)
		w.tokens[duty] = rec.Token
	}
	most, zone := p.Nodes, p.Nodes
	if w.Strategy == BudgetedWaves {
		most = max(1, int(w.MaxUnavailableShare*float64(p.Nodes)))
		zone = max(1, int(math.Ceil(3*w.MaxUnavailableShare*float64(p.Nodes)/float64(w.Zones))))
	}
	w.put(fleetstate.BudgetsKey, fleetstate.Encode(disruption.Budgets{{Scope: "fleet", MaxUnavailable: &most}, {Scope: "zone", MaxUnavailable: &zone}}))
	for _, h := range p.nodes {
		w.startVersion(h, oldVersion)
		h.version.inServiceSince = p.startedAt.Add(-time.Hour)
	}
	p.rollout = w
	p.clock.AfterFunc(rolloutInterval, w.step)
	return nil
}

func (w *rollout) put(key, value string) {
	w.store.Apply(document.Transaction{ID: w.transactionID(), Author: "op", Operations: []document.Operation{{Key: key, Value: value}}}, w.now())
}

// startVersion has a host's process be of a version from now on.
func (w *rollout) startVersion(h *host, label string) {
	now := w.clock.Now()
	h.version = &version{label: label, startedAt: now, inServiceSince: now, latencies: latency.New(now), failureRandom: w.streams.Stream(fmt.Sprint("luck ", h.name, " ", h.incarnation)),
		agent: drainpermit.NewAgent(drainpermit.AgentOptions{DeployedVersion: label, Terms: leaseTerms, MinReady: w.MinReady, MaxReplaceAttempts: 2})}
	if label == newVersion && w.SpeedFactor > 0 {
		h.speedFactor = w.SpeedFactor
	} else {
		h.speedFactor = 1
	}
	h.machine.SetSpeed(w.warmSpeed(h))
}

// recordResponse counts an answer, and spoils it where the version is bad.
func (w *rollout) recordResponse(h *host, t *Attempt, a *node.Response) {
	v := h.version
	if a.Status == node.StatusServed && v.label == newVersion && w.FailureShare > 0 && v.failureRandom.Float64() < w.FailureShare {
		a.Status = node.StatusFailed
	}
	switch a.Status {
	case node.StatusServed:
		v.served++
		v.latencies.Add(w.clock.Now().Sub(t.ArrivedAt))
	case node.StatusRejected:
		v.rejected++
	default:
		v.failed++
	}
}

// nodeReport is what a node tells of itself.
func (w *rollout) nodeReport(h *host, zone int) fleetstate.NodeReport {
	v := h.version
	r := fleetstate.NodeReport{State: "ready", Healthy: true, Zone: fmt.Sprint("z", zone), DeployedVersion: v.label, ProcessStartMS: v.startedAt.UnixMilli(), Served: v.served, Rejected: v.rejected, Failed: v.failed, P99MS: v.p99,
		InServiceMS: w.clock.Now().Sub(v.inServiceSince).Milliseconds()}
	switch {
	case h.down:
		r.State, r.InServiceMS = "starting", 0
	case v.outOfService:
		r.State, r.InServiceMS = "out of service", 0
	}
	return r
}

// step has all parts of the release go on by a step.
func (w *rollout) step() {
	now := w.clock.Now()
	since := now.Sub(w.startedAt)
	if since < w.Duration {
		w.clock.AfterFunc(rolloutInterval, w.step)
	}
	out := 0
	var members []fleetstate.ObservedMember
	for i, h := range w.nodes {
		r := w.nodeReport(h, i%w.Zones)
		members = append(members, fleetstate.ObservedMember{Name: h.name, Report: r})
		if h.down || h.version.outOfService || now.Sub(h.version.inServiceSince) < w.SlowStartDuration {
			out++
		}
	}
	res := w.result.Release
	res.MaxUnavailable = max(res.MaxUnavailable, out)
	res.NodesChanged = 0
	for _, m := range members {
		if m.Report.DeployedVersion == newVersion {
			res.NodesChanged++
		}
	}
	if since < w.At {
		w.recordCanary(release.Release{TargetVersion: newVersion}, members)
		return
	}
	if w.Strategy == FixedBatches {
		w.stepBatches(since)
		return
	}
	if !w.releaseStarted {
		w.releaseStarted = true
		r := release.Release{Name: "r", TargetVersion: newVersion, RequestedBy: "op", State: release.Running, SoakMS: w.Soak.Milliseconds(), ReturnTimeoutMS: time.Hour.Milliseconds()}
		r.Waves, r.PreviousVersions = release.PlanWaves(members, newVersion, 2)
		w.put(release.KeyPrefix+"r", fleetstate.Encode(r))
	}
	for _, h := range w.nodes {
		if !h.down {
			w.stepAgent(h)
		}
	}
	v, at := w.view(members)
	w.apply(w.permits.Decide(v, w.now()).Transactions(v, at, "permits", w.tokens["permits"], "keeper", w.transactionID))
	v, at = w.view(members)
	r, err := release.Decode(w.store.Get(release.KeyPrefix + "r"))
	if err != nil || r.State != release.Running || v.Halted["r"] {
		return
	}
	w.recordCanary(r, members)
	step := w.controller.Decide(r, v, canary.Analyze(canaryOptions, w.recorder.Nodes()), w.MinReady, w.now())
	w.apply(step.Transactions(r, v, at, w.tokens[release.TaskName], "owner", w.transactionID))
	if step.HaltReason != "" {
		res.HaltReason, res.Duration = step.HaltReason, since-w.At
	}
	if step.Updated != nil && step.Updated.State == release.Completed {
		res.Duration = since - w.At
	}
}

// recordCanary ends a span of the judgement where it is time.
func (w *rollout) recordCanary(r release.Release, members []fleetstate.ObservedMember) {
	if now := w.clock.Now(); now.Sub(w.recordedAt) >= canaryInterval {
		w.recordedAt = now
		for i, h := range w.nodes {
			if v := h.version; !h.down {
				v.p99 = float64(v.latencies.Quantile(0.99, now)) / 1e6
				members[i].Report.P99MS = v.p99
			}
		}
		w.recorder.Record(r.CanaryReports(fleetstate.View{Members: members}, w.MinReady))
	}
}

func (w *rollout) apply(list []document.Transaction) {
	for _, t := range list {
		w.store.Apply(t, w.now())
	}
}

func (w *rollout) view(members []fleetstate.ObservedMember) (fleetstate.View, fleetstate.Versions) {
	v, at, err := fleetstate.DecodeView(w.store.List(""), fleetstate.DefaultDecoder, w.clock.Now().UnixMilli())
	if err != nil {
		panic(err) // nobody else writes here
	}
	v.Members = members
	return v, at
}

// stepAgent has a node's own part go on by a step.
func (w *rollout) stepAgent(h *host) {
	v := h.version
	running, held := h.invariants.InFlight()
	s := drainpermit.Observation{Revision: w.store.Revision(), InFlight: running + held + len(h.reader.unread), Healthy: true}
	if d := w.store.Get(fleetstate.RequestKey(h.name)); d.Version > 0 {
		if a, err := fleetstate.Decode[fleetstate.DrainRequest](d.Value); err == nil {
			s.Request, s.RequestVersion = &a, d.Version
		}
	}
	if d := w.store.Get(fleetstate.PermitKey(h.name)); d.Version > 0 {
		if p, err := fleetstate.Decode[fleetstate.Permit](d.Value); err == nil {
			s.Permit, s.PermitVersion = &p, d.Version
		}
	}
	now := w.now()
	switch a := v.agent.NextAction(s, now); a.Kind {
	case drainpermit.ActionStart:
		r := w.store.Apply(drainpermit.StartTransaction(h.name, s, a.Permit, w.transactionID()), now)
		if v.agent.HandleStartResult(r.Committed, r.Revision, now) {
			w.leaveService(h)
		}
	case drainpermit.ActionLeaveService:
		w.leaveService(h)
	case drainpermit.ActionEnterService:
		v.agent.EnteredService()
		v.outOfService, v.inServiceSince = false, w.clock.Now()
		w.announce(h, true)
	case drainpermit.ActionReplaceProcess:
		if r := w.store.Apply(drainpermit.ActionTransaction(h.name, s, a, w.transactionID()), now); r.Committed {
			w.replaceProcess(h, s.Request.TargetVersion)
		} else {
			v.agent.HandleWriteResult(false, 0)
		}
	case drainpermit.ActionUpdatePermit, drainpermit.ActionReturnPermit, drainpermit.ActionFailRequest:
		r := w.store.Apply(drainpermit.ActionTransaction(h.name, s, a, w.transactionID()), now)
		v.agent.HandleWriteResult(r.Committed, r.Revision)
	}
}

// leaveService has a node take no callers; it does what it has in hand.
func (w *rollout) leaveService(h *host) {
	h.version.agent.LeftService(w.now())
	h.version.outOfService = true
	w.announce(h, false)
}

// replaceProcess has a node's process end, and one of a version begin.
func (w *rollout) replaceProcess(h *host, to string) {
	w.nextVersion[h] = to
	w.stopNode(h, w.RestartDuration)
}

// stepBatches has fixed batches go, one after the other.
func (w *rollout) stepBatches(since time.Duration) {
	if !w.releaseStarted {
		w.releaseStarted = true
		w.pending = append(w.pending, w.nodes...)
	}
	for _, h := range w.currentBatch {
		if h.down || h.version.label != newVersion {
			return
		}
	}
	n := min(len(w.pending), max(1, int(w.BatchShare*float64(w.Nodes))))
	if w.currentBatch, w.pending = w.pending[:n], w.pending[n:]; n == 0 {
		if res := w.result.Release; res.Duration == 0 {
			res.Duration = since - w.At
		}
		return
	}
	for _, h := range w.currentBatch {
		w.leaveService(h)
		w.clock.AfterFunc(batchDrainDuration, func() { w.replaceProcess(h, newVersion) })
	}
}
