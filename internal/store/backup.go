package store

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/store/document"
)

const (
	maxBackupBytes   = 64 << 20 // documents at their limits, with what is remembered beside them
	restorePartBytes = 1 << 20  // of a backup in one entry of the log
)

var errNoDocuments = errors.New("it holds no documents")

// restorePart is a part of a backup on its way to all members. The last one puts the backup into force.
type restorePart struct {
	ID         string            `json:"id"`
	Part       int               `json:"part"`
	Parts      int               `json:"of"`
	Data       []byte            `json:"data"`
	Checksum   [sha256.Size]byte `json:"sum"`   // of the whole backup
	TokenFloor uint64            `json:"floor"` // above all tokens that may have been granted, by the clock; each member puts it above those that it knows
}

// partialBackup is the parts of a backup that have arrived.
type partialBackup struct {
	ID   string `json:"id"`
	Next int    `json:"next"` // the part that is expected
	Data []byte `json:"data"`
}

// restoreResult is the outcome of a part.
type restoreResult struct {
	Revision uint64
	Reason   string // why it was rejected; empty: it was not
}

// tokenFloorAt returns a token floor above all that were granted before and none that will be for long: 65,536 tokens for each
// second since 1970, which stays below 2^53, so that every reader of JSON can represent it.
func tokenFloorAt(now time.Time) uint64 { return uint64(max(0, now.Unix())) << 16 }

// Backup writes the whole state, as of a Barrier. It returns ErrNotLeader on any member but the leader.
func (s *Store) Backup(w io.Writer) error {
	if err := s.Barrier(); err != nil {
		return err
	}
	s.mu.Lock()
	documents, err := s.encodeDocuments()
	backup := snapshot{Values: maps.Clone(s.values), Documents: documents}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(backup)
}

// Restore has all members go back to a backup, and returns the revision from which the store goes on. What was changed since is
// lost. The members, the store's id and the order of tokens stay: no token is granted again, and nobody holds a task. The backup
// is replicated in parts and takes effect on all members with the last. Restore returns ErrNotLeader on any member but the
// leader, ErrChangeRejected where another restore intervened, and ErrOutcomeUnknown where the backup may yet take effect.
func (s *Store) Restore(from io.Reader, author, reason string) (revision uint64, err error) {
	text, err := io.ReadAll(io.LimitReader(from, maxBackupBytes+1))
	if err != nil {
		return 0, err
	}
	if len(text) > maxBackupBytes {
		return 0, fmt.Errorf("a backup of more than %d bytes is none of this store's", maxBackupBytes)
	}
	if _, err := s.decodeBackup(text); err != nil {
		return 0, err
	}
	id := rand.Text()
	if revision, err = s.replicateBackup(id, text); err != nil {
		return 0, err
	}
	if err := s.recordRestore(id, author, reason, revision); err != nil {
		s.opts.Logger.Warn("restore not recorded in the history", "error", err)
	}
	return revision, nil
}

// replicateBackup replicates a backup's parts, and returns the revision after the last.
func (s *Store) replicateBackup(id string, text []byte) (revision uint64, err error) {
	parts := slices.Collect(slices.Chunk(text, restorePartBytes))
	part := restorePart{ID: id, Parts: len(parts), Checksum: sha256.Sum256(text), TokenFloor: tokenFloorAt(time.Now())}
	for i, data := range parts {
		part.Part, part.Data = i, data
		if revision, err = s.replicatePart(part); err != nil {
			return 0, err
		}
	}
	return revision, nil
}

func (s *Store) replicatePart(part restorePart) (revision uint64, err error) {
	var response any
	if s.clustered {
		if response, err = s.replicate(change{Restore: &part}); err != nil {
			return 0, err
		}
	} else {
		response = s.applyRestorePart(part)
	}
	result, ok := response.(restoreResult)
	if !ok {
		return 0, fmt.Errorf("%w (%v)", ErrOutcomeUnknown, response)
	}
	if result.Reason != "" {
		return 0, fmt.Errorf("%w: %s", ErrChangeRejected, result.Reason)
	}
	return result.Revision, nil
}

// recordRestore puts a restore into the history.
func (s *Store) recordRestore(id, author, reason string, revision uint64) error {
	value := fmt.Sprintf("by %s at %s, to revision %d", author, time.Now().UTC().Format(time.RFC3339), revision)
	_, err := s.propose(document.Transaction{
		ID:         id,
		Author:     author,
		Reason:     strings.TrimSpace("restore: " + reason),
		Operations: []document.Operation{{Key: internalPrefix + "restored", Value: value}},
	})
	return err
}

// decodeBackup reads a complete backup.
func (s *Store) decodeBackup(text []byte) (snapshot, error) {
	in, err := readSnapshot(bytes.NewReader(text))
	if err == nil {
		err = s.checkDocuments(in)
	}
	if err != nil {
		return in, fmt.Errorf("this is no backup of a store: %w", err)
	}
	return in, nil
}

// checkDocuments returns an error where a snapshot's documents can't be loaded.
func (s *Store) checkDocuments(in snapshot) error {
	if in.Documents == nil {
		return errNoDocuments
	}
	documents, err := document.New(document.DefaultLimits, s.opts.LeaseTerms)
	if err != nil {
		return err
	}
	return documents.Load(bytes.NewReader(in.Documents), 0)
}

// applyRestorePart takes a part; every member does, in the same order.
func (s *Store) applyRestorePart(part restorePart) restoreResult {
	s.mu.Lock()
	text, complete, reason := s.stagePart(part)
	if !complete {
		s.mu.Unlock()
		return restoreResult{Reason: reason}
	}
	kept := slices.Concat(s.documents.List(internalPrefix), s.documents.List(memberPrefix))
	revision, highestToken := s.documents.Revision(), s.documents.Leases().HighestToken()
	s.mu.Unlock()
	if sha256.Sum256(text) != part.Checksum {
		return restoreResult{Reason: "what arrived is not what was sent"}
	}
	in, err := s.decodeBackup(text)
	if err != nil {
		return restoreResult{Reason: err.Error()}
	}
	in.Staged = nil
	if err := s.loadSnapshot(in); err != nil {
		return restoreResult{Reason: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept = append(kept, s.documentsToDelete(kept)...)
	tokenFloor := max(part.TokenFloor, highestToken, s.documents.Leases().HighestToken())
	s.documents.Recover(revision, tokenFloor, kept, s.clock())
	s.notifyDocumentWatchers()
	return restoreResult{Revision: s.documents.Revision()}
}

// stagePart adds a part to those that have arrived, and returns the backup once it is complete; reason says why the part was
// rejected, empty: it was not. The caller holds mu.
func (s *Store) stagePart(part restorePart) (text []byte, complete bool, reason string) {
	if part.Part == 0 {
		s.stagedBackup = &partialBackup{ID: part.ID}
	}
	staged := s.stagedBackup
	if staged == nil || staged.ID != part.ID || staged.Next != part.Part || len(staged.Data)+len(part.Data) > maxBackupBytes {
		return nil, false, "another restore has come between"
	}
	staged.Data = append(staged.Data, part.Data...)
	staged.Next++
	if staged.Next < part.Parts {
		return nil, false, ""
	}
	s.stagedBackup = nil
	return staged.Data, true, ""
}

// documentsToDelete returns the store's own documents that came with a backup and are not among those that are kept, without
// their values; the caller holds mu.
func (s *Store) documentsToDelete(kept []document.Document) (deleted []document.Document) {
	for _, d := range slices.Concat(s.documents.List(internalPrefix), s.documents.List(memberPrefix)) {
		if !slices.ContainsFunc(kept, func(k document.Document) bool { return k.Key == d.Key }) {
			deleted = append(deleted, document.Document{Key: d.Key})
		}
	}
	return deleted
}
