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

// ErrUnsure says that it is not known whether a change was made. Asked again under its id, it is made once.
var ErrUnsure = errors.New("not known whether the change was made: ask again under the same id")

// Seen is how a read was made.
type Seen struct {
	Revision  uint64 `json:"revision"`
	Confirmed bool   `json:"confirmed"`        // the member led as it read, by the word of a majority: nothing acknowledged before is missing
	AgeMS     int64  `json:"age_ms,omitempty"` // else how long ago this member last heard of its leader
	From      uint64 `json:"from"`             // all changes after this revision are remembered
}

// Make has a transaction made on all members, once for its id. It returns when a majority has it, and on another member
// than the leader ErrNotLeader. ErrUnsure means that it may yet be made.
func (s *Store) Make(t document.Transaction) (document.Result, error) {
	for _, o := range t.Do {
		if o.Lease != nil {
			return document.Result{}, errors.New("do: leases are asked for by their own call")
		}
		if err := reserved(o.Key); err != nil {
			return document.Result{}, err
		}
	}
	return s.propose(t)
}

func (s *Store) propose(t document.Transaction) (document.Result, error) {
	s.mu.Lock()
	err := s.docs.Check(t)
	s.mu.Unlock()
	if err != nil {
		return document.Result{}, err
	}
	t.At = time.Now().UnixMilli()
	if !s.grouped {
		return s.made(t), nil
	}
	got, err := s.agree(change{Make: &t})
	if err != nil {
		return document.Result{}, err
	}
	r, ok := got.(document.Result)
	if !ok {
		return document.Result{}, fmt.Errorf("%w (%v)", ErrUnsure, got)
	}
	return r, nil
}

// agree has a change made by all members, and returns what came of it here. It errs with ErrNotLeader, and then nothing has
// changed, or ErrUnsure.
func (s *Store) agree(c change) (any, error) {
	part, err := s.group()
	if err != nil {
		return nil, err
	}
	entry, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(entry) > limits.ForRaftLog.Entry {
		return nil, fmt.Errorf("%d bytes on record, %d at most are taken", len(entry), limits.ForRaftLog.Entry)
	}
	f := part.Apply(entry, s.opts.Timeout)
	switch err := f.Error(); {
	case errors.Is(err, raft.ErrNotLeader):
		return nil, ErrNotLeader
	case err != nil: // the lead was lost on the way, or it took too long
		return nil, fmt.Errorf("%w (%w)", ErrUnsure, err)
	}
	return f.Response(), nil
}

// made applies a transaction here, and wakes those that watch.
func (s *Store) made(t document.Transaction) document.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.docs.Apply(t, s.clock())
	if r.Made && !r.Again {
		s.wake()
	}
	return r
}

// Confirm returns once this member's copy has all that was acknowledged before the call: it leads by the word of a
// majority, and has applied what was agreed on. It errs with ErrNotLeader on any other.
func (s *Store) Confirm() error {
	if !s.grouped {
		return nil
	}
	r, err := s.group()
	if err != nil {
		return err
	}
	if err := r.Barrier(s.opts.Timeout).Error(); err != nil {
		return fmt.Errorf("%w (%w)", ErrNotLeader, err)
	}
	return nil
}

// Documents returns the documents whose keys begin so, and how old what is seen may be. A confirmed read errs on any
// member but the leader; a local one never waits.
func (s *Store) Documents(prefix string, confirmed bool) ([]document.Document, Seen, error) {
	if confirmed {
		if err := s.Confirm(); err != nil {
			return nil, Seen{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.docs.List(prefix), s.seen(confirmed), nil
}

// seen says how old this member's copy may be; the caller holds mu.
func (s *Store) seen(confirmed bool) Seen {
	seen := Seen{Revision: s.docs.Revision(), From: s.docs.Remembered(), Confirmed: confirmed || !s.grouped}
	if seen.Confirmed {
		return seen
	}
	r := s.part.Load()
	if r == nil {
		seen.AgeMS = -1
	} else if r.State() == raft.Leader { // it may have lost the lead and not know it, for as long as its own lease of it
		seen.AgeMS = (s.opts.Beat / 2).Milliseconds()
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
func (s *Store) Changes(prefix string, after uint64, wait time.Duration) (changes []document.Change, seen Seen, ok bool) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		changes, ok = s.docs.Since(after)
		if prefix != "" {
			changes = slices.DeleteFunc(changes, func(c document.Change) bool { return !strings.HasPrefix(c.Key, prefix) })
		}
		seen = s.seen(false)
		more := s.changed
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
	if err := s.Confirm(); err != nil {
		return err
	}
	s.mu.Lock()
	docs, err := s.saved()
	out := snapshot{Values: maps.Clone(s.values), Documents: docs}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(out)
}

// Owner is one duty's lease as a member sees it.
type Owner struct {
	lease.Record
	LeftMS int64 `json:"left_ms"` // until another may be granted it, on this member's count; a leader's is what counts
}

// Owners returns the leases of all duties that anybody ever had.
func (s *Store) Owners() ([]Owner, Seen) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var owners []Owner
	for _, r := range s.docs.Owners() {
		owners = append(owners, Owner{r, s.docs.Leases().Left(r.Duty, s.clock()).Milliseconds()})
	}
	return owners, s.seen(false)
}

// Question is what a holder asks of the store about its duty.
type Question struct {
	Ask    string `json:"ask"` // take, renew or hand-over
	Holder string `json:"holder"`
	Token  uint64 `json:"token,omitempty"` // of renew and hand-over
	To     string `json:"to,omitempty"`    // of a hand-over; empty: whoever asks next
	Why    string `json:"why,omitempty"`
}

// Lease decides on a question about a duty and has the decision agreed on. It errs with lease.ErrHeld, lease.ErrLost or
// ErrNotLeader, and then nothing has changed; with ErrUnsure it may have. Each question is one of its own: to take again
// what may have been granted brings a new token.
func (s *Store) Lease(duty string, q Question) (lease.Record, error) {
	s.mu.Lock()
	if s.grouped && !s.leads {
		s.mu.Unlock()
		return lease.Record{}, ErrNotLeader
	}
	var r lease.Record
	var err error
	switch table := s.docs.Leases(); q.Ask {
	case "take":
		r, err = table.Take(duty, q.Holder, s.clock())
	case "renew":
		r, err = table.Renew(duty, q.Holder, q.Token)
	case "hand-over":
		r, err = table.HandOver(duty, q.Holder, q.Token, q.To)
	default:
		err = fmt.Errorf("ask %q: take, renew or hand-over is wanted", q.Ask)
	}
	s.mu.Unlock()
	if err != nil {
		return lease.Record{}, err
	}
	why := q.Ask
	if q.Why != "" {
		why += ": " + q.Why
	}
	made, err := s.propose(document.Transaction{ID: rand.Text(), By: q.Holder, Why: why, Do: []document.Operation{{Lease: &r}}})
	switch {
	case err != nil:
		return lease.Record{}, err
	case !made.Made:
		return lease.Record{}, fmt.Errorf("%w: %s", lease.ErrHeld, made.Reason)
	}
	return r, nil
}

// lead follows whether this member leads. A new leader decides on leases once it has applied all that was agreed on before
// it, and counts every lease anew from there. The first one ever gives the store its id.
func (s *Store) lead(r *raft.Raft) {
	for {
		select {
		case <-s.done:
			return
		case leads := <-r.LeaderCh():
			s.mu.Lock()
			if s.leads {
				s.opts.Tell(faulthooks.Event{What: "follows"})
			}
			s.leads = false
			s.mu.Unlock()
			s.known.led()
			if !leads || r.Barrier(s.opts.Timeout).Error() != nil {
				continue
			}
			s.mu.Lock()
			s.docs.Leases().Lead(s.clock())
			s.leads = true
			revision := s.docs.Revision()
			s.mu.Unlock()
			s.opts.Log.Info("this member leads the store", "revision", revision)
			s.opts.Tell(faulthooks.Event{What: "leads", N: revision})
			for r.State() == raft.Leader && !s.named() {
				select {
				case <-s.done:
					return
				case <-time.After(s.opts.Beat / 4):
				}
			}
		}
	}
}

// named says whether the store has an id; it proposes one where there is none.
func (s *Store) named() bool {
	s.mu.Lock()
	id := s.docs.Get(idKey).Value
	s.mu.Unlock()
	if id != "" {
		return true
	}
	_, err := s.propose(document.Transaction{ID: rand.Text(), By: s.opts.Name, Why: "the store begins", If: []document.Condition{{Key: idKey}}, Do: []document.Operation{{Key: idKey, Value: rand.Text()}}})
	return err == nil
}
