// Package logic decides, inside one server, which requests it runs, holds and turns away.
//
// This file is the interface; the decisions stand in logic.go. A host creates one Server for each
// process with New, hands it what happened with Step, and carries out the actions that Step returns.
package logic

// Micros is an instant or a span in microseconds. The origin of instants is the host's choice.
type Micros int64

// RequestID names one try of a request. Each try has an id of its own.
type RequestID uint64

// Effect says whether a request may run more than once.
type Effect int

const (
	Safe   Effect = iota // running it again does no harm
	Keyed                // a repeat can be told by its key; it must run once within the window
	Unsafe               // must never run twice, and repeats cannot be told
)

// Signal is what callers do with the value of ActSay.
type Signal int

const (
	SignalNone      Signal = iota // callers take no value
	SignalFloor                   // callers send nothing with a rank below the value
	SignalAllowance               // each caller has at most that many requests out here
	SignalWeight                  // the chance, 0 to 1, that a caller does not skip this server
)

// StopMode is what ActStop does to running work.
type StopMode int

const (
	StopOff     StopMode = iota // work cannot be stopped
	StopDiscard                 // what was done is lost and the request is held again
	StopFreeze                  // the work pauses, keeps its memory and can go on
)

// Class describes one class of requests.
type Class struct {
	Name          string
	Aim           Micros  // an answer within this span of the first try earns the full worth
	AimStretch    float64 // the aim grows by this many times the request's own work
	Deadline      Micros  // how long a client waits in all
	Worth         float64 // worth of an answer within the aim
	LateWorth     float64 // share of the worth after the aim and before the deadline
	Effect        Effect
	Window        Micros  // Keyed: how long after arriving here a request can come back
	Calls         bool    // its runs may call the dependency
	DegradedWorth float64 // share of the worth of an answer that left a call out; 0 forbids ActGoOn
}

// Tenant describes one tenant.
type Tenant struct {
	Name  string
	Quota float64 // requests a second inside its share, over all servers
}

// Settings is what a server is told when it starts.
type Settings struct {
	Classes []Class
	Tenants []Tenant

	Servers int  // servers of the fleet listed at this start
	Cold    bool // just started, and slow until warm

	Cores        int
	MemoryKB     float64
	RunFactor    float64 // memory of a running or paused request over that of a held one
	KeyKB        float64 // memory of one entry of the table of keys
	ColdCapacity float64 // a cold server's share of its speed is no lower than this
	WarmAfter    Micros  // and it is warm after this long at most
	CrowdFactor  float64 // requests on the cores for each core that a warm server survives
	CrowdSpan    Micros  // the span over which they are averaged

	AnswerGrace Micros // how long after its due time an answer is still valid
	DrainGrace  Micros // what arrives later than this after EvDrain must not run
	Tick        Micros // least time between two steps

	CallsShare float64 // this server's share of the calls in hand that the dependency survives; 0: none told
	CallsSpan  Micros  // the span over which they are averaged
	CallLinger Micros  // a call given up stays in the dependency's hands this long at most

	TellsWait   bool // arrivals carry how long the caller still waits
	Stop        StopMode
	Signal      Signal
	MaxAdvice   Micros // longest advice to stay away that callers honour; 0: none
	IdleSpan    Micros // callers close idle connections after this long
	WorthByWork bool   // worth counts for each unit of work, not for each request

	OverShareWorth float64 // worth of a request over its tenant's share, as a share of its class's
}

// EventKind says what happened.
type EventKind int

const (
	EvArrival    EventKind = iota // a request was read and is now held: Arrival
	EvDone                        // a run or a join ended: ID, Outcome, Elapsed
	EvNeedsCall                   // a run stands at a call: ID
	EvCallResult                  // a call ended: ID, Outcome, Elapsed
	EvGone                        // nobody waits for the request any longer: ID
	EvTimer                       // a timer is due: Tag, Gauges
	EvDrain                       // the server leaves service: Left
)

// Outcome is how a run or a call ended.
type Outcome int

const (
	Failed      Outcome = iota // the run or call failed; it may have had its effect
	OK                         // it went well
	Full                       // the call was rejected unexamined
	TimedOut                   // the call was given up on; it may still have its effect
	Unreachable                // the dependency could not be reached
	Reset                      // the call was interrupted; it may have had its effect
	Cancelled                  // the run was stopped
	Moot                       // nothing was started: the request was already over
)

// NeverRan reports whether the outcome proves that nothing was run.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreachable || o == Moot }

// Arrival is a request as read.
type Arrival struct {
	Class      int     // index into Settings.Classes
	Tenant     int     // index into Settings.Tenants; -1 without tenants
	KB         float64 // memory while held
	Hint       Micros  // a guess of its core time; 0 without a valid one
	Wait       Micros  // how long the caller still waits for this try; 0 where not told
	Age        Micros  // how long ago it reached the machine
	Retry      bool    // marked as a later try or second copy
	Rank       float64 // its place by worth, 0 up to just under 1
	Forerunner RequestID
	Source     int // the caller
}

// Gauges are the server's own meters; a negative value was not measured.
type Gauges struct {
	CoreUse     float64 // share of the cores busy lately
	RunQueue    float64 // all that wants a core now
	MemoryShare float64 // share of the memory in use
	Connections float64 // open connections
}

// Event is one thing that happened. Kind says which of the other fields hold.
type Event struct {
	Kind    EventKind
	ID      RequestID
	Arrival Arrival
	Outcome Outcome
	Elapsed Micros // since the action that began it
	Left    Micros // EvDrain: how long until the kill
	Tag     uint64
	Gauges  Gauges
}

// ActionKind says what to do.
type ActionKind int

const (
	ActRun       ActionKind = iota // start a held request, or go on with a paused one: ID
	ActRefuse                      // final answer: turned away, never ran: ID, Span (advice), Last
	ActFail                        // final answer: an error, with no guarantee: ID
	ActStop                        // stop running work: ID
	ActJoin                        // serve a repeat from its forerunner's result: ID
	ActKeepKey                     // put or renew the request's entry in the table of keys: ID, Span
	ActForgetKey                   // remove the entry: ID
	ActCall                        // make the call the request stands at: ID, Span (time-out)
	ActGoOn                        // go on without the call: ID
	ActTimer                       // ask for an EvTimer: Tag, Span
	ActSay                         // set the free value that callers hear: Value
	ActHealth                      // set what health checks hear, answered from store: On
	ActCloseIdle                   // how long an unused connection may stay: Span
)

// Action is one thing to do. Kind says which of the other fields hold.
type Action struct {
	Kind  ActionKind
	ID    RequestID
	Span  Micros
	Value float64
	Tag   uint64
	Last  bool // ActRefuse: another server will not help
	On    bool // ActHealth: the server is well
}

// Average is an exponentially moving average that weighs its first samples evenly.
type Average struct {
	Mean float64
	N    int // samples
}

// Estimate is what is learned of a class's run times.
type Estimate struct {
	Run    Average // T_m, in microseconds
	Hinted Average // T_m of runs with a hint
	Hint   Average // their mean hint
	Cov    float64 // covariance of hint and run time
	Spread float64 // variance of the hint
}

// Learned is what a server has found out that a new one for the same settings can begin with (Server.Learned, Adopt).
type Learned struct {
	Limit    float64             // the running limit
	Gap      Average             // microseconds between completions while the cores are full
	CallTime Average             // microseconds of a call
	CallBest float64             // the least that its mean has been lately
	Refusing Average             // share of requests refused
	Told     []float64           // how often callers told which share of the deadline
	Classes  map[string]Estimate // by name
	Tokens   map[string]float64  // what is left of each tenant's quota here, by name
}
