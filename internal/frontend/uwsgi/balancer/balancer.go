// Package balancer distributes requests over a set of servers. Each rule has a file of its own:
//
//   - selection.go: which server gets a request;
//   - queue.go: which requests wait for a server, and in what order they are served;
//   - concurrency.go: how many requests a server has in flight at most;
//   - ejection.go: which servers are ejected as outliers, and when they are probed and readmitted;
//   - slowstart.go: how the load of a new or readmitted server grows (docs/design/slow-start.md);
//   - retry.go: whether a failed attempt is followed by another one.
//
// The package does no I/O and has no clock: each call is given the time, which must not go back. The same calls with the
// same seed give the same results. A Balancer is not safe for concurrent use, and none of its methods blocks.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the parameters of all rules.
type Config struct {
	MaxConcurrency int // requests in flight on one server; 0: a limit that follows latency (concurrency.go)
	MinLimit       int // bounds and initial value of that limit, in requests
	MaxLimit       int
	InitialLimit   int

	MaxQueued int // requests that wait for a server

	FailureThreshold   int           // consecutive failures after which a server is ejected
	BaseEjectionTime   time.Duration // of the first ejection; doubles with each consecutive one
	MaxEjectionTime    time.Duration // before jitter
	MaxEjectedFraction float64       // of the servers, 0 to 1; one may always be ejected unless it is the last

	SlowStart            time.Duration // in which a new or readmitted server grows to its full share
	MinSlowStartFraction float64       // of a warm server's load that it gets at first, 0 to 1

	MaxAttempts         int     // per request, the first included
	RetryRatio          float64 // retries that each first attempt allows
	MinRetriesPerSecond float64 // retries per second that are allowed without any first attempt
}

// DefaultConfig returns the parameters for a pool of application servers.
func DefaultConfig() Config {
	return Config{MinLimit: 1, MaxLimit: 256, InitialLimit: 16, MaxQueued: 256, FailureThreshold: 3, BaseEjectionTime: 500 * time.Millisecond,
		MaxEjectionTime: 30 * time.Second, MaxEjectedFraction: 0.5, SlowStart: 5 * time.Second, MinSlowStartFraction: 0.1, MaxAttempts: 3,
		RetryRatio: 0.2, MinRetriesPerSecond: 1}
}

// Result is how an attempt on a server ended.
type Result int

// The results.
const (
	ResultOK            Result = iota // a complete response, whatever its status
	ResultConnectFailed               // no connection: the request can't have run
	ResultBroken                      // the connection broke, or the response was malformed
	ResultTimeout                     // the deadline passed
	ResultCanceled                    // canceled on the client's side; it says nothing about the server
)

// State is the state of a server.
type State int

// The states.
const (
	StateHealthy   State = iota
	StateWarmingUp       // in slow start
	StateEjected         // ejected after failures
	StateProbing         // ejected, with a probe under way
	StateDraining        // no longer listed; requests in flight go on
)

// String returns the value of the metric label that shows the state. Dashboards name these values ("in" for StateHealthy, "out"
// for StateEjected), so they keep their text.
func (s State) String() string {
	return [...]string{"in", "warming", "out", "probing", "draining"}[s]
}

// server is what is known of one server.
type server struct {
	name     string
	inFlight int
	draining bool
	limit    concurrencyLimit

	consecutiveFailures  int
	consecutiveEjections int
	ejected              bool
	probing              bool
	ejectedUntil         time.Time

	slowStartAt time.Time // zero: it never was in slow start
	turns       turnSchedule
}

// Balancer distributes requests over servers. See the package's documentation for who may call it.
type Balancer struct {
	config   Config
	rng      *rand.Rand
	servers  []*server
	next     int // index of the server that a selection begins with
	queue    []waiter
	retries  retryBudget
	sendRate movingRate // requests that were assigned
}

// New returns a balancer without servers.
func New(c Config, seed uint64) *Balancer {
	return &Balancer{config: c, rng: rand.New(rand.NewPCG(seed, 0)), retries: retryBudget{tokens: initialRetryTokens}}
}

// SetServers replaces the list of servers. Servers that stay listed keep their state; those no longer listed drain; new ones
// begin in slow start, unless they are the first of all. It returns what is assigned to queued requests.
func (b *Balancer) SetServers(now time.Time, names []string) []Assignment {
	first := len(b.servers) == 0
	for _, s := range b.servers {
		s.draining = !slices.Contains(names, s.name)
	}
	for _, name := range names {
		if b.find(name) != nil {
			continue
		}
		s := &server{name: name, limit: newConcurrencyLimit(b.config)}
		if !first {
			b.beginSlowStart(now, s)
		}
		b.servers = append(b.servers, s)
	}
	b.removeDrained()
	return b.assignQueued(now)
}

// removeDrained drops draining servers without requests in flight.
func (b *Balancer) removeDrained() {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.draining && s.inFlight == 0 })
}

func (b *Balancer) find(name string) *server {
	for _, s := range b.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Release reports how an attempt on an assigned server ended. latency is the time to the first byte of the response. It
// returns what is assigned to queued requests.
func (b *Balancer) Release(now time.Time, name string, r Result, latency time.Duration) []Assignment {
	s := b.find(name)
	if s == nil {
		return nil
	}
	if s.inFlight > 0 {
		s.inFlight--
	}
	switch r {
	case ResultOK:
		s.limit.recordLatency(now, latency, s.inFlight+1, b.config)
		b.recordSuccess(now, s)
	case ResultConnectFailed, ResultBroken, ResultTimeout:
		s.limit.recordFailure(b.config)
		b.recordFailure(now, s)
	}
	b.removeDrained()
	return b.assignQueued(now)
}

// Server is a snapshot of a server's state.
type Server struct {
	Name                string
	State               State
	InFlight            int
	Capacity            int // requests that it may have in flight now
	ConsecutiveFailures int
	ProbeIn             time.Duration // until an ejected server is probed
}

// Servers returns the state of all servers, sorted by name.
func (b *Balancer) Servers(now time.Time) (list []Server) {
	for _, s := range b.servers {
		snapshot := Server{Name: s.name, InFlight: s.inFlight, Capacity: b.capacity(now, s), ConsecutiveFailures: s.consecutiveFailures}
		switch {
		case s.draining:
			snapshot.State = StateDraining
		case s.probing:
			snapshot.State = StateProbing
		case s.ejected:
			snapshot.State, snapshot.ProbeIn = StateEjected, max(0, s.ejectedUntil.Sub(now))
		case b.warmingUp(now, s):
			snapshot.State = StateWarmingUp
		}
		list = append(list, snapshot)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
