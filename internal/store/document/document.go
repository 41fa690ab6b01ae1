// Package document is the state that the members of the store agree on: documents with versions, changed by transactions
// with conditions, each made exactly once; the leases of duties beside them; and what changed last. It has no I/O and no
// clock: every member applies the same transactions in the same order and comes to the same state.
package document

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sloehitch/internal/control/lease"
)

// Limits keep the state small enough to be sent whole to a member that is behind.
type Limits struct {
	MaxKeyBytes, MaxValueBytes int // bytes
	MaxDocuments               int
	MaxTotalBytes              int // of all keys and values together
	MaxOperations              int // conditions and operations of one transaction, each
	RememberedRequests         int // request ids that are remembered, the latest
	RememberedChanges          int // changes that are remembered, the latest
}

// DefaultLimits are the bounds of the daemon's store.
var DefaultLimits = Limits{MaxKeyBytes: 256, MaxValueBytes: 64 << 10, MaxDocuments: 10000, MaxTotalBytes: 16 << 20, MaxOperations: 64, RememberedRequests: 8192, RememberedChanges: 2048}

// Document is one value.
type Document struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"` // the revision at which it was last set
}

// Condition is what must hold for a transaction to be made. Exactly one of Key and Duty is set.
type Condition struct {
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version,omitempty"` // of the document; 0: there is none
	Task    string `json:"duty,omitempty"`
	Token   uint64 `json:"token,omitempty"` // under which the duty is held: that of its last grant, and not given back
}

// Operation changes one thing. Exactly one of Key and Lease is set.
type Operation struct {
	Key    string        `json:"key,omitempty"`
	Value  string        `json:"value,omitempty"`
	Delete bool          `json:"delete,omitempty"`
	Lease  *lease.Record `json:"lease,omitempty"`
	// ExcludeFromHistory has the change not remembered as one: reports that come all the time would wash away what people did.
	ExcludeFromHistory bool `json:"passing,omitempty"`
}

// Transaction is made whole or not at all.
type Transaction struct {
	ID         string      `json:"id"` // new with each request; the same for each try of one
	Author     string      `json:"by"`
	Reason     string      `json:"why"`
	UnixMillis int64       `json:"at"` // Unix milliseconds, as the member that took it has them; for people only
	Conditions []Condition `json:"if,omitempty"`
	Operations []Operation `json:"do"`
}

// Result is what became of a transaction.
type Result struct {
	Committed bool   `json:"made"`
	Revision  uint64 `json:"revision"`         // made: the new one, and the version of all that it set; else the one that it met
	Reason    string `json:"reason,omitempty"` // why it was not made
	Duplicate bool   `json:"again,omitempty"`  // it had been made, or turned down, before: this is what came of it then
}

// Change is one document set or deleted, or one lease.
type Change struct {
	Revision   uint64        `json:"revision"`
	Key        string        `json:"key,omitempty"`
	Value      string        `json:"value,omitempty"`
	Deleted    bool          `json:"deleted,omitempty"`
	Lease      *lease.Record `json:"lease,omitempty"`
	Author     string        `json:"by"`
	Reason     string        `json:"why,omitempty"`
	UnixMillis int64         `json:"at"`
}

// request is what is remembered of one transaction.
type request struct {
	ID     string   `json:"id"`
	Digest [32]byte `json:"digest"`
	Result Result   `json:"result"`
}

// State is the documents of one member. It is not safe for concurrent use.
type State struct {
	limits       Limits
	leases       *lease.Table
	documents    map[string]Document
	totalBytes   int
	revision     uint64
	requests     map[string]request
	requestOrder []string // their ids, oldest first
	changes      []Change // oldest first
	historyStart uint64   // changes up to this revision are no longer remembered
	tasks        map[string]bool
}

// New returns an empty state. It errs on terms of leases that can't be kept.
func New(b Limits, terms lease.Terms) (*State, error) {
	table, err := lease.NewTable(terms)
	if err != nil {
		return nil, err
	}
	return &State{limits: b, leases: table, documents: map[string]Document{}, requests: map[string]request{}, tasks: map[string]bool{}}, nil
}

// Leases is the table that a leader decides by; records come into it through transactions only.
func (s *State) Leases() *lease.Table { return s.leases }

// Revision is the number of transactions made.
func (s *State) Revision() uint64 { return s.revision }

// Get returns a document; its version is 0 if there is none.
func (s *State) Get(key string) Document {
	d := s.documents[key]
	d.Key = key
	return d
}

// List returns the documents whose keys begin so, by key.
func (s *State) List(prefix string) []Document {
	var list []Document
	for key, d := range s.documents {
		if strings.HasPrefix(key, prefix) {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b Document) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// LeaseRecords returns the leases of all duties that anybody ever had, by duty.
func (s *State) LeaseRecords() []lease.Record {
	var list []lease.Record
	for _, duty := range slices.Sorted(maps.Keys(s.tasks)) {
		list = append(list, s.leases.Get(duty))
	}
	return list
}

// Validate errs on a transaction that no member may be asked to apply: its form or a bound is wrong, whatever the state.
func (s *State) Validate(t Transaction) error {
	if t.ID == "" || len(t.ID) > 64 {
		return fmt.Errorf("id: a word of 1 to 64 bytes, new with each request, is wanted")
	}
	if len(t.Author) > 256 || len(t.Reason) > 1024 {
		return fmt.Errorf("by and why: at most 256 and 1024 bytes are kept")
	}
	if len(t.Operations) == 0 || len(t.Operations) > s.limits.MaxOperations || len(t.Conditions) > s.limits.MaxOperations {
		return fmt.Errorf("do: 1 to %d operations are wanted, and as many conditions at most", s.limits.MaxOperations)
	}
	seen := map[string]bool{}
	for i, o := range t.Operations {
		if (o.Key == "") == (o.Lease == nil) {
			return fmt.Errorf("do[%d]: either a key or a lease is wanted", i)
		}
		name := o.Key
		if o.Lease != nil {
			name = "\x00" + o.Lease.Task
			if o.Lease.Task == "" || len(o.Lease.Task) > s.limits.MaxKeyBytes || len(o.Lease.Holder) > s.limits.MaxKeyBytes || len(o.Lease.Successor) > s.limits.MaxKeyBytes {
				return fmt.Errorf("do[%d].lease: a duty and names of at most %d bytes are wanted", i, s.limits.MaxKeyBytes)
			}
		}
		if len(o.Key) > s.limits.MaxKeyBytes || len(o.Value) > s.limits.MaxValueBytes {
			return fmt.Errorf("do[%d]: a key of at most %d bytes and a value of at most %d are wanted", i, s.limits.MaxKeyBytes, s.limits.MaxValueBytes)
		}
		if seen[name] {
			return fmt.Errorf("do[%d]: %q is changed twice", i, strings.TrimPrefix(name, "\x00"))
		}
		seen[name] = true
	}
	for i, c := range t.Conditions {
		if (c.Key == "") == (c.Task == "") {
			return fmt.Errorf("if[%d]: either a key or a duty is wanted", i)
		}
	}
	return nil
}

// Apply makes a transaction if its conditions hold, once for its id: a repeat hears what came of it, whatever has changed
// since. now is this member's clock, for its count of leases.
func (s *State) Apply(t Transaction, now lease.Instant) Result {
	digest := requestDigest(t)
	if r, before := s.requests[t.ID]; before {
		if r.Digest != digest {
			return Result{Revision: s.revision, Reason: fmt.Sprintf("id %q was another request's", t.ID)}
		}
		r.Result.Duplicate = true
		return r.Result
	}
	r := Result{Revision: s.revision, Reason: s.rejectionReason(t)}
	if r.Reason == "" {
		s.commit(t, now)
		r = Result{Committed: true, Revision: s.revision}
	}
	s.requests[t.ID] = request{t.ID, digest, r}
	if s.requestOrder = append(s.requestOrder, t.ID); len(s.requestOrder) > s.limits.RememberedRequests {
		delete(s.requests, s.requestOrder[0])
		s.requestOrder = slices.Delete(s.requestOrder, 0, 1)
	}
	return r
}

// requestDigest tells requests apart that claim one id; when a try was taken does not count.
func requestDigest(t Transaction) [32]byte {
	t.UnixMillis = 0
	text, err := json.Marshal(t)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	return sha256.Sum256(text)
}

// rejectionReason says why a transaction can't be made; empty: it can.
func (s *State) rejectionReason(t Transaction) string {
	if err := s.Validate(t); err != nil {
		return err.Error()
	}
	for _, c := range t.Conditions {
		if c.Task != "" {
			if r := s.leases.Get(c.Task); r.Token != c.Token || r.Holder == "" {
				return fmt.Sprintf("duty %s: token %d is not the one it is held under, which is %d", c.Task, c.Token, r.Token)
			}
		} else if d := s.documents[c.Key]; d.Version != c.Version {
			return fmt.Sprintf("%s: version %d, not %d", c.Key, d.Version, c.Version)
		}
	}
	docs, bytes := len(s.documents), s.totalBytes
	for _, o := range t.Operations {
		if o.Lease != nil {
			if !s.leases.BasedOnCurrent(*o.Lease) {
				return fmt.Sprintf("duty %s: changed meanwhile", o.Lease.Task)
			}
			if !s.tasks[o.Lease.Task] && len(s.tasks) >= s.limits.MaxDocuments {
				return fmt.Sprintf("full: %d duties at most", s.limits.MaxDocuments)
			}
			continue
		}
		was, there := s.documents[o.Key]
		if there {
			docs--
			bytes -= len(o.Key) + len(was.Value)
		}
		if !o.Delete {
			docs++
			bytes += len(o.Key) + len(o.Value)
		}
	}
	if docs > max(s.limits.MaxDocuments, len(s.documents)) || bytes > max(s.limits.MaxTotalBytes, s.totalBytes) {
		return fmt.Sprintf("full: %d documents of %d bytes together at most", s.limits.MaxDocuments, s.limits.MaxTotalBytes)
	}
	return ""
}

// commit carries out what was found fit to be made.
func (s *State) commit(t Transaction, now lease.Instant) {
	s.revision++
	for _, o := range t.Operations {
		c := Change{Revision: s.revision, Key: o.Key, Value: o.Value, Deleted: o.Delete, Lease: o.Lease, Author: t.Author, Reason: t.Reason, UnixMillis: t.UnixMillis}
		if o.Lease != nil {
			s.leases.Apply(*o.Lease, now)
			s.tasks[o.Lease.Task] = true
		} else {
			if was, there := s.documents[o.Key]; there {
				s.totalBytes -= len(o.Key) + len(was.Value)
				delete(s.documents, o.Key)
			}
			if !o.Delete {
				s.documents[o.Key] = Document{o.Key, o.Value, s.revision}
				s.totalBytes += len(o.Key) + len(o.Value)
			}
		}
		if !o.ExcludeFromHistory || o.Lease != nil {
			s.changes = append(s.changes, c)
		}
	}
	if over := len(s.changes) - s.limits.RememberedChanges; over > 0 {
		s.historyStart = s.changes[over-1].Revision
		s.changes = slices.Delete(s.changes, 0, over)
	}
}

// ChangesSince returns the changes after a revision, oldest first. ok is false where some of them are no longer remembered, or the
// revision is one that there has not been, as of a store that was lost: who watches reads all anew then.
func (s *State) ChangesSince(revision uint64) (changes []Change, ok bool) {
	if revision < s.historyStart || revision > s.revision {
		return nil, false
	}
	from, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	return slices.Clone(s.changes[from:]), true
}

// HistoryStart is the revision after which all changes are remembered.
func (s *State) HistoryStart() uint64 { return s.historyStart }

// encodedState is a state as a snapshot has it.
type encodedState struct {
	Revision     uint64         `json:"revision"`
	Documents    []Document     `json:"documents"`
	Leases       []lease.Record `json:"leases"`
	Requests     []request      `json:"requests"`
	Changes      []Change       `json:"changes"`
	HistoryStart uint64         `json:"lost"`
	TokenFloor   uint64         `json:"floor,omitempty"`
}

// Save writes the state. The same state has the same bytes.
func (s *State) Save(w io.Writer) error {
	out := encodedState{Revision: s.revision, Documents: s.List(""), Leases: s.LeaseRecords(), Changes: s.changes, HistoryStart: s.historyStart, TokenFloor: s.leases.TokenFloor()}
	for _, id := range s.requestOrder {
		out.Requests = append(out.Requests, s.requests[id])
	}
	return json.NewEncoder(w).Encode(out)
}

// Load takes the place of the state. An error leaves it as it was. Leases count from now.
func (s *State) Load(r io.Reader, now lease.Instant) error {
	var in encodedState
	if err := json.NewDecoder(r).Decode(&in); err != nil {
		return fmt.Errorf("documents: %w", err)
	}
	table := s.leases.EmptyCopy()
	table.SetTokenFloor(in.TokenFloor)
	next := &State{limits: s.limits, leases: table, documents: map[string]Document{}, requests: map[string]request{}, tasks: map[string]bool{},
		revision: in.Revision, changes: in.Changes, historyStart: in.HistoryStart}
	for _, d := range in.Documents {
		if d.Version == 0 || d.Version > in.Revision {
			return fmt.Errorf("documents: %q has version %d at revision %d", d.Key, d.Version, in.Revision)
		}
		next.documents[d.Key] = d
		next.totalBytes += len(d.Key) + len(d.Value)
	}
	for _, rec := range in.Leases {
		table.Restore(rec, now)
		next.tasks[rec.Task] = true
	}
	for _, q := range in.Requests {
		next.requests[q.ID] = q
		next.requestOrder = append(next.requestOrder, q.ID)
	}
	*s = *next
	return nil
}

// Recover is to be called after the state was put back to an earlier one, as from a backup or by the word of a minority: what was
// agreed on since is lost, and nothing of it may be taken for what comes. Revisions go on above revision, so that who watches
// reads all anew and no version stands for two values; tokens above floor, and nobody holds a duty (lease.Table.Recover). The
// documents of keep take the place of those that they name, or go where they have no value.
func (s *State) Recover(revision, floor uint64, keep []Document, now lease.Instant) {
	s.revision = max(s.revision, revision) + 1
	s.changes, s.historyStart = nil, s.revision
	s.leases.Recover(floor, now)
	for _, d := range keep {
		if was, there := s.documents[d.Key]; there {
			s.totalBytes -= len(d.Key) + len(was.Value)
			delete(s.documents, d.Key)
		}
		if d.Value != "" {
			s.documents[d.Key] = Document{d.Key, d.Value, s.revision}
			s.totalBytes += len(d.Key) + len(d.Value)
		}
	}
}
