package canary

import (
	"strings"
	"testing"
)

// TestRepeatedRestartsAreWorse: a version is found worse if its node restarts repeatedly, but not for one or two
// restarts, nor if the other nodes restart as well.
func TestRepeatedRestartsAreWorse(t *testing.T) {
	for _, c := range []struct {
		updated, others int
		worse           bool
	}{{0, 0, false}, {1, 0, false}, {2, 0, false}, {5, 0, true}, {5, 40, false}} {
		recorder := NewRecorder(100)
		restarts := [2]int{c.updated, c.others}
		processStart := [4]int64{1, 1, 1, 1}
		for interval := range 60 {
			var reports []NodeReport
			for node := range 4 {
				updated := node == 0 && interval >= 30
				if node == 0 && interval == 30 {
					processStart[node]++
				}
				if side := min(node, 1); restarts[side] > 0 && interval > 30 && (side == 1 || interval%5 == 0) {
					restarts[side]--
					processStart[node]++
				}
				reports = append(reports, NodeReport{Name: string(rune('a' + node)), Zone: "z", ProcessStartMS: processStart[node], InService: true, Updated: updated, Total: Interval{Served: float64(100 * interval)}})
			}
			recorder.Record(reports)
		}
		if verdict := Analyze(Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8}, recorder.Nodes()); verdict.Worse != c.worse || c.worse && !strings.Contains(verdict.Reason, "started anew 5 times") {
			t.Errorf("%d restarts of the updated node and %d of the others: unexpected verdict %+v", c.updated, c.others, verdict)
		}
	}
}
