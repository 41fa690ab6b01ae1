package document

import (
	"cmp"
	"slices"
)

// ChangesSince returns the changes after a revision, oldest first. ok is false if some of them are no longer
// remembered, or if the revision is ahead of this state, which happens after a loss of state. The caller then has to
// read all documents again.
func (s *State) ChangesSince(revision uint64) (changes []Change, ok bool) {
	if revision < s.historyStart || revision > s.revision {
		return nil, false
	}
	from, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	return slices.Clone(s.changes[from:]), true
}

// HistoryStart returns the revision after which all changes are remembered.
func (s *State) HistoryStart() uint64 { return s.historyStart }

// trimHistory drops the oldest changes beyond the limit.
func (s *State) trimHistory() {
	excess := len(s.changes) - s.limits.RememberedChanges
	if excess <= 0 {
		return
	}
	s.historyStart = s.changes[excess-1].Revision
	s.changes = slices.Delete(s.changes, 0, excess)
}
