// Package drainpermit decides how a node goes out of service voluntarily and comes back: which members get a
// permit, what a node does with its permit, and when the permit ends. The documents are defined in package
// fleetstate, the disruption budgets in package disruption. The package has no I/O and no clock.
//
// A Controller, on one node at a time under a lease, grants permits. A grant is one transaction with a document
// that changes with each grant, so every grant is decided on a current count of unavailable members. An Agent,
// on each node, starts the node's permit before the node goes out of service, in a transaction whose conditions
// are that the permit is unchanged and that no halt covers it. So a permit that was removed or halted cannot be
// started, however long a process was stalled. The node must go out of service within a start window. The node
// measures the window from before it sends the transaction, all others from after its commit (package lease),
// and a halt is acknowledged once no window is open.
//
// The rules are
//
//   - grant.go: which drain requests get a permit, and which expire;
//   - remove.go: when the controller removes a permit;
//   - next_action.go: when a node starts its permit, goes out of service, is replaced, comes back and returns
//     the permit.
//
// The design is in docs/design/drains.md.
package drainpermit
