package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
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

// paused is how long the process stood still between two times.
func (p *play) paused(from, to time.Duration) (sum time.Duration) {
	for _, x := range slices.Concat(p.pauses, p.lags) {
		if x.to >= from && x.from <= to+sum+time.Second {
			sum += x.to - x.from
		}
	}
	return sum
}

// madeFor says whether a result was made by a run of the request, or of another try of its key.
func (p *play) madeFor(q *request, body string) bool {
	id, found := strings.CutPrefix(body, "result of ")
	made := p.requests.byID[id]
	return found && made != nil && len(made.starts) > 0 && (made == q || q.key != "" && made.key == q.key)
}

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

// turnLeast is how long a process must go on between two pauses to have had a turn on a busy machine.
const turnLeast = 5 * time.Millisecond

// noticed is when a process could first notice that it is to leave: a signal that comes while it stands still waits, also for a pause that
// follows before the process can have had a turn.
func (p *play) noticed(l *life) time.Duration {
	at, waits := l.told, false
	for _, x := range p.pauses {
		within := x.from <= at && at < x.to
		if within || waits && x.from >= at && x.from-at < turnLeast {
			at, waits = x.to, true
		}
	}
	return at
}

// judgeKeys: the tries of one key run once in the key's window, in the life of one process, and none is refused after that.
func (p *play) judgeKeys(r *Report) {
	keys := map[string][]*request{}
	for _, q := range p.requests.list {
		if q.key != "" {
			keys[q.key] = append(keys[q.key], q)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		p.judgeKey(r, key, keys[key])
	}
}

func (p *play) judgeKey(r *Report, key string, tries []*request) {
	for _, l := range p.lives {
		ends := l.ended
		if ends == 0 || p.plan.Site.Shared {
			ends = p.record.now()
		}
		var ran *request
		for _, q := range tries {
			for _, s := range q.starts {
				if s.life != l.number && !p.plan.Site.Shared {
					continue
				}
				if ran != nil && ran != q && q.written-ran.written < p.plan.Site.Window {
					r.breach(RuleDuplicate, fmt.Sprintf("key %s ran as %s and as %s", key, ran.id, q.id), key)
				}
				ran = q
			}
		}
		if ran == nil {
			continue
		}
		// Where processes replace one another the node is one, whichever of them a try reaches.
		for _, q := range tries {
			inWindow := q.written > ran.starts[0].at && q.written-ran.written < p.plan.Site.Window && q.written < ends
			if q != ran && inWindow && (q.life == l.number || p.plan.Site.Shared) && len(q.answers) == 1 && q.answers[0].word == "NAK" {
				r.breach(RuleDuplicate, fmt.Sprintf("key %s ran as %s, and its try %s was refused", key, ran.id, q.id), key)
			}
		}
		if p.plan.Site.Shared {
			return
		}
	}
}

// judgeCalls: a call of a request that may run once is made once, unless it was turned away.
func (p *play) judgeCalls(r *Report) {
	p.catalogue.mu.Lock()
	defer p.catalogue.mu.Unlock()
	for _, body := range slices.Sorted(maps.Keys(p.catalogue.made)) {
		id, _, _ := strings.Cut(body, "/")
		if q := p.requests.byID[id]; p.catalogue.made[body] > 1 && q != nil && q.class != "read" {
			r.breach(RuleDuplicate, fmt.Sprintf("call %s of a %s was made %d times", body, q.class, p.catalogue.made[body]), id)
		}
	}
}

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

// WriteTimelines writes, for up to most breaches, all that is on record of the requests concerned.
func (r *Report) WriteTimelines(w io.Writer, most int) {
	for _, b := range r.Breaches[:min(most, len(r.Breaches))] {
		fmt.Fprintf(w, "seed %d: %s: %s\n", r.Plan.Seed, b.Rule, b.What)
		r.Record.Timeline(w, b.Names...)
		for _, text := range r.Logs {
			for line := range strings.SplitSeq(text, "\n") {
				for _, name := range b.Names {
					if name != "" && strings.Contains(line, name) {
						fmt.Fprintln(w, "  ", line)
						break
					}
				}
			}
		}
	}
}
