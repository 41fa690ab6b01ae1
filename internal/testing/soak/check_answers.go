package soak

import (
	"fmt"
	"strings"
	"time"
)

// checkAnswer checks that a request got exactly one correct final answer, no later than its deadline plus answerSlack, the client link's delay
// and the time that the node was paused. Exempt are requests whose client canceled them or closed the connection, those of a process that
// was killed before their deadline, and those that crossed the end of their connection unread.
func (run *testRun) checkAnswer(r *Report, q *request, read bool) {
	latest := q.due + answerSlack + run.plan.Links["client"].delay() + run.pausedBetween(q.written, q.due)
	proc := run.processes[max(0, q.process-1)]
	switch {
	case len(q.answers) > 1:
		r.breach(RuleDuplicate, fmt.Sprintf("%s was answered %d times", q.id, len(q.answers)), q.id)
	case len(q.answers) == 1:
		a := q.answers[0]
		if a.at > latest {
			r.breach(RuleLost, fmt.Sprintf("%s was due at %v and answered at %v, %v too late", q.id, q.due, a.at, a.at-latest), q.id)
		}
		if a.word == "ACK" && !run.producedFor(q, a.body) {
			r.breach(RuleLost, fmt.Sprintf("%s was served with %.60q, which no run made for it", q.id, a.body), q.id, q.key)
		}
		if a.word == "NAK" && len(q.runs) > 0 && q.class != "read" {
			r.breach(RuleDuplicate, fmt.Sprintf("%s was rejected, and it ran", q.id), q.id, q.key)
		}
	case q.written == 0, q.canceled, q.ended == endedByClient, proc.killed && (proc.endedAt == 0 || q.due+run.pausedBetween(q.written, q.due) > proc.endedAt-rigSlack):
	case q.ended == endedByNode && run.racedWithEnd(q) && !read:
		r.Crossed++
	case q.ended == endedByNode:
		r.breach(RuleLost, fmt.Sprintf("%s was written at %v and its connection ended at %v without an answer (read: %v)", q.id, q.written, q.endedAt, read), q.id, q.key)
	default:
		r.breach(RuleLost, fmt.Sprintf("%s was due at %v and never answered (read: %v)", q.id, q.due, read), q.id, q.key)
	}
	if q.wrongReply {
		r.breach(RuleLost, fmt.Sprintf("the run of %s was given the reply to another call", q.id), q.id)
	}
}

// racedWithEnd reports whether a request was written within the close race window of the end of its connection or of its process.
func (run *testRun) racedWithEnd(q *request) bool {
	reach := closeRaceWindow + run.plan.Links["client"].delay()
	if q.endedAt-q.written <= reach+rigSlack/2 {
		return true
	}
	for _, proc := range run.processes { // the link takes connections and bytes while no process is there
		if proc.endedAt > 0 && q.written+reach >= proc.endedAt && q.written <= proc.endedAt+time.Second || q.written+reach >= proc.startedAt && q.written <= max(proc.readyAt, proc.startedAt)+reach {
			return true
		}
	}
	return false
}

// producedFor reports whether a result comes from a run of the request, or of another attempt with its key.
func (run *testRun) producedFor(q *request, body string) bool {
	id, found := strings.CutPrefix(body, "result of ")
	made := run.requests.byID[id]
	return found && made != nil && len(made.runs) > 0 && (made == q || q.key != "" && made.key == q.key)
}
