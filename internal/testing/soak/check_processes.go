package soak

import (
	"fmt"
	"slices"
	"strings"
)

// checkProcesses checks that each process is ready in time, exits only when it is told to, stays within its memory (MB) and descriptor
// limits, and sends load reports to the directory. A process at rest may have half the limit of descriptors open.
func (run *testRun) checkProcesses(r *Report) {
	for _, proc := range run.processes {
		if proc.failure != "" {
			r.addViolation(RuleProcess, fmt.Sprintf("process %d: %s\n%s", proc.number, proc.failure, lastLines(proc.log.String())))
		}
		if strings.Contains(proc.log.String(), "panic:") || strings.Contains(proc.log.String(), "DATA RACE") {
			r.addViolation(RuleProcess, fmt.Sprintf("process %d: %s", proc.number, lastLines(proc.log.String())))
		}
		run.checkLoadReports(r, proc)
		if proc.endedAt > 0 {
			continue
		}
		megabytes, descriptors, err := proc.usage()
		if err != nil || megabytes > float64(run.plan.Site.MemoryMB) || descriptors > run.plan.Site.Sockets/2 {
			r.addViolation(RuleProcess, fmt.Sprintf("process %d at rest: %.1f MB resident of %d MB, %d open descriptors of %d, error %v",
				proc.number, megabytes, run.plan.Site.MemoryMB, descriptors, run.plan.Site.Sockets, err))
		}
	}
	for _, s := range run.unexpected {
		if strings.Contains(s, "did not become ready") {
			r.addViolation(RuleProcess, s)
		}
	}
}

// checkLoadReports checks that a ready process stays in the directory's endpoint list: no gap between two load reports is longer than
// maxReportGap, without pauses of the process and outages of the directory.
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
			r.addViolation(RuleProcess, fmt.Sprintf("process %d sent the directory no load report for %v up to %v", proc.number, gap, at))
		}
		last = at
	}
}

// lastLines returns the last 2000 bytes of a log.
func lastLines(text string) string { return text[max(0, len(text)-2000):] }
