// Package release decides how a new version is rolled out to a fleet: to one node first, then in growing waves,
// zone by zone. It also decides when a release halts by itself and how it rolls back. It has no I/O and no clock.
//
// A release requests nodes to be drained and replaced. How many are out of service at once is not decided here:
// the requests wait for permits, which the disruption budgets bound (packages drainpermit and disruption).
//
// The rules are
//
//   - waves.go: how the nodes are divided into waves;
//   - halt.go: when a release halts by itself;
//   - advance.go: when the nodes of a wave are requested, and when the next wave begins;
//   - rollback.go: how a release rolls back.
//
// The design is in docs/design/drains.md.
package release
