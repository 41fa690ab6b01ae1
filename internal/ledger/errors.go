package ledger

import (
	"errors"
	"fmt"
)

// Errors returned by the methods of Store, to be compared with errors.Is.
var (
	ErrNotFound  = errors.New("key not found")
	ErrClosed    = errors.New("ledger is closed")
	ErrReadOnly  = errors.New("ledger is open for reading only")
	ErrTooLarge  = errors.New("ledger size limit exceeded")
	ErrIndexFull = errors.New("ledger index memory limit reached")
	ErrBusy      = errors.New("ledger write queue is full")
	ErrDiskFull  = errors.New("no disk space left for ledger files")
	// ErrNotWritten reports that no part of the batch was written. The batch may be retried.
	ErrNotWritten = errors.New("ledger batch was not written")
	// ErrOutcomeUnknown reports that a flush failed: the batch may or may not exist after a restart.
	ErrOutcomeUnknown = errors.New("unknown whether the ledger batch is durable")
	// ErrBroken reports that an earlier flush failed: the ledger rejects all writes until it is reopened.
	ErrBroken = errors.New("ledger rejects writes after a failed flush")
)

// DamageError reports that a file is in a state that this program cannot have left behind, even after a crash.
type DamageError struct {
	File   string
	Offset int64
	Reason string
	Remedy string // what the operator can do
}

const remedy = "restore a backup, or save what can be read with `sloehitch ledger repair`"

func (d *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s; %s", d.File, d.Offset, d.Reason, d.Remedy)
}

func newDamageError(file string, offset int64, format string, args ...any) *DamageError {
	return &DamageError{file, offset, fmt.Sprintf(format, args...), remedy}
}
