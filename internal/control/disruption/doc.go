// Package disruption decides which nodes and upstream servers may go out of service voluntarily, so that each
// group of them (the fleet, a zone, a kind of node, an upstream service) keeps enough members in service. It
// is modelled on Kubernetes' PodDisruptionBudget, but a budget here also counts members that are out of
// service involuntarily, and drain requests wait in order.
//
// The package is a pure function of its arguments: it has no I/O, no clock and no state. The rules are
//
//   - budget.go: how many members of a group may be unavailable at once;
//   - group.go: which members count as unavailable, and in which groups;
//   - decide.go: which drain requests are granted.
//
// A member that is not known to be in service counts as unavailable, so silent and unhealthy members count
// against a budget. A node also goes out of service without a permit by SIGTERM, by evacuation, by its desired
// state, or when operators set it closed (sloehitch state set closed); this is counted but not prevented.
//
// All functions may be called concurrently. None blocks. The design is in docs/design/drains.md.
package disruption
