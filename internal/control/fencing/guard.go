// Package fencing stands before whatever receives effects of a duty: an owner that wakes up late, after another has taken
// its place, is turned away by its token (Kleppmann, "How to do distributed locking", 2016; the generation of Chubby's
// sequencers, Burrows, OSDI 2006, 2.4).
package fencing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"sloehitch/internal/ledger"
)

// StaleTokenError is what an owner hears whose place another has taken.
type StaleTokenError struct {
	Task               string
	Token, HighestSeen uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("duty %s: token %d comes after token %d: another owner has taken over", e.Task, e.Token, e.HighestSeen)
}

// TokenStore is where the highest tokens outlive the process.
type TokenStore interface {
	// Load returns the highest token of each duty.
	Load() (map[string]uint64, error)
	// Save returns once a token would be found by Load after any crash.
	Save(duty string, token uint64) error
}

// Guard keeps the highest token that it has seen of each duty. It is safe for concurrent use.
type Guard struct {
	store TokenStore // nil: it forgets with the process

	mu       sync.Mutex
	highest  map[string]uint64
	rejected uint64
}

// New returns a gate that knows what its memory has. A gate without memory may let an owner through after a restart that
// it had turned away before; what it stands before must then not outlive the process either.
func New(m TokenStore) (*Guard, error) {
	g := &Guard{store: m, highest: map[string]uint64{}}
	if m == nil {
		return g, nil
	}
	var err error
	if g.highest, err = m.Load(); err != nil {
		return nil, fmt.Errorf("fence: %w", err)
	}
	return g, nil
}

// Do has an effect happen under a token, if no higher one was seen; else it returns *Stale and nothing happens. A token
// that is new is remembered before the effect begins, so that none below it gets through even if the process dies in
// between. Effects of one gate happen one after the other: one of an old owner can't end after one of the new.
func (g *Guard) Do(duty string, token uint64, effect func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := g.highest[duty]
	if token < seen || token == 0 {
		g.rejected++
		return &StaleTokenError{duty, token, seen}
	}
	if token > seen {
		if g.store != nil {
			if err := g.store.Save(duty, token); err != nil {
				return fmt.Errorf("fence: token %d of duty %s not kept, so nothing was done: %w", token, duty, err)
			}
		}
		g.highest[duty] = token
	}
	return effect()
}

// RejectedCount is how many were turned away so far.
func (g *Guard) RejectedCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rejected
}

// keyPrefix is that of a token's key in a ledger.
const keyPrefix = "fence/"

// LedgerTokenStore is a memory in a ledger that flushes each put.
type LedgerTokenStore struct{ Ledger *ledger.Store }

// Load reads all tokens.
func (l LedgerTokenStore) Load() (map[string]uint64, error) {
	seen := map[string]uint64{}
	return seen, l.Ledger.Scan([]byte(keyPrefix), func(p ledger.Pair) error {
		if len(p.Value) != 8 {
			return fmt.Errorf("%s has %d bytes, not a token", p.Key, len(p.Value))
		}
		seen[string(p.Key[len(keyPrefix):])] = binary.BigEndian.Uint64(p.Value)
		return nil
	})
}

// Save puts a token and waits for the flush.
func (l LedgerTokenStore) Save(duty string, token uint64) error {
	if duty == "" {
		return errors.New("a duty has a name")
	}
	return l.Ledger.Put([]byte(keyPrefix+duty), binary.BigEndian.AppendUint64(nil, token), time.Time{})
}
