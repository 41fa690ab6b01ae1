package fleetrig

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// workload is the clients that write and read one document during the faults.
type workload struct {
	*testFleet
	report *Report
	end    time.Time
	wg     sync.WaitGroup

	mu      sync.Mutex
	history []porcupine.Operation
	acked   map[string]uint64    // the revision that each id was acknowledged with
	desired map[int]desiredState // of each node, last
}

// operation is one operation on the document.
type operation struct {
	write bool
	value string
}

// registerModel is the document's sequential specification: each read returns the last write.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if a := in.(operation); a.write {
			return true, a.value
		}
		return out.(string) == state.(string), state
	},
}

const writers = 4

// minOperations is how many operations each client completes at least, alternately writes and reads; it goes on after the faults where
// too few completed during them.
const minOperations = 4

func (w *workload) begin() {
	w.acked = map[string]uint64{}
	if !w.Drains { // desired states take nodes out regardless of the budgets
		w.wg.Go(w.writeDesiredStates)
	}
	for c := range writers {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			for i := 0; i < minOperations || time.Now().Before(w.end); i++ {
				w.operate(c, i)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// operate carries out client c's i-th operation: it asks one member after another, a write under the same id, until one answers. An
// operation without an answer by the end of the recovery time is a failure.
func (w *workload) operate(c, i int) {
	a := operation{write: i%2 == 0, value: fmt.Sprintf("c%d-%d", c, i)}
	op := porcupine.Operation{ClientId: c, Input: a, Call: time.Since(w.startedAt).Nanoseconds()}
	tries := 0
	for ; ; tries++ {
		var err error
		client := w.client(c + i + tries)
		if a.write {
			var r document.Result
			if r, err = client.Commit(document.Transaction{ID: a.value, Author: "rig", Operations: []document.Operation{{Key: "x", Value: a.value}}}); err == nil {
				w.mu.Lock()
				if was, before := w.acked[a.value]; before && was != r.Revision {
					w.report.Violations = append(w.report.Violations, fmt.Sprintf("%s was made as revision %d and as %d", a.value, was, r.Revision))
				}
				w.acked[a.value] = r.Revision
				w.mu.Unlock()
			}
		} else {
			var docs []document.Document
			var seen store.ReadStatus
			if docs, seen, err = client.Documents("x", w.UnconfirmedReads); err == nil && !seen.Confirmed && !w.UnconfirmedReads {
				err = errors.New("not confirmed")
			}
			op.Output = ""
			if len(docs) > 0 {
				op.Output = docs[0].Value
			}
		}
		if err == nil {
			break
		}
		if errors.Is(err, store.ErrConflict) || time.Now().After(w.end.Add(w.Recovery)) {
			w.mu.Lock()
			w.report.Violations = append(w.report.Violations, fmt.Sprintf("%+v: %v", a, err))
			w.mu.Unlock()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	op.Return = time.Since(w.startedAt).Nanoseconds()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, op)
	if w.report.Attempts += tries + 1; a.write {
		w.report.Writes++
	} else {
		w.report.Reads++
	}
}
