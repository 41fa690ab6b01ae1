package ledger

import (
	"errors"
	"fmt"
)

// Errors that a call may return, compared by errors.Is.
var (
	ErrNotFound  = errors.New("no such key")
	ErrClosed    = errors.New("the ledger is closed")
	ErrReadOnly  = errors.New("the ledger was opened to read only")
	ErrTooLarge  = errors.New("larger than the ledger's limits allow")
	ErrIndexFull = errors.New("no room for more keys in memory")
	ErrBusy      = errors.New("too much waits for a flush already")
	ErrDiskFull  = errors.New("no space left for the ledger's files")
	// ErrNotWritten says that nothing of the batch was kept; it may be retried.
	ErrNotWritten = errors.New("the batch was not written")
	// ErrOutcomeUnknown says that a flush failed: the batch may turn up after a restart, or not.
	ErrOutcomeUnknown = errors.New("it can't be known whether the batch is durable")
	// ErrBroken says that a flush failed earlier: nothing is written until the ledger is opened again.
	ErrBroken = errors.New("the ledger takes no writes since a flush failed")
)

// DamageError says that a file is not as this program could have left it, even after a crash.
type DamageError struct {
	File   string
	Offset int64
	Reason string
	Remedy string // what to do about it
}

const remedy = "restore a backup, or save what can be read with `sloehitch ledger repair`"

func (d *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s; %s", d.File, d.Offset, d.Reason, d.Remedy)
}

func damage(file string, offset int64, format string, args ...any) *DamageError {
	return &DamageError{file, offset, fmt.Sprintf(format, args...), remedy}
}
