package fencing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/ledger"
)

// Form of a token in a ledger: under keyPrefix and the task's name, as a big-endian number.
const (
	keyPrefix  = "fence/"
	tokenBytes = 8
)

var errNoTaskName = errors.New("a duty has a name")

// LedgerTokenStore is a TokenStore in a ledger that flushes each put.
type LedgerTokenStore struct{ Ledger *ledger.Store }

// Load reads all tokens.
func (l LedgerTokenStore) Load() (map[string]uint64, error) {
	highest := map[string]uint64{}
	return highest, l.Ledger.Scan([]byte(keyPrefix), func(p ledger.Pair) error {
		if len(p.Value) != tokenBytes {
			return fmt.Errorf("%s has %d bytes, not a token", p.Key, len(p.Value))
		}
		highest[string(p.Key[len(keyPrefix):])] = binary.BigEndian.Uint64(p.Value)
		return nil
	})
}

// Save puts a token and waits for the flush.
func (l LedgerTokenStore) Save(task string, token uint64) error {
	if task == "" {
		return errNoTaskName
	}
	return l.Ledger.Put([]byte(keyPrefix+task), binary.BigEndian.AppendUint64(nil, token), time.Time{})
}
