// Package fencing protects a receiver of effects from owners whose lease has been taken over: an owner that wakes up late is
// rejected by its fencing token.
package fencing

import (
	"fmt"
	"sync"
)

// Rule: which effects are let through.
//
// Inputs: the fencing token of the lease under which an owner acts, and the highest token seen for its task. Tokens start at 1
// and grow with each grant.
//
//	admit = token > 0 && token >= highest token seen
//
// A token that is new is stored durably before its effect begins, so that no lower one is let through even after a crash in
// between (Kleppmann, "How to do distributed locking", 2016; the generation numbers of Chubby's sequencers, Burrows, OSDI 2006,
// 2.4).

// StaleTokenError reports to an owner that another has taken its place. Nothing was done.
type StaleTokenError struct {
	Task               string
	Token, HighestSeen uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("duty %s: token %d comes after token %d: another owner has taken over", e.Task, e.Token, e.HighestSeen)
}

// TokenStore keeps the highest tokens beyond the life of the process.
type TokenStore interface {
	// Load returns the highest token of each task.
	Load() (map[string]uint64, error)
	// Save returns once Load would return the token after any crash.
	Save(task string, token uint64) error
}

// Guard lets effects through by their tokens. It is safe for concurrent use.
type Guard struct {
	store TokenStore // nil: tokens are kept in memory alone

	mu       sync.Mutex
	highest  map[string]uint64 // token seen, by task
	rejected uint64
}

// New returns a guard that knows the tokens of its store. A guard without a store may admit an owner after a restart that it
// rejected before; what it protects must then not outlive the process either.
func New(s TokenStore) (*Guard, error) {
	g := &Guard{store: s, highest: map[string]uint64{}}
	if s == nil {
		return g, nil
	}
	var err error
	if g.highest, err = s.Load(); err != nil {
		return nil, fmt.Errorf("fencing: load tokens: %w", err)
	}
	return g, nil
}

// Do runs effect under a token if no higher one was seen, and returns its error; else it returns *StaleTokenError and does
// nothing. Effects of one guard run one after the other: one of an old owner can't end after one of its successor. It blocks
// for the effects before it and for the store.
func (g *Guard) Do(task string, token uint64, effect func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := g.highest[task]
	if token < highest || token == 0 {
		g.rejected++
		return &StaleTokenError{task, token, highest}
	}
	if token > highest {
		if err := g.remember(task, token); err != nil {
			return err
		}
	}
	return effect()
}

// remember makes a token the highest seen; the caller holds mu.
func (g *Guard) remember(task string, token uint64) error {
	if g.store != nil {
		if err := g.store.Save(task, token); err != nil {
			return fmt.Errorf("fencing: token %d of duty %s was not stored, nothing was done: %w", token, task, err)
		}
	}
	g.highest[task] = token
	return nil
}

// RejectedCount returns how many effects were rejected since the process began.
func (g *Guard) RejectedCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rejected
}
