package lease

import "time"

// Table is the store's side of all leases. Records are replicated and change through Apply alone; the instants that leases
// are counted from are this member's own. It is not safe for concurrent use.
type Table struct {
	terms      Terms
	records    map[string]Record
	grantedAt  map[string]Instant // when each lease was granted or renewed, as seen here afterwards
	tokenFloor uint64             // every token to be granted is above it
}

// NewTable returns a table without leases. It returns the error of Terms.Validate.
func NewTable(t Terms) (*Table, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return (&Table{terms: t}).EmptyCopy(), nil
}

// EmptyCopy returns a table without leases on the same terms.
func (t *Table) EmptyCopy() *Table {
	return &Table{terms: t.terms, records: map[string]Record{}, grantedAt: map[string]Instant{}}
}

// StartLeading restarts the count of every lease at now: any of them may have been granted just before this member became
// the leader.
func (t *Table) StartLeading(now Instant) {
	clear(t.grantedAt)
	for task := range t.records {
		t.grantedAt[task] = now
	}
}

// BasedOnCurrent reports whether a record was decided on the task's current record.
func (t *Table) BasedOnCurrent(r Record) bool {
	current := t.records[r.Task]
	return r.Serial == current.Serial+1 && r.Token >= current.Token && r.Token >= t.tokenFloor
}

// Apply takes a record that was committed. Every member calls it in the same order. It returns false and changes nothing
// where another record was committed between the decision and this one: a lease that was renewed meanwhile can't be granted
// to another.
func (t *Table) Apply(r Record, now Instant) bool {
	if !t.BasedOnCurrent(r) {
		return false
	}
	t.records[r.Task], t.grantedAt[r.Task] = r, now
	return true
}

// Restore takes a record from a snapshot, with its serial; the lease counts from now.
func (t *Table) Restore(r Record, now Instant) { t.records[r.Task], t.grantedAt[r.Task] = r, now }

// Recover takes every task from its holder, after the state was put back to an earlier one: holders may be at work that this
// state does not know of. floor must be above every token that was ever granted; later tokens are above it. Each known task is
// granted to nobody for a lease's duration from now.
func (t *Table) Recover(floor uint64, now Instant) {
	t.tokenFloor = max(t.tokenFloor, floor)
	for task, r := range t.records {
		t.records[task] = Record{Task: task, Holder: RecoveredHolder, Token: t.tokenFloor, Serial: r.Serial + 1}
		t.grantedAt[task] = now
	}
}

// TokenFloor returns the number that every token to be granted is above.
func (t *Table) TokenFloor() uint64 { return t.tokenFloor }

// SetTokenFloor sets the token floor from a snapshot.
func (t *Table) SetTokenFloor(floor uint64) { t.tokenFloor = floor }

// HighestToken returns the highest token known.
func (t *Table) HighestToken() uint64 {
	highest := t.tokenFloor
	for _, r := range t.records {
		highest = max(highest, r.Token)
	}
	return highest
}

// Get returns a task's record; that of a task that nobody ever held has no holder and token 0.
func (t *Table) Get(task string) Record {
	r := t.records[task]
	r.Task = task
	return r
}

// Remaining returns for how long others are yet kept from a task, on this member's clock; 0: the task is free.
func (t *Table) Remaining(task string, now Instant) time.Duration {
	r := t.records[task]
	if r.Holder == "" {
		return 0
	}
	return max(0, t.terms.Duration-time.Duration(now-t.grantedAt[task]))
}
