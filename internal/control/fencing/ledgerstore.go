package fencing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/ledger"
)

// Encoding of a token in a ledger: the key is keyPrefix and the task's name, the value is a big-endian number.
const (
	keyPrefix  = "fence/"
	tokenBytes = 8
)

var errNoTaskName = errors.New("the duty's name is empty")

// LedgerTokenStore is a TokenStore that keeps the tokens in a ledger, which must flush each put.
type LedgerTokenStore struct{ Ledger *ledger.Store }

// Load implements TokenStore.
func (l LedgerTokenStore) Load() (map[string]uint64, error) {
	highest := map[string]uint64{}
	return highest, l.Ledger.Scan([]byte(keyPrefix), func(p ledger.Pair) error {
		if len(p.Value) != tokenBytes {
			return fmt.Errorf("invalid token in the ledger: the value of key %s has %d bytes instead of 8", p.Key, len(p.Value))
		}
		highest[string(p.Key[len(keyPrefix):])] = binary.BigEndian.Uint64(p.Value)
		return nil
	})
}

// Save implements TokenStore: it puts the token and waits for the ledger's flush. The task's name must not be empty.
func (l LedgerTokenStore) Save(task string, token uint64) error {
	if task == "" {
		return errNoTaskName
	}
	return l.Ledger.Put([]byte(keyPrefix+task), binary.BigEndian.AppendUint64(nil, token), time.Time{})
}
