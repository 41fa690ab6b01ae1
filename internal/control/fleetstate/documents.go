package fleetstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"sloehitch/internal/control/disruption"
)

// Keys of the documents.
const (
	// DrainKeyPrefix, followed by a member's name and "/ask" or "/permit", is the key of a DrainRequest or a Permit.
	DrainKeyPrefix = "out/"
	// HaltKeyPrefix, followed by a release's name or HaltAll, is the key of a halt. While it exists, no drain
	// that it covers is started.
	HaltKeyPrefix = "halt/"
	// LastGrantKey is the key of a document that changes with every grant. It is a condition of every grant,
	// so no two grants are decided on the same count of unavailable members.
	LastGrantKey = "permits"
	// BudgetsKey is the key of the disruption.Budgets.
	BudgetsKey = "budget"

	requestKeySuffix = "/ask"
	permitKeySuffix  = "/permit"
)

// HaltAll is the name of the halt that covers all drains and releases.
const HaltAll = "all"

// RequestKey returns the key of a member's drain request.
func RequestKey(member string) string { return DrainKeyPrefix + member + requestKeySuffix }

// PermitKey returns the key of a member's permit.
func PermitKey(member string) string { return DrainKeyPrefix + member + permitKeySuffix }

// RequestMember returns the member whose drain request has the given key. isRequest is false for other keys.
func RequestMember(key string) (member string, isRequest bool) {
	member, isDrain := strings.CutPrefix(key, DrainKeyPrefix)
	member, isRequest = strings.CutSuffix(member, requestKeySuffix)
	return member, isDrain && isRequest
}

// PermitMember returns the member whose permit has the given key. isPermit is false for other keys.
func PermitMember(key string) (member string, isPermit bool) {
	member, isDrain := strings.CutPrefix(key, DrainKeyPrefix)
	member, isPermit = strings.CutSuffix(member, permitKeySuffix)
	return member, isDrain && isPermit
}

// DrainRequest asks for a node or an upstream server to be taken out of service.
type DrainRequest struct {
	ID            string `json:"id"` // unique to each request
	RequestedBy   string `json:"by"`
	Reason        string `json:"why"`
	RequestedAtMS int64  `json:"at"` // Unix milliseconds; for display only
	Urgent        bool   `json:"urgent,omitempty"`
	// ExpiresAtMS is when the request expires, Unix milliseconds. 0 means never.
	ExpiresAtMS int64 `json:"until,omitempty"`
	// DrainTimeoutMS is the time in milliseconds within which the node should have finished its requests. 0 means
	// no limit.
	DrainTimeoutMS int64 `json:"within_ms,omitempty"`
	// ReleaseName is the release on whose behalf the node is drained. It is empty for an operator's drain, which
	// ends when the request is deleted.
	ReleaseName string `json:"release,omitempty"`
	// TargetVersion is, for a release, the version that the node must run when it comes back.
	TargetVersion string `json:"to,omitempty"`
	// FailureReason is why the request failed. A failed request is not granted again.
	FailureReason string `json:"failed,omitempty"`
}

// PermitState is the state of a permit.
type PermitState string

// States of a permit, in order.
const (
	PermitGranted      PermitState = "granted" // the node may start it
	PermitStarted      PermitState = "begun"   // started: the node may go out of service at any moment within its start window
	PermitOutOfService PermitState = "out"     // the node reports that it is out of service
	PermitReturning    PermitState = "back"    // the node is in service again, for less than the minimum ready time
)

// Permit allows a member to be out of service.
type Permit struct {
	ID        string      `json:"id"`
	RequestID string      `json:"ask"`
	State     PermitState `json:"state"`
	GrantedBy string      `json:"by"`    // name of the node that granted it
	Token     uint64      `json:"token"` // fencing token under which it was granted
	// Labels are the member's groups when the permit was granted.
	Labels map[string]string `json:"labels,omitempty"`
	// ReplaceAttempts is how often the node's process was replaced.
	ReplaceAttempts int `json:"tries,omitempty"`
	// StartWindowMS is the start window of a started permit in milliseconds: the node goes out of service within it
	// or not at all.
	StartWindowMS int64 `json:"window_ms,omitempty"`
	// SinceMS is when this state was entered, Unix milliseconds by the clock of the writer; for display only.
	SinceMS int64 `json:"since"`
}

// errTrailingData is returned for a document of more than one value.
var errTrailingData = errors.New("cannot decode the document: it has more than one JSON value")

// Decode decodes and validates the value of a document. It returns an error for unknown fields, because ignoring them
// would change the meaning of the document, and the zero value with every error.
func Decode[T DrainRequest | Permit | disruption.Budgets](text string) (value T, err error) {
	var decoded T
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&decoded); err != nil {
		return value, fmt.Errorf("cannot decode the document: %w", err)
	}
	if d.More() {
		return value, errTrailingData
	}
	if v, ok := any(decoded).(interface{ Validate() error }); ok {
		if err := v.Validate(); err != nil {
			return value, fmt.Errorf("invalid document: %w", err)
		}
	}
	return decoded, nil
}

// CheckDocument returns an error if a document must not be stored under its key. The store calls it before it commits a
// change, so that a version on which no decision can be based never takes the place of a valid one.
func CheckDocument(key, value string) error {
	if key != BudgetsKey {
		return nil
	}
	_, err := Decode[disruption.Budgets](value)
	return err
}

// Encode returns the value of a document. It panics on values that JSON cannot represent, which the documents of
// this package never have.
func Encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}
