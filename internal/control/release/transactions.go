package release

import (
	"fmt"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// Transactions returns the transactions of a decision, in the order in which they must be committed. Each is
// committed only while the author holds the lease of the task with the given fencing token, and only if the
// release has the version that was read. The transaction of a request is also committed only if no halt covers
// it. newID returns a unique ID for each transaction and request.
func (d Decision) Transactions(
	r Release, view fleetstate.View, versions fleetstate.Versions, token uint64, author string, newID func() string,
) (transactions []document.Transaction) {
	lease := document.Condition{Task: TaskName, Token: token}
	w := transactionWriter{release: r, view: view, versions: versions, lease: lease, author: author, newID: newID}
	switch {
	case d.HaltReason != "":
		return []document.Transaction{w.halt(d.HaltReason)}
	case d.Updated != nil:
		return []document.Transaction{w.update(*d.Updated)}
	}
	for _, request := range d.Requests {
		transactions = append(transactions, w.request(request))
	}
	return transactions
}

// transactionWriter builds the transactions of one decision.
type transactionWriter struct {
	release  Release
	view     fleetstate.View
	versions fleetstate.Versions
	lease    document.Condition
	author   string
	newID    func() string
}

func (w transactionWriter) key() string     { return KeyPrefix + w.release.Name }
func (w transactionWriter) haltKey() string { return fleetstate.HaltKeyPrefix + w.release.Name }

// transaction returns a transaction under the lease that is committed only if the release has not changed.
func (w transactionWriter) transaction(reason string, operations ...document.Operation) document.Transaction {
	return document.Transaction{ID: w.newID(), Author: w.author, Reason: "release " + w.release.Name + ": " + reason,
		Conditions: []document.Condition{w.lease, w.versions.Unchanged(w.key())}, Operations: operations}
}

func (w transactionWriter) halt(reason string) document.Transaction {
	withNote := w.release
	withNote.Note = reason
	t := w.transaction("halted: "+reason,
		document.Operation{Key: w.haltKey(), Value: w.author + ": " + reason},
		document.Operation{Key: w.key(), Value: fleetstate.Encode(withNote)})
	t.Conditions = append(t.Conditions, document.Condition{Key: w.haltKey()})
	return t
}

func (w transactionWriter) update(r Release) document.Transaction {
	return w.transaction(fmt.Sprintf("%s, wave %d", r.State, r.CurrentWave+1), document.Operation{Key: w.key(), Value: fleetstate.Encode(r)})
}

// request writes or withdraws a node's drain request, provided that the request has not changed since it was read
// and that no halt covers it.
func (w transactionWriter) request(nr NodeRequest) document.Transaction {
	key := fleetstate.RequestKey(nr.Node)
	reason := "takes its ask for " + nr.Node + " back"
	operation := document.Operation{Key: key, Delete: true}
	if !nr.Withdraw {
		reason = nr.Node + " to " + nr.TargetVersion
		operation = document.Operation{Key: key, Value: fleetstate.Encode(w.drainRequest(nr))}
	}
	t := w.transaction(reason, operation)
	t.Conditions = append(t.Conditions,
		w.versions.Unchanged(key),
		document.Condition{Key: fleetstate.HaltKeyPrefix + fleetstate.HaltAll},
		document.Condition{Key: w.haltKey()})
	return t
}

func (w transactionWriter) drainRequest(nr NodeRequest) fleetstate.DrainRequest {
	r := w.release
	return fleetstate.DrainRequest{
		ID:             w.newID(),
		RequestedBy:    r.RequestedBy,
		Reason:         "release " + r.Name + " to " + nr.TargetVersion,
		RequestedAtMS:  w.view.NowMS,
		DrainTimeoutMS: r.DrainTimeoutMS,
		ReleaseName:    r.Name,
		TargetVersion:  nr.TargetVersion,
	}
}
