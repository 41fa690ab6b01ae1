package soak

import (
	"fmt"
	"maps"
	"slices"
)

// checkKeys checks that the attempts with an idempotency key run only once within the key's window in a process, and that none is rejected
// after that run. Processes that replace one another in service count as one process.
func (run *testRun) checkKeys(r *Report) {
	keys := map[string][]*request{}
	for _, q := range run.requests.list {
		if q.key != "" {
			keys[q.key] = append(keys[q.key], q)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		run.checkKey(r, key, keys[key])
	}
}

func (run *testRun) checkKey(r *Report, key string, attempts []*request) {
	for _, proc := range run.processes {
		ran := run.checkRunsOfKey(r, proc, key, attempts)
		if ran == nil {
			continue
		}
		run.checkRetriesOfKey(r, proc, ran, attempts)
		if run.plan.Site.Shared { // processes that replace one another are one node, whichever of them receives an attempt
			return
		}
	}
}

// checkRunsOfKey checks that no two attempts with a key ran in one process within the window. It returns the last attempt that ran, or nil.
func (run *testRun) checkRunsOfKey(r *Report, proc *process, key string, attempts []*request) (ran *request) {
	for _, q := range attempts {
		for _, s := range q.runs {
			if s.process != proc.number && !run.plan.Site.Shared {
				continue
			}
			if ran != nil && ran != q && q.written-ran.written < run.plan.Site.Window {
				r.addViolation(RuleDuplicate,
					fmt.Sprintf("idempotency key %s ran as request %s and again as request %s within its window", key, ran.id, q.id), key)
			}
			ran = q
		}
	}
	return ran
}

// checkRetriesOfKey checks that the process did not reject an attempt that it could have answered with the result of the attempt that ran.
func (run *testRun) checkRetriesOfKey(r *Report, proc *process, ran *request, attempts []*request) {
	ends := proc.endedAt
	if ends == 0 || run.plan.Site.Shared {
		ends = run.record.now()
	}
	for _, q := range attempts {
		inWindow := q.written > ran.runs[0].at && q.written-ran.written < run.plan.Site.Window && q.written < ends
		reached := q.process == proc.number || run.plan.Site.Shared
		rejected := len(q.answers) == 1 && q.answers[0].word == "NAK"
		if q != ran && inWindow && reached && rejected {
			r.addViolation(RuleDuplicate, fmt.Sprintf("idempotency key %s ran as request %s, but its retry %s was rejected", q.key,
				ran.id, q.id), q.key)
		}
	}
}
