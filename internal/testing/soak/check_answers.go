package soak

import (
	"fmt"
	"strings"
	"time"
)

// judgeAnswer: one right final answer by the due time, unless nobody waits for it.
func (p *play) judgeAnswer(r *Report, q *request, read bool) {
	latest := q.due + answerSlack + p.plan.Links["client"].delay() + p.paused(q.written, q.due)
	l := p.lives[max(0, q.life-1)]
	switch {
	case len(q.answers) > 1:
		r.breach(RuleDuplicate, fmt.Sprintf("%s was answered %d times", q.id, len(q.answers)), q.id)
	case len(q.answers) == 1:
		a := q.answers[0]
		if a.at > latest {
			r.breach(RuleLost, fmt.Sprintf("%s was due at %v and answered at %v, %v too late", q.id, q.due, a.at, a.at-latest), q.id)
		}
		if a.word == "ACK" && !p.madeFor(q, a.body) {
			r.breach(RuleLost, fmt.Sprintf("%s was served with %.60q, which no run made for it", q.id, a.body), q.id, q.key)
		}
		if a.word == "NAK" && len(q.starts) > 0 && q.class != "read" {
			r.breach(RuleDuplicate, fmt.Sprintf("%s was refused, and it ran", q.id), q.id, q.key)
		}
	case q.written == 0, q.undone, q.ended == byClient, l.killed && (l.ended == 0 || q.due+p.paused(q.written, q.due) > l.ended-harnessSlack):
	case q.ended == byNode && p.crossed(q) && !read:
		r.Crossed++
	case q.ended == byNode:
		r.breach(RuleLost, fmt.Sprintf("%s was written at %v and its connection ended at %v without an answer (read: %v)", q.id, q.written, q.endedAt, read), q.id, q.key)
	default:
		r.breach(RuleLost, fmt.Sprintf("%s was due at %v and never answered (read: %v)", q.id, q.due, read), q.id, q.key)
	}
	if q.wrong {
		r.breach(RuleLost, fmt.Sprintf("the run of %s was given the reply to another call", q.id), q.id)
	}
}

// crossed says whether a request was written so close to the end of its connection, or of the process behind it, that it crossed that end.
func (p *play) crossed(q *request) bool {
	reach := crossing + p.plan.Links["client"].delay()
	if q.endedAt-q.written <= reach+harnessSlack/2 {
		return true
	}
	for _, l := range p.lives { // the link takes connections and bytes while no process is there
		if l.ended > 0 && q.written+reach >= l.ended && q.written <= l.ended+time.Second || q.written+reach >= l.started && q.written <= max(l.ready, l.started)+reach {
			return true
		}
	}
	return false
}

// madeFor says whether a result was made by a run of the request, or of another try of its key.
func (p *play) madeFor(q *request, body string) bool {
	id, found := strings.CutPrefix(body, "result of ")
	made := p.requests.byID[id]
	return found && made != nil && len(made.starts) > 0 && (made == q || q.key != "" && made.key == q.key)
}
