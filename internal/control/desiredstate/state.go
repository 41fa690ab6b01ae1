// Package desiredstate decides which desired states a node applies. A desired state is a document of the replicated
// store. A node may read it from a member that lags behind, so documents arrive late, repeatedly and out of order.
// The package has no I/O and no clock.
package desiredstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// KeyPrefix is the prefix of the keys of desired states. The name of the node follows it.
const KeyPrefix = "desired/"

// State is the desired state of a node. The zero value applies to a node without a document.
type State struct {
	// OutOfService makes the node fail its health checks. It still serves requests that arrive.
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
	errTrailingData  = errors.New("cannot decode the desired state: it has more than one JSON value")
	errTaskWithToken = errors.New("desired state has a duty without a token, or a token without a duty")
)

// Parse decodes a document. It returns an error for unknown fields, because ignoring them would change the meaning
// of the desired state.
func Parse(text string) (State, error) {
	var s State
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return State{}, fmt.Errorf("cannot decode the desired state: %w", err)
	}
	if d.More() {
		return State{}, errTrailingData
	}
	if (s.Task == "") != (s.Token == 0) {
		return State{}, errTaskWithToken
	}
	return s, nil
}
