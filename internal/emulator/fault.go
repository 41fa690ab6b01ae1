package emulator

import (
	"time"

	"sloehitch/internal/node"
)

// Fault is a failure of a node or of the dependency.
type Fault struct {
	At           time.Duration // since the simulation's start
	Node         int           // index of the node
	Kind         FaultKind
	Duration     time.Duration
	Factor       float64       // of FaultSlow, FaultSlowDependency and FaultMessageLoss, above 0 and up to 1
	RestartDelay time.Duration // of FaultDrain and FaultCrash: from the process's end to its restart without state; 0: no restart
}

// FaultKind is the kind of a fault. Its values are those of experiment files.
type FaultKind string

// The kinds of faults.
const (
	FaultStall          FaultKind = "stall" // the node's cores stop for Duration
	FaultSlow           FaultKind = "slow"  // the cores run at Factor of their speed for Duration
	FaultDrain          FaultKind = "leave" // the node drains, and its process ends after Duration
	FaultCrash          FaultKind = "die"   // the process ends at once, and what is in flight is lost
	FaultSlowDependency FaultKind = "below" // the dependency runs at Factor of its speed for Duration; Node is ignored
	FaultMessageLoss    FaultKind = "lossy" // Factor of all messages to and from the node are lost for Duration
)

// applyFault starts a fault and schedules its end.
func (s *simulation) applyFault(f Fault) {
	h := s.nodes[f.Node]
	incarnation := h.incarnation
	unlessRestarted := func(action func()) func() {
		return func() {
			if h.incarnation == incarnation {
				action()
			}
		}
	}
	switch f.Kind {
	case FaultStall, FaultSlow:
		factor := 0.0
		if f.Kind == FaultSlow {
			factor = f.Factor
		}
		h.machine.SetSpeed(factor * s.warmSpeed(h))
		s.clock.AfterFunc(f.Duration, unlessRestarted(func() { h.machine.SetSpeed(s.warmSpeed(h)) }))
	case FaultSlowDependency:
		s.dependency.speed = f.Factor
		s.clock.AfterFunc(f.Duration, func() { s.dependency.speed = 1 })
	case FaultMessageLoss:
		h.lossRate = f.Factor
		s.clock.AfterFunc(f.Duration, func() { h.lossRate = 0 })
	case FaultDrain:
		h.invariants.Drain(f.Duration)
		s.announce(h, false)
		s.clock.AfterFunc(f.Duration, unlessRestarted(func() { s.stopNode(h, f.RestartDelay) }))
	case FaultCrash:
		for _, a := range h.invariants.unanswered() { // they may have run, so they fail instead of being rejected
			s.breakConnection(h, a)
		}
		s.stopNode(h, f.RestartDelay)
	}
}

// breakConnection fails an attempt at its caller after the network delay, as a broken connection does.
func (s *simulation) breakConnection(h *host, a *Attempt) {
	r := s.requestOf[a]
	if r == nil {
		return
	}
	for i := range s.nodes {
		if s.nodes[i] == h {
			s.clock.AfterFunc(s.NetworkDelay, func() { r.handleResponse(i, a, node.Response{Status: node.StatusFailed}) })
		}
	}
}
