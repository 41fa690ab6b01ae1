// Package balancer distributes requests over a set of servers. Each rule has a file of its own:
//
//   - selection.go: which server gets a request;
//   - queue.go: which requests wait for a server, and in what order they are served;
//   - concurrency.go: the maximum number of requests in flight on a server;
//   - ejection.go: which servers are ejected as outliers, and when they are probed and readmitted;
//   - slowstart.go: how the load of a new or readmitted server grows (docs/design/slow-start.md);
//   - retry.go: whether a failed attempt is followed by another one.
//
// The package does no I/O and reads no clock: callers pass the current time, which must not go backwards. The same sequence of
// calls with the same seed gives the same results. A Balancer is not safe for concurrent use, and none of its methods block.
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

	MaxQueued int // limit on the number of requests waiting for a server

	FailureThreshold   int           // consecutive failures after which a server is ejected
	BaseEjectionTime   time.Duration // length of the first ejection; doubles with each consecutive one
	MaxEjectionTime    time.Duration // upper bound on an ejection's length, before jitter
	MaxEjectedFraction float64       // fraction of the servers, 0 to 1; one server may always be ejected unless it is the last

	SlowStart            time.Duration // time in which a new or readmitted server reaches its full share of the load
	MinSlowStartFraction float64       // initial load in slow start, as a fraction of a warm server's load, 0 to 1

	MaxAttempts         int     // per request, including the first
	RetryRatio          float64 // retries allowed per first attempt
	MinRetriesPerSecond float64 // retries per second allowed regardless of first attempts
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
	ResultConnectFailed               // no connection was established, so the request can't have run
	ResultBroken                      // the connection broke, or the response was malformed
	ResultTimeout                     // the deadline passed
	ResultCanceled                    // canceled on the client's side; not counted for or against the server
)

// State is the state of a server.
type State int

// The states.
const (
	StateHealthy   State = iota
	StateWarmingUp       // in slow start
	StateEjected         // ejected after failures
	StateProbing         // ejected, with a probe in progress
	StateDraining        // no longer listed; requests in flight are completed
)

// String returns the state's value in metric labels. Dashboards match these values ("in" for StateHealthy, "out" for
// StateEjected), so they must not change.
func (s State) String() string {
	return [...]string{"in", "warming", "out", "probing", "draining"}[s]
}

// server is the balancer's state for one server.
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

	slowStartAt time.Time // start of the last slow start; zero if there was none
	turns       turnSchedule
}

// Balancer distributes requests over servers. It is not safe for concurrent use.
type Balancer struct {
	config   Config
	rng      *rand.Rand
	servers  []*server
	next     int // index of the server at which the next selection starts
	queue    []waiter
	retries  retryBudget
	sendRate movingRate // rate of assigned requests
}

// New returns a balancer without servers.
func New(c Config, seed uint64) *Balancer {
	return &Balancer{config: c, rng: rand.New(rand.NewPCG(seed, 0)), retries: retryBudget{tokens: initialRetryTokens}}
}

// SetServers replaces the list of servers. Servers that stay listed keep their state, servers no longer listed drain, and new
// servers begin in slow start, unless the balancer had no servers before. It returns the assignments of queued requests that this
// allows.
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

// removeDrained removes draining servers that have no requests in flight.
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

// Release reports the result of an attempt on an assigned server. latency is the time to the first byte of the response. It
// returns the assignments of queued requests that the freed capacity allows.
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
	Capacity            int // maximum number of requests in flight at present
	ConsecutiveFailures int
	ProbeIn             time.Duration // time until an ejected server is probed
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
