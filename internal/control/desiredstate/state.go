// Package desiredstate decides what a node does with the state that the fleet wants it to have. The state is
// a document of the replicated store; a node may read it from a member that lags behind, so documents arrive
// late, repeatedly and out of order. The package has no I/O and no clock.
package desiredstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// KeyPrefix followed by a node's name, is the key of the document with the node's desired state.
const KeyPrefix = "desired/"

// State is the desired state of a node. Its zero value is that of a node without a document.
type State struct {
	// OutOfService asks the node to fail its health checks. It still serves the requests that come.
	OutOfService bool `json:"out"`
	// Task is the leased task on whose behalf the state was written, and Token the fencing token of its lease.
	// Both are zero for a state that an operator wrote.
	Task        string `json:"duty,omitempty"`
	Token       uint64 `json:"token,omitempty"`
	RequestedBy string `json:"by,omitempty"`
	Reason      string `json:"why,omitempty"`
}

// Errors of Parse.
var (
	errTrailingData  = errors.New("the wished state can't be read: there is more than one")
	errTaskWithToken = errors.New("the wished state is of a duty without a token, or of a token without a duty")
)

// Parse decodes a document. It returns an error for fields that it does not know: half of a desired state is
// another one.
func Parse(text string) (State, error) {
	var s State
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return State{}, fmt.Errorf("the wished state can't be read: %w", err)
	}
	if d.More() {
		return State{}, errTrailingData
	}
	if (s.Task == "") != (s.Token == 0) {
		return State{}, errTaskWithToken
	}
	return s, nil
}
