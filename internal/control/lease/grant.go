package lease

// Rule: who is granted a lease.
//
// Inputs: the task's current record, the requester's name and token, and how much of the lease remains on the store's clock.
//
//   - Acquire: granted where the lease has run out or was released, and at once to its holder and to the successor it is being
//     handed over to. Each grant has a token above all before (fencing; Burrows, "The Chubby lock service", 2006, 2.4).
//   - Renew: granted to the holder under its token, also after the lease has run out if nobody acquired it meanwhile; not
//     while it is being handed over.
//   - HandOver: granted to the holder under its token.
//
// A decision is a record with the next serial. It takes effect by Apply, which drops it where the record has changed since.

// Acquire returns the record by which a holder gets a task, with a new token. The current holder gets a new token too: it may
// be a new process of the same name. It returns ErrNoHolder where a name is missing, and *HeldError to others while the task is
// held or being handed over.
func (t *Table) Acquire(task, holder string, now Instant) (Record, error) {
	if holder == "" || task == "" {
		return Record{}, ErrNoHolder
	}
	current := t.Get(task)
	remaining := t.Remaining(task, now)
	if remaining > 0 && holder != current.Holder && holder != current.Successor {
		return Record{}, &HeldError{current, remaining}
	}
	// The successor need not wait: a holder stops before it hands over.
	token := max(current.Token, t.tokenFloor) + 1
	return Record{Task: task, Holder: holder, Token: token, Serial: current.Serial + 1}, nil
}

// Renew returns the record by which the holder keeps a task for another lease's duration. It returns ErrLost where the token
// is no longer the task's, and while the task is being handed over.
func (t *Table) Renew(task, holder string, token uint64) (Record, error) {
	current := t.Get(task)
	if !current.heldBy(holder, token) || current.Successor != "" {
		return Record{}, ErrLost
	}
	current.Serial++
	return current, nil
}

// HandOver returns the record by which a holder that has stopped leaves the task to a successor, or releases it where the
// successor is empty or the holder itself. It returns ErrLost where the token is no longer the task's.
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

// heldBy reports whether the record's last grant was to a holder under a token.
func (r Record) heldBy(holder string, token uint64) bool {
	return holder != "" && r.Holder == holder && r.Token == token
}
