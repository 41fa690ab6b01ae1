package handover

import "sloehitch/logic"

// maxSamples is the maximum number of samples with which a learned average is weighted in a new server: enough for a
// useful initial value, and outweighed by the server's own measurements after as many samples again.
const maxSamples = 4

// maxObjectiveShare is the maximum of a learned run time in a new server, as a share of its class's latency objective.
// Run times learned under overload imply that no request meets its objective; a server that started from them would
// shed the very requests that show that the overload has ended.
const maxObjectiveShare = 0.5

// Discount returns the initial learned state of a new server with these settings, given that of an earlier server:
//
//	samples of an average         = min(samples, maxSamples)
//	mean run time of a class      = min(mean, maxObjectiveShare * latency objective)
//	its covariance with the hint  scaled like the mean run time of hinted runs
//
// All other values are kept unchanged. Classes that the settings do not contain are dropped.
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
		maxRunTime := maxObjectiveShare * float64(c.LatencyObjective)
		// Scale the regression line of run times over hints together with its mean, which keeps the relative
		// differences between requests: they do not depend on how slow all requests are.
		if e.HintedRunTime.Mean > maxRunTime && e.HintedRunTime.Mean > 0 {
			e.Covariance *= maxRunTime / e.HintedRunTime.Mean
		}
		e.RunTime.Mean = min(e.RunTime.Mean, maxRunTime)
		e.HintedRunTime.Mean = min(e.HintedRunTime.Mean, maxRunTime)
		e.RunTime = limitSamples(e.RunTime)
		e.HintedRunTime = limitSamples(e.HintedRunTime)
		e.Hint = limitSamples(e.Hint)
		classes[c.Name] = e
	}
	l.Classes = classes
	return l
}
