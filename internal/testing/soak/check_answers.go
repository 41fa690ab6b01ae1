package soak

import (
	"fmt"
	"strings"
	"time"
)

// checkAnswer checks that a request got exactly one correct final answer, no later than its deadline plus answerSlack, the client link's
// delay and the time that the node was paused. Three kinds of request need no answer: those whose client canceled them or closed the
// connection, those of a process that was killed before their deadline, and those that the node had not read when their connection ended,
// if they were written just before.
func (run *testRun) checkAnswer(r *Report, q *request, read bool) {
	latest := q.due + answerSlack + run.plan.Links["client"].delay() + run.pausedBetween(q.written, q.due)
	proc := run.processes[max(0, q.process-1)]
	switch {
	case len(q.answers) > 1:
		r.addViolation(RuleDuplicate, fmt.Sprintf("request %s was answered %d times", q.id, len(q.answers)), q.id)
	case len(q.answers) == 1:
		a := q.answers[0]
		if a.at > latest {
			r.addViolation(RuleLost, fmt.Sprintf("request %s was due at %v and answered at %v, %v after the latest permitted time", q.id,
				q.due, a.at, a.at-latest), q.id)
		}
		if a.word == "ACK" && !run.producedFor(q, a.body) {
			r.addViolation(RuleLost, fmt.Sprintf("request %s was served with the result %.60q, which no run of it produced", q.id,
				a.body), q.id, q.key)
		}
		if a.word == "NAK" && len(q.runs) > 0 && q.class != "read" {
			r.addViolation(RuleDuplicate, fmt.Sprintf("request %s was rejected although it ran", q.id), q.id, q.key)
		}
	case q.written == 0, q.canceled, q.ended == endedByClient, proc.killed && (proc.endedAt == 0 || q.due+run.pausedBetween(q.written, q.due) > proc.endedAt-rigSlack):
	case q.ended == endedByNode && run.racedWithEnd(q) && !read:
		r.Crossed++
	case q.ended == endedByNode:
		r.addViolation(RuleLost,
			fmt.Sprintf("request %s was written at %v and its connection ended at %v without an answer (read by the node: %v)", q.id,
				q.written, q.endedAt, read), q.id, q.key, "peer="+q.forwarded.From+" ")
	default:
		r.addViolation(RuleLost, fmt.Sprintf("request %s was due at %v and never answered (read by the node: %v)", q.id, q.due, read),
			q.id, q.key)
	}
	if q.wrongReply {
		r.addViolation(RuleLost, fmt.Sprintf("the run of request %s received the reply to another call", q.id), q.id)
	}
}

// racedWithEnd reports whether a request reached the node within the close race window of the end of its connection, or later, or was
// written that shortly before or after the end of its process.
func (run *testRun) racedWithEnd(q *request) bool {
	reach := closeRaceWindow + run.plan.Links["client"].delay()
	if run.reachedNodeJustBeforeEnd(q) {
		return true
	}
	for _, proc := range run.processes { // the proxy accepts connections and bytes while no process is running
		if proc.endedAt > 0 && q.written+reach >= proc.endedAt && q.written <= proc.endedAt+time.Second || q.written+reach >= proc.startedAt && q.written <= max(proc.readyAt, proc.startedAt)+reach {
			return true
		}
	}
	return false
}

// reachedNodeJustBeforeEnd compares the times at the node's side of the proxy: a rig that is short of processor time delivers late, so
// the times at the client say little. If the proxy had no connection to the node, only the client's times are known.
func (run *testRun) reachedNodeJustBeforeEnd(q *request) bool {
	const window = closeRaceWindow + rigSlack/2
	if q.forwarded.Ended.IsZero() {
		return q.endedAt-q.written <= window+run.plan.Links["client"].delay()
	}
	from, reached := run.reachedNodeAt(q)
	to := q.forwarded.Ended.Sub(run.record.began)
	return !reached || to-from-run.unscheduledBetween(from, to) <= window
}

// reachedNodeAt returns when the last byte of a request was delivered to the node, or false if its connection had ended by then.
func (run *testRun) reachedNodeAt(q *request) (time.Duration, bool) {
	at, reached := q.forwarded.Delivered(q.sentUpTo)
	if !reached || q.sentUpTo == 0 {
		return 0, false
	}
	return at.Sub(run.record.began), true
}

// producedFor reports whether a result comes from a run of the request, or of another attempt with the same idempotency key.
func (run *testRun) producedFor(q *request, body string) bool {
	id, found := strings.CutPrefix(body, "result of ")
	made := run.requests.byID[id]
	return found && made != nil && len(made.runs) > 0 && (made == q || q.key != "" && made.key == q.key)
}
