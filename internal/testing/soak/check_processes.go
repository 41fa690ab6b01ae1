package soak

import (
	"fmt"
	"slices"
	"strings"
)

// checkProcesses checks that each process serves in time, exits only when asked to, stays within its memory (MB) and descriptor limits, and
// sends load reports to the directory. Descriptors count against half the limit, as a process at rest holds.
func (run *testRun) checkProcesses(r *Report) {
	for _, proc := range run.processes {
		if proc.failure != "" {
			r.breach(RuleProcess, fmt.Sprintf("process %d: %s\n%s", proc.number, proc.failure, lastLines(proc.log.String())))
		}
		if strings.Contains(proc.log.String(), "panic:") || strings.Contains(proc.log.String(), "DATA RACE") {
			r.breach(RuleProcess, fmt.Sprintf("process %d: %s", proc.number, lastLines(proc.log.String())))
		}
		run.checkLoadReports(r, proc)
		if proc.endedAt > 0 {
			continue
		}
		megabytes, descriptors, err := proc.usage()
		if err != nil || megabytes > float64(run.plan.Site.MemoryMB) || descriptors > run.plan.Site.Sockets/2 {
			r.breach(RuleProcess, fmt.Sprintf("process %d at rest: %.1f MB of %d, %d descriptors of %d, %v", proc.number, megabytes, run.plan.Site.MemoryMB, descriptors, run.plan.Site.Sockets, err))
		}
	}
	for _, s := range run.unexpected {
		if strings.Contains(s, "does not serve") {
			r.breach(RuleProcess, s)
		}
	}
}

// checkLoadReports checks that a process that serves never leaves the directory's endpoint list: no gap between two load reports is longer
// than maxReportGap, pauses and outages of the directory not counted.
func (run *testRun) checkLoadReports(r *Report, proc *process) {
	if proc.readyAt == 0 {
		return
	}
	to := proc.endedAt
	if proc.terminatedAt > 0 {
		to = proc.terminatedAt
	}
	if to == 0 {
		to = run.record.now()
	}
	run.directory.mu.Lock()
	defer run.directory.mu.Unlock()
	last := proc.readyAt
	for _, at := range append(slices.Clone(run.directory.reports), to) {
		if at < proc.readyAt || at > to {
			continue
		}
		gap := at - last - run.pausedBetween(last, at)
		for _, x := range run.directory.outages {
			if x.to >= last && x.from <= at {
				gap -= x.to - x.from
			}
		}
		if gap > maxReportGap {
			r.breach(RuleProcess, fmt.Sprintf("process %d sent the directory no load report for %v up to %v", proc.number, gap, at))
		}
		last = at
	}
}

// lastLines returns the end of a log.
func lastLines(text string) string { return text[max(0, len(text)-2000):] }
