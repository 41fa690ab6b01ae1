package logic

import "testing"

func TestHeldFloodStaysInMemory(t *testing.T) {
	cfg := testSettings()
	cfg.MemoryKB = 1000
	d := drive(t, cfg)
	var flood []Event
	for id := RequestID(1); id <= 200; id++ { // 2000 kB held
		flood = append(flood, arrival(id, int(id)%2*2, 3000*ms))
	}
	refused := map[int]int{}
	for _, a := range d.step(0, flood...) {
		if a.Kind == ActionReject {
			refused[int(a.ID)%2*2]++
		}
	}
	if d.s.memoryInUse() > cfg.MemoryKB {
		t.Errorf("%v kB in use of %v", d.s.memoryInUse(), cfg.MemoryKB)
	}
	if refused[0] <= refused[2] {
		t.Errorf("refused by class %v: the worthier class lost more", refused)
	}
}

func TestCallsAreLeftOutBeforeTheBound(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit, cfg.Cores = 2, 8
	d := drive(t, cfg)
	var called, left int
	for id := RequestID(1); id <= 6; id++ {
		d.step(0, arrival(id, 0, 3000*ms))
		for _, a := range d.step(ms, needs(id)) {
			switch a.Kind {
			case ActionCall:
				called++
			case ActionSkipCall:
				left++
			}
		}
	}
	if called == 0 || left == 0 {
		t.Errorf("%d calls made and %d left out: want some of each", called, left)
	}
}

func TestThinTrafficIsNoStall(t *testing.T) {
	d := drive(t, testSettings())
	for id := RequestID(1); id <= 20; id++ {
		d.learn(id, 0, 50*ms)
		d.step(900 * ms)
	}
	d.learn(21, 0, 800*ms) // one at a time: the gap tells nothing
	if got := d.s.classes[0].RunTime.Mean; got <= float64(50*ms) {
		t.Errorf("T_m stayed at %v: the long run was taken for a stall", got)
	}
}

func TestReleasedEntriesFreeTheirMemory(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 9000*ms), arrival(2, 2, 9000*ms))
	first := d.step(0, arrival(3, 1, 400*ms))
	d.want(first, ActionStoreKey, 3)
	d.step(0, arrival(4, 1, 9000*ms))
	var out []Action
	for range 50 {
		out = append(out, d.step(10*ms, tick())...)
	}
	if find(out, ActionRun, 3) != nil {
		t.Fatal("3 ran: the test releases nothing")
	}
	d.want(out, ActionDeleteKey, 3)
	want := d.s.byID[4].keyExpiresAt
	if keys := d.s.keyExpiries; len(keys) != 1 || keys[0] != want {
		t.Errorf("account of entries %v after a release, want only %v", keys, want)
	}
}

func TestStartedEffectIsNeverStopped(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 1, 300*ms), arrival(2, 2, 300*ms))
	d.step(0, arrival(3, 0, 3000*ms)) // waits, so that stopping would help
	var out []Action
	for range 60 {
		out = append(out, d.step(10*ms, tick())...)
	}
	d.want(out, ActionFail, 1)
	d.wantNone(out, ActionStop, 1)
	d.wantNone(out, ActionStop, 2)
}

func TestCallsOutCountTowardsTheCrowd(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit = 1000
	d := drive(t, cfg)
	for id := RequestID(1); id <= 40; id++ {
		d.step(0, arrival(id, 1, 3000*ms))
		d.step(ms, needs(id))
	}
	if all := d.s.running + d.s.atCall; float64(all) > 2*d.s.maxConcurrency()*maxConcurrencyShare+1 {
		t.Errorf("%d runs begun under a ceiling of %v", all, d.s.maxConcurrency()*maxConcurrencyShare)
	}
}
