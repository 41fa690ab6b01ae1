package soak

import (
	"fmt"
)

// checkRuns checks that a request that is not idempotent ran at most once, and that no request ran that was written later than the drain grace
// after its process could see SIGTERM, plus protocolSlack and rigSlack.
func (run *testRun) checkRuns(r *Report, q *request) {
	if len(q.runs) > 1 && q.class != "read" {
		r.breach(RuleDuplicate, fmt.Sprintf("%s (%s) was started %d times: at %v", q.id, q.class, len(q.runs), q.runs), q.id, q.key)
	}
	for _, s := range q.runs {
		for _, proc := range run.processes {
			if proc.terminatedAt == 0 || proc.number != s.process || run.plan.Site.Shared { // a process that is replaced does not drain
				continue
			}
			if late := q.written - (run.signalSeenAt(proc) + run.plan.Site.DrainGrace); late > protocolSlack+rigSlack {
				r.breach(RuleDrain, fmt.Sprintf("%s was written %v after the grace and run", q.id, late), q.id)
			}
		}
	}
}
