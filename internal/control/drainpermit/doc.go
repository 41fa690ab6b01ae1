// Package drainpermit decides how a node goes out of service voluntarily and comes back: who gets a permit,
// what the node does with it, and when the permit ends. The documents are those of package fleetstate, the
// disruption budgets those of package disruption. The package has no I/O and no clock.
//
// A Controller, on one node at a time under a lease, grants permits: in one transaction with a document that
// changes with each grant, so every grant is decided on a current count. An Agent, on each node, starts its
// node's permit before it goes out of service, in a transaction whose conditions are that the permit is
// unchanged and nothing is halted. A permit that was removed or halted can therefore not be started, however
// late a process wakes up. The node must go out within a window that it counts from before it sent the
// transaction, and everybody else from after it committed (package lease): a halt is acknowledged once no
// window is open.
//
// The rules are
//
//   - grant.go: which drain requests get a permit, and which expire;
//   - remove.go: when the controller removes a permit;
//   - next_action.go: when a node starts its permit, goes out of service, is replaced, comes back and returns
//     the permit.
//
// docs/design/drains.md has the design.
package drainpermit
