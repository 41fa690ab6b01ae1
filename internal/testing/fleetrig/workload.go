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
	acked   map[string]uint64    // revision of each acknowledged write, by id
	desired map[int]desiredState // last desired state written, by node
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

// minOperations is the least number of operations of each client, alternately writes and reads. A client that has done fewer by the end of
// the faults continues until then.
const minOperations = 4

func (w *workload) begin() {
	w.acked = map[string]uint64{}
	if !w.Drains { // desired states take nodes out of service regardless of the disruption budgets
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

// operate executes client c's i-th operation: it sends it to one member after another until one answers. All attempts of a write have the
// same id. An operation without an answer by the end of the recovery time is a violation.
func (w *workload) operate(c, i int) {
	a := operation{write: i%2 == 0, value: fmt.Sprintf("c%d-%d", c, i)}
	op := porcupine.Operation{ClientId: c, Input: a, Call: time.Since(w.startedAt).Nanoseconds()}
	attempts := 0
	for ; ; attempts++ {
		var err error
		client := w.client(c + i + attempts)
		if a.write {
			var r document.Result
			if r, err = client.Commit(document.Transaction{ID: a.value, Author: "rig", Operations: []document.Operation{{Key: "x", Value: a.value}}}); err == nil {
				w.mu.Lock()
				if earlier, before := w.acked[a.value]; before && earlier != r.Revision {
					w.report.Violations = append(w.report.Violations,
						fmt.Sprintf("write %s was acknowledged as revision %d and as revision %d", a.value, earlier, r.Revision))
				}
				w.acked[a.value] = r.Revision
				w.mu.Unlock()
			}
		} else {
			var docs []document.Document
			var seen store.ReadStatus
			if docs, seen, err = client.Documents("x", w.UnconfirmedReads); err == nil && !seen.Confirmed && !w.UnconfirmedReads {
				err = errors.New("the read was not confirmed by a quorum")
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
			w.report.Violations = append(w.report.Violations, fmt.Sprintf("operation %+v failed: %v", a, err))
			w.mu.Unlock()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	op.Return = time.Since(w.startedAt).Nanoseconds()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, op)
	if w.report.Attempts += attempts + 1; a.write {
		w.report.Writes++
	} else {
		w.report.Reads++
	}
}
