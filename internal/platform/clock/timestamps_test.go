package clock

import (
	"testing"
	"time"
)

// TestInstantAcrossClockSteps checks that a request's age is computed correctly from its stamp, whichever clocks are stepped.
func TestInstantAcrossClockSteps(t *testing.T) {
	const ahead, behind = 5 * time.Second, 20 * time.Second
	type stamp struct {
		after       time.Duration // real time since the previous stamp
		step        time.Duration // step of the process's wall clock in that time
		clockOffset time.Duration // offset of the sender's clock from real time
		age         time.Duration // actual age of the stamp
		want        time.Duration // expected age; -1: rejected
	}
	const rejected = -1 * time.Nanosecond
	ms := time.Millisecond
	for name, stamps := range map[string][]stamp{
		"no step":                            {{0, 0, 0, 3 * ms, 3 * ms}, {time.Second, 0, 0, 2 * time.Second, 2 * time.Second}},
		"caller's clock slightly ahead":      {{0, 0, 100 * ms, 0, -100 * ms}},
		"both clocks forward an hour":        {{0, 0, 0, 0, 0}, {time.Second, time.Hour, time.Hour, 5 * ms, 5 * ms}, {time.Second, 0, time.Hour, 0, 0}},
		"both clocks back an hour":           {{0, 0, 0, 0, 0}, {time.Second, -time.Hour, -time.Hour, 5 * ms, 5 * ms}, {time.Second, 0, -time.Hour, 0, 0}},
		"both clocks forward by seconds":     {{0, 0, 0, 0, 0}, {time.Second, 3 * time.Second, 3 * time.Second, 2 * time.Second, 2 * time.Second}},
		"both clocks back by seconds":        {{0, 0, 0, 0, 0}, {time.Second, -7 * time.Second, -7 * time.Second, 40 * ms, 40 * ms}},
		"stamped just before the step":       {{0, 0, 0, 0, 0}, {time.Second, time.Hour, 0, 30 * ms, 30 * ms}, {0, 0, time.Hour, 10 * ms, 10 * ms}},
		"stamped just before a step back":    {{0, 0, 0, 0, 0}, {time.Second, -time.Hour, 0, 30 * ms, 30 * ms}, {0, 0, -time.Hour, 10 * ms, 10 * ms}},
		"only the process's clock":           {{0, 0, 0, 0, 0}, {time.Second, time.Hour, 0, 5 * ms, 5 * ms}, {time.Second, -time.Hour, 0, 0, 0}, {time.Minute, -time.Hour, 0, 0, 0}},
		"only the process's clock, seconds":  {{0, 0, 0, 0, 0}, {time.Second, 5 * time.Second, 0, 5 * ms, 5 * ms}, {time.Second, -12 * time.Second, 0, 6 * ms, 6 * ms}},
		"slewed":                             {{0, 0, 0, 0, 0}, {time.Minute, 50 * ms, 50 * ms, 0, 0}, {time.Minute, 50 * ms, 100 * ms, 0, 0}},
		"wall clock off by an hour at start": {{0, time.Hour, 0, 0, rejected}, {ms, 0, 0, 0, 0}, {time.Second, 0, 0, 9 * ms, 9 * ms}},
		"inconsistent stamps out of bounds":  {{0, 0, 0, 0, 0}, {0, 0, 0, time.Hour, rejected}, {0, 0, 0, 2 * time.Hour, rejected}, {0, 0, 0, -time.Hour, rejected}, {0, 0, 0, 4 * ms, 4 * ms}},
		"older than the bound":               {{0, 0, 0, 0, 0}, {0, 0, 0, 21 * time.Second, rejected}},
		"many steps back and forth":          {{0, 0, 0, 0, 0}, {1, 5e9, 5e9, 0, 0}, {1, -7e9, -2e9, 0, 0}, {1, 3600e9, 3598e9, 0, 0}, {1, -3600e9, -2e9, 0, 0}, {1, 2e9, 0, 0, 0}},
		"more steps than offsets are kept":   {{0, 0, 0, 0, 0}, {1, 60e9, 60e9, 0, 0}, {1, 60e9, 120e9, 0, 0}, {1, 60e9, 180e9, 0, 0}, {1, 60e9, 240e9, 0, 0}, {1, 60e9, 300e9, 0, 0}, {1, 60e9, 360e9, 0, 0}, {1, 60e9, 420e9, 0, 0}, {1, 60e9, 480e9, 0, 0}, {1, 60e9, 540e9, 2 * ms, 2 * ms}},
		"a step without requests for long":   {{0, 0, 0, 0, 0}, {time.Hour, 3600e9, 3600e9, 7 * ms, 7 * ms}},
	} {
		steady, wall := start, start.Add(42*time.Second)
		realTime := wall
		s := NewTimestamps(ahead, behind, nil)
		s.now = func() (time.Time, time.Time) { return steady, wall }
		for i, x := range stamps {
			steady, wall, realTime = steady.Add(x.after), wall.Add(x.after+x.step), realTime.Add(x.after)
			at, err := s.Instant(realTime.Add(x.clockOffset - x.age))
			got := steady.Sub(at)
			if err != nil {
				got = rejected
			}
			if got != x.want {
				t.Errorf("%s: stamp %d: age %v, want %v (%v)", name, i, got, x.want, err)
			}
		}
	}
}

// TestSystemIsMonotonic checks that instants have no monotonic reading, so that they compare with all others, and that they advance
// with real time.
func TestSystemIsMonotonic(t *testing.T) {
	before := processReference.Load()
	defer processReference.Store(before)
	first := System{}.Now()
	if first != first.Round(0) {
		t.Error("the instant has a monotonic reading, which instants to compare it with may lack")
	}
	read := time.Now()
	at := steadyAt(read)
	if later := steadyAt(read.Add(time.Hour)); later.Sub(at) != time.Hour {
		t.Errorf("after an hour, steady time advanced by %v", later.Sub(at))
	}
	if left := (System{}).Until(System{}.Now().Add(time.Minute)); left > time.Minute || left < 50*time.Second {
		t.Errorf("Until an instant in a minute: %v", left)
	}
}
