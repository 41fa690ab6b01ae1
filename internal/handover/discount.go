package handover

import "sloehitch/logic"

// maxSamples is how many samples a learned average counts for in a new server: enough to begin with, and outweighed
// by what the server measures itself within as many samples again.
const maxSamples = 4

// maxObjectiveShare is the most that a learned run time may be at a start, as a share of its class's latency
// objective. What was learned under overload says that no request meets its objective; a server that took it over
// would shed the very requests that show that the overload is over.
const maxObjectiveShare = 0.5

// Discount returns what a new server with these settings begins with of what an earlier one has learned:
//
//	samples of an average         = min(samples, maxSamples)
//	mean run time of a class      = min(mean, maxObjectiveShare * latency objective)
//	its covariance with the hint  scaled as the mean run time of hinted runs was
//
// All else is taken over as it is. Classes that the settings do not name are left out.
func Discount(l logic.LearnedState, s logic.Settings) logic.LearnedState {
	limitSamples := func(a logic.Average) logic.Average {
		return logic.Average{Mean: a.Mean, Samples: min(a.Samples, maxSamples)}
	}
	l.CompletionGap = limitSamples(l.CompletionGap)
	l.CallTime = limitSamples(l.CallTime)
	l.RejectedShare = limitSamples(l.RejectedShare)
	classes := map[string]logic.Estimate{}
	for _, c := range s.Classes {
		e, ok := l.Classes[c.Name]
		if !ok {
			continue
		}
		most := maxObjectiveShare * float64(c.LatencyObjective)
		// The line through hints and run times is lowered without turning it: its slope says how requests differ, not
		// how slow they are.
		if e.HintedRunTime.Mean > most && e.HintedRunTime.Mean > 0 {
			e.Covariance *= most / e.HintedRunTime.Mean
		}
		e.RunTime.Mean = min(e.RunTime.Mean, most)
		e.HintedRunTime.Mean = min(e.HintedRunTime.Mean, most)
		e.RunTime = limitSamples(e.RunTime)
		e.HintedRunTime = limitSamples(e.HintedRunTime)
		e.Hint = limitSamples(e.Hint)
		classes[c.Name] = e
	}
	l.Classes = classes
	return l
}
