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
	CallsDependency   bool          // requests call the dependency after half of their work
	WorkHintCV        float64       // error of the callers' work hints, as a coefficient of variation; 0: exact
}

// Tenant is a customer that makes a share of the requests.
type Tenant struct {
	Name           string
	Share          float64 // of all requests, relative to the other tenants' shares
	QuotaPerSecond float64 // over all nodes
}

// BalancingMethod is how a balancer picks a node. Its values are those of experiment files.
type BalancingMethod string

// The balancing methods.
const (
	RoundRobin        BalancingMethod = "round-robin"
	LeastRequests     BalancingMethod = "least-open"  // fewest requests in flight from this balancer
	PowerOfTwoChoices BalancingMethod = "two-choices" // of two random nodes the one with fewer requests in flight
	Random            BalancingMethod = "random"
)

// World describes a simulated deployment and its load.
type World struct {
	Seed     uint64
	Duration time.Duration // of arrivals; requests in flight at its end are simulated until they end
	WarmUp   time.Duration // at the start; its requests are not counted

	Nodes                 int
	Cores                 int           // of a node
	Speed                 float64       // work that a core does in a second
	Thrash                float64       // slowdown for each doubling of the concurrency above ThrashThreshold; 0: none
	ThrashThreshold       float64       // requests for each core
	MaxConcurrencyPerCore float64       // requests that a node can run for each core, as set in its settings
	MemoryKB              float64       // of a node
	NetworkDelay          time.Duration // one way
	ReadCost              float64       // work to read a request, in multiples of the mean work; 0: none
	DrainGrace            time.Duration // requests that arrive within it after the start of a drain may run; 0: defaultDrainGrace

	Classes        []Class
	ArrivalRate    float64       // requests a second; 0: derived from Load
	Load           float64       // offered work relative to the capacity of all cores
	BurstAmplitude float64       // share by which the rate is above the mean in the first half of a period, and below in the second; 0 to 1
	BurstPeriod    time.Duration // must be above 0 if BurstAmplitude is

	Dependency *Dependency // nil: none
	Tenants    []Tenant    // empty: requests have no tenant

	Balancers          int
	Balancing          BalancingMethod
	MaxRetries         int           // without TryAllNodes
	Backoff            time.Duration // delay before a retry without a Retry-After that is honored
	HonorRetryAfter    bool          // callers wait for Retry-After before a retry, and don't retry after NoFailover
	RetryAfterShare    float64       // share of the balancers that send nothing to a node until its Retry-After has passed, 0 to 1
	TryAllNodes        bool          // a rejected request is sent to the next node without delay
	NoWorkHints        bool          // callers send no work hints
	DeadlinePropagated bool          // callers send their timeouts
	RetryBudget        float64       // retries for each request of a balancer; 0: unbounded
	DiscoveryDelay     time.Duration // until balancers see that a node drains, has ended or has restarted

	SlowStartCapacity float64       // share of its full speed at which a node restarts; 0: full speed
	SlowStartDuration time.Duration // from a restart until full speed

	Faults    []Fault
	Release   *Release // nil: none
	NewServer func(Environment) Server

	// Drive advances the clock to a time and runs all callbacks that are due until then; nil: as fast as possible. With a
	// Drive that follows the machine's clock, servers can be real processes (package loadrig).
	Drive func(c *clock.Virtual, until time.Time)
	// StartTime is the clock's time at the start; zero: defaultStartTime.
	StartTime time.Time

	OnStep func(Step) // called at each step of each request; may be nil
}

const (
	responseGrace     = 80 * time.Millisecond // after a deadline, within which a response is still valid
	defaultDrainGrace = 2 * time.Second

	// A node's call limit is this multiple of its part of the dependency's slots: as many calls again may be queued.
	callConcurrencyFactor = 2
)

// Settings returns the settings of each node.
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

// arrivalRate returns the mean number of new requests a second.
func (w *World) arrivalRate() float64 {
	if w.ArrivalRate > 0 {
		return w.ArrivalRate
	}
	return w.Load * float64(w.Nodes*w.Cores) * w.Speed / (w.meanWork() * (1 + w.ReadCost))
}

// meanWork returns the mean work of a request, in seconds of a core of speed 1.
func (w *World) meanWork() float64 {
	work, share := 0.0, 0.0
	for _, c := range w.Classes {
		work += c.Share * c.Work.Mean
		share += c.Share
	}
	return work / share
}
