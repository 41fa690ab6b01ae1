package modelcheck

import (
	"bytes"
	"fmt"
	"time"

	"sloehitch/internal/store/document"
)

const (
	task         = "release"
	documentKeys = 7 // number of documents that are written
)

// apply applies a committed entry to the state, as every member does.
func (w *world) apply(e entry) {
	switch {
	case e.transaction != nil:
		w.applyTransaction(e)
	case e.backup != nil:
		if !w.applyBackup(e) {
			return
		}
	}
	if w.state.Revision() < w.revision {
		w.fail("revision %d after %d", w.state.Revision(), w.revision)
	}
	w.revision = w.state.Revision()
}

func (w *world) applyTransaction(e entry) {
	result := w.state.Apply(*e.transaction, w.instant())
	if e.write > 0 && !result.Committed {
		w.fail("write %d was rejected: %s", e.write, result.Reason)
	}
	if l := e.transaction.Operations[0].Lease; l != nil && result.Committed {
		if l.Token <= w.highestToken {
			w.fail("token %d was granted after token %d", l.Token, w.highestToken)
		}
		w.highestToken = l.Token
	}
	w.acknowledgedWrites = max(w.acknowledgedWrites, e.write)
}

func (w *world) applyBackup(e entry) bool {
	revision, highest := w.state.Revision(), w.state.Leases().HighestToken()
	if err := w.state.Load(bytes.NewReader(e.backup), w.instant()); err != nil {
		w.fail("backup can't be loaded: %v", err)
		return false
	}
	if w.mutant != mutantNoTokenFloor {
		floor := max(e.tokenFloor, highest, w.state.Leases().HighestToken())
		w.state.Recover(revision, floor, nil, w.instant())
	}
	w.events[eventRestored]++
	return true
}

// propose appends a lease request, a backup to be restored or a write to a leader's log, or takes a backup.
func (w *world) propose(m *member) {
	upToDate := m.commitIndex == len(w.committed) && len(m.log) == m.commitIndex
	switch n := w.rng.IntN(10); {
	case n == 0 && upToDate:
		w.proposeLease(m)
	case n == 1 && upToDate && w.rng.IntN(20) == 0:
		w.takeBackup()
	case n == 2 && upToDate && w.backup != nil && w.rng.IntN(20) == 0:
		m.append(entry{term: m.term, backup: w.backup, tokenFloor: uint64(w.now / time.Second)})
	default:
		w.proposeWrite(m)
	}
}

func (w *world) proposeLease(m *member) {
	record, err := w.state.Leases().Acquire(task, m.name, w.instant())
	if err != nil {
		return
	}
	m.append(entry{term: m.term, transaction: &document.Transaction{
		ID:         fmt.Sprint("lease", w.rng.Uint64()),
		Operations: []document.Operation{{Lease: &record}},
	}})
}

func (w *world) takeBackup() {
	var b bytes.Buffer
	if err := w.state.Save(&b); err != nil {
		w.fail("%v", err)
	}
	w.backup = b.Bytes()
}

func (w *world) proposeWrite(m *member) {
	w.writes++
	m.append(entry{term: m.term, write: w.writes, transaction: &document.Transaction{
		ID:         fmt.Sprint("w", w.writes, "-", w.rng.Uint64()),
		Operations: []document.Operation{{Key: fmt.Sprint("k", w.writes%documentKeys), Value: fmt.Sprint(w.writes)}},
	}})
}
