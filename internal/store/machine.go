package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"

	"github.com/hashicorp/raft"
)

// stateMachine is the store as raft sees it.
type stateMachine Store

// Apply takes a change that a majority has.
func (m *stateMachine) Apply(entry *raft.Log) any {
	s := (*Store)(m)
	var c change
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return err
	}
	switch {
	case c.Make != nil:
		return s.applyTransaction(*c.Make)
	case c.Restore != nil:
		return s.applyRestorePart(*c.Restore)
	}
	s.applyValue(c)
	return nil
}

// StoreConfiguration takes a change of the members that was agreed on. Nothing is remembered of one that is removed: it may be
// added anew, with a new folder.
func (m *stateMachine) StoreConfiguration(_ uint64, c raft.Configuration) {
	(*Store)(m).peers.setConfiguration(c)
}

// Snapshot copies all that is kept.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	s := (*Store)(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	docs, err := s.encodeDocuments()
	if err != nil {
		return nil, err
	}
	n := snapshot{Values: maps.Clone(s.values), Documents: docs}
	if s.stagedBackup != nil {
		copied := *s.stagedBackup
		n.Staged = &copied
	}
	return n, nil
}

// encodeDocuments is the documents' bytes; the caller holds mu.
func (s *Store) encodeDocuments() (json.RawMessage, error) {
	var docs bytes.Buffer
	if err := s.documents.Save(&docs); err != nil {
		return nil, err
	}
	return docs.Bytes(), nil
}

// Restore takes the place of all that is kept.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	in, err := readSnapshot(from)
	if err != nil {
		return err
	}
	return (*Store)(m).loadSnapshot(in)
}

// readSnapshot reads a snapshot, or a backup. Those from before there were documents hold the values alone, and backups from
// before they held the values have the documents alone.
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

// loadSnapshot has all that is kept be what a snapshot has.
func (s *Store) loadSnapshot(in snapshot) error {
	if in.Documents != nil {
		s.mu.Lock()
		err := s.documents.Load(bytes.NewReader(in.Documents), s.clock())
		if err == nil {
			s.stagedBackup = in.Staged
			s.notifyDocumentWatchers()
		}
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for key := range validators {
		s.applyValue(change{Key: key, Value: in.Values[key]})
	}
	return nil
}

// notifyDocumentWatchers tells those that watch documents, and looks whether this member has learned the store's id; the caller holds mu.
func (s *Store) notifyDocumentWatchers() {
	close(s.documentsChanged)
	s.documentsChanged = make(chan struct{})
	if s.peers == nil {
		return
	}
	if err := s.peers.setStoreID(s.documents.Get(storeIDKey).Value); err != nil {
		s.opts.Logger.Warn("the store's id is not kept", "error", err)
	}
}

type snapshot struct {
	Values    map[string]string `json:"values"`
	Documents json.RawMessage   `json:"documents"`
	Staged    *partialBackup    `json:"staged,omitempty"`
}

// Persist writes all that is kept.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release has nothing to release.
func (snapshot) Release() {}
