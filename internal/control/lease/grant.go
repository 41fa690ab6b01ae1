package lease

// Rule: who is granted a lease.
//
// Inputs: the task's current record, the requester's name and token, and the remaining time of the lease on the store's
// clock.
//
//   - Acquire: granted if the lease has expired or was released; granted at once to the current holder, and to the successor
//     during a hand-over. Each grant has a higher token than all before (fencing; Burrows, "The Chubby lock service", 2006,
//     2.4).
//   - Renew: granted to the holder under its token, even after the lease has expired if no other candidate has acquired it
//     meanwhile; not granted during a hand-over.
//   - HandOver: granted to the holder under its token.
//
// A decision is a record with the next serial. It takes effect through Apply, which drops it if the record has changed since.

// Acquire returns the record that grants a task to a holder, with a new token. The current holder gets a new token too, since
// it may be a new process with the same name. Acquire returns ErrNoHolder if the name of the task or the holder is empty, and
// *HeldError if another candidate holds the task or it is being handed over to another.
func (t *Table) Acquire(task, holder string, now Instant) (Record, error) {
	if holder == "" || task == "" {
		return Record{}, ErrNoHolder
	}
	current := t.Get(task)
	remaining := t.Remaining(task, now)
	if remaining > 0 && holder != current.Holder && holder != current.Successor {
		return Record{}, &HeldError{current, remaining}
	}
	// The successor does not have to wait, since a holder stops before it hands over.
	token := max(current.Token, t.tokenFloor) + 1
	return Record{Task: task, Holder: holder, Token: token, Serial: current.Serial + 1}, nil
}

// Renew returns the record that extends the holder's lease by its duration from now. It returns ErrLost if the task is no
// longer held under the token, or is being handed over.
func (t *Table) Renew(task, holder string, token uint64) (Record, error) {
	current := t.Get(task)
	if !current.heldBy(holder, token) || current.Successor != "" {
		return Record{}, ErrLost
	}
	current.Serial++
	return current, nil
}

// HandOver returns the record by which a holder that has stopped hands the task over to a successor, or releases it if the
// successor is empty or the holder itself. It returns ErrLost if the task is no longer held under the token.
func (t *Table) HandOver(task, holder string, token uint64, successor string) (Record, error) {
	current := t.Get(task)
	if !current.heldBy(holder, token) {
		return Record{}, ErrLost
	}
	current.Serial++
	if successor == "" || successor == holder {
		return Record{Task: task, Token: token, Serial: current.Serial}, nil
	}
	current.Successor = successor
	return current, nil
}

// heldBy reports whether the record's last grant was to the holder under the token.
func (r Record) heldBy(holder string, token uint64) bool {
	return holder != "" && r.Holder == holder && r.Token == token
}
