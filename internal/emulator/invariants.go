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

// recentEvents is the number of a node's last events that a violation includes.
const recentEvents = 20

// invariantChecker wraps a node's server and checks the invariants on each submission, run, response and cancellation.
type invariantChecker struct {
	Server
	clock       *clock.Virtual
	settings    logic.Settings
	name        string
	seed        uint64
	startedAt   time.Time
	onViolation func(*Violation)
	onEvent     func(Event, *Attempt)

	open           map[*Attempt]*openAttempt
	ranAt          map[string]time.Time // arrival time of the attempt that ran, by idempotency key
	drainStartedAt time.Time
	recent         [recentEvents]recentEvent // ring buffer
	recentCount    int
	stopped        bool // the process has ended, and its responses are lost
}

// recentEvent is a recorded event of an attempt.
type recentEvent struct {
	at      time.Time
	event   Event
	attempt string
}

// openAttempt is an attempt that the node has not answered.
type openAttempt struct {
	arrivedAt          time.Time
	overdue            clock.Timer
	canceled, answered bool
}

// Submit implements Server.
func (c *invariantChecker) Submit(a *Attempt, respond func(node.Response)) {
	now := c.clock.Now()
	c.record(EventOffered, a)
	open := &openAttempt{arrivedAt: a.ArrivedAt}
	c.open[a] = open
	grace := time.Duration(c.settings.ResponseGrace) * time.Microsecond
	due := a.Deadline
	if due.Before(now) {
		due = now // read after its deadline, so the response is due at once
	}
	// The extra nanosecond makes the check run after all other callbacks that are due at that time.
	open.overdue = c.clock.AfterFunc(due.Sub(now)+grace+time.Nanosecond, func() {
		if c.open[a] == open {
			c.report(InvariantAnswered, fmt.Sprintf("attempt %s had no response %v after its deadline", a.ID, c.clock.Now().Sub(a.Deadline)))
		}
	})
	c.Server.Submit(a, func(response node.Response) {
		if c.checkResponse(a, open, response) {
			respond(response)
		}
	})
}

// checkResponse checks a response and reports whether to pass it on.
func (c *invariantChecker) checkResponse(a *Attempt, open *openAttempt, response node.Response) bool {
	if c.stopped {
		return false
	}
	c.record(responseEvent(response.Status), a)
	if open.answered {
		c.report(InvariantAnsweredOnce, a.ID+" was answered a second time")
		return false
	}
	open.answered = true
	if open.canceled {
		return false // the response and the cancellation crossed, which is allowed
	}
	if response.Status == node.StatusRejected && a.IdempotencyKey != "" && c.ranWithinWindow(a) {
		c.report(InvariantNoRejection, a.ID+" was rejected after its idempotency key had run")
	}
	delete(c.open, a)
	open.overdue.Stop()
	return true
}

func responseEvent(status node.Status) Event {
	switch status {
	case node.StatusServed:
		return EventServed
	case node.StatusRejected:
		return EventRejected
	default:
		return EventFailed
	}
}

// ranWithinWindow reports whether an attempt with the same idempotency key has run and the key's window has not ended.
func (c *invariantChecker) ranWithinWindow(a *Attempt) bool {
	ranAt, ran := c.ranAt[a.IdempotencyKey]
	window := time.Duration(c.settings.Classes[a.Class].IdempotencyWindow) * time.Microsecond
	return ran && c.clock.Now().Before(ranAt.Add(window))
}

// Cancel implements Server.
func (c *invariantChecker) Cancel(a *Attempt) {
	c.record(EventCanceled, a)
	if open := c.open[a]; open != nil {
		open.canceled = true
		delete(c.open, a)
		open.overdue.Stop()
	}
	c.Server.Cancel(a)
}

// Drain implements Server.
func (c *invariantChecker) Drain(timeLeft time.Duration) {
	c.drainStartedAt = c.clock.Now()
	c.Server.Drain(timeLeft)
}

// unanswered returns the attempts that the node has not answered, ordered by ID.
func (c *invariantChecker) unanswered() (attempts []*Attempt) {
	for a := range c.open {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return strings.Compare(a.ID, b.ID) })
	return attempts
}

// stop ends the checks of a process that has ended.
func (c *invariantChecker) stop() {
	for _, open := range c.open {
		open.overdue.Stop()
		open.canceled = true
	}
	clear(c.open)
	c.stopped = true
}

// runStarted checks a run when it starts.
func (c *invariantChecker) runStarted(a *Attempt) {
	if c.stopped {
		return
	}
	c.record(EventRun, a)
	arrivedAt := c.clock.Now()
	if open := c.open[a]; open != nil {
		arrivedAt = open.arrivedAt
	}
	if a.IdempotencyKey != "" {
		if c.ranWithinWindow(a) {
			c.report(InvariantRunOnce, fmt.Sprintf("idempotency key %s ran a second time, for attempt %s", a.IdempotencyKey, a.ID))
		}
		c.ranAt[a.IdempotencyKey] = arrivedAt
	}
	grace := time.Duration(c.settings.DrainGrace) * time.Microsecond
	if !c.drainStartedAt.IsZero() && arrivedAt.After(c.drainStartedAt.Add(grace)) {
		c.report(InvariantDrain, fmt.Sprintf("attempt %s arrived %v after the drain started, and runs", a.ID, arrivedAt.Sub(c.drainStartedAt)))
	}
}

// record stores an event for violations and passes it to onEvent.
func (c *invariantChecker) record(event Event, a *Attempt) {
	c.recent[c.recentCount%len(c.recent)] = recentEvent{c.clock.Now(), event, a.ID}
	c.recentCount++
	c.onEvent(event, a)
}

func (c *invariantChecker) report(rule Invariant, detail string) {
	v := &Violation{Rule: rule, Seed: c.seed, At: c.clock.Now().Sub(c.startedAt), Detail: c.name + ": " + detail}
	for i := max(0, c.recentCount-len(c.recent)); i < c.recentCount; i++ {
		e := c.recent[i%len(c.recent)]
		v.RecentEvents = append(v.RecentEvents, fmt.Sprintf("%v %s %s %s", e.at.Sub(c.startedAt), c.name, e.event, e.attempt))
	}
	c.onViolation(v)
}
