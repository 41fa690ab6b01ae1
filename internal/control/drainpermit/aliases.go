package drainpermit

import (
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
)

// The names of package fleetstate that other packages still use from here.

type (
	// Request is fleetstate.DrainRequest.
	Request = fleetstate.DrainRequest
	// Permit is fleetstate.Permit.
	Permit = fleetstate.Permit
	// State is fleetstate.PermitState.
	State = fleetstate.PermitState
	// Report is fleetstate.NodeReport.
	Report = fleetstate.NodeReport
	// UpstreamStatus is fleetstate.UpstreamStatus.
	UpstreamStatus = fleetstate.UpstreamStatus
	// View is fleetstate.View.
	View = fleetstate.View
	// ObservedMember is fleetstate.ObservedMember.
	ObservedMember = fleetstate.ObservedMember
	// Versions is fleetstate.Versions.
	Versions = fleetstate.Versions
)

// Constants of package fleetstate.
const (
	KeyPrefix     = fleetstate.DrainKeyPrefix
	HaltKeyPrefix = fleetstate.HaltKeyPrefix
	BudgetsKey    = fleetstate.BudgetsKey
	HaltAll       = fleetstate.HaltAll
	Started       = fleetstate.PermitStarted
)

// DefaultDecoder is fleetstate.DefaultDecoder.
var DefaultDecoder = fleetstate.DefaultDecoder

// RequestKey is fleetstate.RequestKey.
func RequestKey(member string) string { return fleetstate.RequestKey(member) }

// PermitKey is fleetstate.PermitKey.
func PermitKey(member string) string { return fleetstate.PermitKey(member) }

// UpstreamName is fleetstate.UpstreamName.
func UpstreamName(address string) string { return fleetstate.UpstreamName(address) }

// Encode is fleetstate.Encode.
func Encode(value any) string { return fleetstate.Encode(value) }

// Decode is fleetstate.Decode.
func Decode[T Request | Permit | disruption.Budgets](text string) (T, error) {
	return fleetstate.Decode[T](text)
}

// DecodeView is fleetstate.DecodeView.
var DecodeView = fleetstate.DecodeView
