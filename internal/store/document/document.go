// Package document is the state that the members of the store agree on: documents with versions, changed by transactions with
// conditions, each committed at most once; the leases of tasks beside them; and the latest changes. It performs no I/O and reads
// no clock: every member applies the same transactions in the same order and arrives at the same state.
//
// The parts:
//
//   - Document, Transaction, Result, Change, Limits (this file): the types.
//   - State (state.go): the documents of one member.
//   - validate.go: the form of a transaction; apply.go: the rule by which one is committed.
//   - history.go: the latest changes; snapshot.go: the state as bytes, and recovery.
package document

import "sloehitch/internal/control/lease"

// Limits keep the state small enough to be sent as one snapshot to a member that lags behind.
type Limits struct {
	MaxKeyBytes        int
	MaxValueBytes      int
	MaxDocuments       int // and tasks with leases
	MaxTotalBytes      int // of all keys and values together
	MaxOperations      int // of one transaction, and as many conditions
	RememberedRequests int // ids of the latest transactions, for duplicates
	RememberedChanges  int // the latest
}

// DefaultLimits are the limits of the daemon's store.
var DefaultLimits = Limits{
	MaxKeyBytes:        256,
	MaxValueBytes:      64 << 10,
	MaxDocuments:       10000,
	MaxTotalBytes:      16 << 20,
	MaxOperations:      64,
	RememberedRequests: 8192,
	RememberedChanges:  2048,
}

// Bounds of a transaction's texts, in bytes.
const (
	maxIDBytes     = 64
	maxAuthorBytes = 256
	maxReasonBytes = 1024
)

// Document is one value.
type Document struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"` // the revision at which it was last set
}

// bytes is what a document counts against Limits.MaxTotalBytes.
func (d Document) bytes() int { return len(d.Key) + len(d.Value) }

// Condition is what must hold for a transaction to be committed. Exactly one of Key and Task is set.
type Condition struct {
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version,omitempty"` // of the document; 0: there is none
	Task    string `json:"duty,omitempty"`
	Token   uint64 `json:"token,omitempty"` // of the task's last grant, not released since
}

// Operation changes one thing. Exactly one of Key and Lease is set.
type Operation struct {
	Key    string        `json:"key,omitempty"`
	Value  string        `json:"value,omitempty"`
	Delete bool          `json:"delete,omitempty"`
	Lease  *lease.Record `json:"lease,omitempty"`
	// ExcludeFromHistory has the change not remembered: periodic reports would displace the changes that people made.
	ExcludeFromHistory bool `json:"passing,omitempty"`
}

// Transaction is committed as a whole or not at all.
type Transaction struct {
	ID         string      `json:"id"` // new with each request; the same for each attempt of one
	Author     string      `json:"by"`
	Reason     string      `json:"why"`
	UnixMillis int64       `json:"at"` // when the member that took it received it; for people only
	Conditions []Condition `json:"if,omitempty"`
	Operations []Operation `json:"do"`
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool   `json:"made"`
	Revision  uint64 `json:"revision"`         // committed: the new one, and the version of all that it set; else the current one
	Reason    string `json:"reason,omitempty"` // why it was rejected
	Duplicate bool   `json:"again,omitempty"`  // it was committed, or rejected, before; the result is that of then
}

// Change is one document set or deleted, or one lease.
type Change struct {
	Revision   uint64        `json:"revision"`
	Key        string        `json:"key,omitempty"`
	Value      string        `json:"value,omitempty"`
	Deleted    bool          `json:"deleted,omitempty"`
	Lease      *lease.Record `json:"lease,omitempty"`
	Author     string        `json:"by"`
	Reason     string        `json:"why,omitempty"`
	UnixMillis int64         `json:"at"`
}
