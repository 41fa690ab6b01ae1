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

// Bounds keep the state small enough to be sent whole to a member that is behind.
type Bounds struct {
	Key, Value int // bytes
	Documents  int
	Bytes      int // of all keys and values together
	Operations int // conditions and operations of one transaction, each
	Requests   int // request ids that are remembered, the latest
	Changes    int // changes that are remembered, the latest
}

// Ordinary are the bounds of the daemon's store.
var Ordinary = Bounds{Key: 256, Value: 64 << 10, Documents: 10000, Bytes: 16 << 20, Operations: 64, Requests: 8192, Changes: 2048}

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
	Duty    string `json:"duty,omitempty"`
	Token   uint64 `json:"token,omitempty"` // under which the duty is held: that of its last grant, and not given back
}

// Operation changes one thing. Exactly one of Key and Lease is set.
type Operation struct {
	Key    string        `json:"key,omitempty"`
	Value  string        `json:"value,omitempty"`
	Delete bool          `json:"delete,omitempty"`
	Lease  *lease.Record `json:"lease,omitempty"`
	// Passing has the change not remembered as one: reports that come all the time would wash away what people did.
	Passing bool `json:"passing,omitempty"`
}

// Transaction is made whole or not at all.
type Transaction struct {
	ID  string      `json:"id"` // new with each request; the same for each try of one
	By  string      `json:"by"`
	Why string      `json:"why"`
	At  int64       `json:"at"` // Unix milliseconds, as the member that took it has them; for people only
	If  []Condition `json:"if,omitempty"`
	Do  []Operation `json:"do"`
}

// Result is what became of a transaction.
type Result struct {
	Made     bool   `json:"made"`
	Revision uint64 `json:"revision"`         // made: the new one, and the version of all that it set; else the one that it met
	Reason   string `json:"reason,omitempty"` // why it was not made
	Again    bool   `json:"again,omitempty"`  // it had been made, or turned down, before: this is what came of it then
}

// Change is one document set or deleted, or one lease.
type Change struct {
	Revision uint64        `json:"revision"`
	Key      string        `json:"key,omitempty"`
	Value    string        `json:"value,omitempty"`
	Deleted  bool          `json:"deleted,omitempty"`
	Lease    *lease.Record `json:"lease,omitempty"`
	By       string        `json:"by"`
	Why      string        `json:"why,omitempty"`
	At       int64         `json:"at"`
}

// request is what is remembered of one transaction.
type request struct {
	ID     string   `json:"id"`
	Digest [32]byte `json:"digest"`
	Result Result   `json:"result"`
}

// State is the documents of one member. It is not safe for concurrent use.
type State struct {
	bounds   Bounds
	leases   *lease.Table
	docs     map[string]Document
	bytes    int
	revision uint64
	requests map[string]request
	order    []string // their ids, oldest first
	changes  []Change // oldest first
	lost     uint64   // changes up to this revision are no longer remembered
	duties   map[string]bool
}

// New returns an empty state. It errs on terms of leases that can't be kept.
func New(b Bounds, terms lease.Terms) (*State, error) {
	table, err := lease.NewTable(terms)
	if err != nil {
		return nil, err
	}
	return &State{bounds: b, leases: table, docs: map[string]Document{}, requests: map[string]request{}, duties: map[string]bool{}}, nil
}

// Leases is the table that a leader decides by; records come into it through transactions only.
func (s *State) Leases() *lease.Table { return s.leases }

// Revision is the number of transactions made.
func (s *State) Revision() uint64 { return s.revision }

// Get returns a document; its version is 0 if there is none.
func (s *State) Get(key string) Document {
	d := s.docs[key]
	d.Key = key
	return d
}

// List returns the documents whose keys begin so, by key.
func (s *State) List(prefix string) []Document {
	var list []Document
	for key, d := range s.docs {
		if strings.HasPrefix(key, prefix) {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b Document) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Owners returns the leases of all duties that anybody ever had, by duty.
func (s *State) Owners() []lease.Record {
	var list []lease.Record
	for _, duty := range slices.Sorted(maps.Keys(s.duties)) {
		list = append(list, s.leases.Get(duty))
	}
	return list
}

// Check errs on a transaction that no member may be asked to apply: its form or a bound is wrong, whatever the state.
func (s *State) Check(t Transaction) error {
	if t.ID == "" || len(t.ID) > 64 {
		return fmt.Errorf("id: a word of 1 to 64 bytes, new with each request, is wanted")
	}
	if len(t.By) > 256 || len(t.Why) > 1024 {
		return fmt.Errorf("by and why: at most 256 and 1024 bytes are kept")
	}
	if len(t.Do) == 0 || len(t.Do) > s.bounds.Operations || len(t.If) > s.bounds.Operations {
		return fmt.Errorf("do: 1 to %d operations are wanted, and as many conditions at most", s.bounds.Operations)
	}
	seen := map[string]bool{}
	for i, o := range t.Do {
		if (o.Key == "") == (o.Lease == nil) {
			return fmt.Errorf("do[%d]: either a key or a lease is wanted", i)
		}
		name := o.Key
		if o.Lease != nil {
			name = "\x00" + o.Lease.Duty
			if o.Lease.Duty == "" || len(o.Lease.Duty) > s.bounds.Key || len(o.Lease.Holder) > s.bounds.Key || len(o.Lease.Next) > s.bounds.Key {
				return fmt.Errorf("do[%d].lease: a duty and names of at most %d bytes are wanted", i, s.bounds.Key)
			}
		}
		if len(o.Key) > s.bounds.Key || len(o.Value) > s.bounds.Value {
			return fmt.Errorf("do[%d]: a key of at most %d bytes and a value of at most %d are wanted", i, s.bounds.Key, s.bounds.Value)
		}
		if seen[name] {
			return fmt.Errorf("do[%d]: %q is changed twice", i, strings.TrimPrefix(name, "\x00"))
		}
		seen[name] = true
	}
	for i, c := range t.If {
		if (c.Key == "") == (c.Duty == "") {
			return fmt.Errorf("if[%d]: either a key or a duty is wanted", i)
		}
	}
	return nil
}

// Apply makes a transaction if its conditions hold, once for its id: a repeat hears what came of it, whatever has changed
// since. now is this member's clock, for its count of leases.
func (s *State) Apply(t Transaction, now lease.Instant) Result {
	digest := digest(t)
	if r, before := s.requests[t.ID]; before {
		if r.Digest != digest {
			return Result{Revision: s.revision, Reason: fmt.Sprintf("id %q was another request's", t.ID)}
		}
		r.Result.Again = true
		return r.Result
	}
	r := Result{Revision: s.revision, Reason: s.refuses(t)}
	if r.Reason == "" {
		s.make(t, now)
		r = Result{Made: true, Revision: s.revision}
	}
	s.requests[t.ID] = request{t.ID, digest, r}
	if s.order = append(s.order, t.ID); len(s.order) > s.bounds.Requests {
		delete(s.requests, s.order[0])
		s.order = slices.Delete(s.order, 0, 1)
	}
	return r
}

// digest tells requests apart that claim one id; when a try was taken does not count.
func digest(t Transaction) [32]byte {
	t.At = 0
	text, err := json.Marshal(t)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	return sha256.Sum256(text)
}

// refuses says why a transaction can't be made; empty: it can.
func (s *State) refuses(t Transaction) string {
	if err := s.Check(t); err != nil {
		return err.Error()
	}
	for _, c := range t.If {
		if c.Duty != "" {
			if r := s.leases.Get(c.Duty); r.Token != c.Token || r.Holder == "" {
				return fmt.Sprintf("duty %s: token %d is not the one it is held under, which is %d", c.Duty, c.Token, r.Token)
			}
		} else if d := s.docs[c.Key]; d.Version != c.Version {
			return fmt.Sprintf("%s: version %d, not %d", c.Key, d.Version, c.Version)
		}
	}
	docs, bytes := len(s.docs), s.bytes
	for _, o := range t.Do {
		if o.Lease != nil {
			if !s.leases.Follows(*o.Lease) {
				return fmt.Sprintf("duty %s: changed meanwhile", o.Lease.Duty)
			}
			if !s.duties[o.Lease.Duty] && len(s.duties) >= s.bounds.Documents {
				return fmt.Sprintf("full: %d duties at most", s.bounds.Documents)
			}
			continue
		}
		was, there := s.docs[o.Key]
		if there {
			docs--
			bytes -= len(o.Key) + len(was.Value)
		}
		if !o.Delete {
			docs++
			bytes += len(o.Key) + len(o.Value)
		}
	}
	if docs > max(s.bounds.Documents, len(s.docs)) || bytes > max(s.bounds.Bytes, s.bytes) {
		return fmt.Sprintf("full: %d documents of %d bytes together at most", s.bounds.Documents, s.bounds.Bytes)
	}
	return ""
}

// make carries out what was found fit to be made.
func (s *State) make(t Transaction, now lease.Instant) {
	s.revision++
	for _, o := range t.Do {
		c := Change{Revision: s.revision, Key: o.Key, Value: o.Value, Deleted: o.Delete, Lease: o.Lease, By: t.By, Why: t.Why, At: t.At}
		if o.Lease != nil {
			s.leases.Applied(*o.Lease, now)
			s.duties[o.Lease.Duty] = true
		} else {
			if was, there := s.docs[o.Key]; there {
				s.bytes -= len(o.Key) + len(was.Value)
				delete(s.docs, o.Key)
			}
			if !o.Delete {
				s.docs[o.Key] = Document{o.Key, o.Value, s.revision}
				s.bytes += len(o.Key) + len(o.Value)
			}
		}
		if !o.Passing || o.Lease != nil {
			s.changes = append(s.changes, c)
		}
	}
	if over := len(s.changes) - s.bounds.Changes; over > 0 {
		s.lost = s.changes[over-1].Revision
		s.changes = slices.Delete(s.changes, 0, over)
	}
}

// Since returns the changes after a revision, oldest first. ok is false where some of them are no longer remembered, or the
// revision is one that there has not been, as of a store that was lost: who watches reads all anew then.
func (s *State) Since(revision uint64) (changes []Change, ok bool) {
	if revision < s.lost || revision > s.revision {
		return nil, false
	}
	from, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	return slices.Clone(s.changes[from:]), true
}

// Remembered is the revision after which all changes are remembered.
func (s *State) Remembered() uint64 { return s.lost }

// saved is a state as a snapshot has it.
type saved struct {
	Revision uint64         `json:"revision"`
	Docs     []Document     `json:"documents"`
	Leases   []lease.Record `json:"leases"`
	Requests []request      `json:"requests"`
	Changes  []Change       `json:"changes"`
	Lost     uint64         `json:"lost"`
	Floor    uint64         `json:"floor,omitempty"`
}

// Save writes the state. The same state has the same bytes.
func (s *State) Save(w io.Writer) error {
	out := saved{Revision: s.revision, Docs: s.List(""), Leases: s.Owners(), Changes: s.changes, Lost: s.lost, Floor: s.leases.Floor()}
	for _, id := range s.order {
		out.Requests = append(out.Requests, s.requests[id])
	}
	return json.NewEncoder(w).Encode(out)
}

// Load takes the place of the state. An error leaves it as it was. Leases count from now.
func (s *State) Load(r io.Reader, now lease.Instant) error {
	var in saved
	if err := json.NewDecoder(r).Decode(&in); err != nil {
		return fmt.Errorf("documents: %w", err)
	}
	table := s.leases.Empty()
	table.SetFloor(in.Floor)
	next := &State{bounds: s.bounds, leases: table, docs: map[string]Document{}, requests: map[string]request{}, duties: map[string]bool{},
		revision: in.Revision, changes: in.Changes, lost: in.Lost}
	for _, d := range in.Docs {
		if d.Version == 0 || d.Version > in.Revision {
			return fmt.Errorf("documents: %q has version %d at revision %d", d.Key, d.Version, in.Revision)
		}
		next.docs[d.Key] = d
		next.bytes += len(d.Key) + len(d.Value)
	}
	for _, rec := range in.Leases {
		table.Restore(rec, now)
		next.duties[rec.Duty] = true
	}
	for _, q := range in.Requests {
		next.requests[q.ID] = q
		next.order = append(next.order, q.ID)
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
	s.changes, s.lost = nil, s.revision
	s.leases.Recover(floor, now)
	for _, d := range keep {
		if was, there := s.docs[d.Key]; there {
			s.bytes -= len(d.Key) + len(was.Value)
			delete(s.docs, d.Key)
		}
		if d.Value != "" {
			s.docs[d.Key] = Document{d.Key, d.Value, s.revision}
			s.bytes += len(d.Key) + len(d.Value)
		}
	}
}
