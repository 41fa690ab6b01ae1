// Package drainpermit decides how a node goes out of service by choice, and comes back: who asked, the permit that the fleet's budget
// gives (package budget), the node's own steps, and when a permit is given back. It has no I/O and no clock.
//
// A permit is a document of the store. Its keeper, one at a time, grants it in one transaction with the count of those that are out. The
// node has its beginning agreed on before it begins, in a transaction that is made only if the permit still stands and nobody has
// halted meanwhile: what was freed or halted can't be begun, however late a process wakes up. Between that answer and the node's
// going out there is a window, which the node counts from before it asked and others from after (package lease): a halt is
// acknowledged once no window is open.
package drainpermit

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
)

// Keys of the documents.
const (
	KeyPrefix     = "out/"    // and a node's name, and "/ask" or "/permit": an Ask or a Permit
	HaltKeyPrefix = "halt/"   // and a release's name, or All: nothing of it begins while it is there
	LastGrantKey  = "permits" // changed with each grant, so that no two are decided on one count
	BudgetsKey    = "budget"  // budget.Rules
)

// RequestKey is the key of a node's ask, PermitKey that of its permit.
func RequestKey(node string) string { return KeyPrefix + node + "/ask" }
func PermitKey(node string) string  { return KeyPrefix + node + "/permit" }

// HaltAll is what halts everything voluntary.
const HaltAll = "all"

// Request is a wish that a node go out of service.
type Request struct {
	ID             string `json:"id"` // new with each
	RequestedBy    string `json:"by"`
	Reason         string `json:"why"`
	RequestedAtMS  int64  `json:"at"` // Unix milliseconds; for people
	Urgent         bool   `json:"urgent,omitempty"`
	ExpiresAtMS    int64  `json:"until,omitempty"`     // Unix milliseconds, at which it lapses by itself; 0: it does not
	DrainTimeoutMS int64  `json:"within_ms,omitempty"` // in which the node should be empty; 0: no matter
	ReleaseName    string `json:"release,omitempty"`   // on whose behalf; empty: an operator's drain, which ends when the ask is taken back
	TargetVersion  string `json:"to,omitempty"`        // of a release: what the node is to come back as
	FailureReason  string `json:"failed,omitempty"`    // why it came to nothing; it is not granted again
}

// State is how far a permit is.
type State string

// The states.
const (
	Granted      State = "granted" // the node may have its beginning agreed on
	Started      State = "begun"   // agreed on: it may go out at any moment within its window
	OutOfService State = "out"     // the node says that it is out
	Returning    State = "back"    // it is in service again, and not yet warm
)

// Permit is a node's right to be out.
type Permit struct {
	ID              string            `json:"id"`
	RequestID       string            `json:"ask"` // the ask's id
	State           State             `json:"state"`
	GrantedBy       string            `json:"by"` // the keeper
	Token           uint64            `json:"token"`
	Labels          map[string]string `json:"labels,omitempty"`    // the node's groups when it was granted
	ReplaceAttempts int               `json:"tries,omitempty"`     // times that it was replaced
	StartWindowMS   int64             `json:"window_ms,omitempty"` // of one that is begun: its node goes out within it, or not at all
	SinceMS         int64             `json:"since"`               // Unix milliseconds, of this state by the clock of who wrote it; for people
}

// Decode reads a document's text into an Ask, a Permit or budget.Rules. It errs on what it does not know: to act on half of it is to act on
// another.
func Decode[T Request | Permit | disruption.Budgets](text string) (v T, err error) {
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, fmt.Errorf("it can't be read: %w", err)
	}
	if d.More() {
		return v, errors.New("it can't be read: there is more than one")
	}
	return v, nil
}

// Encode is a document's text.
func Encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil { // strings, numbers and maps of them always marshal
		panic(err)
	}
	return string(text)
}

// Report is what a node tells of itself that counts here.
type Report struct {
	State           string                    `json:"state"` // ready, out of service, leaving or starting
	Healthy         bool                      `json:"well"`
	InServiceMS     int64                     `json:"in_ms"` // for how long it has been in service and well
	Running         int                       `json:"running"`
	Queued          int                       `json:"held"`
	Zone            string                    `json:"zone"`
	Kind            string                    `json:"kind"`
	DeployedVersion string                    `json:"release"` // what is deployed on it
	ProcessStartMS  int64                     `json:"since"`   // Unix milliseconds, when its process began
	Served          uint64                    `json:"served"`
	Rejected        uint64                    `json:"refused"`
	Failed          uint64                    `json:"errors"`
	P99MS           float64                   `json:"p99_ms"`
	DrainOverdue    bool                      `json:"overdue,omitempty"` // it is out and not empty after the time that it was to take
	Upstreams       map[string]UpstreamStatus `json:"below,omitempty"`   // servers of its pool, by address
}

// UpstreamStatus is a server of a node's pool, as that node sees it.
type UpstreamStatus struct {
	Routable bool `json:"uses"` // it may send to it
	InFlight int  `json:"open"` // requests there
	Healthy  bool `json:"well"` // it is not left out after failures
}

// Labels are the groups that a node is in.
func (r Report) Labels() map[string]string {
	return map[string]string{"zone": r.Zone, "kind": r.Kind}
}

// Availability says why a node counts as out by what it tells, beside any permit: settle is for how long it is to be in and well before it
// counts as in.
func (r Report) Availability(settle time.Duration) disruption.Availability {
	switch {
	case r.State == "leaving" || r.State == "out of service":
		return disruption.Draining
	case r.State != "ready" || !r.Healthy:
		return disruption.NotReady
	case r.InServiceMS < settle.Milliseconds():
		return disruption.WarmingUp
	}
	return disruption.Available
}
