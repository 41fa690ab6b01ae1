package logic

// Micros is a point in time or a duration, in microseconds. The host chooses the epoch of points in time; the
// time must not decrease from one Step to the next. Micros has no String method because hand-over snapshots
// compare settings by their printed values.
type Micros int64

// RequestID identifies one attempt of a request. Each attempt has its own ID, greater than 0.
type RequestID uint64

// Idempotency says whether a request may run more than once. Like Micros, it has no String method.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // repeats carry a key; must run at most once within the window
	NonIdempotent                      // must never run twice, and repeats can't be recognized
)

// SignalMode says what callers do with the load signal (ActionSetLoadSignal).
type SignalMode int

// The ways in which callers use the load signal.
const (
	SignalOff              SignalMode = iota // callers use no signal
	SignalPriorityFloor                      // callers send no request with a rank below the value, 0 to 1
	SignalConcurrencyLimit                   // each caller keeps at most that many requests in flight here
	SignalWeight                             // probability, 0 to 1, with which callers pick this server
)

// StopMode is what ActionStop does to a run.
type StopMode int

// The effects of stopping a run.
const (
	StopOff     StopMode = iota // runs can't be stopped
	StopDiscard                 // the run's work is discarded and the request is queued again
	StopPause                   // the run is paused, keeps its memory and can be resumed
)

// Class describes one class of requests. The order of the fields matters: hand-over snapshots compare classes
// by their printed values.
type Class struct {
	Name                string
	LatencyObjective    Micros      // from the first attempt; an answer within it earns the full weight
	ObjectivePerWork    float64     // increase of the objective per microsecond of WorkHint
	ClientTimeout       Micros      // from the first attempt; the client's timeout over all attempts
	PriorityWeight      float64     // weight of an answer within the objective; only ratios matter
	LateWeightShare     float64     // share of the weight, 0 to 1, after the objective and before the timeout
	Idempotency         Idempotency // whether a request may run again
	IdempotencyWindow   Micros      // IdempotentByKey: time after the arrival in which repeats can arrive
	CallsDependency     bool        // runs may call the dependency
	DegradedWeightShare float64     // share of the weight if a call was skipped; 0 forbids ActionSkipCall
}

// Tenant describes one tenant.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // quota in requests per second, over all servers of the fleet
}

// Settings configures a Server (New, Server.Reconfigure).
type Settings struct {
	Classes []Class
	Tenants []Tenant

	FleetSize int  // number of servers in the fleet, including this one
	SlowStart bool // the server has just started and is slow until it has warmed up

	Cores                 int
	MemoryKB              float64 // kilobytes for queued and running requests and for key entries
	RunMemoryFactor       float64 // memory of a running or paused request relative to a queued one
	KeyEntryKB            float64 // kilobytes per entry of the idempotency key table
	SlowStartCapacity     float64 // share of full speed, 0 to 1, of a server that has just started
	SlowStartDuration     Micros  // time in which the speed rises linearly to full speed
	MaxConcurrencyPerCore float64 // mean number of runs per core that a warm server sustains
	ConcurrencyWindow     Micros  // time over which that mean is taken

	ResponseGrace Micros // time after the deadline during which an answer is still valid
	DrainGrace    Micros // requests that arrive later than this after EventDrain must not run
	StepInterval  Micros // minimum time between two steps

	CallConcurrencyLimit  float64 // mean calls in flight at a shared dependency; 0: no limit
	CallConcurrencyWindow Micros  // time over which that mean is taken
	AbandonedCallDuration Micros  // maximum time that a call stays in flight after it timed out

	DeadlinePropagated bool       // arrivals carry their AttemptTimeout
	StopMode           StopMode   // effect of stopping a run
	SignalMode         SignalMode // how callers use the load signal
	MaxRetryAfter      Micros     // longest Retry-After that callers honor; 0: they honor none
	CallerIdleTimeout  Micros     // time after which callers close idle connections
	WeightPerWork      bool       // weights apply per unit of work instead of per request

	OverQuotaWeightShare float64 // weight of a request over its tenant's quota, as a share of its class's
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events, each with the Event fields that it uses.
const (
	EventArrival    EventKind = iota // a request was read and awaits a decision: ID, Arrival
	EventRunEnded                    // a run or a coalesced request ended: ID, Outcome, Elapsed
	EventCallNeeded                  // a run waits to make a call: ID
	EventCallEnded                   // a call ended: ID, Outcome, Elapsed
	EventCanceled                    // the caller canceled the request or disconnected: ID
	EventTimer                       // the timer expired: TimerID, Gauges
	EventDrain                       // the process is shutting down: TimeToKill
)

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes. Only those for which NeverRan returns true prove that nothing was executed.
const (
	OutcomeFailed      Outcome = iota // failed, and may have had side effects
	OutcomeOK                         // succeeded
	OutcomeRejected                   // the dependency rejected the call without processing it
	OutcomeTimedOut                   // the call timed out and may still have side effects
	OutcomeUnreachable                // no connection to the dependency could be established
	OutcomeReset                      // the connection broke during the call, which may have had side effects
	OutcomeCanceled                   // the run was stopped
	OutcomeNotStarted                 // nothing was started because the request had already ended
)

// NeverRan reports whether the outcome proves that nothing was executed.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotStarted
}

// Arrival describes a request that was read.
type Arrival struct {
	Class          int       // index into Settings.Classes
	Tenant         int       // index into Settings.Tenants; -1 without a tenant
	MemoryKB       float64   // kilobytes while queued
	WorkHint       Micros    // estimate of its core time; 0 without a valid one
	AttemptTimeout Micros    // how long the caller still waits for this attempt; 0: unknown
	Age            Micros    // time since it reached the machine
	Retry          bool      // marked as a retry or a hedged request
	PriorityRank   float64   // rank among all requests by weight, from 0 to just under 1
	OriginalID     RequestID // earlier attempt with the same key; 0: none
	CallerID       int
	Idempotency    Idempotency // under which it was read; Idempotent: that of its class at the arrival
}

// Gauges are the server's own measurements. A negative value means that the gauge was not measured.
type Gauges struct {
	CPUUtilization    float64 // recent share of the cores that were busy, 0 to 1
	RunQueueLength    float64 // threads running on a core or waiting for one
	MemoryUtilization float64 // share of the memory in use, 0 to 1
	Connections       float64 // open connections
}

// Event is an event reported by the host. Kind determines which of the other fields are set.
type Event struct {
	Kind       EventKind
	ID         RequestID
	Arrival    Arrival
	Outcome    Outcome
	Elapsed    Micros // since the action that started the run or call
	TimeToKill Micros // EventDrain: time until the process is killed
	TimerID    uint64 // TimerID of the ActionSetTimer
	Gauges     Gauges
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions, each with the Action fields that it uses.
const (
	ActionRun            ActionKind = iota // start a queued request or resume a paused run: ID
	ActionReject                           // final answer, rejected: ID, Duration (Retry-After), NoFailover
	ActionFail                             // final answer, an error; there may be side effects: ID
	ActionStop                             // stop the run: ID
	ActionCoalesce                         // answer the repeat with the result of its original: ID
	ActionStoreKey                         // store or renew the request's key entry: ID, Duration
	ActionDeleteKey                        // delete the key entry: ID
	ActionCall                             // make the call that the run waits for: ID, Duration (timeout)
	ActionSkipCall                         // resume the run without the call: ID
	ActionSetTimer                         // send an EventTimer after a delay: TimerID, Duration
	ActionSetLoadSignal                    // set the load signal for callers: LoadSignal
	ActionSetHealth                        // set the answer to health checks: Healthy
	ActionSetIdleTimeout                   // close connections that have been idle for Duration
)

// Action is an action for the host to carry out. Kind determines which of the other fields are set.
type Action struct {
	Kind       ActionKind
	ID         RequestID
	Duration   Micros
	LoadSignal float64 // its meaning depends on Settings.SignalMode
	TimerID    uint64
	NoFailover bool // ActionReject: an attempt at another server is expected to be rejected too
	Healthy    bool
}

// Average is an exponentially weighted moving average whose first samples are weighted equally. Its JSON form
// is stored in hand-over snapshots.
type Average struct {
	Mean    float64 `json:"Mean"`
	Samples int     `json:"N"`
}

// Estimate holds the run time statistics of a class (estimate.go). Its JSON form is stored in hand-over
// snapshots.
type Estimate struct {
	RunTime       Average `json:"Run"`    // microseconds
	HintedRunTime Average `json:"Hinted"` // run times of runs with a hint, microseconds
	Hint          Average `json:"Hint"`   // hints of these runs, microseconds
	Covariance    float64 `json:"Cov"`    // of hint and run time
	HintVariance  float64 `json:"Spread"`
}

// LearnedState is what a server has learned about its load. A later process with the same settings can start
// from it (Server.LearnedState, Server.RestoreLearned). Its JSON form is stored in hand-over snapshots.
type LearnedState struct {
	RunLimit         float64             `json:"Limit"`    // concurrent runs
	CompletionGap    Average             `json:"Gap"`      // microseconds between completions on full cores
	CallTime         Average             `json:"CallTime"` // microseconds of a call
	MinCallTime      float64             `json:"CallBest"` // lowest recent mean call time, microseconds
	RejectedShare    Average             `json:"Refusing"` // share of requests rejected, 0 to 1
	TimeoutHistogram []float64           `json:"Told"`     // histogram of attempt timeouts (attempts.go)
	Classes          map[string]Estimate `json:"Classes"`  // by class name
	TenantTokens     map[string]float64  `json:"Tokens"`   // quota tokens left, by tenant name
}
