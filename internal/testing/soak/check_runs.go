package soak

import (
	"fmt"
)

// checkRuns checks that a request that is not idempotent ran at most once, and that a draining process ran no request that was written
// later than the drain grace, protocolSlack and rigSlack after the process could handle SIGTERM.
func (run *testRun) checkRuns(r *Report, q *request) {
	if len(q.runs) > 1 && q.class != "read" {
		r.addViolation(RuleDuplicate, fmt.Sprintf("request %s (class %s) was started %d times: %v", q.id, q.class, len(q.runs), q.runs),
			q.id, q.key)
	}
	for _, s := range q.runs {
		for _, proc := range run.processes {
			if proc.terminatedAt == 0 || proc.number != s.process || run.plan.Site.Shared { // a process that is replaced does not drain
				continue
			}
			if late := q.written - (run.signalSeenAt(proc) + run.plan.Site.DrainGrace); late > protocolSlack+rigSlack {
				r.addViolation(RuleDrain, fmt.Sprintf("request %s was written %v after the drain grace and still ran", q.id, late), q.id)
			}
		}
	}
}
