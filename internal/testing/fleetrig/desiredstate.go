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

// writeDesiredStates writes desired states for the nodes in turn until the end, each one after the previous one is committed.
func (w *workload) writeDesiredStates() {
	for i := 0; time.Now().Before(w.end); i++ {
		node, out := i%w.Nodes, i/w.Nodes%2 == 0
		t := document.Transaction{ID: fmt.Sprint("desired state ", i), Author: "rig", Reason: "desired state",
			Operations: []document.Operation{{Key: fmt.Sprintf("%sn%d", desiredstate.KeyPrefix, node), Value: fmt.Sprintf(`{"out":%v}`,
				out)}}}
		var r document.Result
		attempt := 0
		if !w.waitUntil(w.end.Add(w.Recovery), func() (committed bool) {
			var err error
			r, err = w.client(i + attempt).Commit(t)
			attempt++
			return err == nil
		}) {
			w.addFailure("desired state %d was not committed within the recovery time", i)
			return
		}
		w.desired[node] = desiredState{out, r.Revision}
		time.Sleep(100 * time.Millisecond)
	}
}
