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

// LeaseTerms are those of the start window and of the leases in every fleet.
var LeaseTerms = lease.Terms{Duration: 3 * time.Second, MaxDrift: 0.02, SafetyMargin: 300 * time.Millisecond}

const (
	tick      = 100 * time.Millisecond // of simulated time
	minReady  = 3 * time.Second
	grantTask = "permits"
)

// What is counted, so that tests can tell that it has happened often enough.
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

// timedEvent is something that happens at a later time.
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
	rollout  *rollout // nil: nodes are drained by operators only
	budgets  disruption.Budgets
	mutant   string
	// faultsOver says that there are no more faults: every request must now come to its end.
	faultsOver bool
	lastID     int
	haltedAt   map[string]time.Duration // by halt: when it was acknowledged
	requests   map[string]cached[fleetstate.DrainRequest]
	permits    map[string]cached[fleetstate.Permit]
	counts     map[string]int
	violation  string // the first; empty: none
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

// after runs something later.
func (w *world) after(delay time.Duration, run func()) {
	w.queue = append(w.queue, timedEvent{w.now + delay, run})
}

// clock returns the present on a clock that goes at the given rate.
func (w *world) clock(rate float64) lease.Instant { return lease.Instant(float64(w.now) * rate) }

// randomClockRate draws the rate of a clock: as fast or as slow as is allowed for.
func (w *world) randomClockRate() float64 {
	return 1 + LeaseTerms.MaxDrift*(2*float64(w.random.IntN(2))-1)
}

// randomDelay draws up to the given number of lease durations.
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

// apply sends a transaction to the store. done is called once: with the answer, or after a lease duration
// with answered false.
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

// write has an operator write or delete (empty value) a document. Operators get their answer at once.
func (w *world) write(key, value string) {
	w.store.Apply(document.Transaction{ID: w.newID(), Author: "op",
		Operations: []document.Operation{{Key: key, Value: value, Delete: value == ""}}}, lease.Instant(w.now))
}

// delete deletes a document.
func (w *world) delete(key string) {
	w.store.Apply(document.Transaction{ID: w.newID(),
		Operations: []document.Operation{{Key: key, Delete: true}}}, lease.Instant(w.now))
}

// cached is a document as it was decoded last.
type cached[T any] struct {
	version uint64
	value   T
}

// decodeCached decodes a document, once for each of its versions.
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
