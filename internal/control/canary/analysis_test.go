package canary

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// simulateRelease updates eight nodes in two zones one by one, and analyzes the release after each interval.
// changeUpdated changes the counts of updated nodes, changeAll those of all nodes from interval 31 on. It returns
// the first verdict that finds the version worse, and the number of intervals until then.
func simulateRelease(seed uint64, changeUpdated, changeAll func(node int, s *Interval)) (Verdict, int) {
	r := rand.New(rand.NewPCG(seed, 3))
	options := Options{FalseAlarmProbability: 0.01, MaxAnalyses: 100, MinIntervals: 8}
	recorder := NewRecorder(200)
	total := make([]Interval, 8)
	intervals := 0
	for ; intervals < 110; intervals++ {
		load := 100 * (1 + 0.5*r.Float64())
		var reports []NodeReport
		for i := range total {
			updated := intervals >= 20+12*i && i < 6
			s := Interval{Served: load * (0.9 + 0.2*r.Float64()), P99MS: 20 * (0.8 + 0.4*r.Float64())}
			s.Rejected, s.Failed = s.Served*0.05*r.Float64(), s.Served*0.01*r.Float64()
			if i == 3 { // a machine that is slow from the start
				s.Rejected *= 6
				s.P99MS *= 4
			}
			if changeAll != nil && intervals > 30 {
				changeAll(i, &s)
			}
			if updated && changeUpdated != nil {
				changeUpdated(i, &s)
			}
			total[i] = Interval{total[i].Served + s.Served, total[i].Rejected + s.Rejected, total[i].Failed + s.Failed, s.P99MS}
			processStart := int64(1)
			if updated {
				processStart = 2
			}
			reports = append(reports, NodeReport{Name: fmt.Sprint("n", i), Zone: fmt.Sprint(i % 2), Total: total[i], ProcessStartMS: processStart, InService: true, Updated: updated})
		}
		recorder.Record(reports)
		if verdict := Analyze(options, recorder.Nodes()); verdict.Worse {
			return verdict, intervals
		}
	}
	return Verdict{}, intervals
}

// TestAnalyzeFindsOnlyWorseVersions: a bad version is found worse by the affected metric. A rise in load, a faulty
// upstream and a slow machine raise no alarm.
func TestAnalyzeFindsOnlyWorseVersions(t *testing.T) {
	for _, c := range []struct {
		name                     string
		changeUpdated, changeAll func(int, *Interval)
		want                     string
	}{
		{"good", nil, nil, ""},
		{"fails more requests", func(_ int, s *Interval) { s.Failed += 0.05 * s.Served }, nil, "failed share"},
		{"rejects more requests", func(_ int, s *Interval) { s.Rejected += 0.2 * s.Served }, nil, "refused share"},
		{"is slower", func(_ int, s *Interval) { s.P99MS *= 2 }, nil, "latency"},
		{"a rise in load", nil, func(_ int, s *Interval) { s.Rejected += s.Served; s.P99MS *= 3 }, ""},
		{"a faulty upstream", nil, func(_ int, s *Interval) { s.Failed += 0.3 * s.Served }, ""},
		{"bad under load only", func(_ int, s *Interval) { s.Failed += 0.1 * max(0, s.Served-110) }, nil, "failed share"},
	} {
		verdict, intervals := simulateRelease(1, c.changeUpdated, c.changeAll)
		if verdict.Worse != (c.want != "") || !strings.Contains(verdict.Reason, c.want) {
			t.Errorf("%s: unexpected verdict %+v", c.name, verdict)
		}
		t.Logf("%s: worse %v after %d intervals, the first node updated at 20", c.name, verdict.Worse, intervals)
	}
}

// TestFalseAlarmsWithinProbability checks that the number of false alarms in 100 releases of good versions can be
// explained by the false alarm probability.
func TestFalseAlarmsWithinProbability(t *testing.T) {
	alarms := 0
	for seed := range uint64(100) {
		if verdict, _ := simulateRelease(seed+10, nil, nil); verdict.Worse {
			alarms++
		}
	}
	if t.Logf("%d false alarms in 100 releases", alarms); alarms > 4 { // expected: 1; the probability of 5 or more is 0.4%
		t.Errorf("%d of 100 good releases were found worse", alarms)
	}
}

func TestInconclusiveWithoutPeers(t *testing.T) {
	one := NodeSeries{Name: "n0", Zone: "a", Intervals: make([]Interval, 40), Known: make([]bool, 40), UpdatedFrom: 10, InService: true}
	if verdict := Analyze(Options{FalseAlarmProbability: 0.01, MaxAnalyses: 10, MinIntervals: 5}, []NodeSeries{one}); verdict.Worse || verdict.Conclusive || !strings.Contains(verdict.Reason, "nobody of their zone") {
		t.Errorf("verdict %+v, want neither worse nor conclusive, for lack of peers", verdict)
	}
}

// TestSmoothedMetricRaisesNoFalseAlarms: a percentile over several intervals repeats the same noise in each of
// them. Counted as one interval they raise no false alarms; counted as independent intervals they would.
func TestSmoothedMetricRaisesNoFalseAlarms(t *testing.T) {
	alarms := map[int]int{}
	for seed := range uint64(120) {
		for _, smoothing := range []int{1, 5} {
			r := rand.New(rand.NewPCG(seed, 9))
			recorder := NewRecorder(200)
			latest := make([][]float64, 4)
			worse := false
			for interval := range 90 {
				var reports []NodeReport
				for i := range latest {
					latest[i] = append(latest[i], r.ExpFloat64()*40) // the largest of the last five is reported
					latest[i] = latest[i][max(0, len(latest[i])-5):]
					reports = append(reports, NodeReport{Name: string(rune('a' + i)), Zone: "z", ProcessStartMS: 1, InService: true, Updated: i == 0 && interval >= 30, Total: Interval{Served: float64(100 * interval), P99MS: 20 + slices.Max(latest[i])}})
				}
				recorder.Record(reports)
				worse = worse || Analyze(Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8, SmoothingIntervals: smoothing}, recorder.Nodes()).Worse
			}
			if worse {
				alarms[smoothing]++
			}
		}
	}
	if t.Logf("false alarms in 120 releases, by smoothing: %v", alarms); alarms[1] < 4 || alarms[5] > 1 {
		t.Errorf("of 120 good releases %d were found worse with the smoothing taken into account, and %d without; want at most 1, and at least 4", alarms[5], alarms[1])
	}
}
