// Package release decides how another version goes through a fleet: a first node alone, then growing waves,
// zone by zone; and how it halts by itself and rolls back. It has no I/O and no clock.
//
// The release asks for nodes to be drained and replaced. How many are out of service at once is not decided
// here: the requests wait for permits, which the disruption budgets bound (packages drainpermit and
// disruption).
//
// The rules are
//
//   - waves.go: how the nodes are divided into waves;
//   - halt.go: when a release halts by itself;
//   - advance.go: when the nodes of a wave are asked for, and when the next wave begins;
//   - rollback.go: how a release rolls back.
//
// docs/design/drains.md has the design.
package release
