// Package raftlog keeps what a member of the store must not forget on our ledger: raft's log, its term and vote, and its
// snapshots (Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014, figure 2, "persistent
// state"). What a call has returned from without error is found again after any cut.
//
// Keys, in one ledger: 'l' and the index, eight bytes with the high one first, for an entry; 's' and raft's own key for term,
// vote and the like; 'm' and an id for a snapshot's description, 'p', the id and the part's number for its parts.
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
)

const (
	entryPrefix    = 'l'
	stablePrefix   = 's'
	snapshotPrefix = 'm'
	partPrefix     = 'p'
)

// Log is raft's log and stable store. Its methods may be called from any goroutine; each that changes something returns once
// it is durable.
type Log struct {
	ledger *ledger.Store
	limits limits.RaftLog

	mu            sync.RWMutex
	first, last   uint64          // 0: there are none
	openSnapshots map[string]bool // snapshots that are being written

	stopping chan struct{} // raft is being ended
	stopOnce sync.Once
}

// Open opens a folder. It errs with what the ledger says, and where the entries are not as a cut could have left them.
func Open(fs disk.FS, lim limits.RaftLog, o ledger.Options) (*Log, error) {
	s, err := ledger.Open(fs, o)
	if err != nil {
		return nil, err
	}
	l := &Log{ledger: s, limits: lim, openSnapshots: map[string]bool{}, stopping: make(chan struct{})}
	err = s.Scan([]byte{entryPrefix}, func(p ledger.Pair) error {
		if len(p.Key) != 9 {
			return fmt.Errorf("raftlog: a key of %d bytes among the entries", len(p.Key))
		}
		index := binary.BigEndian.Uint64(p.Key[1:])
		if l.first == 0 {
			l.first = index
		} else if index != l.last+1 {
			return fmt.Errorf("raftlog: entry %d follows entry %d: those between are lost, and with them what was agreed on; take this member out and add it anew", index, l.last)
		}
		l.last = index
		return nil
	})
	if err == nil {
		err = l.removeStaleSnapshots()
	}
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return l, nil
}

// Ledger is what it all lies in, for others that keep something beside it under keys of their own.
func (l *Log) Ledger() *ledger.Store { return l.ledger }

// Close lets others at the folder. What was acknowledged is durable before.
func (l *Log) Close() error { return l.ledger.Close() }

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte{entryPrefix}, index) }

// IsMonotonic says that there are no gaps between entries (raft.MonotonicLogStore).
func (l *Log) IsMonotonic() bool { return true }

// FirstIndex is the lowest index, 0 without entries.
func (l *Log) FirstIndex() (uint64, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.first, nil
}

// LastIndex is the highest index, 0 without entries.
func (l *Log) LastIndex() (uint64, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.last, nil
}

// GetLog reads an entry. It errs with raft.ErrLogNotFound where there is none.
func (l *Log) GetLog(index uint64, into *raft.Log) error {
	value, err := l.ledger.Get(entryKey(index))
	if errors.Is(err, ledger.ErrNotFound) {
		return raft.ErrLogNotFound
	}
	if err != nil {
		return err
	}
	return decodeEntry(value, index, into)
}

// StoreLog keeps an entry.
func (l *Log) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs keeps entries, which must follow one another and what is there. They may outnumber what one flush takes; after a
// cut a first part of them is there then.
func (l *Log) StoreLogs(logs []*raft.Log) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(logs) > 0 {
		var b ledger.Batch
		bytes, n, last := 0, 0, l.last
		for ; n < len(logs); n++ {
			e := logs[n]
			if last != 0 && e.Index != last+1 {
				return fmt.Errorf("raftlog: entry %d was to be kept after entry %d", e.Index, last)
			}
			value := encodeEntry(e)
			if n > 0 && bytes+len(value) > l.limits.BatchBytes {
				break
			}
			b.Put(entryKey(e.Index), value, time.Time{})
			bytes += len(value)
			last = e.Index
		}
		if err := l.ledger.Apply(&b); err != nil {
			return err
		}
		if l.first == 0 {
			l.first = logs[0].Index
		}
		l.last, logs = last, logs[n:]
	}
	return nil
}

// DeleteRange removes entries from the one index to the other, both included: the oldest or the newest there are. Where a cut
// comes between two flushes those that are left follow one another without a gap.
func (l *Log) DeleteRange(low, high uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	low, high = max(low, l.first), min(high, l.last)
	switch {
	case l.first == 0 || low > high:
		return nil
	case low != l.first && high != l.last:
		return fmt.Errorf("raftlog: entries %d to %d are neither the oldest nor the newest of %d to %d", low, high, l.first, l.last)
	}
	oldest := low == l.first // from below up, else from above down
	for low <= high {
		var b ledger.Batch
		for range l.limits.DeletionsPerFlush {
			if low > high {
				break
			}
			if oldest {
				b.Delete(entryKey(low))
				low++
			} else {
				b.Delete(entryKey(high))
				high--
			}
		}
		if err := l.ledger.Apply(&b); err != nil {
			return err
		}
		if oldest {
			l.first = low
		} else {
			l.last = high
		}
	}
	if l.first > l.last {
		l.first, l.last = 0, 0
	}
	return nil
}

// Set keeps a value of raft's own.
func (l *Log) Set(k, value []byte) error {
	return l.ledger.Put(append([]byte{stablePrefix}, k...), value, time.Time{})
}

// errNotFound has the words that raft looks for.
var errNotFound = errors.New("not found")

// Get reads one.
func (l *Log) Get(k []byte) ([]byte, error) {
	value, err := l.ledger.Get(append([]byte{stablePrefix}, k...))
	if errors.Is(err, ledger.ErrNotFound) {
		return nil, errNotFound
	}
	return value, err
}

// setRetryDelay is the pause after a number that could not be kept.
const setRetryDelay = 100 * time.Millisecond

// SetUint64 keeps a number. Raft would end the whole process where its term can't be kept, but the process has requests to serve: on a
// full disk this waits until there is room, and after a flush that failed for good, raft standing still meanwhile. Once Leave was
// called it ends the goroutine that called it, raft's own.
func (l *Log) SetUint64(k []byte, n uint64) error {
	for {
		err := l.Set(k, binary.BigEndian.AppendUint64(nil, n))
		if err == nil {
			return nil
		}
		select {
		case <-l.stopping:
			runtime.Goexit()
		case <-time.After(setRetryDelay):
		}
	}
}

// StopWaiting is to be called before raft is ended: nothing waits for the disk any more.
func (l *Log) StopWaiting() { l.stopOnce.Do(func() { close(l.stopping) }) }

// GetUint64 reads one.
func (l *Log) GetUint64(k []byte) (uint64, error) {
	value, err := l.Get(k)
	if err != nil {
		return 0, err
	}
	if len(value) != 8 {
		return 0, fmt.Errorf("raftlog: %s has %d bytes, not a number", k, len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}

// entryVersion is that of an entry's bytes: version, type, then term, time (nanoseconds since 1970, zigzag; 0: none) and the length
// of the extensions as varints, the extensions, the data.
const entryVersion = 1

func encodeEntry(e *raft.Log) []byte {
	b := make([]byte, 0, 24+len(e.Extensions)+len(e.Data))
	b = append(b, entryVersion, byte(e.Type))
	b = binary.AppendUvarint(b, e.Term)
	at := int64(0)
	if !e.AppendedAt.IsZero() {
		at = e.AppendedAt.UnixNano()
	}
	b = binary.AppendVarint(b, at)
	b = binary.AppendUvarint(b, uint64(len(e.Extensions)))
	return append(append(b, e.Extensions...), e.Data...)
}

func decodeEntry(b []byte, index uint64, e *raft.Log) error {
	bad := fmt.Errorf("raftlog: entry %d is not one of this version's", index)
	if len(b) < 2 || b[0] != entryVersion {
		return bad
	}
	*e = raft.Log{Index: index, Type: raft.LogType(b[1])}
	b = b[2:]
	var n int
	if e.Term, n = binary.Uvarint(b); n <= 0 {
		return bad
	}
	at, m := binary.Varint(b[n:])
	if m <= 0 {
		return bad
	}
	if b = b[n+m:]; at != 0 {
		e.AppendedAt = time.Unix(0, at)
	}
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return bad
	}
	b = b[n:]
	if size > 0 {
		e.Extensions = b[:size:size]
	}
	e.Data = b[size:]
	return nil
}
