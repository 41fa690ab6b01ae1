package logic

// Micros is a point in time or a duration, in microseconds. The host chooses the origin of points in time,
// which must not decrease from one Step to the next. It has no String method: hand-over snapshots compare
// settings by their printed values.
type Micros int64

// RequestID identifies one attempt of a request. Each attempt has an ID of its own, above 0.
type RequestID uint64

// Idempotency says whether a request may run more than once. Like Micros it has no String method.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // running it again does no harm
	IdempotentByKey                    // repeats carry a key; it must run once within the window
	NonIdempotent                      // it must never run twice, and repeats can't be recognized
)

// SignalMode says what callers do with the load signal (ActionSetLoadSignal).
type SignalMode int

// The ways in which callers use the load signal.
const (
	SignalOff              SignalMode = iota // they take no signal
	SignalPriorityFloor                      // they send no request with a rank below the value, 0 to 1
	SignalConcurrencyLimit                   // each has at most that many requests in flight here
	SignalWeight                             // probability, 0 to 1, with which they pick this server
)

// StopMode is what ActionStop does to a run.
type StopMode int

// The effects of stopping a run.
const (
	StopOff     StopMode = iota // runs can't be stopped
	StopDiscard                 // what was done is lost and the request is queued again
	StopPause                   // the run pauses, keeps its memory and can be resumed
)

// Class describes one class of requests. Hand-over snapshots compare classes by their printed values: the
// order of the fields matters.
type Class struct {
	Name                string
	LatencyObjective    Micros      // from the first attempt; an answer within it earns the full weight
	ObjectivePerWork    float64     // growth of the objective for each microsecond of WorkHint
	ClientTimeout       Micros      // from the first attempt; the client waits no longer, over all attempts
	PriorityWeight      float64     // weight of an answer within the objective; only ratios count
	LateWeightShare     float64     // share of the weight, 0 to 1, after the objective and before the timeout
	Idempotency         Idempotency // whether it may run again
	IdempotencyWindow   Micros      // IdempotentByKey: how long after its arrival a repeat can come
	CallsDependency     bool        // its runs may call the dependency
	DegradedWeightShare float64     // the same where a call was skipped; 0 forbids ActionSkipCall
}

// Tenant describes one tenant.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests a second within its quota, over all servers of the fleet
}

// Settings is what a server is told when it starts.
type Settings struct {
	Classes []Class
	Tenants []Tenant

	FleetSize int  // servers of the fleet, this one included
	SlowStart bool // the server has just started and is slow until warmed up

	Cores                 int
	MemoryKB              float64 // kilobytes for queued and running requests and for key entries
	RunMemoryFactor       float64 // memory of a running or paused request over a queued one's
	KeyEntryKB            float64 // kilobytes of one entry of the idempotency key table
	SlowStartCapacity     float64 // share of its full speed, 0 to 1, that a server has as it starts
	SlowStartDuration     Micros  // time until full speed, which is approached evenly
	MaxConcurrencyPerCore float64 // runs a core that a warm server survives as a mean
	ConcurrencyWindow     Micros  // time over which that mean is taken

	ResponseGrace Micros // how long after its deadline an answer is still valid
	DrainGrace    Micros // requests that arrive later than this after EventDrain must not run
	StepInterval  Micros // least time between two steps

	CallConcurrencyLimit  float64 // mean calls in flight at a shared dependency; 0: no limit
	CallConcurrencyWindow Micros  // time over which that mean is taken
	AbandonedCallDuration Micros  // longest that a call which timed out stays in flight

	DeadlinePropagated bool       // arrivals carry their AttemptTimeout
	StopMode           StopMode   // what stopping a run does
	SignalMode         SignalMode // what callers do with the load signal
	MaxRetryAfter      Micros     // longest Retry-After that callers honor; 0: they honor none
	CallerIdleTimeout  Micros     // time after which callers close idle connections
	WeightPerWork      bool       // weights count for each unit of work, not for each request

	OverQuotaWeightShare float64 // weight of a request over its tenant's quota, as a share of its class's
}

// EventKind says what happened.
type EventKind int

// The kinds of events, each with the fields of Event that it uses.
const (
	EventArrival    EventKind = iota // a request was read and waits for a decision: ID, Arrival
	EventRunEnded                    // a run or a coalesced request ended: ID, Outcome, Elapsed
	EventCallNeeded                  // a run waits to make a call: ID
	EventCallEnded                   // a call ended: ID, Outcome, Elapsed
	EventCanceled                    // the caller canceled the request or disconnected: ID
	EventTimer                       // the timer is due: TimerID, Gauges
	EventDrain                       // the process is to shut down: TimeToKill
)

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes. Only those for which NeverRan holds prove that nothing was executed.
const (
	OutcomeFailed      Outcome = iota // it failed and may have had its effect
	OutcomeOK                         // it succeeded
	OutcomeRejected                   // the call was rejected before it was examined
	OutcomeTimedOut                   // the call timed out and may still have its effect
	OutcomeUnreachable                // no connection to the dependency could be made
	OutcomeReset                      // the connection broke during the call, which may have had its effect
	OutcomeCanceled                   // the run was stopped
	OutcomeNotStarted                 // nothing was started: the request was over already
)

// NeverRan reports whether the outcome proves that nothing was executed.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotStarted
}

// Arrival is a request as it was read.
type Arrival struct {
	Class          int       // index into Settings.Classes
	Tenant         int       // index into Settings.Tenants; -1 without a tenant
	MemoryKB       float64   // kilobytes while queued
	WorkHint       Micros    // estimate of its core time; 0 without a valid one
	AttemptTimeout Micros    // how long the caller still waits for this attempt; 0 where it is not told
	Age            Micros    // how long ago it reached the machine
	Retry          bool      // marked as a retry or a hedged request
	PriorityRank   float64   // its place among all requests by weight, 0 up to just under 1
	OriginalID     RequestID // the attempt whose key this one repeats; 0: none
	CallerID       int
}

// Gauges are the server's own measurements; a negative value was not measured.
type Gauges struct {
	CPUUtilization    float64 // share of the cores busy lately, 0 to 1
	RunQueueLength    float64 // threads that run on a core or wait for one
	MemoryUtilization float64 // share of the memory in use, 0 to 1
	Connections       float64 // open connections
}

// Event is one thing that happened. Kind says which of the other fields hold.
type Event struct {
	Kind       EventKind
	ID         RequestID
	Arrival    Arrival
	Outcome    Outcome
	Elapsed    Micros // since the action that began the run or call
	TimeToKill Micros // EventDrain: time until the process is killed
	TimerID    uint64 // that of the ActionSetTimer
	Gauges     Gauges
}

// ActionKind says what the host is to do.
type ActionKind int

// The kinds of actions, each with the fields of Action that it uses.
const (
	ActionRun            ActionKind = iota // start a queued request or resume a paused run: ID
	ActionReject                           // final answer, rejected: ID, Duration (Retry-After), NoFailover
	ActionFail                             // final answer, an error; it may have had its effect: ID
	ActionStop                             // stop the run: ID
	ActionCoalesce                         // answer the repeat with the result of its original: ID
	ActionStoreKey                         // store or renew the request's key entry: ID, Duration
	ActionDeleteKey                        // delete the key entry: ID
	ActionCall                             // make the call that the run waits for: ID, Duration (timeout)
	ActionSkipCall                         // resume the run without the call: ID
	ActionSetTimer                         // send an EventTimer after a delay: TimerID, Duration
	ActionSetLoadSignal                    // set the load signal for callers: LoadSignal
	ActionSetHealth                        // set the answer to health checks: Healthy
	ActionSetIdleTimeout                   // close connections that are idle for so long: Duration
)

// Action is one thing that the host is to do. Kind says which of the other fields hold.
type Action struct {
	Kind       ActionKind
	ID         RequestID
	Duration   Micros
	LoadSignal float64 // its meaning depends on Settings.SignalMode
	TimerID    uint64
	NoFailover bool // ActionReject: an attempt at another server is expected to be rejected too
	Healthy    bool
}

// Average is an exponentially weighted moving average whose first samples count equally. Its JSON form is
// stored in hand-over snapshots.
type Average struct {
	Mean    float64 `json:"Mean"`
	Samples int     `json:"N"`
}

// Estimate is what is known of the run times of a class (estimate.go). Its JSON form is stored in hand-over
// snapshots.
type Estimate struct {
	RunTime       Average `json:"Run"`    // microseconds
	HintedRunTime Average `json:"Hinted"` // of runs with a hint, microseconds
	Hint          Average `json:"Hint"`   // of these runs, microseconds
	Covariance    float64 `json:"Cov"`    // of hint and run time
	HintVariance  float64 `json:"Spread"`
}

// LearnedState is what a server has learned of its load and that a later process with the same settings can
// begin with (Server.LearnedState, Server.RestoreLearned). Its JSON form is stored in hand-over snapshots.
type LearnedState struct {
	RunLimit         float64             `json:"Limit"`    // concurrent runs
	CompletionGap    Average             `json:"Gap"`      // microseconds between completions on full cores
	CallTime         Average             `json:"CallTime"` // microseconds of a call
	MinCallTime      float64             `json:"CallBest"` // least mean call time lately, microseconds
	RejectedShare    Average             `json:"Refusing"` // share of requests rejected, 0 to 1
	TimeoutHistogram []float64           `json:"Told"`     // of attempt timeouts (attempts.go)
	Classes          map[string]Estimate `json:"Classes"`  // by class name
	TenantTokens     map[string]float64  `json:"Tokens"`   // requests left of a quota, by tenant name
}
