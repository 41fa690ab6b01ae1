// Package disruption decides which nodes and upstream servers may go out of service voluntarily, so that each
// group of them (the fleet, a zone, a kind of node, an upstream service) keeps enough members in service. The
// model is Kubernetes' PodDisruptionBudget; a budget here also counts members that are out involuntarily, and
// drain requests wait in order.
//
// The package is a pure function of its arguments: it has no I/O, no clock and no state. The rules are
//
//   - budget.go: how many members of a group a budget lets be out;
//   - group.go: which members count as out, and of which groups;
//   - decide.go: which drain requests are granted.
//
// A member that is not known to be in service counts as out: silent and unhealthy members use a budget up.
// SIGTERM, evacuate, the desired state and the operators' closed take a node out without a permit: they are
// counted but not prevented.
//
// All functions may be called concurrently. None blocks. docs/design/drains.md has the design.
package disruption
