package emulator

import (
	"fmt"
	"math"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/release"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/store/document"
)

const (
	oldVersion, newVersion = "old", "new"

	rolloutInterval    = 250 * time.Millisecond // between two steps of the agents and controllers
	canaryInterval     = 4 * time.Second        // between two load reports for the canary analysis, as in the daemon
	batchDrainDuration = 3 * time.Second        // after which a node's process is replaced, even with requests in flight

	canaryHistory = 400 // intervals that the canary recorder keeps

	permitsTaskName = "permits"
	releaseName     = "r"
	releaseWaves    = 2
	operatorName    = "op"

	// A zone's budget is this multiple of its proportional part of the fleet's budget.
	zoneBudgetFactor = 3
)

// leaseTerms are the terms of the controllers' leases, which have only one holder here.
var leaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// canaryOptions are the same as in the daemon (package fleet).
var canaryOptions = canary.Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8, SmoothingIntervals: int(latency.MaxWindow / canaryInterval)}

// rollout runs a release with the fleet's own drain permits, release controller and canary analysis on one store.
type rollout struct {
	*simulation
	*Release
	store            *document.State
	permits          drainpermit.Controller
	controller       release.Controller
	recorder         *canary.Recorder
	tokens           map[string]uint64 // fencing tokens, by task
	transactionCount int
	recordedAt       time.Time        // of the last load reports
	releaseStarted   bool             // the release's record is written, or its batches are planned
	nextVersion      map[*host]string // version of each node's next process
	currentBatch     []*host          // of FixedBatches
	pending          []*host          // of FixedBatches: nodes of later batches
}

func (ro *rollout) transactionID() string {
	ro.transactionCount++
	return fmt.Sprint("id", ro.transactionCount)
}

// now returns the time on the clock that all nodes share.
func (ro *rollout) now() lease.Instant { return lease.Instant(ro.clock.Now().Sub(ro.startedAt)) }

// setUpRelease prepares the world's release. It does nothing if the world has none.
func (s *simulation) setUpRelease() error {
	if s.Release == nil {
		return nil
	}
	ro := &rollout{simulation: s, Release: s.Release, permits: drainpermit.Controller{Terms: leaseTerms, MinReady: s.Release.MinReady},
		recorder: canary.NewRecorder(canaryHistory), tokens: map[string]uint64{}, nextVersion: map[*host]string{}}
	var err error
	if ro.store, err = document.New(document.DefaultLimits, leaseTerms); err != nil {
		return err
	}
	for _, task := range []string{permitsTaskName, release.TaskName} {
		if err := ro.acquire(task); err != nil {
			return err
		}
	}
	ro.putBudgets()
	for _, h := range s.nodes {
		ro.startVersion(h, oldVersion)
		h.version.inServiceSince = s.startedAt.Add(-time.Hour) // long in service, so every node counts as available
	}
	s.rollout = ro
	s.clock.AfterFunc(rolloutInterval, ro.step)
	return nil
}

// acquire acquires the lease of a task and stores its fencing token.
func (ro *rollout) acquire(task string) error {
	record, err := ro.store.Leases().Acquire(task, "all", 0)
	if err != nil {
		return err
	}
	ro.store.Apply(document.Transaction{ID: ro.transactionID(), Operations: []document.Operation{{Lease: &record}}}, 0)
	ro.tokens[task] = record.Token
	return nil
}

// putBudgets writes the disruption budgets. Strategies other than BudgetedWaves may have all nodes unavailable.
func (ro *rollout) putBudgets() {
	fleet, zone := ro.Nodes, ro.Nodes
	if ro.Strategy == BudgetedWaves {
		fleet = max(1, int(ro.MaxUnavailableShare*float64(ro.Nodes)))
		zone = max(1, int(math.Ceil(zoneBudgetFactor*ro.MaxUnavailableShare*float64(ro.Nodes)/float64(ro.Zones))))
	}
	ro.put(fleetstate.BudgetsKey, fleetstate.Encode(disruption.Budgets{{Scope: "fleet", MaxUnavailable: &fleet}, {Scope: "zone", MaxUnavailable: &zone}}))
}

func (ro *rollout) put(key, value string) {
	ro.store.Apply(document.Transaction{ID: ro.transactionID(), Author: operatorName, Operations: []document.Operation{{Key: key, Value: value}}}, ro.now())
}

// step runs one step of all drain agents and of the controllers, and schedules the next one.
func (ro *rollout) step() {
	sinceStart := ro.clock.Now().Sub(ro.startedAt)
	if sinceStart < ro.Duration {
		ro.clock.AfterFunc(rolloutInterval, ro.step)
	}
	members := ro.observe()
	switch {
	case sinceStart < ro.At:
		ro.recordCanary(release.Release{TargetVersion: newVersion}, members)
	case ro.Strategy == FixedBatches:
		ro.stepBatches(sinceStart)
	default:
		ro.stepWaves(sinceStart, members)
	}
}

// observe returns the reports of all nodes, and counts the unavailable nodes and those on the new version.
func (ro *rollout) observe() (members []fleetstate.ObservedMember) {
	now := ro.clock.Now()
	unavailable, changed := 0, 0
	for i, h := range ro.nodes {
		report := ro.nodeReport(h, i%ro.Zones)
		members = append(members, fleetstate.ObservedMember{Name: h.name, Report: report})
		if h.down || h.version.outOfService || now.Sub(h.version.inServiceSince) < ro.SlowStartDuration {
			unavailable++
		}
		if report.DeployedVersion == newVersion {
			changed++
		}
	}
	result := ro.result.Release
	result.MaxUnavailable = max(result.MaxUnavailable, unavailable)
	result.NodesChanged = changed
	return members
}

// stepWaves runs one step of a release in waves.
func (ro *rollout) stepWaves(sinceStart time.Duration, members []fleetstate.ObservedMember) {
	if !ro.releaseStarted {
		ro.releaseStarted = true
		ro.putRelease(members)
	}
	for _, h := range ro.nodes {
		if !h.down {
			ro.stepAgent(h)
		}
	}
	view, versions := ro.view(members)
	ro.apply(ro.permits.Decide(view, ro.now()).Transactions(view, versions, permitsTaskName, ro.tokens[permitsTaskName], "keeper", ro.transactionID))
	view, versions = ro.view(members)
	current, err := release.Decode(ro.store.Get(release.KeyPrefix + releaseName))
	if err != nil || current.State != release.Running || view.Halted[releaseName] {
		return
	}
	ro.recordCanary(current, members)
	step := ro.controller.Decide(current, view, canary.Analyze(canaryOptions, ro.recorder.Nodes()), ro.MinReady, ro.now())
	ro.apply(step.Transactions(current, view, versions, ro.tokens[release.TaskName], "owner", ro.transactionID))
	result := ro.result.Release
	if step.HaltReason != "" {
		result.HaltReason, result.Duration = step.HaltReason, sinceStart-ro.At
	}
	if step.Updated != nil && step.Updated.State == release.Completed {
		result.Duration = sinceStart - ro.At
	}
}

// putRelease writes the release's record as an operator's command does.
func (ro *rollout) putRelease(members []fleetstate.ObservedMember) {
	r := release.Release{Name: releaseName, TargetVersion: newVersion, RequestedBy: operatorName, State: release.Running,
		SoakMS: ro.Soak.Milliseconds(), ReturnTimeoutMS: time.Hour.Milliseconds()}
	r.Waves, r.PreviousVersions = release.PlanWaves(members, newVersion, releaseWaves)
	ro.put(release.KeyPrefix+releaseName, fleetstate.Encode(r))
}

// recordCanary passes the load reports of all nodes to the canary analysis once every canaryInterval.
func (ro *rollout) recordCanary(r release.Release, members []fleetstate.ObservedMember) {
	now := ro.clock.Now()
	if now.Sub(ro.recordedAt) < canaryInterval {
		return
	}
	ro.recordedAt = now
	for i, h := range ro.nodes {
		if v := h.version; !h.down {
			v.p99MS = float64(v.latencies.Quantile(0.99, now)) / float64(time.Millisecond)
			members[i].Report.P99MS = v.p99MS
		}
	}
	ro.recorder.Record(r.CanaryReports(fleetstate.View{Members: members}, ro.MinReady))
}

func (ro *rollout) apply(transactions []document.Transaction) {
	for _, t := range transactions {
		ro.store.Apply(t, ro.now())
	}
}

// view decodes the store's contents and adds the reports of members.
func (ro *rollout) view(members []fleetstate.ObservedMember) (fleetstate.View, fleetstate.Versions) {
	view, versions, err := fleetstate.DecodeView(ro.store.List(""), fleetstate.DefaultDecoder, ro.clock.Now().UnixMilli())
	if err != nil {
		panic(err) // only this package writes to the store
	}
	view.Members = members
	return view, versions
}

// stepBatches starts the next batch of FixedBatches once all nodes of the current one have restarted.
func (ro *rollout) stepBatches(sinceStart time.Duration) {
	if !ro.releaseStarted {
		ro.releaseStarted = true
		ro.pending = append(ro.pending, ro.nodes...)
	}
	for _, h := range ro.currentBatch {
		if h.down || h.version.label != newVersion {
			return
		}
	}
	size := min(len(ro.pending), max(1, int(ro.BatchShare*float64(ro.Nodes))))
	ro.currentBatch, ro.pending = ro.pending[:size], ro.pending[size:]
	if size == 0 {
		if result := ro.result.Release; result.Duration == 0 {
			result.Duration = sinceStart - ro.At
		}
		return
	}
	for _, h := range ro.currentBatch {
		ro.leaveService(h)
		ro.clock.AfterFunc(batchDrainDuration, func() { ro.replaceProcess(h, newVersion) })
	}
}
