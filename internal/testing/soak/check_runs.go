package soak

import (
	"fmt"
)

// judgeRuns: what may run once does, and nothing that was read after the grace does.
func (p *play) judgeRuns(r *Report, q *request) {
	if len(q.starts) > 1 && q.class != "read" {
		r.breach(RuleDuplicate, fmt.Sprintf("%s (%s) was started %d times: at %v", q.id, q.class, len(q.starts), q.starts), q.id, q.key)
	}
	for _, s := range q.starts {
		for _, l := range p.lives {
			if l.told == 0 || l.number != s.life || p.plan.Site.Shared { // a process that is replaced is not told to drain
				continue
			}
			if late := q.written - (p.noticed(l) + p.plan.Site.DrainGrace); late > pageSlack+harnessSlack {
				r.breach(RuleDrain, fmt.Sprintf("%s was written %v after the grace and run", q.id, late), q.id)
			}
		}
	}
}
