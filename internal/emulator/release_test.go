package emulator

import (
	"strings"
	"testing"
	"time"
)

// rolling is a small fleet through which a release goes.
func rolling(seed uint64, roll Roll, length time.Duration) World {
	w := clinic(seed, 0.5, "sloehitch")
	w.Nodes, w.Cores, w.Length, w.WarmUp = 6, 1, length, 10*time.Second
	w.Notice, w.ColdFrom, w.ColdFor = 500*time.Millisecond, 0.3, 3*time.Second
	w.Release = &Release{At: 20 * time.Second, Roll: roll, Zones: 2, MostOut: 0.17, Batch: 0.5, Settle: 4 * time.Second, Soak: 36 * time.Second, Start: time.Second}
	return w
}

// TestRelease: by budgets no more are out or cold at once than they let, and all are changed in the end; batches have more out; a bad version
// halts early, a machine that was slow all along halts nothing, and one seed gives one course.
func TestRelease(t *testing.T) {
	play := func(w World) *Rolled {
		t.Helper()
		r, err := Play(w)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Broken {
			t.Error(b)
		}
		return r.Release
	}
	good := play(rolling(1, Agreed, 500*time.Second))
	if good.MostOut != 1 || good.Changed != 6 || good.Took == 0 || good.Halted != "" {
		t.Errorf("by budgets: %+v", good)
	}
	if once, again := play(rolling(2, Agreed, 100*time.Second)), play(rolling(2, Agreed, 100*time.Second)); *again != *once || once.Changed == 0 {
		t.Errorf("%+v, and the same seed again %+v", once, again)
	}
	if r := play(rolling(1, Batched, 60*time.Second)); r.MostOut < 3 || r.Changed != 6 {
		t.Errorf("in batches: %+v", r)
	}
	if r := play(rolling(1, Unbounded, 400*time.Second)); r.MostOut < 2 || r.Changed != 6 || r.Halted != "" {
		t.Errorf("without budgets: %+v", r)
	}
	slow := rolling(1, Agreed, 200*time.Second)
	slow.Faults = []Fault{{At: time.Second, Node: 0, Kind: Slow, Length: time.Hour, Factor: 0.8}}
	if r := play(slow); r.Halted != "" {
		t.Errorf("with one slow machine: %+v", r)
	}
	bad := rolling(1, Agreed, 200*time.Second)
	bad.Release.Fails = 0.1
	if r := play(bad); r.Changed > 2 || !strings.Contains(r.Halted, "failed share") {
		t.Errorf("a bad version: %+v", r)
	}
	for _, c := range []struct {
		change func(*Release)
		want   string
	}{
		{func(r *Release) { r.Roll = "by hand" }, "no roll"},
		{func(r *Release) { r.MostOut = 0 }, "most_out"},
		{func(r *Release) { r.Zones = 0 }, "zones"},
		{func(r *Release) { r.Fails = 2 }, "fails"},
	} {
		w := rolling(1, Agreed, 100*time.Second)
		c.change(w.Release)
		if err := w.Check(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
}
