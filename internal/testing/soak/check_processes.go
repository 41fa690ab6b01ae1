package soak

import (
	"fmt"
	"slices"
	"strings"
)

// judgeProcesses: each serves in time, ends as it is told, stays within its limits and reports to the directory.
func (p *play) judgeProcesses(r *Report) {
	for _, l := range p.lives {
		if l.failure != "" {
			r.breach(RuleProcess, fmt.Sprintf("process %d: %s\n%s", l.number, l.failure, lastLines(l.log.String())))
		}
		if strings.Contains(l.log.String(), "panic:") || strings.Contains(l.log.String(), "DATA RACE") {
			r.breach(RuleProcess, fmt.Sprintf("process %d: %s", l.number, lastLines(l.log.String())))
		}
		p.judgeReports(r, l)
		if l.ended > 0 {
			continue
		}
		megabytes, descriptors, err := l.usage()
		if err != nil || megabytes > float64(p.plan.Site.MemoryMB) || descriptors > p.plan.Site.Sockets/2 {
			r.breach(RuleProcess, fmt.Sprintf("process %d at rest: %.1f MB of %d, %d descriptors of %d, %v", l.number, megabytes, p.plan.Site.MemoryMB, descriptors, p.plan.Site.Sockets, err))
		}
	}
	for _, s := range p.strays {
		if strings.Contains(s, "does not serve") {
			r.breach(RuleProcess, s)
		}
	}
}

// judgeReports: a process that is up is never off the directory's list.
func (p *play) judgeReports(r *Report, l *life) {
	if l.ready == 0 {
		return
	}
	to := l.ended
	if l.told > 0 {
		to = l.told
	}
	if to == 0 {
		to = p.record.now()
	}
	p.directory.mu.Lock()
	defer p.directory.mu.Unlock()
	last := l.ready
	for _, at := range append(slices.Clone(p.directory.heard), to) {
		if at < l.ready || at > to {
			continue
		}
		gap := at - last - p.paused(last, at)
		for _, x := range p.directory.down {
			if x.to >= last && x.from <= at {
				gap -= x.to - x.from
			}
		}
		if gap > pulseMost {
			r.breach(RuleProcess, fmt.Sprintf("process %d told the directory nothing for %v up to %v", l.number, gap, at))
		}
		last = at
	}
}

// lastLines is the end of a log.
func lastLines(text string) string { return text[max(0, len(text)-2000):] }
