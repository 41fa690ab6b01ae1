// Package modelcheck plays both sides of a lease through random worlds in true time: every clock has a rate and a beginning of its
// own, messages take any time, processes stand still, and leaders change. It knows who believes to hold the duty at each instant.
package modelcheck

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
)

// world is a store of which one member leads at a time, and candidates for one duty, in true time. Every clock has a
// rate and a beginning of its own; messages take any time; processes stand still; leaders change. It knows who believes
// to hold the duty at each instant.
type world struct {
	r     *rand.Rand
	now   time.Duration // true
	terms lease.Terms
	drift float64 // that clocks really have
	queue []event

	table  *lease.Table // of the leader; the records are the same on all members
	lead   clock
	term   int
	people []*candidate
	most   uint64 // token granted so far

	mutant string
}

type event struct {
	at time.Duration
	do func()
}

// clock is one process's: true time at another rate, from another beginning.
type clock struct {
	rate  float64
	begin lease.Instant
}

func (c clock) at(true time.Duration) lease.Instant {
	return c.begin + lease.Instant(float64(true)*c.rate)
}

type candidate struct {
	name  string
	clock clock
	claim *lease.Claim
	still time.Duration // stands still until then, in true time
	last  uint64        // question
	open  bool
}

func (w *world) clock() clock {
	return clock{1 + w.drift*(2*float64(w.r.IntN(2))-1), lease.Instant(w.r.Int64N(1 << 40))}
}

func (w *world) after(d time.Duration, do func()) { w.queue = append(w.queue, event{w.now + d, do}) }

// some is a span up to a most one: as often as not none at all, else mostly short.
func (w *world) some(most time.Duration) time.Duration {
	x := w.r.Float64()
	if w.r.IntN(2) == 0 {
		return 0
	}
	return time.Duration(x * x * x * float64(most))
}

// holders are those that believe to hold the duty now and are not standing still.
func (w *world) holders() (names []string) {
	for _, c := range w.people {
		if _, ok := c.claim.Holds(c.clock.at(w.now)); ok {
			names = append(names, c.name)
		}
	}
	return names
}

// ask is a candidate's question to whoever leads as it comes there, and the answer.
func (w *world) ask(c *candidate, kind string) {
	token, _ := c.claim.Holds(c.clock.at(w.now))
	q := c.claim.BeginRequest(c.clock.at(w.now))
	c.last, c.open = q, true
	w.after(w.some(2*w.terms.Duration), func() { // the way there
		var rec lease.Record
		var err error
		switch at := w.lead.at(w.now); kind {
		case "take":
			rec, err = w.table.Acquire("d", c.name, at)
		case "renew":
			rec, err = w.table.Renew("d", c.name, token)
		}
		term := w.term
		w.after(w.some(w.terms.Duration/4), func() { // until it is agreed on
			if err == nil && term != w.term {
				err = errors.New("the lead was lost") // what a stale leader proposed is not agreed on
			}
			if w.mutant == "applies what was decided on an older record" {
				rec.Serial = w.table.Get("d").Serial + 1
			}
			if err == nil && !w.table.Apply(rec, w.lead.at(w.now)) {
				err = errors.New("another came first")
			}
			if err == nil {
				w.most = max(w.most, rec.Token)
			}
			w.after(w.some(2*w.terms.Duration), func() {
				if c.still > w.now { // it comes when the process goes on
					w.after(c.still-w.now, func() { w.answer(c, q, rec, err) })
					return
				}
				w.answer(c, q, rec, err)
			})
		})
	})
}

func (w *world) answer(c *candidate, q uint64, rec lease.Record, err error) {
	if q == c.last {
		c.open = false
	}
	if err != nil {
		c.claim.HandleRejection(q)
		return
	}
	switch w.mutant {
	case "counts from the answer":
		q = c.claim.BeginRequest(c.clock.at(w.now))
	case "takes any answer":
		q = c.last
	}
	c.claim.HandleGrant(q, rec.Token)
}

// Mutants are faults of the program itself that a walk can be played with, to show that it sees them.
var Mutants = []string{"counts from the answer", "counts on after a change of leader", "no drift allowed for", "takes any answer",
	"applies what was decided on an older record"}

func holds(c *candidate, at lease.Instant) bool {
	_, ok := c.claim.Holds(at)
	return ok
}

// Run plays a seed with clocks that go wrong by drift, whatever the terms allow for, and returns what did not hold: two that
// hold the duty at once, or a token that went back; empty: all held. mutant is one of Mutants, or empty.
func Run(seed uint64, terms lease.Terms, drift float64, mutant string) string {
	w := &world{r: rand.New(rand.NewPCG(seed, 25)), terms: terms, drift: drift, mutant: mutant}
	var err error
	if w.table, err = lease.NewTable(terms); err != nil {
		return err.Error()
	}
	w.lead = w.clock()
	held := terms
	if mutant == "no drift allowed for" {
		held.MaxDrift = 0
	}
	for i := range 3 {
		w.people = append(w.people, &candidate{name: fmt.Sprint("p", i), clock: w.clock(), claim: lease.NewClaim(held)})
	}
	step := terms.Duration / 50
	for range 600 {
		w.now += step
		for i := 0; i < len(w.queue); i++ { // what is due, in the order in which it was asked for
			if e := w.queue[i]; e.at <= w.now {
				w.queue = append(w.queue[:i], w.queue[i+1:]...)
				i = -1
				e.do()
			}
		}
		if h := w.holders(); len(h) > 1 {
			return fmt.Sprintf("at %v %v hold the duty at once", w.now, h)
		}
		if token := w.table.Get("d").Token; token < w.most {
			return fmt.Sprintf("at %v the token went back from %d to %d", w.now, w.most, token)
		}
		c := w.people[w.r.IntN(len(w.people))]
		if c.still > w.now {
			continue
		}
		switch at := c.clock.at(w.now); {
		case w.r.IntN(60) == 0: // the leader changes; the records stay
			w.term++
			w.lead = w.clock()
			if mutant == "counts on after a change of leader" {
				continue
			}
			w.table.StartLeading(w.lead.at(w.now))
		case w.r.IntN(40) == 0:
			c.still = w.now + w.some(4*w.terms.Duration)
		case c.claim.RenewalDue(at):
			w.ask(c, "renew")
		case !holds(c, at) && !c.open && w.r.IntN(4) == 0:
			w.ask(c, "take")
		case holds(c, at) && w.r.IntN(50) == 0:
			token, _ := c.claim.Holds(at)
			c.claim.Stop()
			c.open = false
			if rec, err := w.table.HandOver("d", c.name, token, w.people[w.r.IntN(3)].name); err == nil {
				w.table.Apply(rec, w.lead.at(w.now))
			}
		}
	}
	return ""
}
