package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
)

// indexBytes is the length of an index in a key.
const indexBytes = 8

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte{entryPrefix}, index) }

// IsMonotonic implements raft.MonotonicLogStore: entries never have gaps.
func (l *Log) IsMonotonic() bool { return true }

// FirstIndex returns the lowest index, or 0 if there are no entries.
func (l *Log) FirstIndex() (uint64, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.first, nil
}

// LastIndex returns the highest index, or 0 if there are no entries.
func (l *Log) LastIndex() (uint64, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.last, nil
}

// GetLog reads an entry. It returns raft.ErrLogNotFound if there is none, and ErrMalformedEntry if its format is
// unknown.
func (l *Log) GetLog(index uint64, into *raft.Log) error {
	value, err := l.ledger.Get(entryKey(index))
	if errors.Is(err, ledger.ErrNotFound) {
		return raft.ErrLogNotFound
	}
	if err != nil {
		return err
	}
	if err := decodeEntry(value, index, into); err != nil {
		return fmt.Errorf("raftlog: entry %d: %w", index, err)
	}
	return nil
}

// StoreLog stores an entry.
func (l *Log) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries with consecutive indexes that continue those stored before; otherwise it returns
// ErrNotContiguous. Entries that exceed the size of one flush are written in several: after a power cut, only a first
// part of them may be stored.
func (l *Log) StoreLogs(logs []*raft.Log) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(logs) > 0 {
		n, err := l.storeBatch(logs)
		if err != nil {
			return err
		}
		logs = logs[n:]
	}
	return nil
}

// storeBatch stores as many of the entries as fit into one flush, at least one, and returns their number. The caller
// holds mu.
func (l *Log) storeBatch(logs []*raft.Log) (n int, err error) {
	var b ledger.Batch
	bytes, last := 0, l.last
	for ; n < len(logs); n++ {
		e := logs[n]
		if last != 0 && e.Index != last+1 {
			return 0, fmt.Errorf("raftlog: %w: entry %d after entry %d", ErrNotContiguous, e.Index, last)
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
		return 0, err
	}
	if l.first == 0 {
		l.first = logs[0].Index
	}
	l.last = last
	return n, nil
}

// DeleteRange deletes the entries from low to high, both included. The range must include the oldest or the newest
// entry, otherwise it returns ErrNotAtAnEnd. After a power cut between two flushes the remaining entries still have no
// gap.
func (l *Log) DeleteRange(low, high uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	low, high = max(low, l.first), min(high, l.last)
	switch {
	case l.first == 0 || low > high:
		return nil
	case low != l.first && high != l.last:
		return fmt.Errorf("raftlog: %w: entries %d to %d of a log of %d to %d", ErrNotAtAnEnd, low, high, l.first, l.last)
	}
	var err error
	if low == l.first {
		err = l.deleteOldest(high)
	} else {
		err = l.deleteNewest(low)
	}
	if err != nil {
		return err
	}
	if l.first > l.last {
		l.first, l.last = 0, 0
	}
	return nil
}

// deleteOldest deletes the entries up to high in ascending order. The caller holds mu.
func (l *Log) deleteOldest(high uint64) error {
	for l.first <= high {
		var b ledger.Batch
		next := l.first
		for range l.limits.DeletionsPerFlush {
			if next > high {
				break
			}
			b.Delete(entryKey(next))
			next++
		}
		if err := l.ledger.Apply(&b); err != nil {
			return err
		}
		l.first = next
	}
	return nil
}

// deleteNewest deletes the entries down to low in descending order. The caller holds mu.
func (l *Log) deleteNewest(low uint64) error {
	for l.last >= low {
		var b ledger.Batch
		next := l.last
		for range l.limits.DeletionsPerFlush {
			if next < low {
				break
			}
			b.Delete(entryKey(next))
			next--
		}
		if err := l.ledger.Apply(&b); err != nil {
			return err
		}
		l.last = next
	}
	return nil
}
