package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"time"

	"sloehitch/internal/ledger"
)

// setRetryDelay is the delay between two attempts to store a number.
const setRetryDelay = 100 * time.Millisecond

// numberBytes is the length of an encoded number.
const numberBytes = 8

// errNotFound has the text that raft compares errors with.
var errNotFound = errors.New("not found")

func stableKey(k []byte) []byte { return append([]byte{stablePrefix}, k...) }

// Set stores a value under one of raft's own keys.
func (l *Log) Set(k, value []byte) error {
	return l.ledger.Put(stableKey(k), value, time.Time{})
}

// Get returns the value of one of raft's own keys, or an error with the text "not found" if there is none.
func (l *Log) Get(k []byte) ([]byte, error) {
	value, err := l.ledger.Get(stableKey(k))
	if errors.Is(err, ledger.ErrNotFound) {
		return nil, errNotFound
	}
	return value, err
}

// SetUint64 stores a number. Raft ends the whole process if it can't store its term, but the process has requests to
// serve. So while the disk is full, or after a flush that failed permanently, SetUint64 blocks and retries, which
// blocks raft. Once StopWaiting was called, it ends the calling goroutine, which is raft's own.
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
		return 0, fmt.Errorf("raftlog: value of %s has %d bytes, which is not the length of a number", k, len(value))
	}
	return binary.BigEndian.Uint64(value), nil
}
