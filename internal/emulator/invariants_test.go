package emulator

import (
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
)

// faultyServer is a server that violates an invariant.
type faultyServer struct {
	Server
	environment Environment
	rule        Invariant
	seen        []*Attempt
}

func (s *faultyServer) Submit(t *Attempt, answer func(node.Response)) {
	s.seen = append(s.seen, t)
	switch s.rule {
	case InvariantAnswered:
		if len(s.seen) == 5 {
			return
		}
	case InvariantAnsweredOnce:
		if len(s.seen) == 5 {
			first := answer
			answer = func(a node.Response) { first(a); first(a) }
		}
	case InvariantRunOnce:
		if t.IdempotencyKey != "" {
			s.environment.Clock.AfterFunc(time.Millisecond, func() { s.environment.OnRunStarted(t) })
		}
	case InvariantNoRejection:
		if t.IdempotencyKey != "" {
			s.environment.OnRunStarted(t)
			answer(node.Response{Status: node.StatusRejected})
			return
		}
	}
	s.Server.Submit(t, answer)
}

func (s *faultyServer) Drain(left time.Duration) {
	if s.rule != InvariantDrain {
		s.Server.Drain(left)
	}
}

// TestInvariants: a server that violates an invariant is reported, for each one, with the seed, the time and the events before.
func TestInvariants(t *testing.T) {
	for _, rule := range []Invariant{InvariantAnswered, InvariantAnsweredOnce, InvariantRunOnce, InvariantNoRejection, InvariantDrain} {
		w := smallFleet(3, 0.5, "sloehitch")
		w.Duration, w.WarmUp, w.DiscoveryDelay = 8*time.Second, 0, 4*time.Second
		w.Faults = []Fault{{At: 2 * time.Second, Node: 0, Kind: FaultDrain, Duration: 5 * time.Second}}
		newServer := w.NewServer
		w.NewServer = func(s Environment) Server { return &faultyServer{Server: newServer(s), environment: s, rule: rule} }
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) == 0 {
			t.Errorf("%s: not caught", rule)
			continue
		}
		if b := r.Violations[0]; b.Rule != rule || b.Seed != 3 || b.At <= 0 || len(b.RecentEvents) == 0 || !strings.Contains(b.Error(), "seed 3") {
			t.Errorf("%s: caught as %v", rule, b)
		}
	}
}
