package logic

import "testing"

func TestNewQueueStartsRequestThatMeetsObjective(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 300*ms)
	d.wantAction(d.step(0, arrival(2, 0, 3000*ms)), ActionRun, 2)
}

func TestLateBoundFollowsLateWeightShare(t *testing.T) {
	d := newDriver(t, testSettings())
	r := &request{Arrival: Arrival{Class: 2}, deadline: 3000 * ms} // LateWeightShare 0.2: objective 1 s, client timeout 3 s
	for _, c := range []struct {
		running int
		share   float64
	}{{0, idleOldQueueBoundShare}, {1, idleOldQueueBoundShare}, {2, oldQueueBoundShare}} { // on two cores
		d.s.running = c.running
		_, d2 := d.s.queueBounds(r)
		if want := 1400e3 * c.share; d2 < want-1 || d2 > want+1 {
			t.Errorf("%d running: D2 %.0f ms, want %.0f", c.running, d2/1e3, want/1e3)
		}
	}
}
