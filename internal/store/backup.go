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
	maxBackupBytes   = 64 << 20 // enough for documents at their limits, with requests and history
	restorePartBytes = 1 << 20  // bytes of a backup in one log entry
)

var errNoDocuments = errors.New("documents are missing")

// restorePart is a part of a backup that is replicated to all members. The backup takes effect with the last part.
type restorePart struct {
	ID         string            `json:"id"`
	Part       int               `json:"part"`
	Parts      int               `json:"of"`
	Data       []byte            `json:"data"`
	Checksum   [sha256.Size]byte `json:"sum"`   // SHA-256 of the whole backup
	TokenFloor uint64            `json:"floor"` // above all tokens granted, by the clock; each member raises it above the tokens that it knows
}

// partialBackup is the received parts of a backup.
type partialBackup struct {
	ID   string `json:"id"`
	Next int    `json:"next"` // number of the next part expected
	Data []byte `json:"data"`
}

// restoreResult is the outcome of applying a part.
type restoreResult struct {
	Revision uint64
	Reason   string // why the part was rejected; empty: it was accepted
}

// tokenFloorAt returns a token floor that is above all tokens granted before now. It is 65,536 tokens for each second
// since 1970, more than are granted, and stays below 2^53, so that every JSON decoder can represent it.
func tokenFloorAt(now time.Time) uint64 { return uint64(max(0, now.Unix())) << 16 }

// Backup writes the whole state as of a Barrier. It returns ErrNotLeader on any member but the leader.
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

// Restore replaces the state of all members with a backup, and returns the revision from which the store continues.
// Changes made since the backup are lost. The members, the store's id and the order of tokens are preserved: no token
// is granted again, and no task is held. The backup is replicated in parts and takes effect on all members with the
// last one. Restore returns ErrNotLeader on any member but the leader, ErrChangeRejected if another restore intervened,
// and ErrOutcomeUnknown if the backup may still take effect.
func (s *Store) Restore(from io.Reader, author, reason string) (revision uint64, err error) {
	text, err := io.ReadAll(io.LimitReader(from, maxBackupBytes+1))
	if err != nil {
		return 0, err
	}
	if len(text) > maxBackupBytes {
		return 0, fmt.Errorf("backup too large: more than %d bytes", maxBackupBytes)
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

// replicateBackup replicates a backup's parts, and returns the revision after the last one.
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
	if s.memoryOnly {
		response = s.applyRestorePart(part)
	} else if response, err = s.replicate(change{Restore: &part}); err != nil {
		return 0, err
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

// recordRestore records a restore in the history.
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

// decodeBackup decodes and checks a complete backup.
func (s *Store) decodeBackup(text []byte) (snapshot, error) {
	in, err := readSnapshot(bytes.NewReader(text))
	if err == nil {
		err = s.checkDocuments(in)
	}
	if err != nil {
		return in, fmt.Errorf("not a backup of a store: %w", err)
	}
	return in, nil
}

// checkDocuments returns an error if a snapshot's documents can't be loaded.
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

// applyRestorePart applies a part of a backup. Every member applies the parts in the same order.
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
		return restoreResult{Reason: "checksum of the received backup does not match"}
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

// stagePart adds a part to those received before, and returns the backup once it is complete. reason is empty unless
// the part was rejected. The caller holds mu.
func (s *Store) stagePart(part restorePart) (text []byte, complete bool, reason string) {
	if part.Part == 0 {
		s.stagedBackup = &partialBackup{ID: part.ID}
	}
	staged := s.stagedBackup
	if staged == nil || staged.ID != part.ID || staged.Next != part.Part || len(staged.Data)+len(part.Data) > maxBackupBytes {
		return nil, false, "another restore has intervened"
	}
	staged.Data = append(staged.Data, part.Data...)
	staged.Next++
	if staged.Next < part.Parts {
		return nil, false, ""
	}
	s.stagedBackup = nil
	return staged.Data, true, ""
}

// documentsToDelete returns, without values, the store's own documents that were loaded from a backup and are not in
// kept. The caller holds mu.
func (s *Store) documentsToDelete(kept []document.Document) (deleted []document.Document) {
	for _, d := range slices.Concat(s.documents.List(internalPrefix), s.documents.List(memberPrefix)) {
		if !slices.ContainsFunc(kept, func(k document.Document) bool { return k.Key == d.Key }) {
			deleted = append(deleted, document.Document{Key: d.Key})
		}
	}
	return deleted
}
