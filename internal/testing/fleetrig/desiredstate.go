package fleetrig

import (
	"fmt"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/store/document"
)

// wish is what is wanted of a node.
type wish struct {
	out      bool
	revision uint64
}

// wish has a state wanted of one node after the other until the end, each agreed on before the next.
func (w *work) wish() {
	for i := 0; time.Now().Before(w.end); i++ {
		node, out := i%w.Nodes, i/w.Nodes%2 == 0
		t := document.Transaction{ID: fmt.Sprint("wish ", i), Author: "rig", Reason: "wish", Operations: []document.Operation{{Key: fmt.Sprintf("%sn%d", desiredstate.KeyPrefix, node), Value: fmt.Sprintf(`{"out":%v}`, out)}}}
		var r document.Result
		turn := 0
		if !w.until(w.end.Add(w.Recovery), func() (made bool) {
			var err error
			r, err = w.client(i + turn).Commit(t)
			turn++
			return err == nil
		}) {
			w.blame("wish %d was not agreed on", i)
			return
		}
		w.wanted[node] = wish{out, r.Revision}
		time.Sleep(100 * time.Millisecond)
	}
}
