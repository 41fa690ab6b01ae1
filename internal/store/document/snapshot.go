package document

import (
	"encoding/json"
	"fmt"
	"io"

	"sloehitch/internal/control/lease"
)

// encodedState is the form of a state in a snapshot.
type encodedState struct {
	Revision     uint64         `json:"revision"`
	Documents    []Document     `json:"documents"`
	Leases       []lease.Record `json:"leases"`
	Requests     []request      `json:"requests"`
	Changes      []Change       `json:"changes"`
	HistoryStart uint64         `json:"lost"`
	TokenFloor   uint64         `json:"floor,omitempty"`
}

// Save writes the state to w. Equal states are written as equal bytes.
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

// Load replaces the state with one written by Save. On an error the state is unchanged. Leases are timed from now.
func (s *State) Load(r io.Reader, now lease.Instant) error {
	var in encodedState
	if err := json.NewDecoder(r).Decode(&in); err != nil {
		return fmt.Errorf("decode document state: %w", err)
	}
	loaded := newState(s.limits, s.leases.EmptyCopy())
	loaded.revision, loaded.changes, loaded.historyStart = in.Revision, in.Changes, in.HistoryStart
	loaded.leases.SetTokenFloor(in.TokenFloor)
	for _, d := range in.Documents {
		if d.Version == 0 || d.Version > in.Revision {
			return fmt.Errorf("decode document state: %q has version %d, not 1 to %d (the revision)", d.Key, d.Version, in.Revision)
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

// Recover must be called after the state was reset to an earlier one, for example from a backup or from a minority of
// the members. Changes committed since are lost, and no later change may be mistaken for one of them. Revisions
// continue above revision, so that watchers read everything again and no version denotes two values. Tokens continue
// above floor, and no task is held afterwards (lease.Table.Recover). The documents in keep replace those with the same
// keys; a document in keep without a value deletes its key.
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
