package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"

	"github.com/hashicorp/raft"
)

// stateMachine adapts the store to raft. It implements raft.FSM and raft.ConfigurationStore.
type stateMachine Store

// Apply applies a committed entry, and returns the response for the proposer.
func (m *stateMachine) Apply(entry *raft.Log) any {
	s := (*Store)(m)
	var c change
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return err
	}
	switch {
	case c.Transaction != nil:
		return s.applyTransaction(*c.Transaction)
	case c.Restore != nil:
		return s.applyRestorePart(*c.Restore)
	}
	s.applyValue(c.Key, c.Value)
	return nil
}

// StoreConfiguration applies a committed change of the members. Nothing is remembered about a removed member, since it
// may be added again with an empty data directory.
func (m *stateMachine) StoreConfiguration(_ uint64, c raft.Configuration) {
	(*Store)(m).peers.setConfiguration(c)
}

// Snapshot copies the state.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	s := (*Store)(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	documents, err := s.encodeDocuments()
	if err != nil {
		return nil, err
	}
	copied := snapshot{Values: maps.Clone(s.values), Documents: documents}
	if s.stagedBackup != nil {
		staged := *s.stagedBackup
		copied.Staged = &staged
	}
	return copied, nil
}

// Restore replaces the state with a snapshot.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // only read from
	in, err := readSnapshot(from)
	if err != nil {
		return err
	}
	return (*Store)(m).loadSnapshot(in)
}

// snapshot is the encoded state, which is sent to a member that lags behind and written to a backup.
type snapshot struct {
	Values    map[string]string `json:"values"`
	Documents json.RawMessage   `json:"documents"`
	Staged    *partialBackup    `json:"staged,omitempty"`
}

// Persist writes the snapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: there is nothing to release.
func (snapshot) Release() {}

// readSnapshot decodes a snapshot or a backup. Snapshots from before documents existed contain only the values, and
// backups from before they included the values contain only the documents.
func readSnapshot(from io.Reader) (in snapshot, err error) {
	text, err := io.ReadAll(from)
	if err != nil {
		return in, err
	}
	if err := json.Unmarshal(text, &in); err != nil || in.Documents == nil {
		in = snapshot{}
		return in, json.Unmarshal(text, &in.Values)
	}
	if bytes.HasPrefix(bytes.TrimSpace(in.Documents), []byte("[")) {
		return snapshot{Documents: text}, nil
	}
	return in, nil
}

// encodeDocuments returns the encoded documents. The caller holds mu.
func (s *Store) encodeDocuments() (json.RawMessage, error) {
	var documents bytes.Buffer
	if err := s.documents.Save(&documents); err != nil {
		return nil, err
	}
	return documents.Bytes(), nil
}

// loadSnapshot replaces the state with a snapshot.
func (s *Store) loadSnapshot(in snapshot) error {
	if in.Documents != nil {
		if err := s.loadDocuments(in); err != nil {
			return err
		}
	}
	for key := range validators {
		s.applyValue(key, in.Values[key])
	}
	return nil
}

func (s *Store) loadDocuments(in snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.documents.Load(bytes.NewReader(in.Documents), s.clock()); err != nil {
		return err
	}
	s.stagedBackup = in.Staged
	s.notifyDocumentWatchers()
	return nil
}

// notifyDocumentWatchers wakes the goroutines that wait for a change of documents, and saves the store's id once this
// member has learned it. The caller holds mu.
func (s *Store) notifyDocumentWatchers() {
	close(s.documentsChanged)
	s.documentsChanged = make(chan struct{})
	if s.peers == nil {
		return
	}
	if err := s.peers.setStoreID(s.documents.Get(storeIDKey).Value); err != nil {
		s.opts.Logger.Warn("store id not stored", "error", err)
	}
}
