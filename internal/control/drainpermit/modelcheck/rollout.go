package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store/document"
)

const (
	goodVersion, badVersion = "good", "bad" // possible target versions of a release; the bad one fails more requests
	soakDuration            = 8 * time.Second
	canaryInterval          = 500 * time.Millisecond
	returnTimeout           = 40 * time.Second
	waveGrowth              = 2
	releaseKey              = release.KeyPrefix + releaseName
	// baselineDuration is how long operators wait before the release, so that there are intervals to compare with.
	baselineDuration = 8 * time.Second
)

// Load on the nodes, and failure rates of their requests.
const (
	requestsPerTick       = 20
	failureRate           = 0.005
	upstreamFaultRate     = 0.15 // failure rate during an upstream fault
	badVersionFailureRate = 0.3  // added to the rate of a good version
	upstreamFaults        = 3
	upstreamFaultDuration = 15 * time.Second
)

// rollout is the release of a run, with the candidates that control it.
type rollout struct {
	targetVersion    string
	controllers      []*controllerCandidate
	upstreamFaultsAt []time.Duration // when upstream servers begin to fail requests, equally for all nodes
	started          bool
}

// planRelease draws a release.
func (w *world) planRelease() {
	r := &rollout{targetVersion: goodVersion}
	if w.random.IntN(3) == 0 {
		r.targetVersion = badVersion
	}
	for i := range candidateCount {
		r.controllers = append(r.controllers, &controllerCandidate{candidate: w.newCandidate(i)})
	}
	for range upstreamFaults {
		r.upstreamFaultsAt = append(r.upstreamFaultsAt, time.Duration(w.random.IntN(100))*time.Second)
	}
	w.rollout = r
}

// failureRate returns the fraction of requests that fail on a node with a good version.
func (c *rollout) failureRate(now time.Duration) float64 {
	for _, from := range c.upstreamFaultsAt {
		if now >= from && now < from+upstreamFaultDuration {
			return upstreamFaultRate
		}
	}
	return failureRate
}

// serveRequests serves a node's requests for a tick.
func (w *world) serveRequests(n *node) {
	if w.rollout == nil || !w.healthy(n) {
		return
	}
	rate := w.rollout.failureRate(w.now)
	if n.version == badVersion {
		rate += badVersionFailureRate
	}
	for range requestsPerTick {
		if w.randomOf(n).Float64() < rate {
			n.failed++
		} else {
			n.served++
		}
	}
}

// randomOf returns a node's own random number generator, so that the requests that it serves do not influence the
// rest of the run.
func (w *world) randomOf(n *node) *rand.Rand {
	if n.random == nil {
		n.random = rand.New(rand.NewPCG(w.random.Uint64(), 27))
	}
	return n.random
}

// readRelease returns the stored release. The version is 0 if the release is not started.
func (w *world) readRelease() (r release.Release, version uint64) {
	d := w.store.Get(releaseKey)
	if d.Version > 0 {
		var err error
		if r, err = release.Decode(d); err != nil {
			w.fail("%v", err)
		}
	}
	return r, d.Version
}

// stepRelease runs the release's operators and controllers for a tick.
func (w *world) stepRelease() {
	const settleInterval = 5 * time.Second
	r, version := w.readRelease()
	switch {
	case !w.rollout.started && w.now > baselineDuration:
		w.startRelease()
	case w.faultsOver && w.now%settleInterval == 0:
		w.settleRelease(r)
	case !w.faultsOver && version > 0:
		w.runReleaseOperator(r)
	}
	for _, c := range w.rollout.controllers {
		if w.isRunning(&c.candidate) {
			w.runControllerCandidate(c)
		}
	}
}

// startRelease starts the release as an operator.
func (w *world) startRelease() {
	w.rollout.started = true
	view, _ := w.readView(&candidate{firstSeen: map[string]time.Duration{}})
	r := release.Release{Name: releaseName, TargetVersion: w.rollout.targetVersion, RequestedBy: "op", State: release.Running,
		SoakMS: soakDuration.Milliseconds(), ReturnTimeoutMS: returnTimeout.Milliseconds()}
	r.Waves, r.PreviousVersions = release.PlanWaves(view.Members, r.TargetVersion, waveGrowth)
	w.write(releaseKey, fleetstate.Encode(r))
}

// runReleaseOperator carries out a random action of an operator, or none: it halts, resumes or rolls back the
// release, or drains a node.
func (w *world) runReleaseOperator(r release.Release) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	key := fleetstate.RequestKey(n.name)
	switch x := w.random.IntN(1500); {
	case x < 3:
		w.halt(releaseName)
	case x < 5:
		w.halt(fleetstate.HaltAll)
	case x < 25:
		for _, haltName := range halts {
			w.resume(haltName)
		}
	case x == 25:
		if r.State == release.Running || r.State == release.Completed {
			w.rollBack(r)
		}
	case x < 34:
		if w.store.Get(key).Version == 0 {
			expiresAt := w.now + 10*time.Second
			w.write(key, fleetstate.Encode(fleetstate.DrainRequest{ID: w.newID(), RequestedBy: "op", ExpiresAtMS: expiresAt.Milliseconds()}))
		}
	}
}

// rollBack rolls the release back as an operator.
func (w *world) rollBack(r release.Release) {
	w.counts[countRolledBack]++
	r.State = release.RollingBack
	w.write(releaseKey, fleetstate.Encode(r))
	w.resume(releaseName)
}

// settleRelease acts as the operators after the end of the faults: it withdraws failed requests, and rolls back a
// release that has halted by itself or resumes its rollback.
func (w *world) settleRelease(r release.Release) {
	for _, d := range w.drainDocuments("/ask") {
		if decodeCached(w, w.requests, d).FailureReason != "" {
			w.write(d.Key, "")
		}
	}
	if w.store.Get(fleetstate.HaltKeyPrefix+releaseName).Version == 0 {
		return
	}
	if r.State == release.Running {
		w.rollBack(r)
	} else {
		w.resume(releaseName)
	}
}

// checkReleaseRequests checks a committed transaction: it may request a node for the release only with the
// version that the release's state calls for, and not after a halt was acknowledged.
func (w *world) checkReleaseRequests(t document.Transaction) {
	if w.rollout == nil || t.Reason == removedReason { // removing a permit may rewrite an existing request
		return
	}
	for _, operation := range t.Operations {
		request, found := writtenRequest(operation)
		if !found || request.ReleaseName == "" || request.FailureReason != "" {
			continue
		}
		w.counts[countRequests]++
		r, _ := w.readRelease()
		if (request.TargetVersion == r.TargetVersion) != (r.State == release.Running) {
			w.fail("%s requests version %q while the release to %q is %s", operation.Key, request.TargetVersion, r.TargetVersion, r.State)
		}
		if at, halted := w.haltedAt[request.ReleaseName]; halted {
			w.fail("%s was requested %v after a halt was acknowledged", operation.Key, w.now-at)
		}
	}
}

// writtenRequest decodes the drain request that an operation writes. found is false if it writes none.
func writtenRequest(operation document.Operation) (request fleetstate.DrainRequest, found bool) {
	if _, isRequest := fleetstate.RequestMember(operation.Key); !isRequest || operation.Delete || operation.Lease != nil {
		return request, false
	}
	request, err := fleetstate.Decode[fleetstate.DrainRequest](operation.Value)
	return request, err == nil
}

// ended reports whether the release has ended, and checks that the nodes run the version that its state calls for.
func (c *rollout) ended(w *world) bool {
	r, version := w.readRelease()
	if version == 0 || r.Active() {
		return false
	}
	completed := r.State == release.Completed
	for _, n := range w.nodes {
		_, canRollBack := r.PreviousVersions[n.name]
		updated := n.version == r.TargetVersion
		if n.restartAt == 0 && updated != completed && (canRollBack || completed) {
			w.fail("the release is %s, but %s runs version %q", r.State, n.name, n.version)
		}
	}
	return true
}

// describeRelease formats the status of the release for a violation.
func (w *world) describeRelease() string {
	r, _ := w.readRelease()
	view, _ := w.readView(&candidate{firstSeen: map[string]time.Duration{}})
	return fmt.Sprintf("%s; %v", release.FormatStatus(r, view), view.Permits)
}
