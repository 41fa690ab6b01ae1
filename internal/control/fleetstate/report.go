package fleetstate

import (
	"time"

	"sloehitch/internal/control/disruption"
)

// States that a node reports.
const (
	nodeReady        = "ready"
	nodeOutOfService = "out of service"
	nodeLeaving      = "leaving"
)

// NodeReport is the part of a node's report on which drains and releases are decided.
type NodeReport struct {
	State           string  `json:"state"` // "ready", "out of service", "leaving" or "starting"
	Healthy         bool    `json:"well"`
	InServiceMS     int64   `json:"in_ms"`   // for how long it has been in service and healthy, milliseconds
	Running         int     `json:"running"` // requests
	Queued          int     `json:"held"`    // requests
	Zone            string  `json:"zone"`
	Kind            string  `json:"kind"`
	DeployedVersion string  `json:"release"`
	ProcessStartMS  int64   `json:"since"`   // Unix milliseconds
	Served          uint64  `json:"served"`  // requests since the process started
	Rejected        uint64  `json:"refused"` // requests since the process started
	Failed          uint64  `json:"errors"`  // requests since the process started
	P99MS           float64 `json:"p99_ms"`  // 99th percentile of latency, milliseconds
	// DrainOverdue is set if the node is out of service and still has requests after its drain timeout.
	DrainOverdue bool `json:"overdue,omitempty"`
	// Upstreams are the upstream servers in the node's pool, by address.
	Upstreams map[string]UpstreamStatus `json:"below,omitempty"`
}

// UpstreamStatus is the status of an upstream server as observed by one node.
type UpstreamStatus struct {
	Routable bool `json:"uses"` // the node may send requests to it
	InFlight int  `json:"open"` // the node's requests there
	Healthy  bool `json:"well"` // it is not ejected as an outlier
}

// Labels returns the groups of the node by scope.
func (r NodeReport) Labels() map[string]string {
	return map[string]string{"zone": r.Zone, "kind": r.Kind}
}

// Availability returns the node's availability according to its report, regardless of any permit. A node counts
// as available once it has been in service and healthy for minReady.
func (r NodeReport) Availability(minReady time.Duration) disruption.Availability {
	switch {
	case r.State == nodeLeaving || r.State == nodeOutOfService:
		return disruption.Draining
	case r.State != nodeReady || !r.Healthy:
		return disruption.NotReady
	case r.InServiceMS < minReady.Milliseconds():
		return disruption.WarmingUp
	}
	return disruption.Available
}
