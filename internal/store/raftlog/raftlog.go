// Package raftlog keeps what a member of the store must not forget in a ledger: raft's log, its term and vote, and its snapshots
// (Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014, figure 2, "persistent state"). What a
// call has returned from without an error is found again after any crash or power cut.
//
// The parts:
//
//   - Log (this file): the data directory, raft's LogStore (entries.go) and StableStore (stable.go).
//   - encoding.go: the form of an entry.
//   - Snapshots (snapshots.go): raft's SnapshotStore, its sinks (sink.go) and readers (source.go).
//
// Keys, all in one ledger:
//
//   - 'l' and the index, eight bytes, big-endian: an entry
//   - 's' and raft's own key: term, vote and the like
//   - 'm' and an id: the description of a snapshot
//   - 'p', an id, a zero byte and the part's number, four bytes, big-endian: a part of a snapshot
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
)

// Errors of the log and its snapshots.
var (
	// ErrMissingEntries means that entries are missing between others, as no power cut leaves them.
	ErrMissingEntries = errors.New("entries are missing")
	// ErrMalformedEntry means that an entry's bytes are not of this version's form.
	ErrMalformedEntry = errors.New("not an entry of this version")
	// ErrNotContiguous means that entries to be stored do not follow one another.
	ErrNotContiguous = errors.New("entries do not follow one another")
	// ErrNotAtAnEnd means that entries to be deleted are neither the oldest nor the newest.
	ErrNotAtAnEnd = errors.New("neither the oldest nor the newest entries")
	// ErrCorruptSnapshot means that a snapshot's bytes are not those that were written.
	ErrCorruptSnapshot = errors.New("the bytes are not those that were written")
	// ErrSnapshotFinished means that bytes were written to a snapshot that was closed or canceled.
	ErrSnapshotFinished = errors.New("the snapshot is finished")
)

// First bytes of the keys.
const (
	entryPrefix    = 'l'
	stablePrefix   = 's'
	snapshotPrefix = 'm'
	partPrefix     = 'p'
)

// Log is raft's log and stable store. Its methods may be called from any goroutine; each that changes something returns once
// the change is durable.
type Log struct {
	ledger *ledger.Store
	limits limits.RaftLog

	mu            sync.RWMutex
	first, last   uint64          // indexes of the entries; 0: there are none
	openSnapshots map[string]bool // ids of snapshots that are being written

	stopping chan struct{} // closed as raft is being shut down
	stopOnce sync.Once
}

// Open opens a data directory. It returns the ledger's error, or ErrMissingEntries.
func Open(fs disk.FS, lim limits.RaftLog, o ledger.Options) (*Log, error) {
	s, err := ledger.Open(fs, o)
	if err != nil {
		return nil, err
	}
	l := &Log{ledger: s, limits: lim, openSnapshots: map[string]bool{}, stopping: make(chan struct{})}
	if err = l.findEntries(); err == nil {
		err = l.removeStaleSnapshots()
	}
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return l, nil
}

// findEntries finds the first and the last entry, and returns an error where one between is missing.
func (l *Log) findEntries() error {
	return l.ledger.Scan([]byte{entryPrefix}, func(p ledger.Pair) error {
		if len(p.Key) != 1+indexBytes {
			return fmt.Errorf("raftlog: a key of %d bytes among the entries", len(p.Key))
		}
		index := binary.BigEndian.Uint64(p.Key[1:])
		if l.first == 0 {
			l.first = index
		} else if index != l.last+1 {
			return fmt.Errorf("raftlog: %w: entry %d follows entry %d; what was agreed on is lost with them: take this member out and add it anew",
				ErrMissingEntries, index, l.last)
		}
		l.last = index
		return nil
	})
}

// Ledger returns the ledger, for callers that keep something else in it under keys of their own.
func (l *Log) Ledger() *ledger.Store { return l.ledger }

// StopWaiting must be called before raft is shut down: no call waits for the disk from then on.
func (l *Log) StopWaiting() { l.stopOnce.Do(func() { close(l.stopping) }) }

// Close closes the data directory. What was acknowledged is durable before.
func (l *Log) Close() error { return l.ledger.Close() }
