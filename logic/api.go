// Package logic decides, inside one server, which requests it runs, holds and turns away.
//
// This file is the interface; the decisions stand in logic.go. A host creates one Server for each
// process with New, hands it what happened with Step, and carries out the actions that Step returns.
package logic

// Micros is an instant or a span in microseconds. The origin of instants is the host's choice.
type Micros int64

// RequestID names one try of a request. Each try has an id of its own.
type RequestID uint64

// Idempotency says whether a request may run more than once.
type Idempotency int

const (
	Idempotent      Idempotency = iota // running it again does no harm
	IdempotentByKey                    // a repeat can be told by its key; it must run once within the window
	NonIdempotent                      // must never run twice, and repeats cannot be told
)

// SignalMode is what callers do with the value of ActSay.
type SignalMode int

const (
	SignalOff              SignalMode = iota // callers take no value
	SignalPriorityFloor                      // callers send nothing with a rank below the value
	SignalConcurrencyLimit                   // each caller has at most that many requests out here
	SignalWeight                             // the chance, 0 to 1, that a caller does not skip this server
)

// StopMode is what ActStop does to running work.
type StopMode int

const (
	StopOff     StopMode = iota // work cannot be stopped
	StopDiscard                 // what was done is lost and the request is held again
	StopPause                   // the work pauses, keeps its memory and can go on
)

// Class describes one class of requests.
type Class struct {
	Name                string
	LatencyObjective    Micros  // an answer within this span of the first try earns the full worth
	ObjectivePerWork    float64 // the aim grows by this many times the request's own work
	ClientTimeout       Micros  // how long a client waits in all
	PriorityWeight      float64 // worth of an answer within the aim
	LateWeightShare     float64 // share of the worth after the aim and before the deadline
	Idempotency         Idempotency
	IdempotencyWindow   Micros  // Keyed: how long after arriving here a request can come back
	CallsDependency     bool    // its runs may call the dependency
	DegradedWeightShare float64 // share of the worth of an answer that left a call out; 0 forbids ActGoOn
}

// Tenant describes one tenant.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests a second inside its share, over all servers
}

// Settings is what a server is told when it starts.
type Settings struct {
	Classes []Class
	Tenants []Tenant

	FleetSize int  // servers of the fleet listed at this start
	SlowStart bool // just started, and slow until warm

	Cores                 int
	MemoryKB              float64
	RunMemoryFactor       float64 // memory of a running or paused request over that of a held one
	KeyEntryKB            float64 // memory of one entry of the table of keys
	SlowStartCapacity     float64 // a cold server's share of its speed is no lower than this
	SlowStartDuration     Micros  // and it is warm after this long at most
	MaxConcurrencyPerCore float64 // requests on the cores for each core that a warm server survives
	ConcurrencyWindow     Micros  // the span over which they are averaged

	ResponseGrace Micros // how long after its due time an answer is still valid
	DrainGrace    Micros // what arrives later than this after EvDrain must not run
	StepInterval  Micros // least time between two steps

	CallConcurrencyLimit  float64 // this server's share of the calls in hand that the dependency survives; 0: none told
	CallConcurrencyWindow Micros  // the span over which they are averaged
	AbandonedCallDuration Micros  // a call given up stays in the dependency's hands this long at most

	DeadlinePropagated bool // arrivals carry how long the caller still waits
	StopMode           StopMode
	SignalMode         SignalMode
	MaxRetryAfter      Micros // longest advice to stay away that callers honour; 0: none
	CallerIdleTimeout  Micros // callers close idle connections after this long
	WeightPerWork      bool   // worth counts for each unit of work, not for each request

	OverQuotaWeightShare float64 // worth of a request over its tenant's share, as a share of its class's
}

// EventKind says what happened.
type EventKind int

const (
	EventArrival    EventKind = iota // a request was read and is now held: Arrival
	EventRunEnded                    // a run or a join ended: ID, Outcome, Elapsed
	EventCallNeeded                  // a run stands at a call: ID
	EventCallEnded                   // a call ended: ID, Outcome, Elapsed
	EventCanceled                    // nobody waits for the request any longer: ID
	EventTimer                       // a timer is due: Tag, Gauges
	EventDrain                       // the server leaves service: Left
)

// Outcome is how a run or a call ended.
type Outcome int

const (
	OutcomeFailed      Outcome = iota // the run or call failed; it may have had its effect
	OutcomeOK                         // it went well
	OutcomeRejected                   // the call was rejected unexamined
	OutcomeTimedOut                   // the call was given up on; it may still have its effect
	OutcomeUnreachable                // the dependency could not be reached
	OutcomeReset                      // the call was interrupted; it may have had its effect
	OutcomeCanceled                   // the run was stopped
	OutcomeNotStarted                 // nothing was started: the request was already over
)

// NeverRan reports whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeNotStarted
}

// Arrival is a request as read.
type Arrival struct {
	Class          int     // index into Settings.Classes
	Tenant         int     // index into Settings.Tenants; -1 without tenants
	MemoryKB       float64 // memory while held
	WorkHint       Micros  // a guess of its core time; 0 without a valid one
	AttemptTimeout Micros  // how long the caller still waits for this try; 0 where not told
	Age            Micros  // how long ago it reached the machine
	Retry          bool    // marked as a later try or second copy
	PriorityRank   float64 // its place by worth, 0 up to just under 1
	OriginalID     RequestID
	CallerID       int // the caller
}

// Gauges are the server's own meters; a negative value was not measured.
type Gauges struct {
	CPUUtilization    float64 // share of the cores busy lately
	RunQueueLength    float64 // all that wants a core now
	MemoryUtilization float64 // share of the memory in use
	Connections       float64 // open connections
}

// Event is one thing that happened. Kind says which of the other fields hold.
type Event struct {
	Kind       EventKind
	ID         RequestID
	Arrival    Arrival
	Outcome    Outcome
	Elapsed    Micros // since the action that began it
	TimeToKill Micros // EvDrain: how long until the kill
	TimerID    uint64
	Gauges     Gauges
}

// ActionKind says what to do.
type ActionKind int

const (
	ActionRun            ActionKind = iota // start a held request, or go on with a paused one: ID
	ActionReject                           // final answer: turned away, never ran: ID, Span (advice), Last
	ActionFail                             // final answer: an error, with no guarantee: ID
	ActionStop                             // stop running work: ID
	ActionCoalesce                         // serve a repeat from its forerunner's result: ID
	ActionStoreKey                         // put or renew the request's entry in the table of keys: ID, Span
	ActionDeleteKey                        // remove the entry: ID
	ActionCall                             // make the call the request stands at: ID, Span (time-out)
	ActionSkipCall                         // go on without the call: ID
	ActionSetTimer                         // ask for an EvTimer: Tag, Span
	ActionSetLoadSignal                    // set the free value that callers hear: Value
	ActionSetHealth                        // set what health checks hear, answered from store: On
	ActionSetIdleTimeout                   // how long an unused connection may stay: Span
)

// Action is one thing to do. Kind says which of the other fields hold.
type Action struct {
	Kind       ActionKind
	ID         RequestID
	Duration   Micros
	LoadSignal float64
	TimerID    uint64
	NoFailover bool // ActRefuse: another server will not help
	Healthy    bool // ActHealth: the server is well
}

// Average is an exponentially moving average that weighs its first samples evenly.
type Average struct {
	Mean    float64 `json:"Mean"`
	Samples int     `json:"N"` // samples
}

// Estimate is what is learned of a class's run times.
type Estimate struct {
	RunTime       Average `json:"Run"`    // T_m, in microseconds
	HintedRunTime Average `json:"Hinted"` // T_m of runs with a hint
	Hint          Average `json:"Hint"`   // their mean hint
	Covariance    float64 `json:"Cov"`    // covariance of hint and run time
	HintVariance  float64 `json:"Spread"` // variance of the hint
}

// LearnedState is what a server has found out that a new one for the same settings can begin with (Server.Learned, Adopt).
type LearnedState struct {
	RunLimit         float64             `json:"Limit"`    // the running limit
	CompletionGap    Average             `json:"Gap"`      // microseconds between completions while the cores are full
	CallTime         Average             `json:"CallTime"` // microseconds of a call
	MinCallTime      float64             `json:"CallBest"` // the least that its mean has been lately
	RejectedShare    Average             `json:"Refusing"` // share of requests refused
	TimeoutHistogram []float64           `json:"Told"`     // how often callers told which share of the deadline
	Classes          map[string]Estimate `json:"Classes"`  // by name
	TenantTokens     map[string]float64  `json:"Tokens"`   // what is left of each tenant's quota here, by name
}
