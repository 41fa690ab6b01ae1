package daemon

import (
	"sync/atomic"

	"sloehitch/internal/admission"
)

// serviceState holds whether this node accepts callers, and if not, why. It is safe for concurrent use.
type serviceState struct {
	ready          atomic.Bool // the start is complete and callers are accepted
	draining       atomic.Bool // a shutdown has begun
	keepAdvertised atomic.Bool // stay listed during the shutdown, because another process of this node continues to serve
	closed         atomic.Bool // out of service by the operators' state
	outByDesired   atomic.Bool // out of service by the fleet's desired state
	outByPermit    atomic.Bool // out of service by a drain permit
	evacuated      atomic.Bool // unhealthy since the operators' call evacuate, until activate
}

// outOfService reports whether this node is out of service by the operators' state, the desired state or a drain permit.
func (s *serviceState) outOfService() bool {
	return s.closed.Load() || s.outByDesired.Load() || s.outByPermit.Load()
}

// advertisedClosed reports whether the directory should list this node as closed.
func (s *serviceState) advertisedClosed() bool {
	return s.outOfService() || s.draining.Load() && !s.keepAdvertised.Load()
}

// reported returns the state that the node reports to the fleet.
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

// nodeStatus provides the load signal and health of the node to callers. They come from admission, but a node out of service is unhealthy.
type nodeStatus struct {
	*admission.Controller
	service *serviceState
}

// Healthy returns the answer to health checks.
func (n nodeStatus) Healthy() bool {
	return !n.service.outOfService() && !n.service.evacuated.Load() && n.Controller.Healthy()
}

// advertise updates whether the directory should list this node as closed.
func (d *Daemon) advertise() { d.directory.SetClosed(d.service.advertisedClosed()) }
