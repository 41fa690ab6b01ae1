package store

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// ErrOutcomeUnknown says that it is not known whether a change was made. Asked again under its id, it is made once.
var ErrOutcomeUnknown = errors.New("not known whether the change was made: ask again under the same id")

// ReadStatus is how a read was made.
type ReadStatus struct {
	Revision     uint64 `json:"revision"`
	Confirmed    bool   `json:"confirmed"`        // the member led as it read, by the word of a majority: nothing acknowledged before is missing
	AgeMS        int64  `json:"age_ms,omitempty"` // else how long ago this member last heard of its leader
	HistoryStart uint64 `json:"from"`             // all changes after this revision are remembered
}

// Commit has a transaction made on all members, once for its id. It returns when a majority has it, and on another member
// than the leader ErrNotLeader. ErrUnsure means that it may yet be made.
func (s *Store) Commit(t document.Transaction) (document.Result, error) {
	for _, o := range t.Operations {
		if o.Lease != nil {
			return document.Result{}, errors.New("do: leases are asked for by their own call")
		}
		if err := checkNotReserved(o.Key); err != nil {
			return document.Result{}, err
		}
	}
	return s.propose(t)
}

func (s *Store) propose(t document.Transaction) (document.Result, error) {
	s.mu.Lock()
	err := s.documents.Validate(t)
	s.mu.Unlock()
	if err != nil {
		return document.Result{}, err
	}
	t.UnixMillis = time.Now().UnixMilli()
	if !s.clustered {
		return s.applyTransaction(t), nil
	}
	got, err := s.replicate(change{Make: &t})
	if err != nil {
		return document.Result{}, err
	}
	r, ok := got.(document.Result)
	if !ok {
		return document.Result{}, fmt.Errorf("%w (%v)", ErrOutcomeUnknown, got)
	}
	return r, nil
}

// replicate has a change made by all members, and returns what came of it here. It errs with ErrNotLeader, and then nothing has
// changed, or ErrUnsure.
func (s *Store) replicate(c change) (any, error) {
	part, err := s.raftNode()
	if err != nil {
		return nil, err
	}
	entry, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(entry) > limits.ForRaftLog.EntryBytes {
		return nil, fmt.Errorf("%d bytes on record, %d at most are taken", len(entry), limits.ForRaftLog.EntryBytes)
	}
	f := part.Apply(entry, s.opts.CommitTimeout)
	switch err := f.Error(); {
	case errors.Is(err, raft.ErrNotLeader):
		return nil, ErrNotLeader
	case err != nil: // the lead was lost on the way, or it took too long
		return nil, fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	return f.Response(), nil
}

// applyTransaction applies a transaction here, and wakes those that watch.
func (s *Store) applyTransaction(t document.Transaction) document.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.documents.Apply(t, s.clock())
	if r.Committed && !r.Duplicate {
		s.notifyDocumentWatchers()
	}
	return r
}

// Barrier returns once this member's copy has all that was acknowledged before the call: it leads by the word of a
// majority, and has applied what was agreed on. It errs with ErrNotLeader on any other.
func (s *Store) Barrier() error {
	if !s.clustered {
		return nil
	}
	r, err := s.raftNode()
	if err != nil {
		return err
	}
	if err := r.Barrier(s.opts.CommitTimeout).Error(); err != nil {
		return fmt.Errorf("%w (%w)", ErrNotLeader, err)
	}
	return nil
}

// Documents returns the documents whose keys begin so, and how old what is seen may be. A confirmed read errs on any
// member but the leader; a local one never waits.
func (s *Store) Documents(prefix string, confirmed bool) ([]document.Document, ReadStatus, error) {
	if confirmed {
		if err := s.Barrier(); err != nil {
			return nil, ReadStatus{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documents.List(prefix), s.readStatus(confirmed), nil
}

// readStatus says how old this member's copy may be; the caller holds mu.
func (s *Store) readStatus(confirmed bool) ReadStatus {
	seen := ReadStatus{Revision: s.documents.Revision(), HistoryStart: s.documents.HistoryStart(), Confirmed: confirmed || !s.clustered}
	if seen.Confirmed {
		return seen
	}
	r := s.raft.Load()
	if r == nil {
		seen.AgeMS = -1
	} else if r.State() == raft.Leader { // it may have lost the lead and not know it, for as long as its own lease of it
		seen.AgeMS = (s.opts.ElectionTimeout / 2).Milliseconds()
	} else if last := r.LastContact(); !last.IsZero() {
		seen.AgeMS = max(1, time.Since(last).Milliseconds())
	} else {
		seen.AgeMS = -1 // it has never heard of one
	}
	return seen
}

// Changes returns what changed after a revision of documents whose keys begin so, with an empty prefix of leases too: as soon as
// there is anything, and at the latest after wait. ok is false where not all of it is remembered: the documents are to be read anew. A member that
// is behind that revision, as one may be that a caller turns to from another, waits until it has caught up; ok is false where it does not.
func (s *Store) Changes(prefix string, after uint64, wait time.Duration) (changes []document.Change, seen ReadStatus, ok bool) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		changes, ok = s.documents.ChangesSince(after)
		if prefix != "" {
			changes = slices.DeleteFunc(changes, func(c document.Change) bool { return !strings.HasPrefix(c.Key, prefix) })
		}
		seen = s.readStatus(false)
		more := s.documentsChanged
		behind := after > seen.Revision
		s.mu.Unlock()
		if !ok && !behind || len(changes) > 0 {
			return changes, seen, ok
		}
		select {
		case <-more:
		case <-deadline.C:
			return nil, seen, !behind
		case <-s.done:
			return nil, seen, !behind
		}
	}
}

// Backup writes all that is kept, as of when it was confirmed. It errs with ErrNotLeader on any other member.
func (s *Store) Backup(w io.Writer) error {
	if err := s.Barrier(); err != nil {
		return err
	}
	s.mu.Lock()
	docs, err := s.encodeDocuments()
	out := snapshot{Values: maps.Clone(s.values), Documents: docs}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(out)
}

// LeaseStatus is one duty's lease as a member sees it.
type LeaseStatus struct {
	lease.Record
	RemainingMS int64 `json:"left_ms"` // until another may be granted it, on this member's count; a leader's is what counts
}

// Leases returns the leases of all duties that anybody ever had.
func (s *Store) Leases() ([]LeaseStatus, ReadStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var owners []LeaseStatus
	for _, r := range s.documents.LeaseRecords() {
		owners = append(owners, LeaseStatus{r, s.documents.Leases().Remaining(r.Task, s.clock()).Milliseconds()})
	}
	return owners, s.readStatus(false)
}

// LeaseRequest is what a holder asks of the store about its duty.
type LeaseRequest struct {
	Action    string `json:"ask"` // take, renew or hand-over
	Holder    string `json:"holder"`
	Token     uint64 `json:"token,omitempty"` // of renew and hand-over
	Successor string `json:"to,omitempty"`    // of a hand-over; empty: whoever asks next
	Reason    string `json:"why,omitempty"`
}

// RequestLease decides on a question about a duty and has the decision agreed on. It errs with lease.ErrHeld, lease.ErrLost or
// ErrNotLeader, and then nothing has changed; with ErrUnsure it may have. Each question is one of its own: to take again
// what may have been granted brings a new token.
func (s *Store) RequestLease(duty string, q LeaseRequest) (lease.Record, error) {
	s.mu.Lock()
	if s.clustered && !s.leading {
		s.mu.Unlock()
		return lease.Record{}, ErrNotLeader
	}
	var r lease.Record
	var err error
	switch table := s.documents.Leases(); q.Action {
	case "take":
		r, err = table.Acquire(duty, q.Holder, s.clock())
	case "renew":
		r, err = table.Renew(duty, q.Holder, q.Token)
	case "hand-over":
		r, err = table.HandOver(duty, q.Holder, q.Token, q.Successor)
	default:
		err = fmt.Errorf("ask %q: take, renew or hand-over is wanted", q.Action)
	}
	s.mu.Unlock()
	if err != nil {
		return lease.Record{}, err
	}
	why := q.Action
	if q.Reason != "" {
		why += ": " + q.Reason
	}
	made, err := s.propose(document.Transaction{ID: rand.Text(), Author: q.Holder, Reason: why, Operations: []document.Operation{{Lease: &r}}})
	switch {
	case err != nil:
		return lease.Record{}, err
	case !made.Committed:
		return lease.Record{}, fmt.Errorf("%w: %s", lease.ErrHeld, made.Reason)
	}
	return r, nil
}

// watchLeadership follows whether this member leads. A new leader decides on leases once it has applied all that was agreed on before
// it, and counts every lease anew from there. The first one ever gives the store its id.
func (s *Store) watchLeadership(r *raft.Raft) {
	for {
		select {
		case <-s.done:
			return
		case leads := <-r.LeaderCh():
			s.mu.Lock()
			if s.leading {
				s.opts.OnEvent(faulthooks.Event{What: "follows"})
			}
			s.leading = false
			s.mu.Unlock()
			s.peers.resetContacts()
			if !leads || r.Barrier(s.opts.CommitTimeout).Error() != nil {
				continue
			}
			s.mu.Lock()
			s.documents.Leases().StartLeading(s.clock())
			s.leading = true
			revision := s.documents.Revision()
			s.mu.Unlock()
			s.opts.Logger.Info("this member leads the store", "revision", revision)
			s.opts.OnEvent(faulthooks.Event{What: "leads", N: revision})
			for r.State() == raft.Leader && !s.ensureStoreID() {
				select {
				case <-s.done:
					return
				case <-time.After(s.opts.ElectionTimeout / 4):
				}
			}
		}
	}
}

// ensureStoreID says whether the store has an id; it proposes one where there is none.
func (s *Store) ensureStoreID() bool {
	s.mu.Lock()
	id := s.documents.Get(storeIDKey).Value
	s.mu.Unlock()
	if id != "" {
		return true
	}
	_, err := s.propose(document.Transaction{ID: rand.Text(), Author: s.opts.Name, Reason: "the store begins", Conditions: []document.Condition{{Key: storeIDKey}}, Operations: []document.Operation{{Key: storeIDKey, Value: rand.Text()}}})
	return err == nil
}
