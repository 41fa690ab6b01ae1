package store

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// maxBackupBytes is how many bytes of a backup are taken: of documents at their bounds, with what is remembered beside them.
const maxBackupBytes = 64 << 20

// restorePart is a part of a backup on its way to all members. The last one brings it into force.
type restorePart struct {
	ID    string   `json:"id"`
	Part  int      `json:"part"`
	Of    int      `json:"of"`
	Data  []byte   `json:"data"`
	Sum   [32]byte `json:"sum"`   // of the whole, SHA-256
	Floor uint64   `json:"floor"` // above all tokens that may have been granted, by the clock; each member puts it above those it knows
}

// partialBackup is what has come of a backup.
type partialBackup struct {
	ID   string `json:"id"`
	Next int    `json:"next"`
	Data []byte `json:"data"`
}

// restoreResult is what came of a piece.
type restoreResult struct {
	Revision uint64
	Reason   string
}

// tokenFloorAt is a floor for tokens that is above all that were granted before, and none that will be for long: 65,536 a second since
// 1970, below 2^53 so that every reader of JSON has it whole.
func tokenFloorAt(now time.Time) uint64 { return uint64(max(0, now.Unix())) << 16 }

// Restore has all members go back to a backup. What was changed since is gone; members, the store's id and the order of tokens
// stay: no token is granted again, and nobody holds a duty. It goes the way of every change, in parts, and takes hold on all members
// with the last. It returns the revision from which the store goes on. It errs with ErrNotLeader on any other member, and with
// ErrUnsure where it may yet take hold.
func (s *Store) Restore(from io.Reader, by, why string) (revision uint64, err error) {
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
	p := restorePart{ID: rand.Text(), Sum: sha256.Sum256(text), Floor: tokenFloorAt(time.Now())}
	const part = 1 << 20
	parts := slices.Collect(slices.Chunk(text, part))
	p.Of = len(parts)
	for i, data := range parts {
		p.Part, p.Data = i, data
		var got any
		if s.clustered {
			if got, err = s.replicate(change{Restore: &p}); err != nil {
				return 0, err
			}
		} else {
			got = s.applyRestorePart(p)
		}
		r, ok := got.(restoreResult)
		if !ok {
			return 0, fmt.Errorf("%w (%v)", ErrOutcomeUnknown, got)
		}
		if r.Reason != "" {
			return 0, fmt.Errorf("%w: %s", ErrChangeRejected, r.Reason)
		}
		revision = r.Revision
	}
	_, err = s.propose(document.Transaction{ID: p.ID, Author: by, Reason: strings.TrimSpace("restore: " + why), Operations: []document.Operation{{Key: internalPrefix + "restored", Value: fmt.Sprintf("by %s at %s, to revision %d", by, time.Now().UTC().Format(time.RFC3339), revision)}}})
	if err != nil {
		s.opts.Logger.Warn("a restore is not in the history", "error", err)
	}
	return revision, nil
}

// decodeBackup reads one, whole, and errs where it is none.
func (s *Store) decodeBackup(text []byte) (snapshot, error) {
	in, err := readSnapshot(bytes.NewReader(text))
	if err == nil && in.Documents == nil {
		err = errors.New("it holds no documents")
	}
	if err == nil {
		var docs *document.State
		if docs, err = document.New(document.DefaultLimits, s.opts.LeaseTerms); err == nil {
			err = docs.Load(bytes.NewReader(in.Documents), 0)
		}
	}
	if err != nil {
		return in, fmt.Errorf("this is no backup of a store: %w", err)
	}
	return in, nil
}

// applyRestorePart takes a piece, on every member in the same order.
func (s *Store) applyRestorePart(p restorePart) any {
	s.mu.Lock()
	if p.Part == 0 {
		s.stagedBackup = &partialBackup{ID: p.ID}
	}
	if s.stagedBackup == nil || s.stagedBackup.ID != p.ID || s.stagedBackup.Next != p.Part || len(s.stagedBackup.Data)+len(p.Data) > maxBackupBytes {
		s.mu.Unlock()
		return restoreResult{Reason: "another restore has come between"}
	}
	s.stagedBackup.Data = append(s.stagedBackup.Data, p.Data...)
	if s.stagedBackup.Next++; s.stagedBackup.Next < p.Of {
		s.mu.Unlock()
		return restoreResult{}
	}
	text := s.stagedBackup.Data
	s.stagedBackup = nil
	keep := s.documents.List(internalPrefix)
	keep = append(keep, s.documents.List(memberPrefix)...)
	revision, highest := s.documents.Revision(), s.documents.Leases().HighestToken()
	s.mu.Unlock()
	if sha256.Sum256(text) != p.Sum {
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
	for _, d := range slices.Concat(s.documents.List(internalPrefix), s.documents.List(memberPrefix)) { // the backup's own go
		if !slices.ContainsFunc(keep, func(k document.Document) bool { return k.Key == d.Key }) {
			keep = append(keep, document.Document{Key: d.Key})
		}
	}
	s.documents.Recover(revision, max(p.Floor, highest, s.documents.Leases().HighestToken()), keep, s.clock())
	s.notifyDocumentWatchers()
	return restoreResult{Revision: s.documents.Revision()}
}

// DataDirInfo is what a member's folder holds, for people who have to choose between several.
type DataDirInfo struct {
	Name            string          `json:"name"`
	StoreID         string          `json:"store"`
	Voters          int             `json:"voters"`
	Progress        quorum.Progress `json:"mark"`
	ExclusionReason string          `json:"out,omitempty"` // why it was never to take part again: an older copy than others are
}

// unwrappedFS looks at a folder as it is.
func unwrappedFS(fs disk.FS) disk.FS { return fs }

// InspectDataDir reads the folder of a member that does not run.
func InspectDataDir(dir, name string, log *slog.Logger) (DataDirInfo, error) {
	if _, err := os.Stat(filepath.Join(dir, "log")); err != nil {
		return DataDirInfo{}, fmt.Errorf("no member's folder: %w", err)
	}
	o, err := openRaftStorage(dir, unwrappedFS, log)
	if err != nil {
		return DataDirInfo{}, err
	}
	defer o.log.Close()
	return inspect(o, name)
}

func inspect(o raftStorage, name string) (DataDirInfo, error) {
	k, err := openPeerTracker(o.ledger(), name, 0)
	if err != nil {
		return DataDirInfo{}, err
	}
	m, blank, err := o.progress()
	if err == nil && blank {
		err = errors.New("the folder is empty: there is nothing to go on from")
	}
	id := k.localIdentity()
	return DataDirInfo{id.Name, id.StoreID, id.Voters, m, id.ExclusionReason}, err
}

// Recover has a member that does not run go on alone from its folder, after the majority was lost for good. What only the lost ones
// had is lost with them: changes that were acknowledged, too, if this member had not them yet. The store gets a new id, so that the
// lost ones are kept out should they come back; revisions and tokens go on far above all that may have been, and nobody holds a
// duty. It is to be done on one folder only: the furthest, by Inspect's mark.
func Recover(dir string, self Member, log *slog.Logger) (was DataDirInfo, err error) {
	o, err := openRaftStorage(dir, unwrappedFS, log)
	if err != nil {
		return was, err
	}
	defer func() { err = errors.Join(err, o.log.Close()) }()
	if was, err = inspect(o, self.Name); err != nil {
		return was, err
	}
	s := &Store{opts: Options{Name: self.Name, LeaseTerms: DefaultLeaseTerms, Logger: log}, values: map[string]string{}, clock: lease.Now, documentsChanged: make(chan struct{})}
	if s.documents, err = document.New(document.DefaultLimits, DefaultLeaseTerms); err != nil {
		return was, err
	}
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(self.Name)
	cfg.LogOutput = slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer()
	cfg.LogLevel = "WARN"
	address, link := raft.NewInmemTransport(raft.ServerAddress(self.RaftAddress))
	alone := raft.Configuration{Servers: []raft.Server{{ID: cfg.LocalID, Address: address}}}
	id := rand.Text()
	if err := raft.RecoverCluster(cfg, &recoveryMachine{(*stateMachine)(s), id}, o.logs, o.stable, o.snapshots, link, alone); err != nil {
		return was, err
	}
	text, err := json.Marshal(identity{Name: self.Name, StoreID: id, Voters: 1})
	if err != nil { // strings always marshal
		panic(err)
	}
	var b ledger.Batch
	b.Put([]byte(identityKey), text, time.Time{})
	err = o.ledger().Scan([]byte(progressPrefix), func(p ledger.Pair) error {
		b.Delete(bytes.Clone(p.Key))
		return nil
	})
	return was, errors.Join(err, o.ledger().Apply(&b))
}

// recoveryMachine is the store as it is while a majority is written off.
type recoveryMachine struct {
	*stateMachine
	id string
}

// Snapshot has the state go on from where nothing can have been.
func (m *recoveryMachine) Snapshot() (raft.FSMSnapshot, error) {
	s := (*Store)(m.stateMachine)
	s.mu.Lock()
	keep := []document.Document{{Key: storeIDKey, Value: m.id}}
	for _, d := range s.documents.List(memberPrefix) {
		keep = append(keep, document.Document{Key: d.Key})
	}
	s.documents.Recover(s.documents.Revision()+limits.LostChanges, max(s.documents.Leases().HighestToken()+limits.LostChanges, tokenFloorAt(time.Now())), keep, s.clock())
	s.stagedBackup = nil
	s.mu.Unlock()
	return m.stateMachine.Snapshot()
}
