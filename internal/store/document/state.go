package document

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"sloehitch/internal/control/lease"
)

// State holds one member's copy of the documents and leases. It is not safe for concurrent use.
type State struct {
	limits       Limits
	leases       *lease.Table
	tasks        map[string]bool // tasks that ever had a lease
	documents    map[string]Document
	totalBytes   int // size of all documents
	revision     uint64
	requests     map[string]request // by id
	requestOrder []string           // ids of requests, oldest first
	changes      []Change           // oldest first
	historyStart uint64             // changes up to this revision are no longer remembered
}

// New returns an empty state. It returns the error of lease.Terms.Validate.
func New(limits Limits, terms lease.Terms) (*State, error) {
	table, err := lease.NewTable(terms)
	if err != nil {
		return nil, err
	}
	return newState(limits, table), nil
}

func newState(limits Limits, table *lease.Table) *State {
	return &State{
		limits:    limits,
		leases:    table,
		tasks:     map[string]bool{},
		documents: map[string]Document{},
		requests:  map[string]request{},
	}
}

// Leases returns the table by which a leader decides on lease requests. Its records change only through transactions.
func (s *State) Leases() *lease.Table { return s.leases }

// Revision returns the number of transactions committed.
func (s *State) Revision() uint64 { return s.revision }

// Get returns a document; its version is 0 if there is none.
func (s *State) Get(key string) Document {
	d := s.documents[key]
	d.Key = key
	return d
}

// List returns the documents whose keys begin with a prefix, sorted by key.
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

// LeaseRecords returns the leases of all tasks that were ever held, sorted by task.
func (s *State) LeaseRecords() []lease.Record {
	var list []lease.Record
	for _, task := range slices.Sorted(maps.Keys(s.tasks)) {
		list = append(list, s.leases.Get(task))
	}
	return list
}

// put adds or replaces a document.
func (s *State) put(d Document) {
	s.remove(d.Key)
	s.documents[d.Key] = d
	s.totalBytes += d.bytes()
}

// remove deletes a document if there is one.
func (s *State) remove(key string) {
	if d, exists := s.documents[key]; exists {
		s.totalBytes -= d.bytes()
		delete(s.documents, key)
	}
}
