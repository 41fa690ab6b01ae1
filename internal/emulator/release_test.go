package emulator

import (
	"strings"
	"testing"
	"time"
)

// releaseWorld returns a small fleet with a release.
func releaseWorld(seed uint64, strategy ReleaseStrategy, duration time.Duration) World {
	w := smallFleet(seed, 0.5, "sloehitch")
	w.Nodes, w.Cores, w.Duration, w.WarmUp = 6, 1, duration, 10*time.Second
	w.DiscoveryDelay, w.SlowStartCapacity, w.SlowStartDuration = 500*time.Millisecond, 0.3, 3*time.Second
	w.Release = &Release{At: 20 * time.Second, Strategy: strategy, Zones: 2, MaxUnavailableShare: 0.17, BatchShare: 0.5, MinReady: 4 * time.Second, Soak: 36 * time.Second, RestartDuration: time.Second}
	return w
}

// TestReleaseKeepsBudgetsAndHaltsOnBadVersion: with budgets no more nodes are unavailable at once than these allow, and all
// nodes change in the end; other strategies have more nodes unavailable. A version that fails requests halts the release
// early, a node that was slow before the release doesn't, and a seed determines the result.
func TestReleaseKeepsBudgetsAndHaltsOnBadVersion(t *testing.T) {
	run := func(w World) *ReleaseResult {
		t.Helper()
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Error(v)
		}
		return r.Release
	}
	good := run(releaseWorld(1, BudgetedWaves, 500*time.Second))
	if good.MaxUnavailable != 1 || good.NodesChanged != 6 || good.Duration == 0 || good.HaltReason != "" {
		t.Errorf("budgeted waves: %+v", good)
	}
	if first, second := run(releaseWorld(2, BudgetedWaves, 100*time.Second)), run(releaseWorld(2, BudgetedWaves, 100*time.Second)); *second != *first || first.NodesChanged == 0 {
		t.Errorf("two results from one seed: %+v and %+v", first, second)
	}
	if r := run(releaseWorld(1, FixedBatches, 60*time.Second)); r.MaxUnavailable < 3 || r.NodesChanged != 6 {
		t.Errorf("fixed batches: %+v", r)
	}
	if r := run(releaseWorld(1, UnboundedWaves, 400*time.Second)); r.MaxUnavailable < 2 || r.NodesChanged != 6 || r.HaltReason != "" {
		t.Errorf("unbounded waves: %+v", r)
	}
	slowNode := releaseWorld(1, BudgetedWaves, 200*time.Second)
	slowNode.Faults = []Fault{{At: time.Second, Node: 0, Kind: FaultSlow, Duration: time.Hour, Factor: 0.8}}
	if r := run(slowNode); r.HaltReason != "" {
		t.Errorf("one slow node: %+v", r)
	}
	badVersion := releaseWorld(1, BudgetedWaves, 200*time.Second)
	badVersion.Release.FailureShare = 0.1
	if r := run(badVersion); r.NodesChanged > 2 || !strings.Contains(r.HaltReason, "failed share") {
		t.Errorf("version that fails a tenth of the requests: %+v", r)
	}
	for _, c := range []struct {
		change func(*Release)
		want   string
	}{
		{func(r *Release) { r.Strategy = "by hand" }, `unknown roll "by hand": must be agreed, unbounded or batch`},
		{func(r *Release) { r.MaxUnavailableShare = 0 }, "most_out"},
		{func(r *Release) { r.Zones = 0 }, "zones"},
		{func(r *Release) { r.FailureShare = 2 }, "fails"},
	} {
		w := releaseWorld(1, BudgetedWaves, 100*time.Second)
		c.change(w.Release)
		if err := w.Validate(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want one that contains %q", err, c.want)
		}
	}
}
