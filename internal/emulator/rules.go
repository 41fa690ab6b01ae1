package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Violation is a rule that a server broke.
type Violation struct {
	Rule         string // lost, duplicate, late, rerun, drain or refused
	Seed         uint64
	At           time.Duration // since the beginning
	Detail       string
	RecentEvents []string // what happened last, oldest first
}

func (b *Violation) Error() string {
	return fmt.Sprintf("rule %s broken, seed %d, at %v: %s\n  %s", b.Rule, b.Seed, b.At, b.Detail, strings.Join(b.RecentEvents, "\n  "))
}

// invariantChecker holds one node to the platform's rules, after each step: each try that it was offered has one answer by its due
// time, unless its caller is gone; no second try of a key runs in its window, nor is one refused once it ran; nothing
// that came later than the grace after the notice to leave runs.
type invariantChecker struct {
	Server
	clock       *clock.Virtual
	settings    logic.Settings
	name        string
	seed        uint64
	startedAt   time.Time
	onViolation func(*Violation)
	onEvent     func(what string, t *Attempt)

	open           map[*Attempt]*openAttempt
	ranAt          map[string]time.Time // when the try that ran came
	drainStartedAt time.Time
	recent         [20]recentEvent // a ring
	recentCount    int
	stopped        bool // what it still says is heard by nobody
}

// recentEvent is one step of a try.
type recentEvent struct {
	at             time.Time
	event, attempt string
}

type openAttempt struct {
	arrivedAt time.Time
	overdue   clock.Timer

	canceled, answered bool
}

func (k *invariantChecker) Submit(t *Attempt, answer func(node.Response)) {
	now := k.clock.Now()
	k.record("offered", t)
	w := &openAttempt{arrivedAt: t.ArrivedAt}
	k.open[t] = w
	grace := time.Duration(k.settings.ResponseGrace) * time.Microsecond
	due := t.Deadline
	if due.Before(now) {
		due = now // read too late: it is to be answered at once
	}
	w.overdue = k.clock.AfterFunc(due.Sub(now)+grace+1, func() { // after all that happens at that instant's end
		if k.open[t] == w {
			k.report("lost", fmt.Sprintf("%s was due %v ago", t.ID, k.clock.Now().Sub(t.Deadline)))
		}
	})
	k.Server.Submit(t, func(a node.Response) {
		if k.stopped {
			return
		}
		k.record([]string{"served", "refused", "failed"}[a.Status], t)
		if w.answered {
			k.report("duplicate", t.ID+" was answered again")
			return
		}
		w.answered = true
		if w.canceled {
			return // the answer crossed the word that nobody waits: one does no harm
		}
		if _, ran := k.ranAt[t.IdempotencyKey]; a.Status == node.StatusRejected && t.IdempotencyKey != "" && ran && k.withinIdempotencyWindow(t) {
			k.report("refused", t.ID+" was refused once its key had run")
		}
		delete(k.open, t)
		w.overdue.Stop()
		answer(a)
	})
}

func (k *invariantChecker) withinIdempotencyWindow(t *Attempt) bool {
	window := time.Duration(k.settings.Classes[t.Class].IdempotencyWindow) * time.Microsecond
	return k.clock.Now().Before(k.ranAt[t.IdempotencyKey].Add(window))
}

func (k *invariantChecker) Cancel(t *Attempt) {
	k.record("gone", t)
	if w := k.open[t]; w != nil {
		w.canceled = true
		delete(k.open, t)
		w.overdue.Stop()
	}
	k.Server.Cancel(t)
}

func (k *invariantChecker) Drain(left time.Duration) {
	k.drainStartedAt = k.clock.Now()
	k.Server.Drain(left)
}

// unanswered are the tries that the node has yet to answer, in no order that matters: each is told of at the same time.
func (k *invariantChecker) unanswered() (tries []*Attempt) {
	for t := range k.open {
		tries = append(tries, t)
	}
	slices.SortFunc(tries, func(a, b *Attempt) int { return strings.Compare(a.ID, b.ID) })
	return tries
}

// stop ends the watch: the node is gone, and owes nothing any more.
func (k *invariantChecker) stop() {
	for _, w := range k.open {
		w.overdue.Stop()
		w.canceled = true
	}
	clear(k.open)
	k.stopped = true
}

// runStarted is told of each run as it is started.
func (k *invariantChecker) runStarted(t *Attempt) {
	if k.stopped {
		return
	}
	k.record("run", t)
	now := k.clock.Now()
	w := k.open[t]
	came := now
	if w != nil {
		came = w.arrivedAt
	}
	if t.IdempotencyKey != "" {
		if _, before := k.ranAt[t.IdempotencyKey]; before && k.withinIdempotencyWindow(t) {
			k.report("rerun", fmt.Sprintf("key %s ran again for %s", t.IdempotencyKey, t.ID))
		}
		k.ranAt[t.IdempotencyKey] = came
	}
	if grace := time.Duration(k.settings.DrainGrace) * time.Microsecond; !k.drainStartedAt.IsZero() && came.After(k.drainStartedAt.Add(grace)) {
		k.report("drain", fmt.Sprintf("%s came %v after the notice to leave and runs", t.ID, came.Sub(k.drainStartedAt)))
	}
}

// record keeps what happened last.
func (k *invariantChecker) record(what string, t *Attempt) {
	k.recent[k.recentCount%len(k.recent)] = recentEvent{k.clock.Now(), what, t.ID}
	k.recentCount++
	k.onEvent(what, t)
}

func (k *invariantChecker) report(rule, what string) {
	b := &Violation{Rule: rule, Seed: k.seed, At: k.clock.Now().Sub(k.startedAt), Detail: k.name + ": " + what}
	for i := max(0, k.recentCount-len(k.recent)); i < k.recentCount; i++ {
		h := k.recent[i%len(k.recent)]
		b.RecentEvents = append(b.RecentEvents, fmt.Sprintf("%v %s %s %s", h.at.Sub(k.startedAt), k.name, h.event, h.attempt))
	}
	k.onViolation(b)
}
