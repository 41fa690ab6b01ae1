// Package fleetstate holds the documents from which drains and releases are decided, and the view of the
// fleet that they add up to: drain requests, drain permits, halts, disruption budgets, and the reports of
// nodes. Packages drainpermit and release decide by it; neither needs the other.
//
// Keys and encoded field names are stored data and do not change. The package has no I/O and no clock.
package fleetstate
