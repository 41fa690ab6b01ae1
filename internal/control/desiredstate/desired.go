// Package desiredstate decides what a node does with the state that the fleet wants of it: what is newer than the last that was applied is
// taken, what is older, forged by an owner that was overtaken, or not to be understood is not. It has no I/O and no clock.
package desiredstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// KeyPrefix and a node's name is the key of the document that says what is wanted of it.
const KeyPrefix = "desired/"

// State is what is wanted of a node. Its zero value is what an unmanaged node does.
type State struct {
	OutOfService bool   `json:"out"`             // out of service: health checks are answered as bad, what comes is served
	Task         string `json:"duty,omitempty"`  // on behalf of which it was asked for; empty: by an operator
	Token        uint64 `json:"token,omitempty"` // under which that duty was held
	RequestedBy  string `json:"by,omitempty"`
	Reason       string `json:"why,omitempty"`
}

// Parse reads a state. It errs on what it does not know: to apply half of a wish is to apply another.
func Parse(text string) (State, error) {
	var s State
	d := json.NewDecoder(bytes.NewReader([]byte(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return State{}, fmt.Errorf("the wished state can't be read: %w", err)
	}
	if d.More() {
		return State{}, errors.New("the wished state can't be read: there is more than one")
	}
	if (s.Task == "") != (s.Token == 0) {
		return State{}, errors.New("the wished state is of a duty without a token, or of a token without a duty")
	}
	return s, nil
}

// Applied is what a node did last. It goes to disk before it is done.
type Applied struct {
	Version uint64 `json:"version"` // of the document, or the revision at which there was none
	State   State  `json:"state"`
}

// Follower is a node's side. It is not safe for concurrent use.
type Follower struct {
	applied         Applied
	rejectedVersion uint64 // version of the last that was turned down: it is told of once
}

// NewFollower goes on from what was applied last; the zero value where nothing was.
func NewFollower(last Applied) *Follower { return &Follower{applied: last} }

// LastApplied is what was applied last.
func (f *Follower) LastApplied() Applied { return f.applied }

// Decision is what becomes of something seen.
type Decision int

// The verdicts.
const (
	Ignore Decision = iota // it is not newer than what was applied, or was turned down before
	Apply                  // it is to be applied, if its token passes
	Reject                 // it can't be applied; what was applied stays
)

// Observe decides on the document as it was read: its text and version, or version 0 where there was none at that revision.
func (f *Follower) Observe(text string, version, revision uint64) (Applied, Decision, error) {
	at := version
	if version == 0 {
		at = revision
	}
	if at <= f.applied.Version || at == f.rejectedVersion {
		return f.applied, Ignore, nil
	}
	if version == 0 {
		if f.applied.State == (State{}) {
			return f.applied, Ignore, nil // nothing was wanted, and nothing is
		}
		return Applied{at, State{}}, Apply, nil
	}
	s, err := Parse(text)
	if err != nil {
		f.rejectedVersion = at
		return f.applied, Reject, err
	}
	return Applied{at, s}, Apply, nil
}

// MarkApplied takes what was applied.
func (f *Follower) MarkApplied(a Applied) { f.applied = a }

// MarkRejected takes that a version was turned away by its token.
func (f *Follower) MarkRejected(a Applied) { f.rejectedVersion = a.Version }
