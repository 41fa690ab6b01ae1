package emulator

import (
	"math/rand/v2"
	"time"

	"sloehitch/logic"
)

// host is one node of the fleet: a machine and the server process on it.
type host struct {
	name           string
	machine        *Machine
	invariants     *invariantChecker // wraps the server
	reader         *requestReader
	down           bool    // no process is running
	inEndpointList bool    // whether balancers list the node
	incarnation    int     // increases with each start and end of a process; messages to an earlier incarnation are lost
	lossRate       float64 // share of messages lost, 0 to 1
	lossRandom     *rand.Rand
	version        *version // nil without a release
	speedFactor    float64  // of the running version; 0 stands for 1
}

// warmSpeed returns the speed of a node's cores after its slow start.
func (s *simulation) warmSpeed(h *host) float64 {
	if h.speedFactor > 0 {
		return s.World.Speed * h.speedFactor
	}
	return s.World.Speed
}

// startNode starts a server process without any state.
func (s *simulation) startNode(h *host, settings logic.Settings) {
	h.incarnation++
	h.down = false
	h.machine = NewMachine(s.clock, s.Cores, s.World.Speed, s.Thrash, s.ThrashThreshold)
	h.reader = &requestReader{host: h, costPerRequest: s.ReadCost * s.meanWork(), cores: s.Cores}
	h.invariants = &invariantChecker{clock: s.clock, settings: settings, name: h.name, seed: s.Seed, startedAt: s.startedAt,
		open: map[*Attempt]*openAttempt{}, ranAt: map[string]time.Time{},
		onViolation: func(v *Violation) { s.result.Violations = append(s.result.Violations, v) },
		onEvent:     func(event Event, a *Attempt) { s.emit(a.RequestID, a.ID, h.name, event, "") }}
	h.invariants.Server = s.NewServer(Environment{Clock: s.clock, Machine: h.machine, Settings: settings,
		OnRunStarted: h.invariants.runStarted, dependency: s.dependency})
}

// stopNode ends a node's process, which loses what is in flight, and restarts it after restartDelay unless that is 0.
func (s *simulation) stopNode(h *host, restartDelay time.Duration) {
	h.down = true
	h.incarnation++
	h.invariants.stop()
	h.machine.SetSpeed(0) // runs in progress are lost
	for _, a := range h.reader.unread {
		s.breakConnection(h, a)
	}
	s.announce(h, false)
	if restartDelay > 0 {
		s.clock.AfterFunc(restartDelay, func() { s.restartNode(h) })
	}
}

// restartNode starts a node's next process in slow start.
func (s *simulation) restartNode(h *host) {
	settings := s.Settings()
	settings.SlowStart = s.SlowStartCapacity > 0
	settings.SlowStartCapacity = s.SlowStartCapacity
	settings.SlowStartDuration = micros(s.SlowStartDuration)
	s.startNode(h, settings)
	if s.rollout != nil {
		s.rollout.startNextVersion(h)
	}
	s.slowStart(h, h.incarnation, 0)
	s.announce(h, true)
}

// slowStartSteps is the number of steps in which a restarted node reaches its full speed.
const slowStartSteps = 10

// slowStart sets a node's speed for one step of its slow start and schedules the next step.
func (s *simulation) slowStart(h *host, incarnation, step int) {
	if s.SlowStartCapacity == 0 || h.incarnation != incarnation {
		return
	}
	h.machine.SetSpeed(s.warmSpeed(h) * (s.SlowStartCapacity + (1-s.SlowStartCapacity)*float64(step)/slowStartSteps))
	if step < slowStartSteps {
		s.clock.AfterFunc(s.SlowStartDuration/slowStartSteps, func() { s.slowStart(h, incarnation, step+1) })
	}
}

// announce adds a node to the balancers' endpoint list, or removes it, after the discovery delay.
func (s *simulation) announce(h *host, listed bool) {
	s.clock.AfterFunc(s.DiscoveryDelay, func() { h.inEndpointList = listed })
}

// losesMessage draws at random whether a message on the node's link is lost.
func (h *host) losesMessage() bool { return h.lossRate > 0 && h.lossRandom.Float64() < h.lossRate }
