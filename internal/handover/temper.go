package handover

import "sloehitch/logic"

// few is how many samples what was learned counts for in a new server: enough to begin with, few enough that what it
// sees itself outweighs them within as many again.
const few = 4

// admits is the part of its class's aim that a run time may be at a start. What was learned in a storm says that
// nothing can be answered in time; a server that believed it would turn away what shows that the storm is over.
const admits = 0.5

// Temper is what of the learned a new server is to begin with: the means as they are, but none that would keep it from
// starting anything, and each for a few samples only.
func Temper(l logic.Learned, s logic.Settings) logic.Learned {
	brief := func(a logic.Average) logic.Average { return logic.Average{Mean: a.Mean, N: min(a.N, few)} }
	l.Gap, l.CallTime, l.Refusing = brief(l.Gap), brief(l.CallTime), brief(l.Refusing)
	classes := map[string]logic.Estimate{}
	for _, c := range s.Classes {
		e, ok := l.Classes[c.Name]
		if !ok {
			continue
		}
		most := admits * float64(c.Aim)
		// The line through hints and run times is drawn lower as a whole: its slope says how work differs, not how
		// slow it is.
		if e.Hinted.Mean > most && e.Hinted.Mean > 0 {
			e.Cov *= most / e.Hinted.Mean
		}
		e.Run.Mean, e.Hinted.Mean = min(e.Run.Mean, most), min(e.Hinted.Mean, most)
		e.Run, e.Hinted, e.Hint = brief(e.Run), brief(e.Hinted), brief(e.Hint)
		classes[c.Name] = e
	}
	l.Classes = classes
	return l
}
