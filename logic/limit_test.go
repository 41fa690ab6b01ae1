package logic

import "testing"

func TestRunLimitRisesAndFalls(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 0, 3000*ms), arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	idle := timerEvent()
	idle.Gauges.RunQueueLength = 1
	d.wantAction(d.step(4*ms, idle), ActionRun, 3)
	if d.s.runLimit != 3 {
		t.Errorf("run limit %v with idle cores and a queue, want 3", d.s.runLimit)
	}
	d.s.runLimit, d.s.runSlowdown = 8, Average{Mean: 2, Samples: 9}
	busy := timerEvent()
	busy.Gauges.RunQueueLength = 9
	d.step(4*ms, busy, runEnded(1, OutcomeOK, 100*ms))
	if d.s.runLimit >= 8 || d.s.runLimit < float64(d.s.cfg.Cores) {
		t.Errorf("run limit %v after runs slowed down, want below 8 and at least the cores", d.s.runLimit)
	}
}

func TestSlowStartLowersConcurrency(t *testing.T) {
	cfg := testSettings()
	cfg.SlowStart = true
	d := newDriver(t, cfg)
	d.step(0)
	slowStartLimit := d.s.maxConcurrency() * maxConcurrencyShare
	d.step(cfg.SlowStartDuration + ms)
	if warmLimit := d.s.maxConcurrency() * maxConcurrencyShare; slowStartLimit >= warmLimit {
		t.Errorf("concurrency limit %v during slow start, want below the %v of a warm server", slowStartLimit, warmLimit)
	}
	sustained := float64(cfg.Cores) * (1 + (cfg.MaxConcurrencyPerCore-1)*cfg.SlowStartCapacity)
	if slowStartLimit >= sustained {
		t.Errorf("concurrency limit %v during slow start, want below the sustained %v", slowStartLimit, sustained)
	}
}

func TestCallsInFlightCountTowardsConcurrency(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit = 1000
	d := newDriver(t, cfg)
	for id := RequestID(1); id <= 40; id++ {
		d.step(0, arrival(id, 1, 3000*ms))
		d.step(ms, callNeeded(id))
	}
	if all := d.s.running + d.s.atCall; float64(all) > 2*d.s.maxConcurrency()*maxConcurrencyShare+1 {
		t.Errorf("%d runs started with a limit of %v", all, d.s.maxConcurrency()*maxConcurrencyShare)
	}
}

func TestReadingReducesRunSlots(t *testing.T) {
	cfg := testSettings()
	cfg.Cores = 8
	for _, c := range []struct {
		beingRead float64
		slots     int
	}{{0, 8}, {4, 8}, {6, 6}, {8, 4}, {100, 1}} {
		d := newDriver(t, cfg)
		d.step(0, d.readingGauges(c.beingRead))
		if got := d.s.runSlots(); got != c.slots {
			t.Errorf("%v requests being read on 8 cores: %d run slots, want %d", c.beingRead, got, c.slots)
		}
	}
	d := newDriver(t, cfg)
	d.step(0, timerEvent()) // the run queue was not measured
	d.s.gauges.RunQueueLength = -1
	if got := d.s.runSlots(); got != 8 {
		t.Errorf("%d run slots without a measured run queue, want 8", got)
	}
}

// TestResourceShareLimitsCoresAndMemory checks that a server uses no more than its share of the cores and the memory,
// and all of them once its share is 1 again.
func TestResourceShareLimitsCoresAndMemory(t *testing.T) {
	started := func(s *Server, now Micros, ids ...RequestID) (n int) {
		var events []Event
		for _, id := range ids {
			events = append(events, Event{Kind: EventArrival, ID: id, Arrival: Arrival{Tenant: -1, MemoryKB: 10}})
		}
		for _, a := range s.Step(now, events) {
			if a.Kind == ActionRun {
				n++
			}
		}
		return n
	}
	cfg := Settings{Cores: 8, MemoryKB: 1e6, RunMemoryFactor: 1, MaxConcurrencyPerCore: 9, Classes: []Class{{Name: "read", LatencyObjective: 1e9, ClientTimeout: 2e9, PriorityWeight: 1}}}
	s := newServer(t, cfg)
	s.SetResourceShare(0.25)
	if n := started(s, 0, 1, 2, 3, 4, 5, 6, 7, 8); n != 2 {
		t.Errorf("%d runs started with a quarter of 8 cores, want 2", n)
	}
	s.SetResourceShare(1)
	if n := started(s, 1); n != 6 {
		t.Errorf("%d more runs started with all 8 cores, want 6", n)
	}
	cfg.MemoryKB = 100 // room for 9 requests of 10 kB
	s = newServer(t, cfg)
	s.SetResourceShare(0.5)
	started(s, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	if queued := len(s.byID); queued != 4 {
		t.Errorf("%d requests in half of the memory, want 4", queued)
	}
}
