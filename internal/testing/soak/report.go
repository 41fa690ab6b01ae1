package soak

import (
	"maps"
	"strings"
	"time"
)

// The rules that a run can violate.
const (
	RuleLost      = "lost"      // no final answer by the deadline, or a wrong one
	RuleDuplicate = "duplicate" // a request that may run once ran again, was rejected although it ran, or was answered twice
	RuleDrain     = "drain"     // a request ran although it was written after the drain grace
	RuleProcess   = "process"   // a process crashed, was not ready in time, exceeded a limit, or sent no load reports to the directory
)

const (
	// answerGrace is the settings' grace-to-answer, protocolSlack the delay that the protocol allows for sockets, and rigSlack how late the
	// rig itself may be on a busy machine.
	answerGrace   = 80 * time.Millisecond
	protocolSlack = 50 * time.Millisecond
	rigSlack      = 120 * time.Millisecond
	answerSlack   = answerGrace + protocolSlack + rigSlack
	// maxReportGap is the time without a load report after which the directory removes an endpoint from its list.
	maxReportGap = 3 * time.Second
)

// Violation is one violation of a rule.
type Violation struct {
	Rule, What string
	Names      []string // ids and keys of the requests concerned, and parts of log lines such as "peer=ADDRESS "
}

// Report is the result of a run.
type Report struct {
	Plan       Plan
	Violations []Violation
	Counts     map[string]int // faults by kind
	Requests   int            // written completely
	Answers    map[string]int // by word
	Runs       int
	Processes  int
	// From the node's logs, after broken connections to the runtime: starts and replies that could not be confirmed, and runs abandoned at
	// their deadline without a reported end.
	Unconfirmed, Abandoned int
	SchedulingDelay        time.Duration // total time in which the machine did not schedule the rig
	Crossed                int           // requests written just before their connection ended, which the node had not read
	Record                 *Record
	Logs                   []string // of the processes
}

// check checks the records against all rules.
func (run *testRun) check() *Report {
	run.mu.Lock()
	defer run.mu.Unlock()
	r := &Report{Plan: run.plan, Counts: maps.Clone(run.counts), Answers: map[string]int{}, Processes: len(run.processes), Record: run.record}
	run.requests.mu.Lock()
	defer run.requests.mu.Unlock()
	read := map[string]bool{}
	for _, proc := range run.processes {
		text := proc.log.String()
		r.Logs = append(r.Logs, text)
		r.Unconfirmed += strings.Count(text, "known_read=false action=await")
		r.Abandoned += strings.Count(text, `msg="run abandoned"`)
		for line := range strings.SplitSeq(text, "\n") {
			if _, after, found := strings.Cut(line, "msg=read node=n1 request="); found {
				id, _, _ := strings.Cut(after, " ")
				read[id] = true
			}
		}
	}
	for _, q := range run.requests.list {
		if q.written > 0 {
			r.Requests++
		}
		for _, a := range q.answers {
			r.Answers[a.word]++
		}
		r.Runs += len(q.runs)
		run.checkAnswer(r, q, read[q.id])
		run.checkRuns(r, q)
	}
	for _, x := range run.schedulingDelays {
		r.SchedulingDelay += x.to - x.from
	}
	run.checkKeys(r)
	run.checkCalls(r)
	run.checkProcesses(r)
	return r
}

func (r *Report) addViolation(rule, what string, names ...string) {
	r.Violations = append(r.Violations, Violation{rule, what, names})
}
