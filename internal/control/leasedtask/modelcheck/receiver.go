package modelcheck

import (
	"maps"

	"sloehitch/internal/control/fencing"
	"sloehitch/internal/control/leasedtask"
)

// tokenStore keeps tokens through the receiver's restarts.
type tokenStore map[string]uint64

func (s tokenStore) Load() (map[string]uint64, error) { return maps.Clone(s), nil }
func (s tokenStore) Save(task string, token uint64) error {
	s[task] = token
	return nil
}

// receiver is the receiver of the steps' effects. It checks what must hold.
type receiver struct {
	world        *world
	guard        *fencing.Guard
	tokens       tokenStore     // as they are on disk
	highestToken uint64         // of effects that happened
	effects      map[string]int // by step id
	job          string         // of the last effect
	stepID       string         // of the last effect: with the job all that is known of repeats
}

func newReceiver(w *world) *receiver {
	r := &receiver{world: w, tokens: tokenStore{}, effects: map[string]int{}}
	r.restart()
	return r
}

// restart has the receiver begin anew with what it has on disk.
func (r *receiver) restart() {
	guard, err := fencing.New(r.tokens)
	if err != nil {
		r.world.fail("%v", err)
	}
	r.guard = guard
}

// take has a step's effect happen: fenced, and once for its id.
func (r *receiver) take(a leasedtask.Action) error {
	effect := func() error { r.effect(a); return nil }
	if r.world.mutant == mutantNoFencing {
		return effect()
	}
	return r.guard.Do(task, a.Token, effect)
}

func (r *receiver) effect(a leasedtask.Action) {
	w := r.world
	if a.Record.JobID == r.job && a.ID <= r.stepID && w.mutant != mutantNoIdempotency {
		return
	}
	r.job, r.stepID = a.Record.JobID, a.ID
	if a.Token < r.highestToken {
		w.fail("at %v step %s was run under token %d after %d", w.now, a.ID, a.Token, r.highestToken)
	}
	record := w.record()
	if record.JobID != a.Record.JobID || record.Step != a.Record.Step || record.State != leasedtask.StateStarted {
		w.fail("at %v step %s was run while %+v was on record", w.now, a.ID, record)
	}
	r.highestToken = max(r.highestToken, a.Token)
	r.effects[a.ID]++
	if r.effects[a.ID] > 1 {
		w.fail("at %v step %s was run again", w.now, a.ID)
	}
}
