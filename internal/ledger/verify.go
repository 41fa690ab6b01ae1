package ledger

import (
	"errors"

	"sloehitch/internal/ledger/disk"
)

// VerifyResult reports the state of a folder's files.
type VerifyResult struct {
	State    string   `json:"state"` // whole, torn or damaged
	File     string   `json:"file,omitempty"`
	Offset   int64    `json:"offset,omitempty"`
	Reason   string   `json:"what,omitempty"`
	Recovery Recovery `json:"found"`
}

// The states of a folder.
const (
	StateIntact  = "whole"
	StateTorn    = "torn"    // the end of the active segment was never acknowledged; Open truncates it
	StateDamaged = "damaged" // Open returns a *DamageError
)

// Verify reads all that a folder holds without changing it, and blocks until then. The error says what could not be read, not
// what was found. A folder that a process is writing to may look torn.
func Verify(fs disk.FS, o Options) (VerifyResult, error) {
	o.ReadOnly = true
	s, err := Open(fs, o)
	if s != nil {
		defer func() { _ = s.Close() }() // opened for reading only
	}
	var d *DamageError
	switch {
	case errors.As(err, &d):
		return VerifyResult{State: StateDamaged, File: d.File, Offset: d.Offset, Reason: d.Reason}, nil
	case err != nil:
		return VerifyResult{}, err
	}
	v := VerifyResult{State: StateIntact, Recovery: s.Recovery()}
	if r := v.Recovery; r.TornBytes > 0 {
		v.State, v.File, v.Offset = StateTorn, r.TornFile, r.TornOffset
		v.Reason = "the segment ends in bytes that were never acknowledged"
	}
	return v, nil
}
