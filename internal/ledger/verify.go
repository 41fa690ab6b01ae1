package ledger

import (
	"errors"

	"sloehitch/internal/ledger/disk"
)

// VerifyResult is the state of the files in a folder.
type VerifyResult struct {
	State    string   `json:"state"` // StateIntact, StateTorn or StateDamaged
	File     string   `json:"file,omitempty"`
	Offset   int64    `json:"offset,omitempty"`
	Reason   string   `json:"what,omitempty"`
	Recovery Recovery `json:"found"`
}

// Values of VerifyResult.State.
const (
	StateIntact  = "whole"
	StateTorn    = "torn"    // the active segment ends in unacknowledged bytes, which Open truncates
	StateDamaged = "damaged" // Open returns a *DamageError
)

// Verify reads the whole ledger in a folder without changing it, and blocks until it is done. Damage is reported in the result;
// an error means that the folder could not be read. A folder that a process is writing to may be reported as torn.
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
		v.Reason = "segment ends in bytes that were never acknowledged"
	}
	return v, nil
}
