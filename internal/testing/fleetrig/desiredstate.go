package fleetrig

import (
	"fmt"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/store/document"
)

// desiredState is the desired state of a node, written at a revision.
type desiredState struct {
	out      bool
	revision uint64
}

// writeDesiredStates writes a desired state for one node after the other until the end, each committed before the next.
func (w *workload) writeDesiredStates() {
	for i := 0; time.Now().Before(w.end); i++ {
		node, out := i%w.Nodes, i/w.Nodes%2 == 0
		t := document.Transaction{ID: fmt.Sprint("wish ", i), Author: "rig", Reason: "wish", Operations: []document.Operation{{Key: fmt.Sprintf("%sn%d", desiredstate.KeyPrefix, node), Value: fmt.Sprintf(`{"out":%v}`, out)}}}
		var r document.Result
		turn := 0
		if !w.waitUntil(w.end.Add(w.Recovery), func() (made bool) {
			var err error
			r, err = w.client(i + turn).Commit(t)
			turn++
			return err == nil
		}) {
			w.addFailure("desired state %d was not committed", i)
			return
		}
		w.desired[node] = desiredState{out, r.Revision}
		time.Sleep(100 * time.Millisecond)
	}
}
