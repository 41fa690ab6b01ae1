package fleetrig

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestParseScheduleReadsDrawnSchedulesAndRejectsErrors(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed, 5, 5, 10*time.Second, time.Second)
		again, err := ParseSchedule("# by seed\n\n"+s.String(), 5)
		if err != nil || fmt.Sprint(again) != fmt.Sprint(s) {
			t.Fatalf("seed %d: %v\n%v\n%v", seed, err, s, again)
		}
		if fmt.Sprint(Draw(seed, 5, 5, 10*time.Second, time.Second)) != fmt.Sprint(s) {
			t.Fatal("Draw returned different schedules for a seed")
		}
	}
	for _, c := range []struct{ text, wrong string }{
		{"soon stop n1 for 1s", "line 1"},
		{"\n1s melt n1 for 1s", "line 2: unknown fault"},
		{"1s stop n7 for 1s", "expected n0 to n2"},
		{"1s cut n1 for 1s", "takes 2 nodes"},
		{"1s cut n1 n1 for 1s", "between two different nodes"},
		{"1s stop n1 1s", "takes 1 nodes"},
		{"1s stop n1 for 1h", "out of range: expected 0 to 10m"},
		{"1s", "expected a time and a fault"},
	} {
		if _, err := ParseSchedule(c.text, 3); err == nil || !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%q: %v, want %q", c.text, err, c.wrong)
		}
	}
}
