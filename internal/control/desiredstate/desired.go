// Package desiredstate decides what a node does with the state that the fleet wants of it: what is newer than the last that was applied is
// taken, what is older, forged by an owner that was overtaken, or not to be understood is not. It has no I/O and no clock.
package desiredstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Prefix and a node's name is the key of the document that says what is wanted of it.
const Prefix = "desired/"

// State is what is wanted of a node. Its zero value is what an unmanaged node does.
type State struct {
	Out   bool   `json:"out"`             // out of service: health checks are answered as bad, what comes is served
	Duty  string `json:"duty,omitempty"`  // on behalf of which it was asked for; empty: by an operator
	Token uint64 `json:"token,omitempty"` // under which that duty was held
	By    string `json:"by,omitempty"`
	Why   string `json:"why,omitempty"`
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
	if (s.Duty == "") != (s.Token == 0) {
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
	last   Applied
	turned uint64 // version of the last that was turned down: it is told of once
}

// NewFollower goes on from what was applied last; the zero value where nothing was.
func NewFollower(last Applied) *Follower { return &Follower{last: last} }

// Last is what was applied last.
func (f *Follower) Last() Applied { return f.last }

// Verdict is what becomes of something seen.
type Verdict int

// The verdicts.
const (
	Old    Verdict = iota // it is not newer than what was applied, or was turned down before
	Apply                 // it is to be applied, if its token passes
	Refuse                // it can't be applied; what was applied stays
)

// Sees decides on the document as it was read: its text and version, or version 0 where there was none at that revision.
func (f *Follower) Sees(text string, version, revision uint64) (Applied, Verdict, error) {
	at := version
	if version == 0 {
		at = revision
	}
	if at <= f.last.Version || at == f.turned {
		return f.last, Old, nil
	}
	if version == 0 {
		if f.last.State == (State{}) {
			return f.last, Old, nil // nothing was wanted, and nothing is
		}
		return Applied{at, State{}}, Apply, nil
	}
	s, err := Parse(text)
	if err != nil {
		f.turned = at
		return f.last, Refuse, err
	}
	return Applied{at, s}, Apply, nil
}

// Did takes what was applied.
func (f *Follower) Did(a Applied) { f.last = a }

// TurnedDown takes that a version was turned away by its token.
func (f *Follower) TurnedDown(a Applied) { f.turned = a.Version }
