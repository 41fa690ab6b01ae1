package emulator

import (
	"fmt"
	"strings"
	"time"
)

// Invariant names a rule that a server must not violate.
type Invariant string

// The invariants.
const (
	InvariantAnswered     Invariant = "lost"      // every attempt gets a response by its deadline, unless its caller cancels it
	InvariantAnsweredOnce Invariant = "duplicate" // no attempt gets two responses
	InvariantRunOnce      Invariant = "rerun"     // no two attempts with the same idempotency key run within its window
	InvariantNoRejection  Invariant = "refused"   // no attempt is rejected within its key's window once the key has run
	InvariantDrain        Invariant = "drain"     // no attempt that arrives after the drain grace runs
)

// Violation reports that a server violated an invariant.
type Violation struct {
	Rule         Invariant
	Seed         uint64
	At           time.Duration // since the simulation's start
	Detail       string
	RecentEvents []string // of the node, oldest first
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated, seed %d, at %v: %s\n  %s", v.Rule, v.Seed, v.At, v.Detail, strings.Join(v.RecentEvents, "\n  "))
}
