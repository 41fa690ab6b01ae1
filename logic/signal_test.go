package logic

import "testing"

func TestLoadSignalOnlyWhereUsed(t *testing.T) {
	for _, mode := range []SignalMode{SignalOff, SignalPriorityFloor, SignalConcurrencyLimit, SignalWeight} {
		cfg := testSettings()
		cfg.SignalMode = mode
		d := newDriver(t, cfg)
		sent := findAction(d.step(0, arrival(1, 0, 3000*ms)), ActionSetLoadSignal, 0) != nil
		if sent != (mode != SignalOff) {
			t.Errorf("signal mode %d: load signal sent: %v", mode, sent)
		}
	}
}

// rankedSettings returns the settings of a server whose callers use a priority floor.
func rankedSettings() Settings {
	cfg := testSettings()
	cfg.SignalMode = SignalPriorityFloor
	return cfg
}

func TestPriorityFloorFollowsRejectedRanks(t *testing.T) {
	d := newDriver(t, rankedSettings())
	d.completeRun(1000, 0, 900*ms)
	for id := RequestID(1); id <= 60; id++ {
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.PriorityRank = float64(id%10) / 20 // reads have the lower half of the ranks
		if id%6 == 0 {
			ev = arrival(id, 1, 3000*ms)
			ev.Arrival.PriorityRank = 0.5 + float64(id%10)/20
		}
		d.step(30*ms, ev)
		d.step(2*ms, timerEvent())
	}
	floor := d.s.priorityFloor
	if floor <= 0.05 || floor >= 0.95 {
		t.Fatalf("floor %.2f with %.2f rejected, want it within the ranks of the arrivals", floor, d.s.rejectedShare.Mean)
	}
	d.s.rejectedShare.Mean = 0
	for range 300 { // 10 s without rejections
		d.step(32*ms, timerEvent())
	}
	if d.s.priorityFloor > 0.01 {
		t.Errorf("floor %.2f 10 s after the last rejection, want at most 0.01", d.s.priorityFloor)
	}
}

func TestPriorityFloorIsNotRaisedWhileCallBudgetIsLow(t *testing.T) {
	d := newDriver(t, rankedSettings())
	d.s.callTime.add(float64(500*ms), 1)
	for id := RequestID(1); id <= 40; id++ {
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.PriorityRank = 0.3
		d.step(0, ev)
	}
	d.s.rejectedShare.Mean, d.s.callCredit = 0.5, 0
	d.s.updatePriorityFloor()
	if d.s.priorityFloor != 0 {
		t.Errorf("floor %.2f, want 0 as calls are the bottleneck", d.s.priorityFloor)
	}
}

func TestSlowServerOffersLessConcurrency(t *testing.T) {
	loadSignal := func(runTime Micros) float64 {
		d := newDriver(t, testSettings())
		for id := RequestID(1); id <= 3; id++ {
			d.completeRun(id, int(id)-1, runTime)
		}
		return d.s.loadSignal()
	}
	if fast, slow := loadSignal(50*ms), loadSignal(600*ms); slow >= fast {
		t.Errorf("limit %v on a slow server, want below the %v of a fast one", slow, fast)
	}
}

func TestUnevenCallersShareLimitByTraffic(t *testing.T) {
	loadSignal := func(callerIDs []int) float64 {
		d := newDriver(t, testSettings())
		for id := RequestID(1); id <= 3; id++ {
			d.completeRun(id, int(id)-1, 100*ms)
		}
		for i, callerID := range callerIDs {
			ev := arrival(RequestID(100+i), 0, 3000*ms)
			ev.Arrival.CallerID = callerID
			d.step(100*ms, ev, runEnded(RequestID(99+i), OutcomeOK, 100*ms))
		}
		return d.s.loadSignal()
	}
	var even, uneven []int
	for i := range 120 {
		even = append(even, i%10)
		uneven = append(uneven, max(0, i%20-10)*(i%2)) // caller 0 sends most
	}
	if a, b := loadSignal(even), loadSignal(uneven); b <= 1.5*a {
		t.Errorf("limit %.2f with one caller that sends most, %.2f with ten equal callers; want over 1.5 times as much", b, a)
	}
}
