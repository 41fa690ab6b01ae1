// Package fleetstate defines the documents on which drains and releases are decided, and the view of the fleet
// that is decoded from them: drain requests, drain permits, halts, disruption budgets, and the reports of nodes.
// Packages drainpermit and release use it and do not depend on each other.
//
// Keys and encoded field names are part of the stored data and must not change. The package has no I/O and no
// clock.
package fleetstate
