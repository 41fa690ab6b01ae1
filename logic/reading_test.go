package logic

import "testing"

// reading has the gauges show so many requests being read beside what runs.
func (d *driver) reading(n float64) Event {
	ev := tick()
	ev.Gauges.RunQueueLength = float64(d.s.running) + n
	return ev
}

// read has requests come so far apart while cores read so many, under a run queue of so much.
func (d *driver) read(from RequestID, gap Micros, reads float64) {
	for id := from; id < from+20; id++ {
		d.step(gap/2, d.reading(reads))
		d.step(gap-gap/2, arrival(id, 0, 3000*ms))
	}
	d.step(ms, d.reading(reads))
}

func TestReadingGoesBeforeRunning(t *testing.T) {
	cfg := testSettings()
	cfg.Cores = 8
	for _, c := range []struct {
		reads float64
		slots int
	}{{0, 8}, {4, 8}, {6, 6}, {8, 4}, {100, 1}} {
		d := drive(t, cfg)
		d.step(0, d.reading(c.reads))
		if got := d.s.runSlots(); got != c.slots {
			t.Errorf("%v being read on 8 cores leave room for %d runs, want %d", c.reads, got, c.slots)
		}
	}
	d := drive(t, cfg)
	d.step(0, tick()) // the run queue was not measured
	d.s.gauges.RunQueueLength = -1
	if got := d.s.runSlots(); got != 8 {
		t.Errorf("%d runs without a gauge, want 8", got)
	}
}

func TestSlowServerIsToldFromACrowdedOne(t *testing.T) {
	for _, c := range []struct {
		name  string
		gap   Micros
		reads float64
		slow  bool
	}{
		{"a read of 0.6 s on its own core", 600 * ms, 1, true},
		{"a read of 0.02 s", 20 * ms, 1, false},
		{"one that many runs crowd", 30 * ms, 6, false}, // 0.18 s, of which its part of the 2 cores is 0.06
		{"nothing is read", 600 * ms, 0, false},
	} {
		d := drive(t, testSettings())
		d.read(100, c.gap, c.reads)
		if got := d.s.readsSlowly(); got != c.slow {
			t.Errorf("%s: slow is %v", c.name, got)
		}
	}
}

func TestSlowServerSendsCallersAwayButNotFromOthers(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	d.read(100, 600*ms, 2)
	d.s.rejectedShare.Mean = 0.95
	late := arrival(500, 0, 3000*ms)
	late.Arrival.Age = 990 * ms // of an aim of 1 s
	out := d.step(4*ms, late)
	refused := find(out, ActionReject, 500)
	if refused == nil {
		t.Fatal("a request that is too late was not refused at once")
	}
	if refused.Duration != d.s.cfg.MaxRetryAfter || refused.NoFailover {
		t.Errorf("advice %v, last %v; want the longest, and others left to try", refused.Duration, refused.NoFailover)
	}
}

func TestFurtherTriesShowThatOthersRefuseToo(t *testing.T) {
	last := func(retries bool, refusing float64) bool {
		d := drive(t, testSettings())
		for id := RequestID(1); id <= 40; id++ {
			ev := arrival(id, 0, 3000*ms)
			ev.Arrival.Retry = retries && id%3 == 0
			d.step(4*ms, ev)
		}
		d.s.rejectedShare.Mean = refusing
		return d.s.failoverFutile()
	}
	for _, c := range []struct {
		retries  bool
		refusing float64
		want     bool
	}{{true, 0.2, false}, {true, 0.4, true}, {false, 0.4, false}, {false, 0.7, true}} {
		if got := last(c.retries, c.refusing); got != c.want {
			t.Errorf("further tries %v, %v refused: in vain is %v", c.retries, c.refusing, got)
		}
	}
}

func TestUnreadLineCountsInTheAdvice(t *testing.T) {
	advice := func(age Micros) Micros {
		d := drive(t, testSettings())
		for id := RequestID(1); id <= 30; id++ {
			ev := arrival(id, 0, 3000*ms)
			ev.Arrival.Age = age
			d.step(4*ms, ev, Event{Kind: EventCanceled, ID: id - 1})
		}
		return d.s.retryAfter()
	}
	if fresh, old := advice(0), advice(400*ms); old < fresh+50*ms {
		t.Errorf("advice %v with requests read 0.4 s old, %v with fresh ones", old, fresh)
	}
}

// A request that tells no wait where others do has spent nothing of its time.
func TestAnUntoldWaitIsNoneSpent(t *testing.T) {
	d := drive(t, testSettings())
	for id := RequestID(1); id <= 40; id++ {
		ev := arrival(id, 0, 0)
		ev.Arrival.Age = 20 * ms
		d.step(4*ms, ev)
		if r := d.s.byID[id]; r == nil || r.firstAttemptAt != r.arrivedAt || r.deadline != r.arrivedAt+3000*ms {
			t.Fatalf("request %d: %+v", id, r)
		}
		d.step(0, Event{Kind: EventCanceled, ID: id}, done(id, OutcomeCanceled, 0))
	}
}
