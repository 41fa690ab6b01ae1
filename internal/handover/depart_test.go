package handover

import (
	"testing"
	"time"
)

func TestDepart(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name string
		in   Sight
		want Departure
	}{
		{"replaced", Sight{Inherited: true, Others: 1, Grace: 2 * s, Stop: 3 * s}, Departure{Quiet: true}},
		{"two others", Sight{Inherited: true, Others: 2, Grace: 2 * s, Stop: 3 * s}, Departure{Quiet: true}},
		{"inherited, but nobody takes over", Sight{Inherited: true, Grace: s, Stop: 3 * s}, Departure{Shut: s}},
		{"its own listener: another process can't hear its clients", Sight{Others: 1, Grace: s, Stop: 3 * s}, Departure{Shut: s}},
		{"spare kept", Sight{Grace: 2 * s, Spare: s / 2, Stop: 9 * s}, Departure{Shut: 3 * s / 2}},
		{"little time", Sight{Grace: 2 * s, Stop: s}, Departure{Shut: s / 2}},
		{"no grace", Sight{Spare: s, Stop: s}, Departure{}},
	} {
		if got := Depart(c.in); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
