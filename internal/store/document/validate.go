package document

import (
	"errors"
	"fmt"
)

// Errors of malformed transactions.
var (
	errInvalidID    = errors.New("id: empty or longer than 64 bytes; each request needs a new id of 1 to 64 bytes")
	errTextsTooLong = errors.New("by or why: too long; by may have at most 256 bytes, why at most 1024")
)

// Validate returns an error for a transaction that must not be proposed, whatever the state: it is malformed or exceeds
// the limits.
func (s *State) Validate(t Transaction) error {
	if t.ID == "" || len(t.ID) > maxIDBytes {
		return errInvalidID
	}
	if len(t.Author) > maxAuthorBytes || len(t.Reason) > maxReasonBytes {
		return errTextsTooLong
	}
	maxOperations := s.limits.MaxOperations
	if len(t.Operations) == 0 || len(t.Operations) > maxOperations || len(t.Conditions) > maxOperations {
		return fmt.Errorf("do: a transaction must have 1 to %d operations, and at most as many conditions", maxOperations)
	}
	if err := s.limits.validateOperations(t.Operations); err != nil {
		return err
	}
	for i, c := range t.Conditions {
		if (c.Key == "") == (c.Task == "") {
			return fmt.Errorf("if[%d]: the condition must name either a key or a duty, not both", i)
		}
	}
	return nil
}

// target identifies the document or the lease that an operation changes.
type target struct{ key, task string }

// validateOperations returns an error if an operation is malformed, or if two operations have the same target.
func (l Limits) validateOperations(operations []Operation) error {
	seen := map[target]bool{}
	for i, o := range operations {
		if err := l.validateOperation(i, o); err != nil {
			return err
		}
		changed := target{key: o.Key}
		if o.Lease != nil {
			changed.task = o.Lease.Task
		}
		if seen[changed] {
			return fmt.Errorf("do[%d]: %q is changed twice in one transaction", i, changed.key+changed.task)
		}
		seen[changed] = true
	}
	return nil
}

// validateOperation returns an error if the operation at index i is malformed.
func (l Limits) validateOperation(i int, o Operation) error {
	if (o.Key == "") == (o.Lease == nil) {
		return fmt.Errorf("do[%d]: the operation must have either a key or a lease, not both", i)
	}
	if o.Lease != nil {
		named := o.Lease.Task != ""
		if !named || len(o.Lease.Task) > l.MaxKeyBytes || len(o.Lease.Holder) > l.MaxKeyBytes || len(o.Lease.Successor) > l.MaxKeyBytes {
			return fmt.Errorf("do[%d].lease: a duty is required, and duty, holder and next may have at most %d bytes each",
				i, l.MaxKeyBytes)
		}
	}
	if len(o.Key) > l.MaxKeyBytes || len(o.Value) > l.MaxValueBytes {
		return fmt.Errorf("do[%d]: key or value too long; a key may have at most %d bytes, a value at most %d",
			i, l.MaxKeyBytes, l.MaxValueBytes)
	}
	return nil
}
