// Package modelcheck checks drain permits and releases by simulation: whole fleets in one simulated time,
// drawn from a seed. Nodes go out of service and come back, several processes take each other's place as the
// one that grants permits or controls the release, and operators request, withdraw, halt, resume and roll
// back. Messages take any time and are lost either way; processes stall at any point, die, come back with
// another version, and are unhealthy or silent. The decisions are the real ones (packages drainpermit,
// disruption, release, canary, lease and document).
//
// What must hold is checked in every tick: the budgets (checks.go), that nothing starts after a halt was
// acknowledged, and for releases that no request contradicts the release's state. In the end every request
// must have come to its end. Mutants are faults of the program, which show that the checks see them.
package modelcheck
