package desiredstate

// Which observed documents a node applies.
//
// Inputs: the document's version (a revision of the store; for an absent document the revision at which it
// was absent), and the version applied last. A document is applied if its version is higher and its text can
// be parsed. A version is rejected once, and ignored when it is observed again.
//
// Why: versions only grow, so the newest state wins in whatever order documents are observed, and a lagging
// member of the store cannot revert a node to an older state. The caller checks the fencing token, which rejects
// states of a task that has lost its lease.

// Applied is the state that a node applied last. The node persists it before applying it.
type Applied struct {
	Version uint64 `json:"version"` // of the document, or the revision at which it was absent
	State   State  `json:"state"`
}

// Follower decides on the documents that one node observes. It is not safe for concurrent use.
type Follower struct {
	applied         Applied
	rejectedVersion uint64 // the last version that was rejected
}

// NewFollower returns a follower that continues from the state that the node applied last. last is the zero value
// if the node has applied none.
func NewFollower(last Applied) *Follower { return &Follower{applied: last} }

// LastApplied returns the state that was applied last.
func (f *Follower) LastApplied() Applied { return f.applied }

// Decision is the decision on an observed document.
type Decision int

// Decisions of a Follower.
const (
	Ignore Decision = iota // the document is not newer than the applied state, or was rejected before
	Apply                  // the document must be applied if its fencing token is accepted
	Reject                 // the document cannot be applied; the state applied last stays
)

// Observe decides on a document that was read at a revision of the store. version is 0 if the document was absent.
// The error explains a Reject. After an Apply the caller must call MarkApplied or MarkRejected.
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
