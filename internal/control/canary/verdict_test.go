package canary

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// played is a release of eight nodes in two zones, node by node, looked at after each span once the first is changed; bad changes what a
// changed node counts, all what every node does, from the middle on.
func played(seed uint64, bad, all func(node int, s *Interval)) (Verdict, int) {
	r := rand.New(rand.NewPCG(seed, 3))
	terms := Options{FalseAlarmProbability: 0.01, MaxAnalyses: 100, MinIntervals: 8}
	rec := NewRecorder(200)
	total := make([]Interval, 8)
	spans := 0
	for ; spans < 110; spans++ {
		load := 100 * (1 + 0.5*r.Float64())
		var reports []NodeReport
		for i := range total {
			changed := spans >= 20+12*i && i < 6
			s := Interval{Served: load * (0.9 + 0.2*r.Float64()), P99MS: 20 * (0.8 + 0.4*r.Float64())}
			s.Rejected, s.Failed = s.Served*0.05*r.Float64(), s.Served*0.01*r.Float64()
			if i == 3 { // a slow machine, all along
				s.Rejected *= 6
				s.P99MS *= 4
			}
			if all != nil && spans > 30 {
				all(i, &s)
			}
			if changed && bad != nil {
				bad(i, &s)
			}
			total[i] = Interval{total[i].Served + s.Served, total[i].Rejected + s.Rejected, total[i].Failed + s.Failed, s.P99MS}
			since := int64(1)
			if changed {
				since = 2
			}
			reports = append(reports, NodeReport{Name: fmt.Sprint("n", i), Zone: fmt.Sprint(i % 2), Total: total[i], ProcessStartMS: since, InService: true, Updated: changed})
		}
		rec.Record(reports)
		if j := Analyze(terms, rec.Nodes()); j.Worse {
			return j, spans
		}
	}
	return Verdict{}, spans
}

// TestVerdicts: a bad version is seen, by its figure; a rise of load, a sick service below and a slow machine are no verdict on it.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name     string
		bad, all func(int, *Interval)
		why      string
	}{
		{"good", nil, nil, ""},
		{"fails more", func(_ int, s *Interval) { s.Failed += 0.05 * s.Served }, nil, "failed share"},
		{"refuses more", func(_ int, s *Interval) { s.Rejected += 0.2 * s.Served }, nil, "refused share"},
		{"is slower", func(_ int, s *Interval) { s.P99MS *= 2 }, nil, "latency"},
		{"a rise of load", nil, func(_ int, s *Interval) { s.Rejected += s.Served; s.P99MS *= 3 }, ""},
		{"a sick service below", nil, func(_ int, s *Interval) { s.Failed += 0.3 * s.Served }, ""},
		{"bad, and only under load", func(_ int, s *Interval) { s.Failed += 0.1 * max(0, s.Served-110) }, nil, "failed share"},
	} {
		j, spans := played(1, c.bad, c.all)
		if j.Worse != (c.why != "") || !strings.Contains(j.Reason, c.why) {
			t.Errorf("%s: %+v", c.name, j)
		}
		t.Logf("%s: worse %v after %d spans, the first node changed at 20", c.name, j.Worse, spans)
	}
}

// TestFalseAlarms: over 100 releases of good versions no more are called worse than was stated, with what chance allows for.
func TestFalseAlarms(t *testing.T) {
	alarms := 0
	for seed := range uint64(100) {
		if j, _ := played(seed+10, nil, nil); j.Worse {
			alarms++
		}
	}
	if t.Logf("%d of 100", alarms); alarms > 4 { // 1 is stated; 5 or more of them by chance: 0.4%
		t.Errorf("%d of 100 good releases were called worse", alarms)
	}
}

func TestNothingToCompareWith(t *testing.T) {
	one := NodeSeries{Name: "n0", Zone: "a", Intervals: make([]Interval, 40), Known: make([]bool, 40), UpdatedFrom: 10, InService: true}
	if j := Analyze(Options{FalseAlarmProbability: 0.01, MaxAnalyses: 10, MinIntervals: 5}, []NodeSeries{one}); j.Worse || j.Conclusive || !strings.Contains(j.Reason, "nobody of their zone") {
		t.Errorf("%+v", j)
	}
}

// TestRestarts: a process that ends once or twice is no verdict, nor are ends that the unchanged nodes have as well; one that ends again and
// again is.
func TestRestarts(t *testing.T) {
	for _, c := range []struct {
		changed, others int
		worse           bool
	}{{0, 0, false}, {1, 0, false}, {2, 0, false}, {5, 0, true}, {5, 40, false}} {
		r := NewRecorder(100)
		ends := [2]int{c.changed, c.others}
		since := [4]int64{1, 1, 1, 1}
		for span := range 60 {
			var now []NodeReport
			for node := range 4 {
				changed := node == 0 && span >= 30
				if node == 0 && span == 30 {
					since[node]++
				}
				if side := min(node, 1); ends[side] > 0 && span > 30 && (side == 1 || span%5 == 0) {
					ends[side]--
					since[node]++
				}
				now = append(now, NodeReport{Name: string(rune('a' + node)), Zone: "z", ProcessStartMS: since[node], InService: true, Updated: changed, Total: Interval{Served: float64(100 * span)}})
			}
			r.Record(now)
		}
		if j := Analyze(Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8}, r.Nodes()); j.Worse != c.worse || c.worse && !strings.Contains(j.Reason, "started anew 5 times") {
			t.Errorf("%d restarts of a changed node and %d of others: %+v", c.changed, c.others, j)
		}
	}
}

// TestSmoothed: a percentile taken over several spans is the same noise again and again: it counts for one, and raises no alarm where each
// taken for itself would.
func TestSmoothed(t *testing.T) {
	alarms := map[int]int{}
	for seed := range uint64(120) {
		for _, smooth := range []int{1, 5} {
			r := rand.New(rand.NewPCG(seed, 9))
			rec := NewRecorder(200)
			lately := make([][]float64, 4)
			worse := false
			for span := range 90 {
				var now []NodeReport
				for i := range lately {
					lately[i] = append(lately[i], r.ExpFloat64()*40) // the largest of the last five is what is reported
					lately[i] = lately[i][max(0, len(lately[i])-5):]
					now = append(now, NodeReport{Name: string(rune('a' + i)), Zone: "z", ProcessStartMS: 1, InService: true, Updated: i == 0 && span >= 30, Total: Interval{Served: float64(100 * span), P99MS: 20 + slices.Max(lately[i])}})
				}
				rec.Record(now)
				worse = worse || Analyze(Options{FalseAlarmProbability: 0.01, MaxAnalyses: 200, MinIntervals: 8, SmoothingIntervals: smooth}, rec.Nodes()).Worse
			}
			if worse {
				alarms[smooth]++
			}
		}
	}
	if t.Logf("of 120: %v", alarms); alarms[1] < 4 || alarms[5] > 1 {
		t.Errorf("of 120 good releases %d were called worse where the smoothing is counted, %d where it is not; want 1 at the most, and 4 or more", alarms[5], alarms[1])
	}
}
