package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store/document"
)

const (
	goodVersion, badVersion = "good", "bad" // what a release may be to; bad fails a part of its requests
	soak                    = 8 * time.Second
	interval                = 500 * time.Millisecond
	returnTimeout           = 40 * time.Second // in which a node should be back
)

var canaryOptions = canary.Options{FalseAlarmProbability: 0.0001, MaxAnalyses: 1000, MinIntervals: 8} // ten thousand worlds are to have no false alarm

// rollout is a release through a world, its candidates, and what is known of it from outside.
type rollout struct {
	targetVersion    string
	controllers      []*releaseCandidate
	upstreamFaultsAt []time.Duration // when a service below begins to fail, for all nodes alike
	started          bool
}

// releaseCandidate is a candidate for the duty of releases.
type releaseCandidate struct {
	candidate
	controller release.Controller
	recorder   *canary.Recorder
	recordedAt time.Duration
}

// planRelease draws a release.
func (w *world) planRelease() {
	c := &rollout{targetVersion: goodVersion}
	if w.random.IntN(3) == 0 {
		c.targetVersion = badVersion
	}
	for i := range 3 {
		c.controllers = append(c.controllers, &releaseCandidate{candidate: w.newCandidate(i)})
	}
	for range 3 {
		c.upstreamFaultsAt = append(c.upstreamFaultsAt, time.Duration(w.random.IntN(100))*time.Second)
	}
	w.release = c
}

// upstreamFailureRate is the share of all nodes' requests that fails because of a service below.
func (c *rollout) upstreamFailureRate(now time.Duration) float64 {
	for _, from := range c.upstreamFaultsAt {
		if now >= from && now < from+15*time.Second {
			return 0.15
		}
	}
	return 0.005
}

// serveRequests has a node serve for one step.
func (w *world) serveRequests(n *node) {
	if w.release == nil || !w.healthy(n) {
		return
	}
	share := w.release.upstreamFailureRate(w.now)
	if n.version == badVersion {
		share += 0.3
	}
	for range 20 {
		if w.randomOf(n).Float64() < share {
			n.failed++
		} else {
			n.served++
		}
	}
}

// randomOf is a node's own: what it serves changes nothing of the rest of the course.
func (w *world) randomOf(n *node) *rand.Rand {
	if n.random == nil {
		n.random = rand.New(rand.NewPCG(w.random.Uint64(), 27))
	}
	return n.random
}

// readRelease is the release as it stands in the store.
func (w *world) readRelease() (r release.Release, version uint64) {
	d := w.store.Get(release.KeyPrefix + "r")
	if d.Version > 0 {
		var err error
		if r, err = release.Decode(d); err != nil {
			w.fail("%v", err)
		}
	}
	return r, d.Version
}

// runRelease is people and the owners of the release.
func (w *world) runRelease() {
	r, version := w.readRelease()
	switch {
	case !w.release.started && w.now > 8*time.Second: // after some spans to compare with
		w.release.started = true
		v, _ := w.view(&candidate{firstSeen: map[string]time.Duration{}})
		r := release.Release{Name: "r", TargetVersion: w.release.targetVersion, RequestedBy: "op", State: release.Running, SoakMS: soak.Milliseconds(), ReturnTimeoutMS: returnTimeout.Milliseconds()}
		r.Waves, r.PreviousVersions = release.PlanWaves(v.Members, r.TargetVersion, 2)
		w.put(release.KeyPrefix+"r", fleetstate.Encode(r))
	case w.faultsOver && w.now%(5*time.Second) == 0:
		w.settleRelease(r)
	case !w.faultsOver && version > 0:
		w.runReleaseOperator(r)
	}
	for _, o := range w.release.controllers {
		if w.isRunning(&o.candidate) {
			w.runReleaseCandidate(o)
		}
	}
}

// runReleaseOperator is people while there are faults.
func (w *world) runReleaseOperator(r release.Release) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	key := fleetstate.RequestKey(n.name)
	switch x := w.random.IntN(1500); {
	case x < 3:
		w.halt("r")
	case x < 5:
		w.halt(fleetstate.HaltAll)
	case x < 25:
		for _, halt := range []string{fleetstate.HaltAll, "r"} {
			w.resume(halt)
		}
	case x == 25:
		if r.State == release.Running || r.State == release.Completed {
			w.rollBack(r)
		}
	case x < 34: // somebody drains a node meanwhile
		if w.store.Get(key).Version == 0 {
			w.put(key, fleetstate.Encode(fleetstate.DrainRequest{ID: w.newID(), RequestedBy: "op", ExpiresAtMS: (w.now + 10*time.Second).Milliseconds()}))
		}
	}
}

func (w *world) resume(halt string) {
	delete(w.haltedAt, halt)
	if w.store.Get(fleetstate.HaltKeyPrefix+halt).Version > 0 {
		w.put(fleetstate.HaltKeyPrefix+halt, "")
	}
}

func (w *world) rollBack(r release.Release) {
	w.counts["back"]++
	r.State = release.RollingBack
	w.put(release.KeyPrefix+"r", fleetstate.Encode(r))
	w.resume("r")
}

// settleRelease is people once the faults are over: what failed is taken back, and a release that has halted by itself goes back, or on with its
// way back.
func (w *world) settleRelease(r release.Release) {
	for _, d := range w.listDocuments("/ask") {
		if a := decodeCached(w, w.requests, d); a.FailureReason != "" {
			w.put(d.Key, "")
		}
	}
	if w.store.Get(fleetstate.HaltKeyPrefix+"r").Version == 0 {
		return
	}
	if r.State == release.Running {
		w.rollBack(r)
	} else {
		w.resume("r")
	}
}

// runReleaseCandidate is one of a candidate for the duty of releases.
func (w *world) runReleaseCandidate(o *releaseCandidate) {
	if o.busyUntil > w.now {
		return
	}
	mine, fresh := w.holdLease(&o.candidate, release.TaskName)
	if fresh {
		o.controller, o.recorder = release.Controller{}, canary.NewRecorder(400)
		w.counts["owners"]++
	}
	if !mine || fresh {
		return
	}
	v, at := w.view(&o.candidate)
	r, version := w.readRelease()
	if version == 0 {
		r.TargetVersion = w.release.targetVersion
	}
	if w.now-o.recordedAt >= interval {
		o.recordedAt = w.now
		o.recorder.Record(r.CanaryReports(v, w.minReady()))
	}
	if o.busyUntil = w.now + 2*tick; version == 0 {
		return
	}
	nodes := o.recorder.Nodes()
	if w.mutant == "judgement without pairing" {
		nodes = freezeUnchanged(nodes)
	}
	j := canary.Analyze(canaryOptions, nodes)
	if j.Worse && w.release.targetVersion == goodVersion {
		w.fail("a good version is called worse: %s", j.Reason)
	}
	if w.mutant == "halt not looked at before a step" {
		clear(v.Halted)
	}
	s := o.controller.Decide(r, v, j, w.minReady(), w.clock(o.clockRate))
	if s.HaltReason != "" {
		w.counts["halted by itself"]++
		if j.Worse {
			w.counts["called worse"]++
		}
	}
	wait := time.Duration(0)
	if !w.faultsOver && w.random.IntN(10) == 0 { // it stands still between its look and the write
		wait = time.Duration(w.random.Float64() * float64(2*LeaseTerms.Duration))
	}
	for _, t := range s.Transactions(r, v, at, o.token, o.name, w.newID) {
		o.busyUntil = w.now + wait + time.Second
		w.applyMutant(&t)
		w.after(wait, func() { w.apply(t, func(document.Result, bool) {}) })
	}
}

// applyMutant makes an owner's transaction what a faulty program would make.
func (w *world) applyMutant(t *document.Transaction) {
	asks := len(t.Conditions) > 2 && len(t.Operations) == 1 && !t.Operations[0].Delete
	switch {
	case w.mutant == "halt not looked at before a step" && asks:
		t.Conditions = t.Conditions[:3]
	case w.mutant == "step of an overtaken owner" && asks:
		t.Conditions = t.Conditions[2:]
	case w.mutant == "way back ignores the budget" && asks:
		if a, err := fleetstate.Decode[fleetstate.DrainRequest](t.Operations[0].Value); err == nil && a.TargetVersion != w.release.targetVersion {
			node := t.Operations[0].Key[len(fleetstate.DrainKeyPrefix) : len(t.Operations[0].Key)-len("/ask")]
			t.Operations = append(t.Operations, document.Operation{Key: fleetstate.PermitKey(node), Value: fleetstate.Encode(fleetstate.Permit{ID: w.newID(), RequestID: a.ID, State: fleetstate.PermitGranted})})
		}
	}
}

// checkReleaseRequests holds an owner's transaction that was made to what was promised.
func (w *world) checkReleaseRequests(t document.Transaction) {
	if w.release == nil {
		return
	}
	for _, do := range t.Operations {
		if do.Delete || do.Lease != nil || len(do.Key) <= len(fleetstate.DrainKeyPrefix)+len("/ask") || do.Key[:len(fleetstate.DrainKeyPrefix)] != fleetstate.DrainKeyPrefix || do.Key[len(do.Key)-len("/ask"):] != "/ask" {
			continue
		}
		a, err := fleetstate.Decode[fleetstate.DrainRequest](do.Value)
		if err != nil || a.ReleaseName == "" || a.FailureReason != "" || t.Reason == "a permit ends" {
			continue
		}
		w.counts["steps"]++
		r, _ := w.readRelease()
		if (a.TargetVersion == r.TargetVersion) != (r.State == release.Running) {
			w.fail("%s is asked to become %q while the release to %q is %s", do.Key, a.TargetVersion, r.TargetVersion, r.State)
		}
		if at, halted := w.haltedAt[a.ReleaseName]; halted {
			w.fail("%s is asked for %v after a halt was acknowledged", do.Key, w.now-at)
		}
	}
}

// freezeUnchanged are nodes of which those not changed stay for ever as they were at first: what is compared with them is compared with the past.
func freezeUnchanged(nodes []canary.NodeSeries) []canary.NodeSeries {
	out := slices.Clone(nodes)
	for i := range out {
		if n := &out[i]; n.UpdatedFrom == 0 && len(n.Intervals) > 0 {
			first := slices.Index(n.Known, true)
			if first < 0 {
				continue
			}
			n.Intervals = slices.Repeat([]canary.Interval{n.Intervals[first]}, len(n.Intervals))
		}
	}
	return out
}

// ended says whether the release is over or undone, and holds it to that.
func (c *rollout) ended(w *world) bool {
	r, version := w.readRelease()
	if version == 0 || r.State != release.Completed && r.State != release.RolledBack {
		return false
	}
	for _, n := range w.nodes {
		if _, known := r.PreviousVersions[n.name]; n.restartAt == 0 && (n.version == r.TargetVersion) != (r.State == release.Completed) && (known || r.State == release.Completed) {
			if r.State == release.Completed || n.version == r.TargetVersion {
				w.fail("the release is %s, and %s runs %q", r.State, n.name, n.version)
			}
		}
	}
	return true
}

// describeRelease says how far the release is, for people.
func (w *world) describeRelease() string {
	r, _ := w.readRelease()
	v, _ := w.view(&candidate{firstSeen: map[string]time.Duration{}})
	return fmt.Sprintf("%s; %v", release.FormatStatus(r, v), v.Permits)
}

// ReleaseMutants are faults that Releases can be played with.
var ReleaseMutants = []string{"halt not looked at before a step", "step of an overtaken owner", "way back ignores the budget", "judgement without pairing"}

// RunRelease plays a seed as Play does, with a release through the fleet: good or bad, owners that stand still and take each other's place,
// people that halt, resume, have it go back and drain nodes meanwhile. Beside the budgets and halts it holds that nobody is asked to go
// out for a release after its halt was acknowledged, nor to become what its state does not want; that a good version is not called worse,
// whatever the services below do; and that in the end all run what it is to, or none do.
func RunRelease(seed uint64, mutant string) (wrong string, met map[string]int) {
	return run(seed, mutant, 0, true)
}
