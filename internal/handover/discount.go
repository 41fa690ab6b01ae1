package handover

import "sloehitch/logic"

// maxSamples is how many samples what was learned counts for in a new server: enough to begin with, few enough that what it
// sees itself outweighs them within as many again.
const maxSamples = 4

// maxObjectiveShare is the part of its class's aim that a run time may be at a start. What was learned in a storm says that
// nothing can be answered in time; a server that believed it would turn away what shows that the storm is over.
const maxObjectiveShare = 0.5

// Discount is what of the learned a new server is to begin with: the means as they are, but none that would keep it from
// starting anything, and each for a few samples only.
func Discount(l logic.LearnedState, s logic.Settings) logic.LearnedState {
	brief := func(a logic.Average) logic.Average {
		return logic.Average{Mean: a.Mean, Samples: min(a.Samples, maxSamples)}
	}
	l.CompletionGap, l.CallTime, l.RejectedShare = brief(l.CompletionGap), brief(l.CallTime), brief(l.RejectedShare)
	classes := map[string]logic.Estimate{}
	for _, c := range s.Classes {
		e, ok := l.Classes[c.Name]
		if !ok {
			continue
		}
		most := maxObjectiveShare * float64(c.LatencyObjective)
		// The line through hints and run times is drawn lower as a whole: its slope says how work differs, not how
		// slow it is.
		if e.HintedRunTime.Mean > most && e.HintedRunTime.Mean > 0 {
			e.Covariance *= most / e.HintedRunTime.Mean
		}
		e.RunTime.Mean, e.HintedRunTime.Mean = min(e.RunTime.Mean, most), min(e.HintedRunTime.Mean, most)
		e.RunTime, e.HintedRunTime, e.Hint = brief(e.RunTime), brief(e.HintedRunTime), brief(e.Hint)
		classes[c.Name] = e
	}
	l.Classes = classes
	return l
}
