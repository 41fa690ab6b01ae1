package logic

import "testing"

// reading has the gauges show so many requests being read beside what runs.
func (d *driver) reading(n float64) Event {
	ev := tick()
	ev.Gauges.RunQueueLength = float64(d.s.running) + n
	return ev
}

// read has requests arrive at the given interval while the gauges show so many being read.
func (d *driver) read(from RequestID, gap Micros, reads float64) {
	for id := from; id < from+20; id++ {
		d.step(gap/2, d.reading(reads))
		d.step(gap-gap/2, arrival(id, 0, 3000*ms))
	}
	d.step(ms, d.reading(reads))
}

func TestSlowServerIsDistinguishedFromCrowdedOne(t *testing.T) {
	for _, c := range []struct {
		name  string
		gap   Micros
		reads float64
		slow  bool
	}{
		{"a read of 0.6 s on its own core", 600 * ms, 1, true},
		{"a read of 0.02 s", 20 * ms, 1, false},
		{"one beside many runs", 30 * ms, 6, false}, // 0.18 s, of which its part of the 2 cores is 0.06
		{"nothing is read", 600 * ms, 0, false},
	} {
		d := drive(t, testSettings())
		d.read(100, c.gap, c.reads)
		if got := d.s.readsSlowly(); got != c.slow {
			t.Errorf("%s: slow is %v", c.name, got)
		}
	}
}
