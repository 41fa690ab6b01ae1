package soak

import (
	"maps"
	"strings"
	"time"
)

// Rules that a play can break.
const (
	RuleLost      = "lost"      // no final answer by the due time, or one that can't be right
	RuleDuplicate = "duplicate" // what may run once ran again, was refused though it ran, or was answered twice
	RuleDrain     = "drain"     // run though it was read after the grace
	RuleProcess   = "process"   // crashed, late to serve, over a limit, silent to the directory
)

const (
	// answerGrace is the settings' grace for answers, pageSlack what the protocol adds on sockets, and harnessSlack what the rig itself may be late
	// by on a busy machine.
	answerGrace  = 80 * time.Millisecond
	pageSlack    = 50 * time.Millisecond
	harnessSlack = 120 * time.Millisecond
	answerSlack  = answerGrace + pageSlack + harnessSlack
	// pulseMost is how long a node that is up may be silent to the directory before it is taken off the list.
	pulseMost = 3 * time.Second
)

// Breach is one rule broken.
type Breach struct {
	Rule, What string
	Names      []string // of the requests and keys concerned
}

// Report is what came of a play.
type Report struct {
	Plan     Plan
	Breaches []Breach
	Counts   map[string]int // faults by kind
	Requests int            // written whole
	Answers  map[string]int // by word
	Runs     int
	Lives    int
	// Of the starts and replies that a broken link carried: those that nobody could confirm, and the runs that no end was told of by the time
	// that their requests were due. From the node's logs.
	Unconfirmed, WrittenOff int
	Lag                     time.Duration // for how long the machine gave the rig no turn, in all
	Crossed                 int           // ended with their connection within the crossing time
	Record                  *Record
	Logs                    []string // of the processes
}

// judge holds the records to the rules.
func (p *play) judge() *Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &Report{Plan: p.plan, Counts: maps.Clone(p.counts), Answers: map[string]int{}, Lives: len(p.lives), Record: p.record}
	p.requests.mu.Lock()
	defer p.requests.mu.Unlock()
	read := map[string]bool{}
	for _, l := range p.lives {
		text := l.log.String()
		r.Logs = append(r.Logs, text)
		r.Unconfirmed += strings.Count(text, "known_read=false action=await")
		r.WrittenOff += strings.Count(text, `msg="run abandoned"`)
		for line := range strings.SplitSeq(text, "\n") {
			if _, after, found := strings.Cut(line, "msg=read node=n1 request="); found {
				id, _, _ := strings.Cut(after, " ")
				read[id] = true
			}
		}
	}
	for _, q := range p.requests.list {
		if q.written > 0 {
			r.Requests++
		}
		for _, a := range q.answers {
			r.Answers[a.word]++
		}
		r.Runs += len(q.starts)
		p.judgeAnswer(r, q, read[q.id])
		p.judgeRuns(r, q)
	}
	for _, x := range p.lags {
		r.Lag += x.to - x.from
	}
	p.judgeKeys(r)
	p.judgeCalls(r)
	p.judgeProcesses(r)
	return r
}

func (r *Report) breach(rule, what string, names ...string) {
	r.Breaches = append(r.Breaches, Breach{rule, what, names})
}
