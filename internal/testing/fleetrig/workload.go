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

// work is clients that write to and read from one document while the faults come.
type work struct {
	*processes
	report *Report
	end    time.Time
	wg     sync.WaitGroup

	mu      sync.Mutex
	history []porcupine.Operation
	acked   map[string]uint64 // the revision that each id was acknowledged with
	wanted  map[int]wish      // of each node, last
}

// asked is one operation on the document.
type asked struct {
	write bool
	value string
}

// register is what the document is to be like: each read sees the last write.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if a := in.(asked); a.write {
			return true, a.value
		}
		return out.(string) == state.(string), state
	},
}

const writers = 4

// least is how many operations each of them brings to an answer at any rate, in turn writes and reads: where the faults and a slow machine
// let too few through, it goes on after the faults.
const least = 4

func (w *work) begin() {
	w.acked = map[string]uint64{}
	if !w.Drains { // it would take nodes out past all budgets
		w.wg.Go(w.wish)
	}
	for c := range writers {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			for i := 0; i < least || time.Now().Before(w.end); i++ {
				w.operate(c, i)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// operate asks one member after another, a write under one id, until one says what came of it. What nobody answers by the
// end of the recovery is wrong.
func (w *work) operate(c, i int) {
	a := asked{write: i%2 == 0, value: fmt.Sprintf("c%d-%d", c, i)}
	op := porcupine.Operation{ClientId: c, Input: a, Call: time.Since(w.begun).Nanoseconds()}
	tries := 0
	for ; ; tries++ {
		var err error
		client := w.client(c + i + tries)
		if a.write {
			var r document.Result
			if r, err = client.Commit(document.Transaction{ID: a.value, Author: "rig", Operations: []document.Operation{{Key: "x", Value: a.value}}}); err == nil {
				w.mu.Lock()
				if was, before := w.acked[a.value]; before && was != r.Revision {
					w.report.Wrong = append(w.report.Wrong, fmt.Sprintf("%s was made as revision %d and as %d", a.value, was, r.Revision))
				}
				w.acked[a.value] = r.Revision
				w.mu.Unlock()
			}
		} else {
			var docs []document.Document
			var seen store.ReadStatus
			if docs, seen, err = client.Documents("x", w.Careless); err == nil && !seen.Confirmed && !w.Careless {
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
			w.report.Wrong = append(w.report.Wrong, fmt.Sprintf("%+v: %v", a, err))
			w.mu.Unlock()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	op.Return = time.Since(w.begun).Nanoseconds()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, op)
	if w.report.Tries += tries + 1; a.write {
		w.report.Writes++
	} else {
		w.report.Reads++
	}
}
