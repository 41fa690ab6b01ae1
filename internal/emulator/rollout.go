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

func (o *rollout) transactionID() string {
	o.transactionCount++
	return fmt.Sprint("id", o.transactionCount)
}

// now returns the time on the clock that all nodes share.
func (o *rollout) now() lease.Instant { return lease.Instant(o.clock.Now().Sub(o.startedAt)) }

// setUpRelease prepares the world's release. It does nothing if the world has none.
func (s *simulation) setUpRelease() error {
	if s.Release == nil {
		return nil
	}
	o := &rollout{simulation: s, Release: s.Release, permits: drainpermit.Controller{Terms: leaseTerms, MinReady: s.Release.MinReady},
		recorder: canary.NewRecorder(canaryHistory), tokens: map[string]uint64{}, nextVersion: map[*host]string{}}
	var err error
	if o.store, err = document.New(document.DefaultLimits, leaseTerms); err != nil {
		return err
	}
	for _, task := range []string{permitsTaskName, release.TaskName} {
		if err := o.acquire(task); err != nil {
			return err
		}
	}
	o.putBudgets()
	for _, h := range s.nodes {
		o.startVersion(h, oldVersion)
		h.version.inServiceSince = s.startedAt.Add(-time.Hour) // long in service, so every node counts as available
	}
	s.rollout = o
	s.clock.AfterFunc(rolloutInterval, o.step)
	return nil
}

// acquire acquires the lease of a task and stores its fencing token.
func (o *rollout) acquire(task string) error {
	record, err := o.store.Leases().Acquire(task, "all", 0)
	if err != nil {
		return err
	}
	o.store.Apply(document.Transaction{ID: o.transactionID(), Operations: []document.Operation{{Lease: &record}}}, 0)
	o.tokens[task] = record.Token
	return nil
}

// putBudgets writes the disruption budgets. Strategies other than BudgetedWaves may have all nodes unavailable.
func (o *rollout) putBudgets() {
	fleet, zone := o.Nodes, o.Nodes
	if o.Strategy == BudgetedWaves {
		fleet = max(1, int(o.MaxUnavailableShare*float64(o.Nodes)))
		zone = max(1, int(math.Ceil(zoneBudgetFactor*o.MaxUnavailableShare*float64(o.Nodes)/float64(o.Zones))))
	}
	o.put(fleetstate.BudgetsKey, fleetstate.Encode(disruption.Budgets{{Scope: "fleet", MaxUnavailable: &fleet}, {Scope: "zone", MaxUnavailable: &zone}}))
}

func (o *rollout) put(key, value string) {
	o.store.Apply(document.Transaction{ID: o.transactionID(), Author: operatorName, Operations: []document.Operation{{Key: key, Value: value}}}, o.now())
}

// step runs one step of all drain agents and of the controllers, and schedules the next one.
func (o *rollout) step() {
	sinceStart := o.clock.Now().Sub(o.startedAt)
	if sinceStart < o.Duration {
		o.clock.AfterFunc(rolloutInterval, o.step)
	}
	members := o.observe()
	switch {
	case sinceStart < o.At:
		o.recordCanary(release.Release{TargetVersion: newVersion}, members)
	case o.Strategy == FixedBatches:
		o.stepBatches(sinceStart)
	default:
		o.stepWaves(sinceStart, members)
	}
}

// observe returns the reports of all nodes, and counts the unavailable nodes and those on the new version.
func (o *rollout) observe() (members []fleetstate.ObservedMember) {
	now := o.clock.Now()
	unavailable, changed := 0, 0
	for i, h := range o.nodes {
		report := o.nodeReport(h, i%o.Zones)
		members = append(members, fleetstate.ObservedMember{Name: h.name, Report: report})
		if h.down || h.version.outOfService || now.Sub(h.version.inServiceSince) < o.SlowStartDuration {
			unavailable++
		}
		if report.DeployedVersion == newVersion {
			changed++
		}
	}
	result := o.result.Release
	result.MaxUnavailable = max(result.MaxUnavailable, unavailable)
	result.NodesChanged = changed
	return members
}

// stepWaves runs one step of a release in waves.
func (o *rollout) stepWaves(sinceStart time.Duration, members []fleetstate.ObservedMember) {
	if !o.releaseStarted {
		o.releaseStarted = true
		o.putRelease(members)
	}
	for _, h := range o.nodes {
		if !h.down {
			o.stepAgent(h)
		}
	}
	view, versions := o.view(members)
	o.apply(o.permits.Decide(view, o.now()).Transactions(view, versions, permitsTaskName, o.tokens[permitsTaskName], "keeper", o.transactionID))
	view, versions = o.view(members)
	current, err := release.Decode(o.store.Get(release.KeyPrefix + releaseName))
	if err != nil || current.State != release.Running || view.Halted[releaseName] {
		return
	}
	o.recordCanary(current, members)
	step := o.controller.Decide(current, view, canary.Analyze(canaryOptions, o.recorder.Nodes()), o.MinReady, o.now())
	o.apply(step.Transactions(current, view, versions, o.tokens[release.TaskName], "owner", o.transactionID))
	result := o.result.Release
	if step.HaltReason != "" {
		result.HaltReason, result.Duration = step.HaltReason, sinceStart-o.At
	}
	if step.Updated != nil && step.Updated.State == release.Completed {
		result.Duration = sinceStart - o.At
	}
}

// putRelease writes the release's record as an operator's command does.
func (o *rollout) putRelease(members []fleetstate.ObservedMember) {
	r := release.Release{Name: releaseName, TargetVersion: newVersion, RequestedBy: operatorName, State: release.Running,
		SoakMS: o.Soak.Milliseconds(), ReturnTimeoutMS: time.Hour.Milliseconds()}
	r.Waves, r.PreviousVersions = release.PlanWaves(members, newVersion, releaseWaves)
	o.put(release.KeyPrefix+releaseName, fleetstate.Encode(r))
}

// recordCanary passes the load reports of all nodes to the canary analysis once every canaryInterval.
func (o *rollout) recordCanary(r release.Release, members []fleetstate.ObservedMember) {
	now := o.clock.Now()
	if now.Sub(o.recordedAt) < canaryInterval {
		return
	}
	o.recordedAt = now
	for i, h := range o.nodes {
		if v := h.version; !h.down {
			v.p99MS = float64(v.latencies.Quantile(0.99, now)) / float64(time.Millisecond)
			members[i].Report.P99MS = v.p99MS
		}
	}
	o.recorder.Record(r.CanaryReports(fleetstate.View{Members: members}, o.MinReady))
}

func (o *rollout) apply(transactions []document.Transaction) {
	for _, t := range transactions {
		o.store.Apply(t, o.now())
	}
}

// view decodes the store's contents and adds the reports of members.
func (o *rollout) view(members []fleetstate.ObservedMember) (fleetstate.View, fleetstate.Versions) {
	view, versions, err := fleetstate.DecodeView(o.store.List(""), fleetstate.DefaultDecoder, o.clock.Now().UnixMilli())
	if err != nil {
		panic(err) // only this package writes to the store
	}
	view.Members = members
	return view, versions
}

// stepBatches starts the next batch of FixedBatches once all nodes of the current one have restarted.
func (o *rollout) stepBatches(sinceStart time.Duration) {
	if !o.releaseStarted {
		o.releaseStarted = true
		o.pending = append(o.pending, o.nodes...)
	}
	for _, h := range o.currentBatch {
		if h.down || h.version.label != newVersion {
			return
		}
	}
	size := min(len(o.pending), max(1, int(o.BatchShare*float64(o.Nodes))))
	o.currentBatch, o.pending = o.pending[:size], o.pending[size:]
	if size == 0 {
		if result := o.result.Release; result.Duration == 0 {
			result.Duration = sinceStart - o.At
		}
		return
	}
	for _, h := range o.currentBatch {
		o.leaveService(h)
		o.clock.AfterFunc(batchDrainDuration, func() { o.replaceProcess(h, newVersion) })
	}
}
