// Package fencing protects a receiver of effects from owners whose lease was granted to another owner meanwhile: an
// owner that resumes after a long pause is rejected by its fencing token.
package fencing

import (
	"fmt"
	"sync"
)

// Rule: which effects are admitted.
//
// Inputs: the fencing token of the lease under which an owner acts, and the highest token seen for its task. Tokens
// start at 1 and increase with each grant.
//
//	admit = token > 0 && token >= highest token seen
//
// A new highest token is stored durably before its effect begins, so that no lower one is admitted even after a crash
// in between (Kleppmann, "How to do distributed locking", 2016; the generation numbers of Chubby's sequencers,
// Burrows, OSDI 2006, 2.4).

// StaleTokenError reports that another owner has taken over the task. The effect was not run.
type StaleTokenError struct {
	Task               string
	Token, HighestSeen uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("duty %s: token %d is lower than token %d, the highest seen: another owner has taken over", e.Task, e.Token, e.HighestSeen)
}

// TokenStore keeps the highest tokens across restarts of the process.
type TokenStore interface {
	// Load returns the highest token of each task.
	Load() (map[string]uint64, error)
	// Save stores a token durably: once it has returned, Load returns the token even after a crash.
	Save(task string, token uint64) error
}

// Guard admits or rejects effects by their tokens. It is safe for concurrent use.
type Guard struct {
	store TokenStore // nil: tokens are kept in memory only

	mu       sync.Mutex
	highest  map[string]uint64 // highest token seen, by task
	rejected uint64
}

// New returns a guard with the tokens of its store. A guard without a store (nil) may, after a restart, admit an
// owner that it rejected before; the state that it protects must then not outlive the process either.
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

// Do runs effect under a token if no higher one was seen, and returns its error; otherwise it returns
// *StaleTokenError without running effect. The effects of one guard run one at a time, so that an effect of an old
// owner can't end after one of its successor. Do blocks until earlier effects have ended and the store has saved the
// token.
func (g *Guard) Do(task string, token uint64, effect func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := g.highest[task]
	if token < highest || token == 0 {
		g.rejected++
		return &StaleTokenError{task, token, highest}
	}
	if token > highest {
		if err := g.recordHighest(task, token); err != nil {
			return err
		}
	}
	return effect()
}

// recordHighest records a token as the highest seen; the caller holds mu.
func (g *Guard) recordHighest(task string, token uint64) error {
	if g.store != nil {
		if err := g.store.Save(task, token); err != nil {
			return fmt.Errorf("fencing: failed to store token %d of duty %s, the effect was not run: %w", token, task, err)
		}
	}
	g.highest[task] = token
	return nil
}

// RejectedCount returns the number of effects that this guard has rejected.
func (g *Guard) RejectedCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rejected
}
