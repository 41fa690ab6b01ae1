package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"time"

	"sloehitch/internal/ledger"
)

// setRetryDelay is the delay before a number that could not be stored is stored again.
const setRetryDelay = 100 * time.Millisecond

// numberBytes is the length of a number among raft's own values.
const numberBytes = 8

// errNotFound has the text that raft compares with.
var errNotFound = errors.New("not found")

func stableKey(k []byte) []byte { return append([]byte{stablePrefix}, k...) }

// Set stores one of raft's own values.
func (l *Log) Set(k, value []byte) error {
	return l.ledger.Put(stableKey(k), value, time.Time{})
}

// Get reads one of raft's own values. It returns an error with the text "not found" where there is none.
func (l *Log) Get(k []byte) ([]byte, error) {
	value, err := l.ledger.Get(stableKey(k))
	if errors.Is(err, ledger.ErrNotFound) {
		return nil, errNotFound
	}
	return value, err
}

// SetUint64 stores a number. Raft ends the whole process where its term can't be stored, but the process has requests to serve:
// while the disk is full, and after a flush that failed for good, SetUint64 blocks and retries instead, and raft with it. Once
// StopWaiting was called it ends the calling goroutine, which is raft's own.
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

// GetUint64 reads a number that SetUint64 stored.
func (l *Log) GetUint64(k []byte) (uint64, error) {
	value, err := l.Get(k)
	if err != nil {
		return 0, err
	}
	if len(value) != numberBytes {
		return 0, fmt.Errorf("raftlog: %s has %d bytes, not a number", k, len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}
