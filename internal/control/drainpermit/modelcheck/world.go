package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// LeaseTerms are the terms of the start window and of all leases.
var LeaseTerms = lease.Terms{Duration: 3 * time.Second, MaxDrift: 0.02, SafetyMargin: 300 * time.Millisecond}

const (
	tick      = 100 * time.Millisecond // of simulated time
	minReady  = 3 * time.Second
	grantTask = "permits"
)

// Events that are counted, so that tests can check that they have happened often enough.
const (
	countOutOfService   = "out"
	countRejected       = "refused"
	countReplaced       = "replaced"
	countHalted         = "halted"
	countGranters       = "keepers"
	countKilled         = "killed"
	countRequests       = "steps"
	countControllers    = "owners"
	countRolledBack     = "back"
	countFoundWorse     = "called worse"
	countHaltedByItself = "halted by itself"
)

// timedEvent is a function to be run at a simulated time.
type timedEvent struct {
	at  time.Duration
	run func()
}

// world is one simulated fleet. All times are simulated, from the start of the run.
type world struct {
	random   *rand.Rand
	now      time.Duration
	end      time.Duration
	queue    []timedEvent // in the order in which they were added
	store    *document.State
	zones    int
	nodes    []*node
	granters []*granter
	rollout  *rollout // nil if only operators drain nodes
	budgets  disruption.Budgets
	mutant   string
	// faultsOver is set at the end of the faults. From then on every request must end.
	faultsOver bool
	lastID     int
	haltedAt   map[string]time.Duration // by halt: when it was acknowledged
	requests   map[string]cached[fleetstate.DrainRequest]
	permits    map[string]cached[fleetstate.Permit]
	counts     map[string]int
	violation  string // the first violation, or empty
}

func (w *world) newID() string {
	w.lastID++
	return fmt.Sprint("id", w.lastID)
}

// fail records the first violation.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v ", w.now) + fmt.Sprintf(format, args...)
	}
}

// after schedules run after a delay.
func (w *world) after(delay time.Duration, run func()) {
	w.queue = append(w.queue, timedEvent{w.now + delay, run})
}

// clock returns the current time of a clock that runs at the given rate.
func (w *world) clock(rate float64) lease.Instant { return lease.Instant(float64(w.now) * rate) }

// randomClockRate draws the rate of a clock: the fastest or the slowest that the lease terms allow for.
func (w *world) randomClockRate() float64 {
	return 1 + LeaseTerms.MaxDrift*(2*float64(w.random.IntN(2))-1)
}

// randomDelay draws a delay of up to the given number of lease durations.
func (w *world) randomDelay(leaseDurations int) time.Duration {
	return time.Duration(w.random.Float64() * float64(time.Duration(leaseDurations)*LeaseTerms.Duration))
}

// messageDelay draws how long a message takes, and whether it arrives.
func (w *world) messageDelay() (delay time.Duration, arrives bool) {
	if w.faultsOver {
		return tick / 2, true
	}
	x := w.random.Float64()
	return time.Duration(x * x * x * x * float64(LeaseTerms.Duration+LeaseTerms.Duration/5)), w.random.IntN(20) > 0
}

// apply sends a transaction to the store. done is called once: with the answer, or with answered false if there
// is none after a lease duration.
func (w *world) apply(t document.Transaction, done func(result document.Result, answered bool)) {
	finished := false
	once := func(result document.Result, answered bool) func() {
		return func() {
			if !finished {
				finished = true
				done(result, answered)
			}
		}
	}
	w.after(LeaseTerms.Duration, once(document.Result{}, false))
	delay, arrives := w.messageDelay()
	if !arrives {
		return
	}
	w.after(delay, func() {
		result := w.store.Apply(t, lease.Instant(w.now))
		if result.Committed {
			w.checkReleaseRequests(t)
		}
		if delay, arrives := w.messageDelay(); arrives {
			w.after(delay, once(result, true))
		}
	})
}

// write writes a document as an operator, or deletes it if the value is empty. Operators are answered at once.
func (w *world) write(key, value string) {
	w.store.Apply(document.Transaction{ID: w.newID(), Author: "op",
		Operations: []document.Operation{{Key: key, Value: value, Delete: value == ""}}}, lease.Instant(w.now))
}

// delete deletes a document.
func (w *world) delete(key string) {
	w.store.Apply(document.Transaction{ID: w.newID(),
		Operations: []document.Operation{{Key: key, Delete: true}}}, lease.Instant(w.now))
}

// cached is the last decoded version of a document.
type cached[T any] struct {
	version uint64
	value   T
}

// decodeCached decodes a document, each version only once.
func decodeCached[T fleetstate.DrainRequest | fleetstate.Permit | disruption.Budgets](w *world, cache map[string]cached[T], d document.Document) T {
	if c, found := cache[d.Key]; found && c.version == d.Version {
		return c.value
	}
	value, err := fleetstate.Decode[T](d.Value)
	if err != nil {
		w.fail("%v", err)
	}
	cache[d.Key] = cached[T]{d.Version, value}
	return value
}
