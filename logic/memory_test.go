package logic

import "testing"

func TestMemoryBoundsRuns(t *testing.T) {
	cfg := testSettings()
	cfg.MemoryKB = 130 // room for one run of 80 kB and a few queued requests
	d := newDriver(t, cfg)
	out := d.step(0, arrival(1, 0, 3000*ms), arrival(2, 0, 3000*ms))
	runs := 0
	for _, a := range out {
		if a.Kind == ActionRun {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("%d runs started with memory for one", runs)
	}
}

func TestQueuedBurstStaysWithinMemory(t *testing.T) {
	cfg := testSettings()
	cfg.MemoryKB = 1000
	d := newDriver(t, cfg)
	var burst []Event
	for id := RequestID(1); id <= 200; id++ { // 2000 kB queued
		burst = append(burst, arrival(id, int(id)%2*2, 3000*ms))
	}
	rejected := map[int]int{}
	for _, a := range d.step(0, burst...) {
		if a.Kind == ActionReject {
			rejected[int(a.ID)%2*2]++
		}
	}
	if d.s.memoryInUse() > cfg.MemoryKB {
		t.Errorf("%v kB in use, limit %v", d.s.memoryInUse(), cfg.MemoryKB)
	}
	if rejected[0] <= rejected[2] {
		t.Errorf("rejections by class %v: want more in class 0, which has less weight", rejected)
	}
}
