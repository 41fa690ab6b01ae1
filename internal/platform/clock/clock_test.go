package clock

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1764576000000)

// TestVirtualRunsCallsInOrder checks that calls run in order of time, and in the order of scheduling at the same instant. A call
// scheduled from within another with a delay of 0 runs after those already scheduled for that instant.
func TestVirtualRunsCallsInOrder(t *testing.T) {
	v := NewVirtual(start)
	var got []string
	record := func(s string) func() {
		return func() { got = append(got, fmt.Sprint(s, " ", v.Now().Sub(start))) }
	}
	v.AfterFunc(2*time.Second, record("c"))
	v.AfterFunc(time.Second, func() {
		record("a")()
		v.AfterFunc(0, record("a2"))
		v.AfterFunc(-time.Hour, record("a3"))
	})
	b := v.AfterFunc(time.Second, record("b"))
	delayed := v.AfterFunc(time.Second, record("late"))
	stopped := v.AfterFunc(time.Second, record("off"))
	if !stopped.Stop() || stopped.Stop() || !delayed.Reset(2*time.Second) {
		t.Error("Stop or Reset of a pending call returned the wrong value")
	}
	v.Run(start.Add(time.Second))
	if b.Stop() || v.Pending() != 2 {
		t.Errorf("Stop returned true for a call that was made, or wrong number of pending calls: %d", v.Pending())
	}
	if b.Reset(3 * time.Second) {
		t.Error("Reset returned true for a call that was made")
	}
	v.Run(start.Add(time.Minute))
	want := []string{"a 1s", "b 1s", "a2 1s", "a3 1s", "c 2s", "late 2s", "b 4s"}
	if !slices.Equal(got, want) || v.Now() != start.Add(time.Minute) || v.Step() {
		t.Errorf("got %v, want %v; now %v", got, want, v.Now().Sub(start))
	}
}

// TestVirtualDropsStoppedCalls checks that stopping ten thousand of 20,000 calls at once removes them from the queue and keeps all others.
func TestVirtualDropsStoppedCalls(t *testing.T) {
	v := NewVirtual(start)
	calls := 0
	var toStop []Timer
	for i := range 20000 {
		c := v.AfterFunc(time.Duration(i%100)*time.Millisecond, func() { calls++ })
		if i%2 == 0 {
			toStop = append(toStop, c)
		}
	}
	for _, c := range toStop {
		c.Stop()
	}
	if v.Pending() != 10000 || v.calls.Len() > 15000 {
		t.Errorf("%d calls pending, %d in the queue", v.Pending(), v.calls.Len())
	}
	for v.Step() {
	}
	if calls != 10000 {
		t.Errorf("%d calls were made, want 10000", calls)
	}
}

// TestVirtualMatchesModel checks random sequences of AfterFunc, Stop and Reset against a sorted list.
func TestVirtualMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewVirtual(start)
		type plannedCall struct {
			at      time.Duration
			order   int
			stopped bool
		}
		var timers []Timer
		var plan []plannedCall
		var got []int
		order := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(0, 9).Draw(t, "d"))
			order++
			if i := rapid.IntRange(0, len(timers)).Draw(t, "which"); i == len(timers) {
				timers = append(timers, v.AfterFunc(d, func() { got = append(got, i) }))
				plan = append(plan, plannedCall{at: d, order: order})
			} else if rapid.Bool().Draw(t, "off") {
				if timers[i].Stop() == plan[i].stopped {
					t.Fatal("Stop returned the wrong value")
				}
				plan[i].stopped = true
			} else {
				timers[i].Reset(d)
				plan[i] = plannedCall{at: d, order: order}
			}
		}
		var want []int
		for i, p := range plan {
			if !p.stopped {
				want = append(want, i)
			}
		}
		slices.SortFunc(want, func(a, b int) int {
			if plan[a].at != plan[b].at {
				return int(plan[a].at - plan[b].at)
			}
			return plan[a].order - plan[b].order
		})
		if pending := v.Pending(); pending != len(want) {
			t.Fatalf("%d pending, want %d", pending, len(want))
		}
		for v.Step() {
		}
		if !slices.Equal(got, want) {
			t.Fatalf("calls made: %v, want %v", got, want)
		}
	})
}
