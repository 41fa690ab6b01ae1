package document

import (
	"encoding/json"
	"fmt"
	"io"

	"sloehitch/internal/control/lease"
)

// encodedState is a state as a snapshot holds it.
type encodedState struct {
	Revision     uint64         `json:"revision"`
	Documents    []Document     `json:"documents"`
	Leases       []lease.Record `json:"leases"`
	Requests     []request      `json:"requests"`
	Changes      []Change       `json:"changes"`
	HistoryStart uint64         `json:"lost"`
	TokenFloor   uint64         `json:"floor,omitempty"`
}

// Save writes the state. Equal states are written as equal bytes.
func (s *State) Save(w io.Writer) error {
	out := encodedState{
		Revision:     s.revision,
		Documents:    s.List(""),
		Leases:       s.LeaseRecords(),
		Changes:      s.changes,
		HistoryStart: s.historyStart,
		TokenFloor:   s.leases.TokenFloor(),
	}
	for _, id := range s.requestOrder {
		out.Requests = append(out.Requests, s.requests[id])
	}
	return json.NewEncoder(w).Encode(out)
}

// Load replaces the state by one that Save wrote. An error leaves it unchanged. Leases count from now.
func (s *State) Load(r io.Reader, now lease.Instant) error {
	var in encodedState
	if err := json.NewDecoder(r).Decode(&in); err != nil {
		return fmt.Errorf("documents: %w", err)
	}
	loaded := newState(s.limits, s.leases.EmptyCopy())
	loaded.revision, loaded.changes, loaded.historyStart = in.Revision, in.Changes, in.HistoryStart
	loaded.leases.SetTokenFloor(in.TokenFloor)
	for _, d := range in.Documents {
		if d.Version == 0 || d.Version > in.Revision {
			return fmt.Errorf("documents: %q has version %d at revision %d", d.Key, d.Version, in.Revision)
		}
		loaded.documents[d.Key] = d
		loaded.totalBytes += d.bytes()
	}
	for _, record := range in.Leases {
		loaded.leases.Restore(record, now)
		loaded.tasks[record.Task] = true
	}
	for _, request := range in.Requests {
		loaded.requests[request.ID] = request
		loaded.requestOrder = append(loaded.requestOrder, request.ID)
	}
	*s = *loaded
	return nil
}

// Recover must be called after the state was put back to an earlier one, as from a backup or from a minority of the members:
// what was committed since is lost, and nothing of it may be confused with what follows. Revisions go on above revision, so that
// watchers read all anew and no version stands for two values. Tokens go on above floor, and nobody holds a task
// (lease.Table.Recover). The documents of keep replace those of their keys, or delete them where they have no value.
func (s *State) Recover(revision, floor uint64, keep []Document, now lease.Instant) {
	s.revision = max(s.revision, revision) + 1
	s.changes, s.historyStart = nil, s.revision
	s.leases.Recover(floor, now)
	for _, d := range keep {
		s.remove(d.Key)
		if d.Value != "" {
			s.put(Document{d.Key, d.Value, s.revision})
		}
	}
}
