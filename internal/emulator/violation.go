package emulator

import (
	"fmt"
	"strings"
	"time"
)

// Invariant names a rule that every server is to keep.
type Invariant string

// The invariants.
const (
	InvariantAnswered     Invariant = "lost"      // every attempt has a response by its deadline, unless its caller canceled it
	InvariantAnsweredOnce Invariant = "duplicate" // no attempt has two responses
	InvariantRunOnce      Invariant = "rerun"     // no two attempts with the same idempotency key run within its window
	InvariantNoRejection  Invariant = "refused"   // an attempt isn't rejected within its key's window once the key has run
	InvariantDrain        Invariant = "drain"     // what arrives later than the drain grace doesn't run
)

// Violation is an invariant that a server violated.
type Violation struct {
	Rule         Invariant
	Seed         uint64
	At           time.Duration // since the simulation's start
	Detail       string
	RecentEvents []string // of the node, oldest first
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("rule %s broken, seed %d, at %v: %s\n  %s", v.Rule, v.Seed, v.At, v.Detail, strings.Join(v.RecentEvents, "\n  "))
}
