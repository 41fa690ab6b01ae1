package logic

import "testing"

// Run by hand: go test -run none -bench . ./logic

func BenchmarkStepWithLargeHold(b *testing.B) {
	cfg := testSettings()
	cfg.MemoryKB = 1e6
	s, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := Micros(1)
	for id := RequestID(1); id <= 1000; id++ {
		s.Step(now, []Event{arrival(id, int(id)%3, 1e12)})
	}
	held := len(s.queue)
	events := []Event{tick()}
	for b.Loop() {
		s.Step(now, events) // the clock stands, so that the hold keeps its size
	}
	if held < 500 || len(s.queue) != held {
		b.Fatalf("%d held at first, %d at the end", held, len(s.queue))
	}
}

func BenchmarkIdleStep(b *testing.B) {
	s, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := Micros(1)
	for b.Loop() {
		now += 4 * ms
		s.Step(now, nil)
	}
}

func TestIdleServerArmsNoTimer(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 3000*ms))
	d.step(50*ms, done(1, OutcomeOK, 50*ms))
	for range 20 {
		for _, a := range d.step(30*ms, tick()) {
			if a.Kind == ActionSetTimer {
				t.Fatal("a timer with nothing in hand")
			}
		}
	}
}
