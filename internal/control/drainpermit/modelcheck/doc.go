// Package modelcheck checks drain permits and releases by simulating whole fleets in simulated time, each drawn
// from a seed. Nodes go out of service and come back. Several processes compete for the leases under which
// permits are granted and the release is controlled. Operators request and withdraw drains, halt, resume and
// roll back. Messages are delayed, and requests as well as answers are lost. Processes stall at any point, are
// killed, restart with another version, and are unhealthy or silent. The decisions are made by the real code
// (packages drainpermit, disruption, release, canary, lease and document).
//
// In every tick it is checked that the budgets hold (checks.go), that no node goes out of service after a halt
// was acknowledged, and that no request contradicts the state of the release. At the end of a run every request
// must have ended. Mutants are deliberate faults of the program, which show that the checks detect them.
package modelcheck
