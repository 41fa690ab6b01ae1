package lease

import "time"

// Table is the store's side of all leases. Records are replicated and change only through Apply, Restore and Recover; the
// instants at which leases were granted are those of this member's own clock. Table is not safe for concurrent use.
type Table struct {
	terms      Terms
	records    map[string]Record
	grantedAt  map[string]Instant // when this member learned that each lease was granted or renewed
	tokenFloor uint64             // every token to be granted is higher
}

// NewTable returns a table without leases. It returns the error of Terms.Validate.
func NewTable(t Terms) (*Table, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return (&Table{terms: t}).EmptyCopy(), nil
}

// EmptyCopy returns a table without leases that has the same terms.
func (t *Table) EmptyCopy() *Table {
	return &Table{terms: t.terms, records: map[string]Record{}, grantedAt: map[string]Instant{}}
}

// StartLeading restarts the duration of every lease at now, since any of them may have been granted just before this member
// became the leader.
func (t *Table) StartLeading(now Instant) {
	clear(t.grantedAt)
	for task := range t.records {
		t.grantedAt[task] = now
	}
}

// BasedOnCurrent reports whether a record was decided on the basis of the task's current record.
func (t *Table) BasedOnCurrent(r Record) bool {
	current := t.records[r.Task]
	return r.Serial == current.Serial+1 && r.Token >= current.Token && r.Token >= t.tokenFloor
}

// Apply applies a committed record. Every member must apply the records in the same order. Apply returns false and changes
// nothing if another record was committed between the decision and this one: a lease that was renewed meanwhile can't be
// granted to another candidate.
func (t *Table) Apply(r Record, now Instant) bool {
	if !t.BasedOnCurrent(r) {
		return false
	}
	t.records[r.Task], t.grantedAt[r.Task] = r, now
	return true
}

// Restore restores a record from a snapshot, including its serial; the duration of the lease starts at now.
func (t *Table) Restore(r Record, now Instant) { t.records[r.Task], t.grantedAt[r.Task] = r, now }

// Recover revokes all leases after the state was reset to an earlier one, since there may be active holders that this state
// does not contain. floor must be higher than every token that was ever granted; later tokens are higher than floor. No known
// task is granted to any candidate for a lease's duration from now.
func (t *Table) Recover(floor uint64, now Instant) {
	t.tokenFloor = max(t.tokenFloor, floor)
	for task, r := range t.records {
		t.records[task] = Record{Task: task, Holder: RecoveredHolder, Token: t.tokenFloor, Serial: r.Serial + 1}
		t.grantedAt[task] = now
	}
}

// TokenFloor returns the token floor: every token to be granted is higher.
func (t *Table) TokenFloor() uint64 { return t.tokenFloor }

// SetTokenFloor restores the token floor from a snapshot.
func (t *Table) SetTokenFloor(floor uint64) { t.tokenFloor = floor }

// HighestToken returns the highest known token, including the token floor.
func (t *Table) HighestToken() uint64 {
	highest := t.tokenFloor
	for _, r := range t.records {
		highest = max(highest, r.Token)
	}
	return highest
}

// Get returns a task's record. If the task was never held, the record has no holder and token 0.
func (t *Table) Get(task string) Record {
	r := t.records[task]
	r.Task = task
	return r
}

// Remaining returns the time until another candidate can acquire the task, on this member's clock; 0: the task is free.
func (t *Table) Remaining(task string, now Instant) time.Duration {
	r := t.records[task]
	if r.Holder == "" {
		return 0
	}
	return max(0, t.terms.Duration-time.Duration(now-t.grantedAt[task]))
}
