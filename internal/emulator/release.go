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
	At   time.Duration
	Roll Roll

	Zones   int           // that the nodes are in, by turns
	MostOut float64       // of Agreed: share of the fleet that may be out at once; a zone's share is three times that
	Batch   float64       // of Batched: share of the fleet that is replaced at once
	Settle  time.Duration // in and well, before a node counts as in
	Soak    time.Duration // for which a wave is watched
	Start   time.Duration // from a process's end until the next one serves

	Slow  float64 // the new version's speed as a share of the old one's; 0: the same
	Fails float64 // share of its answers that are failures
}

// Roll is how a release goes.
type Roll string

// The ways. The first two are the fleet's own: real permits, waves and judgement, without lost messages.
const (
	Agreed    Roll = "agreed"    // by budgets
	Unbounded Roll = "unbounded" // in the same waves, all of a wave out at once
	Batched   Roll = "batch"     // in fixed batches; the next goes as the last one serves again, whatever it is like
)

// Rolled is what became of a release.
type Rolled struct {
	Changed int           // nodes that run the new version at the end of the world
	MostOut int           // nodes that took no callers, or were cold, at once
	Took    time.Duration // until it was over, or halted by itself; 0: neither
	Halted  string        // why it halted by itself
}

func (r *Release) check(want func(ok bool, what string)) {
	if r == nil {
		return
	}
	want(r.Roll == Agreed || r.Roll == Unbounded || r.Roll == Batched, fmt.Sprintf("release: no roll %q: agreed, unbounded or batch", r.Roll))
	want(r.Zones >= 1 && r.Settle >= 0 && r.Soak >= 0 && r.Start > 0, "release: zones and start above 0 are wanted, settle and soak of 0 or more")
	want(r.Roll != Agreed || r.MostOut > 0 && r.MostOut <= 1, "release: most_out above 0 and up to 1 is wanted")
	want(r.Roll != Batched || r.Batch > 0 && r.Batch <= 1, "release: batch above 0 and up to 1 is wanted")
	want(r.Slow >= 0 && r.Slow <= 1 && r.Fails >= 0 && r.Fails <= 1, "release: slow and fails must be from 0 to 1")
}

const (
	oldVersion, newVersion = "old", "new"

	releaseLook   = 250 * time.Millisecond // between looks of agents, keeper and owner
	releaseReport = 4 * time.Second        // a span of the judgement, as the daemon has it
	empties       = 3 * time.Second        // after which a node of a batch is replaced, whatever it still has in hand
)

// terms of leases; nobody takes another's place here.
var releaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// judged is by which terms, as in package fleet.
var judged = canary.Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8, SmoothingIntervals: int(latency.MaxWindow / releaseReport)}

// version is what a node runs, and what it has done by it.
type version struct {
	label                   string
	since, in               time.Time // its process began; it is in service and warm or getting so
	served, refused, failed uint64
	luck                    *rand.Rand // of answers that fail
	took                    *latency.Window
	p99                     float64 // milliseconds, as reported last
	agent                   *drainpermit.Agent
	out                     bool
}

// rollout is a release under way.
type rollout struct {
	*play
	*Release
	store  *document.State
	keeper drainpermit.Controller
	owner  release.Controller
	judge  *canary.Recorder
	tokens map[string]uint64
	ids    int
	looked time.Time
	batch  []*host // that are being replaced
	began  bool
	label  map[*host]string // what a host's next process runs
	plan   []*host          // of batches: those that are to come
}

func (w *rollout) id() string {
	w.ids++
	return fmt.Sprint("id", w.ids)
}

// now is the time on the one clock that there is.
func (w *rollout) now() lease.Instant { return lease.Instant(w.clock.Now().Sub(w.begun)) }

// rolls sets a release up.
func (p *play) rolls() error {
	if p.Release == nil {
		return nil
	}
	w := &rollout{play: p, Release: p.Release, keeper: drainpermit.Controller{Terms: releaseTerms, MinReady: p.Release.Settle}, judge: canary.NewRecorder(400), tokens: map[string]uint64{}, label: map[*host]string{}}
	var err error
	if w.store, err = document.New(document.DefaultLimits, releaseTerms); err != nil {
		return err
	}
	for _, duty := range []string{"permits", release.TaskName} {
		rec, err := w.store.Leases().Acquire(duty, "all", 0)
		if err != nil {
			return err
		}
		w.store.Apply(document.Transaction{ID: w.id(), Operations: []document.Operation{{Lease: &rec}}}, 0)
		w.tokens[duty] = rec.Token
	}
	most, zone := p.Nodes, p.Nodes
	if w.Roll == Agreed {
		most = max(1, int(w.MostOut*float64(p.Nodes)))
		zone = max(1, int(math.Ceil(3*w.MostOut*float64(p.Nodes)/float64(w.Zones))))
	}
	w.put(fleetstate.BudgetsKey, fleetstate.Encode(disruption.Budgets{{Scope: "fleet", MaxUnavailable: &most}, {Scope: "zone", MaxUnavailable: &zone}}))
	for _, h := range p.nodes {
		w.starts(h, oldVersion)
		h.version.in = p.begun.Add(-time.Hour)
	}
	p.rollout = w
	p.clock.AfterFunc(releaseLook, w.look)
	return nil
}

func (w *rollout) put(key, value string) {
	w.store.Apply(document.Transaction{ID: w.id(), Author: "op", Operations: []document.Operation{{Key: key, Value: value}}}, w.now())
}

// starts has a host's process be of a version from now on.
func (w *rollout) starts(h *host, label string) {
	now := w.clock.Now()
	h.version = &version{label: label, since: now, in: now, took: latency.New(now), luck: w.streams.Stream(fmt.Sprint("luck ", h.name, " ", h.life)),
		agent: drainpermit.NewAgent(drainpermit.AgentOptions{DeployedVersion: label, Terms: releaseTerms, MinReady: w.Settle, MaxReplaceAttempts: 2})}
	if label == newVersion && w.Slow > 0 {
		h.factor = w.Slow
	} else {
		h.factor = 1
	}
	h.machine.Speed(w.speed(h))
}

// answered counts an answer, and spoils it where the version is bad.
func (w *rollout) answered(h *host, t *Try, a *node.Response) {
	v := h.version
	if a.Status == node.StatusServed && v.label == newVersion && w.Fails > 0 && v.luck.Float64() < w.Fails {
		a.Status = node.StatusFailed
	}
	switch a.Status {
	case node.StatusServed:
		v.served++
		v.took.Add(w.clock.Now().Sub(t.Came))
	case node.StatusRejected:
		v.refused++
	default:
		v.failed++
	}
}

// report is what a node tells of itself.
func (w *rollout) report(h *host, zone int) fleetstate.NodeReport {
	v := h.version
	r := fleetstate.NodeReport{State: "ready", Healthy: true, Zone: fmt.Sprint("z", zone), DeployedVersion: v.label, ProcessStartMS: v.since.UnixMilli(), Served: v.served, Rejected: v.refused, Failed: v.failed, P99MS: v.p99,
		InServiceMS: w.clock.Now().Sub(v.in).Milliseconds()}
	switch {
	case h.gone:
		r.State, r.InServiceMS = "starting", 0
	case v.out:
		r.State, r.InServiceMS = "out of service", 0
	}
	return r
}

// look has all parts of the release go on by a step.
func (w *rollout) look() {
	now := w.clock.Now()
	since := now.Sub(w.begun)
	if since < w.Length {
		w.clock.AfterFunc(releaseLook, w.look)
	}
	out := 0
	var members []fleetstate.ObservedMember
	for i, h := range w.nodes {
		r := w.report(h, i%w.Zones)
		members = append(members, fleetstate.ObservedMember{Name: h.name, Report: r})
		if h.gone || h.version.out || now.Sub(h.version.in) < w.ColdFor {
			out++
		}
	}
	res := w.result.Release
	res.MostOut = max(res.MostOut, out)
	res.Changed = 0
	for _, m := range members {
		if m.Report.DeployedVersion == newVersion {
			res.Changed++
		}
	}
	if since < w.At {
		w.take(release.Release{TargetVersion: newVersion}, members)
		return
	}
	if w.Roll == Batched {
		w.batches(since)
		return
	}
	if !w.began {
		w.began = true
		r := release.Release{Name: "r", TargetVersion: newVersion, RequestedBy: "op", State: release.Running, SoakMS: w.Soak.Milliseconds(), ReturnTimeoutMS: time.Hour.Milliseconds()}
		r.Waves, r.PreviousVersions = release.PlanWaves(members, newVersion, 2)
		w.put(release.KeyPrefix+"r", fleetstate.Encode(r))
	}
	for _, h := range w.nodes {
		if !h.gone {
			w.act(h)
		}
	}
	v, at := w.view(members)
	w.apply(w.keeper.Decide(v, w.now()).Transactions(v, at, "permits", w.tokens["permits"], "keeper", w.id))
	v, at = w.view(members)
	r, err := release.Decode(w.store.Get(release.KeyPrefix + "r"))
	if err != nil || r.State != release.Running || v.Halted["r"] {
		return
	}
	w.take(r, members)
	step := w.owner.Decide(r, v, canary.Analyze(judged, w.judge.Nodes()), w.Settle, w.now())
	w.apply(step.Transactions(r, v, at, w.tokens[release.TaskName], "owner", w.id))
	if step.HaltReason != "" {
		res.Halted, res.Took = step.HaltReason, since-w.At
	}
	if step.Updated != nil && step.Updated.State == release.Completed {
		res.Took = since - w.At
	}
}

// take ends a span of the judgement where it is time.
func (w *rollout) take(r release.Release, members []fleetstate.ObservedMember) {
	if now := w.clock.Now(); now.Sub(w.looked) >= releaseReport {
		w.looked = now
		for i, h := range w.nodes {
			if v := h.version; !h.gone {
				v.p99 = float64(v.took.Quantile(0.99, now)) / 1e6
				members[i].Report.P99MS = v.p99
			}
		}
		w.judge.Record(r.CanaryReports(fleetstate.View{Members: members}, w.Settle))
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

// act has a node's own part go on by a step.
func (w *rollout) act(h *host) {
	v := h.version
	running, held := h.server.Counts()
	s := drainpermit.Observation{Revision: w.store.Revision(), InFlight: running + held + len(h.intake.line), Healthy: true}
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
		r := w.store.Apply(drainpermit.StartTransaction(h.name, s, a.Permit, w.id()), now)
		if v.agent.HandleStartResult(r.Committed, r.Revision, now) {
			w.leaves(h)
		}
	case drainpermit.ActionLeaveService:
		w.leaves(h)
	case drainpermit.ActionEnterService:
		v.agent.EnteredService()
		v.out, v.in = false, w.clock.Now()
		w.list(h, true)
	case drainpermit.ActionReplaceProcess:
		if r := w.store.Apply(drainpermit.ActionTransaction(h.name, s, a, w.id()), now); r.Committed {
			w.replace(h, s.Request.TargetVersion)
		} else {
			v.agent.HandleWriteResult(false, 0)
		}
	case drainpermit.ActionUpdatePermit, drainpermit.ActionReturnPermit, drainpermit.ActionFailRequest:
		r := w.store.Apply(drainpermit.ActionTransaction(h.name, s, a, w.id()), now)
		v.agent.HandleWriteResult(r.Committed, r.Revision)
	}
}

// leaves has a node take no callers; it does what it has in hand.
func (w *rollout) leaves(h *host) {
	h.version.agent.LeftService(w.now())
	h.version.out = true
	w.list(h, false)
}

// replace has a node's process end, and one of a version begin.
func (w *rollout) replace(h *host, to string) {
	w.label[h] = to
	w.end(h, w.Start)
}

// batches has fixed batches go, one after the other.
func (w *rollout) batches(since time.Duration) {
	if !w.began {
		w.began = true
		w.plan = append(w.plan, w.nodes...)
	}
	for _, h := range w.batch {
		if h.gone || h.version.label != newVersion {
			return
		}
	}
	n := min(len(w.plan), max(1, int(w.Batch*float64(w.Nodes))))
	if w.batch, w.plan = w.plan[:n], w.plan[n:]; n == 0 {
		if res := w.result.Release; res.Took == 0 {
			res.Took = since - w.At
		}
		return
	}
	for _, h := range w.batch {
		w.leaves(h)
		w.clock.AfterFunc(empties, func() { w.replace(h, newVersion) })
	}
}
