package logic

import "testing"

// readingGauges returns a timer event whose gauges show n requests being read in addition to those that run.
func (d *driver) readingGauges(n float64) Event {
	ev := timerEvent()
	ev.Gauges.RunQueueLength = float64(d.s.running) + n
	return ev
}

// arriveWhileReading has 20 requests arrive at the given interval while the gauges show the given number being read.
func (d *driver) arriveWhileReading(from RequestID, interval Micros, beingRead float64) {
	for id := from; id < from+20; id++ {
		d.step(interval/2, d.readingGauges(beingRead))
		d.step(interval-interval/2, arrival(id, 0, 3000*ms))
	}
	d.step(ms, d.readingGauges(beingRead))
}

func TestSlowServerIsDistinguishedFromCrowdedOne(t *testing.T) {
	for _, c := range []struct {
		name      string
		interval  Micros
		beingRead float64
		slow      bool
	}{
		{"reading takes 0.6 s on a core of its own", 600 * ms, 1, true},
		{"reading takes 0.02 s", 20 * ms, 1, false},
		{"six share the cores", 30 * ms, 6, false}, // 6·30 ms = 0.18 s, times a core share of at most 2/6: 0.06 s
		{"nothing is being read", 600 * ms, 0, false},
	} {
		d := newDriver(t, testSettings())
		d.arriveWhileReading(100, c.interval, c.beingRead)
		if got := d.s.readsSlowly(); got != c.slow {
			t.Errorf("%s: readsSlowly returned %v", c.name, got)
		}
	}
}
