package store

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/quorum"
	"sloehitch/internal/store/raftlog"
)

// Names of files and directories in a member's data directory.
const (
	logDir        = "log"     // the ledger
	legacyLogFile = "raft.db" // the log of earlier versions of the daemon
)

// Raft's key of the current term, and the text of the error if it is not stored.
const (
	currentTermKey = "CurrentTerm"
	notFoundText   = "not found"
)

// errLegacyLog means that a data directory contains the log of an earlier version, which this version can't read.
var errLegacyLog = errors.New("the log of an earlier version")

// raftStorage is a member's persistent state.
type raftStorage struct {
	log       *raftlog.Log // nil if the state is kept in memory
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
}

// openRaftStorage opens a member's data directory. If dir is empty, everything is kept in memory.
func openRaftStorage(dir string, wrap func(disk.FS) disk.FS, log *slog.Logger) (raftStorage, error) {
	if dir == "" {
		memory := raft.NewInmemStore()
		return raftStorage{logs: memory, stable: memory, snapshots: raft.NewInmemSnapshotStore()}, nil
	}
	if _, err := os.Stat(filepath.Join(dir, legacyLogFile)); err == nil {
		return raftStorage{}, fmt.Errorf("%s contains %s, %w, which this version can't read: "+
			"keep a copy of the directory, empty it, set join = true and add this member again "+
			"while the others serve (docs/operators/fleet.md)",
			dir, legacyLogFile, errLegacyLog)
	}
	folder, err := disk.MakeDir(filepath.Join(dir, logDir))
	if err != nil {
		return raftStorage{}, err
	}
	l, err := raftlog.Open(wrap(folder), limits.ForRaftLog, ledgerOptions(log))
	if err != nil {
		return raftStorage{}, err
	}
	return storageOn(l), nil
}

// openRaftStorageReadOnly opens a data directory that another process may hold, without changing it.
func openRaftStorageReadOnly(dir string, log *slog.Logger) (raftStorage, error) {
	l, err := raftlog.OpenReadOnly(disk.Dir(filepath.Join(dir, logDir)), limits.ForRaftLog, ledgerOptions(log))
	if err != nil {
		return raftStorage{}, err
	}
	return storageOn(l), nil
}

func ledgerOptions(log *slog.Logger) ledger.Options {
	return ledger.Options{Limits: limits.ForRaftLog.Ledger(), Log: log}
}

// storageOn returns a storage that reads and writes a log directly. There is no cache of entries: they may be large, and
// the operating system caches files.
func storageOn(l *raftlog.Log) raftStorage {
	return raftStorage{log: l, logs: l, stable: l, snapshots: l.Snapshots()}
}

// ledger returns the ledger of the data directory, or nil if the state is kept in memory.
func (s raftStorage) ledger() *ledger.Store {
	if s.log == nil {
		return nil
	}
	return s.log.Ledger()
}

// progress returns the progress recorded in the data directory, and whether the directory is empty.
func (s raftStorage) progress() (p quorum.Progress, empty bool, err error) {
	exists, err := raft.HasExistingState(s.logs, s.stable, s.snapshots)
	if err != nil || !exists {
		return p, true, err
	}
	if p.Term, err = s.stable.GetUint64([]byte(currentTermKey)); err != nil && err.Error() != notFoundText {
		return p, false, err
	}
	entry, err := s.lastEntry()
	if err != nil {
		return p, false, err
	}
	p = p.Max(entry)
	snapshots, err := s.snapshots.List()
	if len(snapshots) > 0 {
		p = p.Max(quorum.Progress{EntryTerm: snapshots[0].Term, Index: snapshots[0].Index})
	}
	return p, false, err
}

// lastEntry returns the progress of the log's last entry, or zero if the log is empty.
func (s raftStorage) lastEntry() (p quorum.Progress, err error) {
	last, err := s.logs.LastIndex()
	if err != nil || last == 0 {
		return p, err
	}
	var e raft.Log
	if err := s.logs.GetLog(last, &e); err != nil {
		return p, err
	}
	return quorum.Progress{EntryTerm: e.Term, Index: e.Index}, nil
}
