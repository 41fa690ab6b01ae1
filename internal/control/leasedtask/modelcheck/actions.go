package modelcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store/document"
)

var errNoResponse = errors.New("the receiver did not respond in time")

// performAction carries out the candidate's next action.
func (w *simulation) performAction(c *candidate) {
	switch a := c.NextAction(w.clock(c)); a.Kind {
	case leasedtask.ActionWait:
		c.wakeAt = w.now + time.Duration(float64(a.WakeAt-w.clock(c))/c.clockRate)
	case leasedtask.ActionAcquire, leasedtask.ActionRenew:
		w.requestLease(c, a)
	case leasedtask.ActionReadRecord:
		w.readRecord(c)
	case leasedtask.ActionWriteRecord:
		w.writeRecord(c, a)
	case leasedtask.ActionRunStep:
		w.runStep(c, a)
	case leasedtask.ActionHandOver:
		if record, err := w.store.Leases().HandOver(task, c.name, a.Token, ""); err == nil {
			w.applyLease("h", record)
		}
	case leasedtask.ActionStop:
		c.wakeAt = never
	}
}

// applyLease commits a lease record to the store in a separate transaction.
func (w *simulation) applyLease(idPrefix string, record lease.Record) {
	t := document.Transaction{ID: fmt.Sprint(idPrefix, w.rng.Uint64()), Operations: []document.Operation{{Lease: &record}}}
	w.store.Apply(t, lease.Instant(w.now))
}

// leaseResponse is the store's response to a request for the lease.
type leaseResponse struct {
	token uint64
	err   error
}

func (w *simulation) requestLease(c *candidate, a leasedtask.Action) {
	serve := func() leaseResponse {
		record, err := w.decideLease(c, a)
		if err == nil {
			w.applyLease("l", record)
		}
		return leaseResponse{record.Token, err}
	}
	request(w, c, serve, func(r leaseResponse) {
		if r.err == nil {
			c.HandleGrant(a.RequestID, r.token)
		} else {
			c.HandleRejection(a.RequestID, w.clock(c))
		}
	}, func() { c.HandleLeaseTimeout(w.clock(c)) })
}

func (w *simulation) decideLease(c *candidate, a leasedtask.Action) (lease.Record, error) {
	if a.Kind == leasedtask.ActionAcquire {
		return w.store.Leases().Acquire(task, c.name, lease.Instant(w.now))
	}
	return w.store.Leases().Renew(task, c.name, a.Token)
}

func (w *simulation) readRecord(c *candidate) {
	serve := func() document.Document { return w.store.Get(recordKey) }
	request(w, c, serve, func(d document.Document) {
		var record leasedtask.Record
		if d.Version > 0 {
			if err := json.Unmarshal([]byte(d.Value), &record); err != nil {
				w.fail("%v", err)
			}
		}
		c.HandleRecord(record, d.Version)
	}, func() { c.HandleRecordTimeout(w.clock(c)) })
}

func (w *simulation) writeRecord(c *candidate, a leasedtask.Action) {
	onTimeout := func() { c.HandleRecordTimeout(w.clock(c)) }
	text, err := json.Marshal(a.Record)
	if err != nil {
		w.fail("%v", err)
	}
	t := document.Transaction{
		ID:         a.ID,
		Author:     c.name,
		Operations: []document.Operation{{Key: recordKey, Value: string(text)}},
		Conditions: []document.Condition{{Task: task, Token: a.Token}, {Key: recordKey, Version: a.Version}},
	}
	if w.mutant == mutantNoToken {
		t.Conditions, t.ID = nil, fmt.Sprint(w.rng.Uint64())
	}
	if w.mutant == mutantStepUnrecorded && a.Record.State != leasedtask.StateCompleted { // reports success without writing
		request(w, c, func() uint64 { return w.store.Get(recordKey).Version }, c.HandleWritten, onTimeout)
		return
	}
	serve := func() document.Result { return w.store.Apply(t, lease.Instant(w.now)) }
	request(w, c, serve, func(r document.Result) {
		if r.Committed {
			c.HandleWritten(r.Revision)
		} else {
			c.HandleConflict(w.clock(c))
		}
	}, onTimeout)
}

func (w *simulation) runStep(c *candidate, a leasedtask.Action) {
	serve := func() error { return w.receiver.perform(a) }
	request(w, c, serve, func(err error) { c.HandleStepResult(err, w.clock(c)) },
		func() { c.HandleStepResult(errNoResponse, w.clock(c)) })
}
