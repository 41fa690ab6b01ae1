package emulator

import (
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Class is one class of requests in a world.
type Class struct {
	Name              string
	Share             float64       // of all requests, relative to the other classes' shares
	Work              Distribution  // in seconds of a core of speed 1
	LatencyObjective  time.Duration // a response within it counts with its full priority weight
	ClientTimeout     time.Duration // the client gives up after it
	PriorityWeight    float64
	HasIdempotencyKey bool
	IdempotencyWindow time.Duration // of a class with idempotency keys
	CallsDependency   bool          // its requests call the dependency after half of their work
	WorkHintCV        float64       // error of the callers' work hints, as a coefficient of variation; 0: exact
}

// Tenant is one customer.
type Tenant struct {
	Name           string
	Share          float64 // of all requests, relative to the other tenants' shares
	QuotaPerSecond float64 // requests a second within its quota, over all nodes
}

// BalancingMethod is how a balancer picks a node. Its values are the words of experiment files.
type BalancingMethod string

// The balancing methods.
const (
	RoundRobin        BalancingMethod = "round-robin"
	LeastRequests     BalancingMethod = "least-open"  // fewest requests in flight from this balancer
	PowerOfTwoChoices BalancingMethod = "two-choices" // the one of two random nodes with fewer requests in flight
	Random            BalancingMethod = "random"
)

// World is one deployment under one load.
type World struct {
	Seed     uint64
	Duration time.Duration // of arrivals; requests in flight at its end are simulated to their ends
	WarmUp   time.Duration // at the start; its requests are not counted

	Nodes                 int
	Cores                 int           // of a node
	Speed                 float64       // work that a core does in a second
	Thrash                float64       // slowdown for each doubling of the concurrency above ThrashThreshold
	ThrashThreshold       float64       // requests for each core
	MaxConcurrencyPerCore float64       // requests for each core that a node survives, as its settings say
	MemoryKB              float64       // of a node
	NetworkDelay          time.Duration // one way
	ReadCost              float64       // work of reading a request, in multiples of the mean work; 0: none
	DrainGrace            time.Duration // after a drain starts, requests that arrive within it may run; 0: defaultDrainGrace

	Classes        []Class
	ArrivalRate    float64       // requests a second; 0: it follows from Load
	Load           float64       // offered work over what all cores can do
	BurstAmplitude float64       // share by which the rate is higher in the first half of a period and lower in the second, 0 to 1
	BurstPeriod    time.Duration // needed where the amplitude is above 0

	Dependency *Dependency // nil: there is none
	Tenants    []Tenant    // none: requests have no tenant

	Balancers          int
	Balancing          BalancingMethod
	MaxRetries         int           // without TryAllNodes
	Backoff            time.Duration // before a retry, where no Retry-After is honored
	HonorRetryAfter    bool          // callers wait for as long as Retry-After says before a retry, and don't retry after NoFailover
	RetryAfterShare    float64       // share of the balancers that keep away from a node for as long as its Retry-After says, 0 to 1
	TryAllNodes        bool          // a rejected request is sent to one node after the other at once
	NoWorkHints        bool          // callers send no work hints
	DeadlinePropagated bool          // callers send their timeouts
	RetryBudget        float64       // retries for each first attempt, by balancer; 0: unbounded
	DiscoveryDelay     time.Duration // until balancers see that a node drains, ended or restarted

	SlowStartCapacity float64       // share of its speed that a node has after a restart; 0: all
	SlowStartDuration time.Duration // until it has all of it

	Faults    []Fault
	Release   *Release // nil: there is none
	NewServer func(Environment) Server

	// Drive advances the clock to a time and runs all callbacks until then; nil: as fast as possible. A driver that follows
	// the machine's clock allows servers that are real processes (package loadrig).
	Drive func(c *clock.Virtual, until time.Time)
	// StartTime is what the clock shows at the start; zero: always the same time.
	StartTime time.Time

	OnStep func(Step) // called at each step of each request; may be nil
}

const (
	responseGrace     = 80 * time.Millisecond // after its deadline, within which a response is still valid
	defaultDrainGrace = 2 * time.Second

	// A class with calls may have its part of the dependency's slots in flight, and as many calls again queued.
	callConcurrencyFactor = 2
)

// Settings are the settings of each node.
func (w *World) Settings() logic.Settings {
	s := logic.Settings{
		Cores:                 w.Cores,
		MemoryKB:              w.MemoryKB,
		RunMemoryFactor:       4,
		MaxConcurrencyPerCore: max(1, w.MaxConcurrencyPerCore),
		ConcurrencyWindow:     micros(1500 * time.Millisecond),
		FleetSize:             w.Nodes,
		ResponseGrace:         micros(responseGrace),
		DrainGrace:            micros(defaultDrainGrace),
		StepInterval:          micros(4 * time.Millisecond),
		StopMode:              logic.StopPause,
		MaxRetryAfter:         micros(time.Second),
		DeadlinePropagated:    w.DeadlinePropagated,
		OverQuotaWeightShare:  0.05,
	}
	if w.DrainGrace > 0 {
		s.DrainGrace = micros(w.DrainGrace)
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{Name: t.Name, QuotaPerSecond: t.QuotaPerSecond})
	}
	if w.Dependency != nil {
		s.CallConcurrencyLimit = callConcurrencyFactor * float64(w.Dependency.Slots) / float64(w.Nodes)
		s.CallConcurrencyWindow = micros(5 * time.Second)
		s.AbandonedCallDuration = micros(200 * time.Millisecond)
	}
	for _, c := range w.Classes {
		s.Classes = append(s.Classes, c.settings())
	}
	return s
}

func (c *Class) settings() logic.Class {
	class := logic.Class{Name: c.Name, LatencyObjective: micros(c.LatencyObjective), ClientTimeout: micros(c.ClientTimeout),
		PriorityWeight: c.PriorityWeight, CallsDependency: c.CallsDependency}
	if c.HasIdempotencyKey {
		class.Idempotency, class.IdempotencyWindow = logic.IdempotentByKey, micros(c.IdempotencyWindow)
	}
	return class
}

func micros(d time.Duration) logic.Micros { return logic.Micros(d.Microseconds()) }

// arrivalRate is the mean rate of new requests, a second.
func (w *World) arrivalRate() float64 {
	if w.ArrivalRate > 0 {
		return w.ArrivalRate
	}
	return w.Load * float64(w.Nodes*w.Cores) * w.Speed / (w.meanWork() * (1 + w.ReadCost))
}

// meanWork is the mean work of a request, in seconds of a core of speed 1.
func (w *World) meanWork() float64 {
	work, share := 0.0, 0.0
	for _, c := range w.Classes {
		work += c.Share * c.Work.Mean
		share += c.Share
	}
	return work / share
}
