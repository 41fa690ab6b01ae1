// Package raftlog stores the persistent state of a member of the store in a ledger: raft's log, its term and vote, and
// its snapshots (Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014, figure 2,
// "persistent state"). A change whose call returned without an error survives any crash or power cut.
//
// The parts:
//
//   - Log (this file): the data directory; raft's LogStore (entries.go) and StableStore (stable.go).
//   - encoding.go: the encoding of an entry.
//   - Snapshots (snapshots.go): raft's SnapshotStore, with its sinks (sink.go) and readers (source.go).
//
// The keys, all in one ledger:
//
//   - 'l' and the index (eight bytes, big-endian): an entry
//   - 's' and raft's own key: the term, the vote and similar values
//   - 'm' and an id: the description of a snapshot
//   - 'p', an id, a zero byte and the number of the part (four bytes, big-endian): a part of a snapshot
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
	// ErrMissingEntries means that there is a gap between entries, which a power cut can't cause.
	ErrMissingEntries = errors.New("gap in the log entries")
	// ErrMalformedEntry means that an entry is not encoded in this version's format.
	ErrMalformedEntry = errors.New("entry is not in the format of this version")
	// ErrNotContiguous means that entries to be stored do not have consecutive indexes.
	ErrNotContiguous = errors.New("indexes of the entries are not consecutive")
	// ErrNotAtAnEnd means that entries to be deleted are neither the oldest nor the newest.
	ErrNotAtAnEnd = errors.New("range includes neither the oldest nor the newest entry")
	// ErrCorruptSnapshot means that a snapshot does not match its checksum.
	ErrCorruptSnapshot = errors.New("checksum does not match the snapshot's content")
	// ErrSnapshotFinished means that a snapshot was written to after it was closed or canceled.
	ErrSnapshotFinished = errors.New("snapshot is already closed or canceled")
)

// The first byte of each kind of key.
const (
	entryPrefix    = 'l'
	stablePrefix   = 's'
	snapshotPrefix = 'm'
	partPrefix     = 'p'
)

// Log is raft's log and stable store. It is safe for concurrent use. A method that changes something returns once the
// change is durable.
type Log struct {
	ledger *ledger.Store
	limits limits.RaftLog

	mu            sync.RWMutex
	first, last   uint64          // indexes of the first and the last entry; 0: no entries
	openSnapshots map[string]bool // ids of the snapshots being written

	stopping chan struct{} // closed by StopWaiting, before raft is shut down
	stopOnce sync.Once
}

// Open opens a data directory. It returns an error of the ledger, or ErrMissingEntries.
func Open(fs disk.FS, lim limits.RaftLog, o ledger.Options) (*Log, error) {
	l, err := openLog(fs, lim, o)
	if err != nil {
		return nil, err
	}
	if err := l.removeStaleSnapshots(); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// OpenReadOnly opens a data directory for reading, as it is now. Another process may have it open for writing. It returns the
// errors of Open, and all changes return ledger.ErrReadOnly.
func OpenReadOnly(fs disk.FS, lim limits.RaftLog, o ledger.Options) (*Log, error) {
	o.ReadOnly = true
	return openLog(fs, lim, o)
}

func openLog(fs disk.FS, lim limits.RaftLog, o ledger.Options) (*Log, error) {
	s, err := ledger.Open(fs, o)
	if err != nil {
		return nil, err
	}
	l := &Log{ledger: s, limits: lim, openSnapshots: map[string]bool{}, stopping: make(chan struct{})}
	if err := l.loadIndexes(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return l, nil
}

// loadIndexes finds the first and the last entry, and returns an error if there is a gap between them.
func (l *Log) loadIndexes() error {
	return l.ledger.Scan([]byte{entryPrefix}, func(p ledger.Pair) error {
		if len(p.Key) != 1+indexBytes {
			return fmt.Errorf("raftlog: entry key has %d bytes, which is not the length of an entry key", len(p.Key))
		}
		index := binary.BigEndian.Uint64(p.Key[1:])
		if l.first == 0 {
			l.first = index
		} else if index != l.last+1 {
			return fmt.Errorf("raftlog: %w: entry %d follows entry %d; committed changes may be lost: remove this member and add it again",
				ErrMissingEntries, index, l.last)
		}
		l.last = index
		return nil
	})
}

// Ledger returns the ledger, for callers that store other values in it under their own keys.
func (l *Log) Ledger() *ledger.Store { return l.ledger }

// StopWaiting ends the retries of SetUint64, so that they can't block raft's shutdown. It must be called before raft is
// shut down.
func (l *Log) StopWaiting() { l.stopOnce.Do(func() { close(l.stopping) }) }

// Close closes the data directory. All acknowledged changes are durable before.
func (l *Log) Close() error { return l.ledger.Close() }
