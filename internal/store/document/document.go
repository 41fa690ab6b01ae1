// Package document implements the replicated state of the store: versioned documents, the leases of tasks, and a
// history of the latest changes. Documents are changed by conditional transactions, each of which is committed at most
// once. The package performs no I/O and reads no clock: every member applies the same transactions in the same order
// and arrives at the same state.
//
// The parts:
//
//   - Document, Transaction, Result, Change, Limits (this file): the types.
//   - State (state.go): the documents of one member.
//   - validate.go: checks of a transaction's form; apply.go: the rules by which a transaction is committed.
//   - history.go: the latest changes; snapshot.go: encoding, decoding and recovery of the state.
package document

import "sloehitch/internal/control/lease"

// Limits bound the state, so that it can be sent as one snapshot to a member that lags behind.
type Limits struct {
	MaxKeyBytes        int
	MaxValueBytes      int
	MaxDocuments       int // also the most tasks with leases
	MaxTotalBytes      int // all keys and values together
	MaxOperations      int // of one transaction; also the most conditions
	RememberedRequests int // ids of the latest transactions, by which duplicates are recognized
	RememberedChanges  int // latest changes in the history
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

// Upper bounds of a transaction's texts, in bytes.
const (
	maxIDBytes     = 64
	maxAuthorBytes = 256
	maxReasonBytes = 1024
)

// Document is a value with its key and version.
type Document struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"` // the revision at which it was last set
}

// bytes returns the size of a document, which counts against Limits.MaxTotalBytes.
func (d Document) bytes() int { return len(d.Key) + len(d.Value) }

// Condition must hold for a transaction to be committed. Exactly one of Key and Task is set.
type Condition struct {
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version,omitempty"` // expected version of the document; 0: it must not exist
	Task    string `json:"duty,omitempty"`
	Token   uint64 `json:"token,omitempty"` // token of the task's last grant, which must not have been released since
}

// Operation sets or deletes one document, or changes one lease. Exactly one of Key and Lease is set.
type Operation struct {
	Key    string        `json:"key,omitempty"`
	Value  string        `json:"value,omitempty"`
	Delete bool          `json:"delete,omitempty"`
	Lease  *lease.Record `json:"lease,omitempty"`
	// ExcludeFromHistory keeps the change out of the history: periodic reports would displace the changes made by people.
	ExcludeFromHistory bool `json:"passing,omitempty"`
}

// Transaction is committed as a whole or not at all.
type Transaction struct {
	ID         string      `json:"id"` // unique to a request; the same for all its attempts
	Author     string      `json:"by"`
	Reason     string      `json:"why"`
	UnixMillis int64       `json:"at"` // when the proposing member received it; informational only
	Conditions []Condition `json:"if,omitempty"`
	Operations []Operation `json:"do"`
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool   `json:"made"`
	Revision  uint64 `json:"revision"`         // if committed, the new revision and version of all documents set; else the current revision
	Reason    string `json:"reason,omitempty"` // why the transaction was rejected
	Duplicate bool   `json:"again,omitempty"`  // the transaction was decided on before; this is the result of that decision
}

// Change is one document that was set or deleted, or one lease that changed.
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
