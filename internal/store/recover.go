package store

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

var errEmptyDataDir = errors.New("the data directory is empty: there is no state to recover")

// DataDirInfo describes the content of a member's data directory. Operators use it to choose the directory to recover
// from.
type DataDirInfo struct {
	Name            string          `json:"name"`
	StoreID         string          `json:"store"`
	Voters          int             `json:"voters"`
	Progress        quorum.Progress `json:"mark"`
	ExclusionReason string          `json:"out,omitempty"` // why the directory may never be used again, such as an older copy
}

// InspectDataDir reads the data directory of a stopped member.
func InspectDataDir(dir, name string, log *slog.Logger) (DataDirInfo, error) {
	if _, err := os.Stat(filepath.Join(dir, logDir)); err != nil {
		return DataDirInfo{}, fmt.Errorf("not the data directory of a member: %w", err)
	}
	storage, err := openRaftStorage(dir, unwrappedFS, log)
	if err != nil {
		return DataDirInfo{}, err
	}
	defer func() { _ = storage.log.Close() }() // only read from
	return storage.inspect(name)
}

func (s raftStorage) inspect(name string) (DataDirInfo, error) {
	peers, err := openPeerTracker(s.ledger(), name, 0)
	if err != nil {
		return DataDirInfo{}, err
	}
	progress, empty, err := s.progress()
	if err == nil && empty {
		err = errEmptyDataDir
	}
	local := peers.localIdentity()
	return DataDirInfo{local.Name, local.StoreID, local.Voters, progress, local.ExclusionReason}, err
}

// Recover lets a stopped member continue alone from its data directory after the permanent loss of the majority, and
// returns a description of the directory before the recovery. Changes that only the lost members had are lost,
// including acknowledged ones. The store gets a new id, so that lost members are excluded if they return. Revisions and
// tokens continue far above any that may have been issued, and no task is held. Recover must be called on one directory
// only, the one with the latest progress by InspectDataDir.
func Recover(dir string, self Member, log *slog.Logger) (before DataDirInfo, err error) {
	storage, err := openRaftStorage(dir, unwrappedFS, log)
	if err != nil {
		return before, err
	}
	defer func() { err = errors.Join(err, storage.log.Close()) }()
	if before, err = storage.inspect(self.Name); err != nil {
		return before, err
	}
	storeID := rand.Text()
	if err := storage.recoverState(self, storeID, log); err != nil {
		return before, err
	}
	return before, storage.resetIdentity(identity{Name: self.Name, StoreID: storeID, Voters: 1})
}

// recoverState writes a snapshot of the state with a single member and a new store id.
func (s raftStorage) recoverState(self Member, storeID string, log *slog.Logger) error {
	recovered, err := newStore(Options{Name: self.Name, Logger: log}.withDefaults())
	if err != nil {
		return err
	}
	cfg := raftConfig(self.Name, log)
	address, transport := raft.NewInmemTransport(raft.ServerAddress(self.RaftAddress))
	configuration := raft.Configuration{Servers: []raft.Server{{ID: cfg.LocalID, Address: address}}}
	machine := &recoveryMachine{(*stateMachine)(recovered), storeID}
	return raft.RecoverCluster(cfg, machine, s.logs, s.stable, s.snapshots, transport, configuration)
}

// resetIdentity stores an identity, and deletes the progress of all other members.
func (s raftStorage) resetIdentity(local identity) error {
	text, err := json.Marshal(local)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	var b ledger.Batch
	b.Put([]byte(identityKey), text, time.Time{})
	err = s.ledger().Scan([]byte(progressPrefix), func(p ledger.Pair) error {
		b.Delete(bytes.Clone(p.Key))
		return nil
	})
	return errors.Join(err, s.ledger().Apply(&b))
}

// recoveryMachine is the state machine that raft uses during a recovery.
type recoveryMachine struct {
	*stateMachine
	storeID string
}

// Snapshot advances revisions and tokens beyond any that may have been issued, and copies the state.
func (m *recoveryMachine) Snapshot() (raft.FSMSnapshot, error) {
	s := (*Store)(m.stateMachine)
	s.mu.Lock()
	kept := []document.Document{{Key: storeIDKey, Value: m.storeID}}
	for _, d := range s.documents.List(memberPrefix) {
		kept = append(kept, document.Document{Key: d.Key})
	}
	tokenFloor := max(s.documents.Leases().HighestToken()+limits.LostChanges, tokenFloorAt(time.Now()))
	s.documents.Recover(s.documents.Revision()+limits.LostChanges, tokenFloor, kept, s.clock())
	s.stagedBackup = nil
	s.mu.Unlock()
	return m.stateMachine.Snapshot()
}
