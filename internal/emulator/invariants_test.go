package emulator

import (
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
)

// faultyServer wraps a server and violates one invariant.
type faultyServer struct {
	Server
	environment Environment
	rule        Invariant
	submitted   []*Attempt
}

func (s *faultyServer) Submit(a *Attempt, respond func(node.Response)) {
	s.submitted = append(s.submitted, a)
	switch s.rule {
	case InvariantAnswered:
		if len(s.submitted) == 5 {
			return
		}
	case InvariantAnsweredOnce:
		if len(s.submitted) == 5 {
			first := respond
			respond = func(response node.Response) { first(response); first(response) }
		}
	case InvariantRunOnce:
		if a.IdempotencyKey != "" {
			s.environment.Clock.AfterFunc(time.Millisecond, func() { s.environment.OnRunStarted(a) })
		}
	case InvariantNoRejection:
		if a.IdempotencyKey != "" {
			s.environment.OnRunStarted(a)
			respond(node.Response{Status: node.StatusRejected})
			return
		}
	}
	s.Server.Submit(a, respond)
}

func (s *faultyServer) Drain(timeLeft time.Duration) {
	if s.rule != InvariantDrain {
		s.Server.Drain(timeLeft)
	}
}

// TestReportsEachViolatedInvariant: for each invariant, its violation is reported with the seed, the time and the recent
// events.
func TestReportsEachViolatedInvariant(t *testing.T) {
	for _, rule := range []Invariant{InvariantAnswered, InvariantAnsweredOnce, InvariantRunOnce, InvariantNoRejection, InvariantDrain} {
		w := smallFleet(3, 0.5, "sloehitch")
		w.Duration, w.WarmUp, w.DiscoveryDelay = 8*time.Second, 0, 4*time.Second
		w.Faults = []Fault{{At: 2 * time.Second, Node: 0, Kind: FaultDrain, Duration: 5 * time.Second}}
		newServer := w.NewServer
		w.NewServer = func(e Environment) Server { return &faultyServer{Server: newServer(e), environment: e, rule: rule} }
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) == 0 {
			t.Errorf("invariant %s: violation not reported", rule)
			continue
		}
		if v := r.Violations[0]; v.Rule != rule || v.Seed != 3 || v.At <= 0 || len(v.RecentEvents) == 0 || !strings.Contains(v.Error(), "seed 3") {
			t.Errorf("invariant %s: reported as %v", rule, v)
		}
	}
}
