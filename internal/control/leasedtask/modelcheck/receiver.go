package modelcheck

import (
	"maps"

	"sloehitch/internal/control/fencing"
	"sloehitch/internal/control/leasedtask"
)

// tokenStore keeps tokens across restarts of the receiver.
type tokenStore map[string]uint64

func (s tokenStore) Load() (map[string]uint64, error) { return maps.Clone(s), nil }
func (s tokenStore) Save(task string, token uint64) error {
	s[task] = token
	return nil
}

// receiver receives the effects of steps and checks the invariants.
type receiver struct {
	simulation   *simulation
	guard        *fencing.Guard
	tokens       tokenStore     // the tokens on disk
	highestToken uint64         // highest token of all effects so far
	effects      map[string]int // number of effects by step id
	job          string         // job of the last effect
	stepID       string         // step of the last effect; it and the job suffice to recognize repetitions
}

func newReceiver(w *simulation) *receiver {
	r := &receiver{simulation: w, tokens: tokenStore{}, effects: map[string]int{}}
	r.restart()
	return r
}

// restart replaces the receiver's guard with a new one that knows only the tokens on disk.
func (r *receiver) restart() {
	guard, err := fencing.New(r.tokens)
	if err != nil {
		r.simulation.fail("%v", err)
	}
	r.guard = guard
}

// perform performs a step's effect, fenced by its token and once for its id.
func (r *receiver) perform(a leasedtask.Action) error {
	effect := func() error { r.recordEffect(a); return nil }
	if r.simulation.mutant == mutantNoFencing {
		return effect()
	}
	return r.guard.Do(task, a.Token, effect)
}

// recordEffect records a step's effect, unless it is a repetition, and checks the invariants.
func (r *receiver) recordEffect(a leasedtask.Action) {
	w := r.simulation
	if a.Record.JobID == r.job && a.ID <= r.stepID && w.mutant != mutantNoIdempotency {
		return
	}
	r.job, r.stepID = a.Record.JobID, a.ID
	if a.Token < r.highestToken {
		w.fail("at %v, step %s was run under token %d after an effect under token %d", w.now, a.ID, a.Token, r.highestToken)
	}
	record := w.record()
	if record.JobID != a.Record.JobID || record.Step != a.Record.Step || record.State != leasedtask.StateStarted {
		w.fail("at %v, step %s was run but is not on record as started; the record is %+v", w.now, a.ID, record)
	}
	r.highestToken = max(r.highestToken, a.Token)
	r.effects[a.ID]++
	if r.effects[a.ID] > 1 {
		w.fail("at %v, the effect of step %s occurred more than once", w.now, a.ID)
	}
}
