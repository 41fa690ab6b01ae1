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

	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

var errEmptyDataDir = errors.New("the folder is empty: there is nothing to go on from")

// DataDirInfo is what a member's data directory holds, for operators who have to choose between several.
type DataDirInfo struct {
	Name            string          `json:"name"`
	StoreID         string          `json:"store"`
	Voters          int             `json:"voters"`
	Progress        quorum.Progress `json:"mark"`
	ExclusionReason string          `json:"out,omitempty"` // why it was never to take part again: an older copy than others are
}

// InspectDataDir reads the data directory of a member that does not run.
func InspectDataDir(dir, name string, log *slog.Logger) (DataDirInfo, error) {
	if _, err := os.Stat(filepath.Join(dir, logDir)); err != nil {
		return DataDirInfo{}, fmt.Errorf("no member's folder: %w", err)
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

// Recover has a member that does not run go on alone from its data directory, after the majority was lost for good, and returns
// what the directory held before. What only the lost members had is lost with them: also acknowledged changes, if this member
// did not have them yet. The store gets a new id, so that the lost members are excluded should they come back; revisions and
// tokens go on far above all that may have been, and nobody holds a task. It must be done on one directory only: the one of the
// latest progress by InspectDataDir.
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

// recoverState writes a snapshot of the state with one member and a new store id.
func (s raftStorage) recoverState(self Member, storeID string, log *slog.Logger) error {
	recovered := &Store{
		opts:             Options{Name: self.Name, LeaseTerms: DefaultLeaseTerms, Logger: log},
		values:           map[string]string{},
		clock:            lease.Now,
		documentsChanged: make(chan struct{}),
	}
	var err error
	if recovered.documents, err = document.New(document.DefaultLimits, DefaultLeaseTerms); err != nil {
		return err
	}
	cfg := raftConfig(self.Name, log)
	address, transport := raft.NewInmemTransport(raft.ServerAddress(self.RaftAddress))
	alone := raft.Configuration{Servers: []raft.Server{{ID: cfg.LocalID, Address: address}}}
	machine := &recoveryMachine{(*stateMachine)(recovered), storeID}
	return raft.RecoverCluster(cfg, machine, s.logs, s.stable, s.snapshots, transport, alone)
}

// resetIdentity stores an identity, and forgets all other members.
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

// recoveryMachine is the state machine during a recovery.
type recoveryMachine struct {
	*stateMachine
	storeID string
}

// Snapshot moves revisions and tokens above all that may have been, and copies the state.
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
