package desiredstate

// Which observed documents a node applies.
//
// Inputs: the document's version (a revision of the store; for an absent document the revision at which it
// was absent), and the version applied last. A document is applied if its version is higher and its text can
// be parsed. A version is rejected once, and ignored when it is seen again.
//
// Why: versions only grow, so the newest state wins in whatever order documents are observed, and a lagging
// member cannot take a node back. The caller checks the fencing token, which keeps out a task that has lost
// its lease.

// Applied is the state that a node applied last, as the node persists it before it applies it.
type Applied struct {
	Version uint64 `json:"version"` // of the document, or the revision at which there was none
	State   State  `json:"state"`
}

// Follower decides on the documents that one node observes. It is not safe for concurrent use.
type Follower struct {
	applied         Applied
	rejectedVersion uint64 // the last version that was rejected
}

// NewFollower returns a follower that continues from what the node applied last; the zero value if it has
// applied nothing.
func NewFollower(last Applied) *Follower { return &Follower{applied: last} }

// LastApplied returns the state that was applied last.
func (f *Follower) LastApplied() Applied { return f.applied }

// Decision is what to do with an observed document.
type Decision int

// The decisions.
const (
	Ignore Decision = iota // it is not newer than what was applied, or was rejected before
	Apply                  // it is to be applied, if its fencing token is accepted
	Reject                 // it cannot be applied; the state applied last stays
)

// Observe decides on a document as it was read at a revision of the store. version is 0 if there was none.
// The error explains a Reject. The caller reports what came of an Apply by MarkApplied or MarkRejected.
func (f *Follower) Observe(text string, version, revision uint64) (Applied, Decision, error) {
	absent := version == 0
	if absent {
		version = revision
	}
	if version <= f.applied.Version || version == f.rejectedVersion {
		return f.applied, Ignore, nil
	}
	if absent {
		if f.applied.State == (State{}) {
			return f.applied, Ignore, nil
		}
		return Applied{Version: version}, Apply, nil
	}
	state, err := Parse(text)
	if err != nil {
		f.rejectedVersion = version
		return f.applied, Reject, err
	}
	return Applied{Version: version, State: state}, Apply, nil
}

// MarkApplied records that a state was applied.
func (f *Follower) MarkApplied(a Applied) { f.applied = a }

// MarkRejected records that a state was rejected because of its fencing token.
func (f *Follower) MarkRejected(a Applied) { f.rejectedVersion = a.Version }
