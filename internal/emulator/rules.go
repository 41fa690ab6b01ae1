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

// Broken is a rule that a server broke.
type Broken struct {
	Rule   string // lost, duplicate, late, rerun, drain or refused
	Seed   uint64
	At     time.Duration // since the beginning
	What   string
	Before []string // what happened last, oldest first
}

func (b *Broken) Error() string {
	return fmt.Sprintf("rule %s broken, seed %d, at %v: %s\n  %s", b.Rule, b.Seed, b.At, b.What, strings.Join(b.Before, "\n  "))
}

// rules holds one node to the platform's rules, after each step: each try that it was offered has one answer by its due
// time, unless its caller is gone; no second try of a key runs in its window, nor is one refused once it ran; nothing
// that came later than the grace after the notice to leave runs.
type rules struct {
	Server
	clock    *clock.Virtual
	settings logic.Settings
	name     string
	seed     uint64
	begun    time.Time
	broken   func(*Broken)
	watch    func(what string, t *Try)

	open    map[*Try]*watched
	keys    map[string]time.Time // when the try that ran came
	leaving time.Time
	last    [20]happened // a ring
	lasts   int
	dead    bool // what it still says is heard by nobody
}

// happened is one step of a try.
type happened struct {
	at       time.Time
	what, id string
}

type watched struct {
	came  time.Time
	guard clock.Timer

	gone, answered bool
}

func (k *rules) Offer(t *Try, answer func(node.Response)) {
	now := k.clock.Now()
	k.note("offered", t)
	w := &watched{came: t.Came}
	k.open[t] = w
	grace := time.Duration(k.settings.ResponseGrace) * time.Microsecond
	due := t.Due
	if due.Before(now) {
		due = now // read too late: it is to be answered at once
	}
	w.guard = k.clock.AfterFunc(due.Sub(now)+grace+1, func() { // after all that happens at that instant's end
		if k.open[t] == w {
			k.breaks("lost", fmt.Sprintf("%s was due %v ago", t.ID, k.clock.Now().Sub(t.Due)))
		}
	})
	k.Server.Offer(t, func(a node.Response) {
		if k.dead {
			return
		}
		k.note([]string{"served", "refused", "failed"}[a.Status], t)
		if w.answered {
			k.breaks("duplicate", t.ID+" was answered again")
			return
		}
		w.answered = true
		if w.gone {
			return // the answer crossed the word that nobody waits: one does no harm
		}
		if _, ran := k.keys[t.Key]; a.Status == node.StatusRejected && t.Key != "" && ran && k.live(t) {
			k.breaks("refused", t.ID+" was refused once its key had run")
		}
		delete(k.open, t)
		w.guard.Stop()
		answer(a)
	})
}

func (k *rules) live(t *Try) bool {
	window := time.Duration(k.settings.Classes[t.Class].IdempotencyWindow) * time.Microsecond
	return k.clock.Now().Before(k.keys[t.Key].Add(window))
}

func (k *rules) Gone(t *Try) {
	k.note("gone", t)
	if w := k.open[t]; w != nil {
		w.gone = true
		delete(k.open, t)
		w.guard.Stop()
	}
	k.Server.Gone(t)
}

func (k *rules) Leave(left time.Duration) {
	k.leaving = k.clock.Now()
	k.Server.Leave(left)
}

// hand are the tries that the node has yet to answer, in no order that matters: each is told of at the same time.
func (k *rules) hand() (tries []*Try) {
	for t := range k.open {
		tries = append(tries, t)
	}
	slices.SortFunc(tries, func(a, b *Try) int { return strings.Compare(a.ID, b.ID) })
	return tries
}

// stop ends the watch: the node is gone, and owes nothing any more.
func (k *rules) stop() {
	for _, w := range k.open {
		w.guard.Stop()
		w.gone = true
	}
	clear(k.open)
	k.dead = true
}

// ran is told of each run as it is started.
func (k *rules) ran(t *Try) {
	if k.dead {
		return
	}
	k.note("run", t)
	now := k.clock.Now()
	w := k.open[t]
	came := now
	if w != nil {
		came = w.came
	}
	if t.Key != "" {
		if _, before := k.keys[t.Key]; before && k.live(t) {
			k.breaks("rerun", fmt.Sprintf("key %s ran again for %s", t.Key, t.ID))
		}
		k.keys[t.Key] = came
	}
	if grace := time.Duration(k.settings.DrainGrace) * time.Microsecond; !k.leaving.IsZero() && came.After(k.leaving.Add(grace)) {
		k.breaks("drain", fmt.Sprintf("%s came %v after the notice to leave and runs", t.ID, came.Sub(k.leaving)))
	}
}

// note keeps what happened last.
func (k *rules) note(what string, t *Try) {
	k.last[k.lasts%len(k.last)] = happened{k.clock.Now(), what, t.ID}
	k.lasts++
	k.watch(what, t)
}

func (k *rules) breaks(rule, what string) {
	b := &Broken{Rule: rule, Seed: k.seed, At: k.clock.Now().Sub(k.begun), What: k.name + ": " + what}
	for i := max(0, k.lasts-len(k.last)); i < k.lasts; i++ {
		h := k.last[i%len(k.last)]
		b.Before = append(b.Before, fmt.Sprintf("%v %s %s %s", h.at.Sub(k.begun), k.name, h.what, h.id))
	}
	k.broken(b)
}
