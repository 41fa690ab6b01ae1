package daemon

import (
	"sync/atomic"

	"sloehitch/internal/admission"
)

// serviceState says whether this node takes callers, and if not, why. Its fields are set and read from several goroutines.
type serviceState struct {
	ready          atomic.Bool // callers are taken
	draining       atomic.Bool // a shutdown has begun
	keepAdvertised atomic.Bool // and another process of this node goes on serving
	closed         atomic.Bool // out of service by the operators' state
	outByDesired   atomic.Bool // out of service by the fleet's desired state
	outByPermit    atomic.Bool // out of service by a drain permit
	evacuated      atomic.Bool // emptied by the operators' call evacuate, until activate
}

// outOfService reports whether this node is out of service by the operators' state, the desired state or a drain permit.
func (s *serviceState) outOfService() bool {
	return s.closed.Load() || s.outByDesired.Load() || s.outByPermit.Load()
}

// advertisedClosed reports whether the directory should list this node as closed.
func (s *serviceState) advertisedClosed() bool {
	return s.outOfService() || s.draining.Load() && !s.keepAdvertised.Load()
}

// reported is the state that the node reports to the fleet.
func (s *serviceState) reported() string {
	switch {
	case s.draining.Load():
		return "leaving"
	case s.evacuated.Load() || s.outOfService():
		return "out of service"
	case !s.ready.Load():
		return "starting"
	}
	return "ready"
}

// nodeStatus is what callers learn of the node: load signal and health by the decisions, unless the node is out of service.
type nodeStatus struct {
	*admission.Controller
	service *serviceState
}

// Healthy is the answer to health checks.
func (n nodeStatus) Healthy() bool {
	return !n.service.outOfService() && !n.service.evacuated.Load() && n.Controller.Healthy()
}

// advertise updates what the directory learns of this node.
func (d *Daemon) advertise() { d.directory.SetClosed(d.service.advertisedClosed()) }
