package document

import (
	"errors"
	"fmt"
)

// Errors of a transaction's form.
var (
	errInvalidID    = errors.New("id: a word of 1 to 64 bytes, new with each request, is wanted")
	errTextsTooLong = errors.New("by and why: at most 256 and 1024 bytes are kept")
)

// Validate returns an error for a transaction that no member may be asked to apply: its form is wrong, or it is larger than the
// limits allow, whatever the state.
func (s *State) Validate(t Transaction) error {
	if t.ID == "" || len(t.ID) > maxIDBytes {
		return errInvalidID
	}
	if len(t.Author) > maxAuthorBytes || len(t.Reason) > maxReasonBytes {
		return errTextsTooLong
	}
	maxOperations := s.limits.MaxOperations
	if len(t.Operations) == 0 || len(t.Operations) > maxOperations || len(t.Conditions) > maxOperations {
		return fmt.Errorf("do: 1 to %d operations are wanted, and as many conditions at most", maxOperations)
	}
	if err := s.limits.validateOperations(t.Operations); err != nil {
		return err
	}
	for i, c := range t.Conditions {
		if (c.Key == "") == (c.Task == "") {
			return fmt.Errorf("if[%d]: either a key or a duty is wanted", i)
		}
	}
	return nil
}

// target is what an operation changes.
type target struct{ key, task string }

// validateOperations returns an error where an operation's form is wrong, or two change the same thing.
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
			return fmt.Errorf("do[%d]: %q is changed twice", i, changed.key+changed.task)
		}
		seen[changed] = true
	}
	return nil
}

// validateOperation returns an error where the form of the operation of an index is wrong.
func (l Limits) validateOperation(i int, o Operation) error {
	if (o.Key == "") == (o.Lease == nil) {
		return fmt.Errorf("do[%d]: either a key or a lease is wanted", i)
	}
	if o.Lease != nil {
		named := o.Lease.Task != ""
		if !named || len(o.Lease.Task) > l.MaxKeyBytes || len(o.Lease.Holder) > l.MaxKeyBytes || len(o.Lease.Successor) > l.MaxKeyBytes {
			return fmt.Errorf("do[%d].lease: a duty and names of at most %d bytes are wanted", i, l.MaxKeyBytes)
		}
	}
	if len(o.Key) > l.MaxKeyBytes || len(o.Value) > l.MaxValueBytes {
		return fmt.Errorf("do[%d]: a key of at most %d bytes and a value of at most %d are wanted", i, l.MaxKeyBytes, l.MaxValueBytes)
	}
	return nil
}
