package drainpermit

import (
	"slices"
	"strings"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// Transactions returns the transactions of a decision, in the order in which they must be committed. Each is
// committed only while the author holds the lease, and only if the documents that it was decided on have the
// given versions. Each removal, return and expiry is a transaction of its own, because they are independent.
// All grants are one transaction, which also writes the document that changes with each grant.
func (d Decision) Transactions(
	view fleetstate.View, versions fleetstate.Versions, task string, token uint64, author string, newID func() string,
) (transactions []document.Transaction) {
	lease := document.Condition{Task: task, Token: token}
	w := decisionWriter{view: view, versions: versions, lease: lease, author: author, newID: newID}
	for _, name := range d.Remove {
		transactions = append(transactions, w.remove(name, slices.Contains(d.Requeue, name)))
	}
	for _, name := range d.MarkReturning {
		transactions = append(transactions, w.markReturning(name))
	}
	for _, name := range d.Expire {
		transactions = append(transactions, w.expire(name))
	}
	if len(d.Grant) > 0 {
		transactions = append(transactions, w.grant(d.Grant))
	}
	return transactions
}

// decisionWriter builds the transactions of one decision.
type decisionWriter struct {
	view     fleetstate.View
	versions fleetstate.Versions
	lease    document.Condition
	author   string
	newID    func() string
}

// transaction returns a transaction under the lease that is committed only if the document has not changed.
func (w decisionWriter) transaction(reason, key string, operations ...document.Operation) document.Transaction {
	return document.Transaction{ID: w.newID(), Author: w.author, Reason: reason,
		Conditions: []document.Condition{w.lease, w.versions.Unchanged(key)}, Operations: operations}
}

// remove deletes a permit. With requeue it also rewrites the drain request, which gives it a later version and
// so moves it to the end of the queue.
func (w decisionWriter) remove(name string, requeue bool) document.Transaction {
	permitKey, requestKey := fleetstate.PermitKey(name), fleetstate.RequestKey(name)
	t := w.transaction("a permit ends", permitKey, document.Operation{Key: permitKey, Delete: true})
	if requeue {
		t.Conditions = append(t.Conditions, w.versions.Unchanged(requestKey))
		t.Operations = append(t.Operations, document.Operation{Key: requestKey, Value: fleetstate.Encode(w.view.Requests[name])})
	}
	return t
}

func (w decisionWriter) markReturning(name string) document.Transaction {
	permit := w.view.Permits[name]
	permit.State, permit.SinceMS = fleetstate.PermitReturning, w.view.NowMS
	key := fleetstate.PermitKey(name)
	return w.transaction("nodes use it again", key, document.Operation{Key: key, Value: fleetstate.Encode(permit)})
}

func (w decisionWriter) expire(name string) document.Transaction {
	key := fleetstate.RequestKey(name)
	return w.transaction("its time is over", key, document.Operation{Key: key, Delete: true})
}

// grant writes the permits of all names. Its conditions cover everything that the grants were decided on: the
// previous grant, the budgets, the halt of the whole fleet, and each member's drain request and permit.
func (w decisionWriter) grant(names []string) document.Transaction {
	t := w.transaction("granted", fleetstate.LastGrantKey, document.Operation{Key: fleetstate.LastGrantKey, Value: strings.Join(names, " ")})
	t.Conditions = append(t.Conditions, w.versions.Unchanged(fleetstate.BudgetsKey), w.versions.Unchanged(fleetstate.HaltKeyPrefix+fleetstate.HaltAll))
	labels := map[string]map[string]string{}
	for _, m := range w.view.Members {
		labels[m.Name] = m.Report.Labels()
	}
	for _, name := range names {
		permit := fleetstate.Permit{ID: w.newID(), RequestID: w.view.Requests[name].ID, State: fleetstate.PermitGranted,
			GrantedBy: w.author, Token: w.lease.Token, Labels: labels[name], SinceMS: w.view.NowMS}
		if fleetstate.IsUpstream(name) {
			permit.State = fleetstate.PermitOutOfService // never started: nodes stop using the server once they read the permit
		}
		t.Conditions = append(t.Conditions, w.versions.Unchanged(fleetstate.RequestKey(name)), w.versions.Unchanged(fleetstate.PermitKey(name)))
		t.Operations = append(t.Operations, document.Operation{Key: fleetstate.PermitKey(name), Value: fleetstate.Encode(permit)})
	}
	return t
}
