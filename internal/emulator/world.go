package emulator

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

var discardLog = slog.New(slog.DiscardHandler)

// Class is one class of requests in a world.
type Class struct {
	Name              string
	Share             float64       // of the requests
	Work              Distribution  // in seconds of a core of speed 1
	LatencyObjective  time.Duration // an answer within it has the full worth
	ClientTimeout     time.Duration // the caller gives up then
	PriorityWeight    float64
	HasIdempotencyKey bool
	IdempotencyWindow time.Duration // of a keyed class
	CallsDependency   bool          // its runs call the dependency half way
	WorkHintCV        float64       // how rough the callers' word of the work is; 0: exact
}

// Tenant is one customer.
type Tenant struct {
	Name           string
	Share          float64 // of the requests
	QuotaPerSecond float64 // requests a second inside its share, over all nodes
}

// BalancingMethod is how a balancer chooses a node.
type BalancingMethod string

// The habits.
const (
	RoundRobin        BalancingMethod = "round-robin"
	LeastRequests     BalancingMethod = "least-open"  // of those that it has open itself
	PowerOfTwoChoices BalancingMethod = "two-choices" // the better of two drawn at random
	Random            BalancingMethod = "random"
)

// World is one deployment under one load.
type World struct {
	Seed                  uint64
	Duration              time.Duration // of arrivals; what is open then is let end
	WarmUp                time.Duration // at the beginning, that counts for nothing
	Nodes                 int
	Cores                 int
	Speed                 float64 // of a core
	Thrash                float64
	ThrashThreshold       float64
	MaxConcurrencyPerCore float64 // requests on the cores for each core that a node survives, as it is told
	MemoryKB              float64
	NetworkDelay          time.Duration // to a node or back
	ReadCost              float64       // work of reading a request, as a share of the mean work; 0: reading costs nothing
	DrainGrace            time.Duration // after the notice to leave, within which what comes may run; 0: 2 s

	Classes        []Class
	ArrivalRate    float64 // first tries a second; 0: from Load
	Load           float64 // of what all cores can do
	BurstAmplitude float64 // how much more comes in the upper half of each BurstEvery, and less in the lower; 0 to 1
	BurstPeriod    time.Duration

	Dependency *Dependency // of the classes that call; nil: none do
	Tenants    []Tenant    // whose requests they are; none: nobody's

	Balancers          int
	Balancing          BalancingMethod
	MaxRetries         int
	Backoff            time.Duration // before a further try, where nothing is advised
	HonorRetryAfter    bool          // advice on when to come back
	RetryAfterShare    float64       // share of the balancers that send a node nothing for as long as it advises
	TryAllNodes        bool          // after a refusal a balancer goes on through its list at once, to its end
	NoWorkHints        bool          // callers say nothing of the work
	DeadlinePropagated bool          // nodes know that callers say how long they wait
	RetryBudget        float64       // further tries for each first one that a balancer makes, a few saved up; 0: no bound
	DiscoveryDelay     time.Duration // after which balancers learn that a node leaves, is gone or has come back

	SlowStartCapacity float64       // share of its speed that a node has as it comes back; 0: all
	SlowStartDuration time.Duration // until it has all

	Faults    []Fault
	Release   *Release // nil: there is none
	NewServer func(Environment) Server

	// Drive moves the clock to a time and makes all calls until then; nil: as fast as it goes. A driver that follows the
	// machine's clock lets servers be real ones (package rig). Begin is when the clock begins; zero: always the same.
	Drive     func(c *clock.Virtual, until time.Time)
	StartTime time.Time

	OnStep func(Step) // is told of each step of each request; nil: nobody is
}

// Step is one thing that happened to a request.
type Step struct {
	At      time.Duration // since the beginning
	Request string
	Attempt string // empty: it is of the request as a whole
	Node    string // empty: it is with its caller
	Event   string // come, sent, offered, run, served, refused, failed, gone, waits or ended (More says how)
	Detail  string
}

// emit tells whoever watches of a step.
func (p *simulation) emit(request, try, node, what, more string) {
	if p.OnStep != nil {
		p.OnStep(Step{p.clock.Now().Sub(p.startedAt), request, try, node, what, more})
	}
}

// Fault is something that happens to a node.
type Fault struct {
	At           time.Duration
	Node         int
	Kind         FaultKind
	Duration     time.Duration
	Factor       float64
	RestartDelay time.Duration // of Leave and Die: after Length, until it is back, cold and knowing nothing; 0: it stays away
}

// FaultKind is what happens.
type FaultKind string

// The faults.
const (
	FaultStall          FaultKind = "stall" // its cores stand still for Length
	FaultSlow           FaultKind = "slow"  // they go at Factor of their speed for Length
	FaultDrain          FaultKind = "leave" // it is told to stop, and is gone after Length
	FaultCrash          FaultKind = "die"   // it is gone at once with all that it had in hand
	FaultSlowDependency FaultKind = "below" // the dependency goes at Factor of its speed for Length; Node counts for nothing
	FaultMessageLoss    FaultKind = "lossy" // of what is sent to it and comes back, Factor is lost for Length
)

// Validate errs where a world can't be played.
func (w *World) Validate() error {
	var errs []error
	want := func(ok bool, what string) {
		if !ok {
			errs = append(errs, errors.New(what))
		}
	}
	want(w.Nodes > 0 && w.Cores > 0 && w.Balancers > 0, "nodes, cores and balancers must be above 0")
	want(w.Speed > 0 && w.Duration > 0, "speed and length must be above 0")
	want(w.WarmUp >= 0 && w.WarmUp < w.Duration, "the warm-up must be shorter than the length")
	want((w.ArrivalRate > 0) != (w.Load > 0), "one of rate and load must be above 0")
	want(w.BurstAmplitude >= 0 && w.BurstAmplitude <= 1 && (w.BurstAmplitude == 0 || w.BurstPeriod > 0), "burst must be from 0 to 1, with the time between two above 0")
	want(w.NewServer != nil, "a policy is wanted")
	w.Release.validate(want)
	want(len(w.Classes) > 0, "classes are wanted")
	for _, c := range w.Classes {
		want(c.Share > 0 && c.Work.Mean > 0 && c.LatencyObjective > 0 && c.ClientTimeout >= c.LatencyObjective, fmt.Sprintf("class %q: share, work and aim must be above 0, and the deadline no sooner than the aim", c.Name))
		want(!c.HasIdempotencyKey || c.IdempotencyWindow > 0, fmt.Sprintf("class %q: a keyed class needs a window above 0", c.Name))
	}
	calls := false
	for _, c := range w.Classes {
		calls = calls || c.CallsDependency
	}
	want(!calls || w.Dependency != nil, "classes call a dependency, and there is none")
	want(w.Dependency == nil || w.Dependency.Slots > 0 && w.Dependency.ServiceTime.Mean > 0 && w.Dependency.MaxQueued >= 0, "the dependency's slots and service must be above 0")
	for _, t := range w.Tenants {
		want(t.Name != "" && t.Share > 0 && t.QuotaPerSecond >= 0, fmt.Sprintf("tenant %q: a name and a share above 0 are wanted", t.Name))
	}
	want(w.ReadCost >= 0 && w.ReadCost <= 10, "read must be from 0 to 10 times the mean work")
	want(w.RetryAfterShare >= 0 && w.RetryAfterShare <= 1, "away must be from 0 to 1")
	want(w.DrainGrace >= 0, "grace must not be below 0")
	want(w.RetryBudget >= 0 && w.DiscoveryDelay >= 0, "budget and notice must not be below 0")
	want(w.SlowStartCapacity >= 0 && w.SlowStartCapacity <= 1, "cold_from must be from 0 to 1")
	switch w.Balancing {
	case RoundRobin, LeastRequests, PowerOfTwoChoices, Random:
	default:
		want(false, fmt.Sprintf("no habit %q: round-robin, least-open, two-choices or random", w.Balancing))
	}
	for _, f := range w.Faults {
		want(f.Node >= 0 && f.Node < w.Nodes, fmt.Sprintf("a fault of node %d, of %d", f.Node, w.Nodes))
		switch f.Kind {
		case FaultStall, FaultDrain, FaultCrash:
		case FaultSlow, FaultMessageLoss, FaultSlowDependency:
			want(f.Kind != FaultSlowDependency || w.Dependency != nil, "a fault of the dependency, and there is none")
			want(f.Factor > 0 && f.Factor <= 1, fmt.Sprintf("a fault %q wants a factor above 0, 1 at most", f.Kind))
		default:
			want(false, fmt.Sprintf("no fault %q: stall, slow, leave, die, lossy or below", f.Kind))
		}
	}
	_, err := logic.New(w.Settings(), 0)
	return errors.Join(append(errs, err)...)
}

// responseGrace is how long after its due time an answer is still valid.
const responseGrace = 80 * time.Millisecond

// Settings are what each node is told.
func (w *World) Settings() logic.Settings {
	s := logic.Settings{Cores: w.Cores, MemoryKB: w.MemoryKB, RunMemoryFactor: 4, MaxConcurrencyPerCore: max(1, w.MaxConcurrencyPerCore), ConcurrencyWindow: 1500000, FleetSize: w.Nodes,
		ResponseGrace: logic.Micros(responseGrace.Microseconds()), DrainGrace: 2000000, StepInterval: 4000, StopMode: logic.StopPause, MaxRetryAfter: 1000000}
	s.DeadlinePropagated = w.DeadlinePropagated
	if w.DrainGrace > 0 {
		s.DrainGrace = logic.Micros(w.DrainGrace.Microseconds())
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{Name: t.Name, QuotaPerSecond: t.QuotaPerSecond})
	}
	s.OverQuotaWeightShare = 0.05
	if w.Dependency != nil { // the share of the slots, and of as much again that may wait, that a node can count on
		s.CallConcurrencyLimit, s.CallConcurrencyWindow, s.AbandonedCallDuration = 2*float64(w.Dependency.Slots)/float64(w.Nodes), 5000000, 200000
	}
	for _, c := range w.Classes {
		class := logic.Class{Name: c.Name, LatencyObjective: logic.Micros(c.LatencyObjective.Microseconds()), ClientTimeout: logic.Micros(c.ClientTimeout.Microseconds()), PriorityWeight: c.PriorityWeight, CallsDependency: c.CallsDependency}
		if c.HasIdempotencyKey {
			class.Idempotency, class.IdempotencyWindow = logic.IdempotentByKey, logic.Micros(c.IdempotencyWindow.Microseconds())
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

// arrivalRate is the first tries a second.
func (w *World) arrivalRate() float64 {
	if w.ArrivalRate > 0 {
		return w.ArrivalRate
	}
	return w.Load * float64(w.Nodes*w.Cores) * w.Speed / (w.meanWork() * (1 + w.ReadCost))
}

// ClassResult is what became of one class's requests, those of the warm-up left out.
type ClassResult struct {
	Offered, WithinObjective, Late, Rejected, Failed, TimedOut int // requests; Expired: their callers gave up
	Attempts                                                   int
	WeightWithinObjective                                      float64                 // of those answered within the aim
	Latency                                                    *hdrhistogram.Histogram // microseconds, of those served
}

// Result is what became of a world.
type Result struct {
	Classes          []ClassResult
	Utilization      float64 // of all cores, over the length
	MeanInSystem     float64 // requests in the system: by the clock, over the length
	MeanByLittlesLaw float64 // the same by Little's law: all requests' time in the system over the length
	Events           uint64
	Violations       []*Violation
	Release          *ReleaseResult // what became of the release, where there was one
}

// Goodput is the worth answered in time over the worth offered.
func (r *Result) Goodput(w *World) float64 {
	got, offered := 0.0, 0.0
	for i, t := range r.Classes {
		got += t.WeightWithinObjective
		offered += float64(t.Offered) * w.Classes[i].PriorityWeight
	}
	return got / max(1e-9, offered)
}

// simulation is a world while it runs.
type simulation struct {
	*World
	clock        *clock.Virtual
	startedAt    time.Time
	nodes        []*host
	balancers    []*balancer
	streams      Streams
	result       *Result
	requestCount int
	candidates   []int // room for choose
	dependency   *sharedDependency
	requestOf    map[*Attempt]*request
	rollout      *rollout // nil: no release goes through it

	inSystem        int // requests in the system
	inSystemSeconds float64
	sojournSeconds  float64
	accountedAt     time.Time
}

type host struct {
	name           string
	machine        *Machine
	invariants     *invariantChecker
	reader         *requestReader
	down           bool    // it takes nothing more
	inEndpointList bool    // as balancers know it
	incarnation    int     // how often it has begun: what was sent to an earlier life is lost
	lossRate       float64 // share of messages lost
	lossRandom     *rand.Rand
	version        *version // nil where there is no release
	speedFactor    float64  // of its speed, by its version; 0: 1
}

// warmSpeed is a node's when it is warm.
func (p *simulation) warmSpeed(h *host) float64 {
	if h.speedFactor > 0 {
		return p.World.Speed * h.speedFactor
	}
	return p.World.Speed
}

// balancer is one caller of the nodes.
type balancer struct {
	number           int
	nextIndex        int
	inFlight         []int
	random           *rand.Rand
	retryTokens      float64     // further tries that it may make now
	honorsRetryAfter bool        // advice to stay away
	avoidUntil       []time.Time // by node: until when
}

// maxRetryTokens is how many further tries a balancer may save up.
const maxRetryTokens = 10

// Run plays a world to its end. It errs where the world can't be played; a broken rule is in the result.
func Run(w World) (*Result, error) {
	if err := w.Validate(); err != nil {
		return nil, err
	}
	begun := time.UnixMilli(1764576000000)
	if !w.StartTime.IsZero() {
		begun = w.StartTime.Round(0)
	}
	p := &simulation{World: &w, clock: clock.NewVirtual(begun), startedAt: begun, accountedAt: begun, streams: Streams{w.Seed}, result: &Result{Release: &ReleaseResult{}}, requestOf: map[*Attempt]*request{}}
	settings := w.Settings()
	if w.Dependency != nil {
		p.dependency = &sharedDependency{Dependency: *w.Dependency, clock: p.clock, random: p.streams.Stream("dependency"), speed: 1}
	}
	for i := range w.Nodes {
		h := &host{name: fmt.Sprint("n", i), inEndpointList: true, lossRandom: p.streams.Stream(fmt.Sprint("loss ", i))}
		p.startNode(h, settings)
		p.nodes = append(p.nodes, h)
	}
	for i := range w.Balancers {
		p.balancers = append(p.balancers, &balancer{number: i, inFlight: make([]int, w.Nodes), avoidUntil: make([]time.Time, w.Nodes),
			honorsRetryAfter: float64(i) < w.RetryAfterShare*float64(w.Balancers), random: p.streams.Stream(fmt.Sprint("balancer ", i))})
	}
	for range w.Classes {
		p.result.Classes = append(p.result.Classes, ClassResult{Latency: hdrhistogram.New(1, 600_000_000, 3)})
	}
	if err := p.setUpRelease(); err != nil {
		return nil, err
	}
	for _, f := range w.Faults {
		p.clock.AfterFunc(f.At, func() { p.applyFault(f) })
	}
	p.scheduleArrival(p.streams.Stream("arrivals"), p.streams.Stream("sizes"), p.streams.Stream("hints"))
	end := begun.Add(w.Duration)
	p.runUntil(end)
	p.accountInSystem()
	p.result.MeanInSystem = p.inSystemSeconds / w.Duration.Seconds()
	for _, h := range p.nodes {
		p.result.Utilization += h.machine.Utilization() / float64(w.Nodes)
	}
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	tail := longest + 10*time.Second // what is open ends
	if w.Drive != nil {
		tail = longest + time.Second // in real time
	}
	p.runUntil(end.Add(tail))
	p.result.MeanByLittlesLaw = p.sojournSeconds / w.Duration.Seconds()
	return p.result, nil
}

// startNode starts a node that knows nothing.
func (p *simulation) startNode(h *host, settings logic.Settings) {
	h.incarnation++
	h.down = false
	h.machine = NewMachine(p.clock, p.Cores, p.World.Speed, p.Thrash, p.ThrashThreshold)
	h.reader = &requestReader{host: h, costPerRequest: p.ReadCost * p.meanWork(), cores: p.Cores}
	h.invariants = &invariantChecker{clock: p.clock, settings: settings, name: h.name, seed: p.Seed, startedAt: p.startedAt, open: map[*Attempt]*openAttempt{}, ranAt: map[string]time.Time{},
		onViolation: func(b *Violation) { p.result.Violations = append(p.result.Violations, b) }}
	h.invariants.onEvent = func(what string, t *Attempt) { p.emit(t.RequestID, t.ID, h.name, what, "") }
	h.invariants.Server = p.NewServer(Environment{Clock: p.clock, Machine: h.machine, Settings: settings, OnRunStarted: h.invariants.runStarted, dependency: p.dependency})
}

// stopNode has a node gone with all that it has in hand, and has it come back if it is to.
func (p *simulation) stopNode(h *host, back time.Duration) {
	h.down = true
	h.incarnation++
	h.invariants.stop()
	h.machine.SetSpeed(0) // what ran is lost
	for _, t := range h.reader.unread {
		p.breakConnection(h, t)
	}
	p.announce(h, false)
	if back <= 0 {
		return
	}
	p.clock.AfterFunc(back, func() {
		settings := p.Settings()
		settings.SlowStart, settings.SlowStartCapacity, settings.SlowStartDuration = p.SlowStartCapacity > 0, p.SlowStartCapacity, logic.Micros(p.SlowStartDuration.Microseconds())
		p.startNode(h, settings)
		if w := p.rollout; w != nil {
			label := h.version.label
			if to, changes := w.nextVersion[h]; changes {
				label = to
				delete(w.nextVersion, h)
			}
			w.startVersion(h, label)
		}
		p.slowStart(h, h.incarnation, 0)
		p.announce(h, true)
	})
}

// slowStartSteps are the steps in which a node that came back gets its speed.
const slowStartSteps = 10

// slowStart gives a node the speed of its next step.
func (p *simulation) slowStart(h *host, life, step int) {
	if p.SlowStartCapacity == 0 || h.incarnation != life {
		return
	}
	h.machine.SetSpeed(p.warmSpeed(h) * (p.SlowStartCapacity + (1-p.SlowStartCapacity)*float64(step)/slowStartSteps))
	if step < slowStartSteps {
		p.clock.AfterFunc(p.SlowStartDuration/slowStartSteps, func() { p.slowStart(h, life, step+1) })
	}
}

// announce has balancers learn late whether a node is there.
func (p *simulation) announce(h *host, listed bool) {
	p.clock.AfterFunc(p.DiscoveryDelay, func() { h.inEndpointList = listed })
}

func (p *simulation) runUntil(until time.Time) {
	if p.Drive != nil {
		p.Drive(p.clock, until)
		return
	}
	for {
		at, any := p.clock.Next()
		if !any || at.After(until) {
			break
		}
		p.clock.Step()
		p.result.Events++
	}
	p.clock.Run(until)
}

// accountInSystem accounts for the requests in the system until now.
func (p *simulation) accountInSystem() {
	now := p.clock.Now()
	p.inSystemSeconds += float64(p.inSystem) * now.Sub(p.accountedAt).Seconds()
	p.accountedAt = now
}

// scheduleArrival has the next request come, as a Poisson process whose rate may swing.
func (p *simulation) scheduleArrival(arrivals, sizes, hints *rand.Rand) {
	most := p.arrivalRate() * (1 + p.BurstAmplitude)
	p.clock.AfterFunc(time.Duration(arrivals.ExpFloat64()/most*1e9), func() {
		since := p.clock.Now().Sub(p.startedAt)
		if since >= p.Duration {
			return
		}
		p.scheduleArrival(arrivals, sizes, hints)
		if rate := p.arrivalRate() * p.burstFactor(since); arrivals.Float64()*most < rate { // thinning (Lewis and Shedler, 1979)
			p.startRequest(sizes, hints)
		}
	})
}

func (p *simulation) burstFactor(since time.Duration) float64 {
	if p.BurstAmplitude == 0 {
		return 1
	}
	if since%p.BurstPeriod < p.BurstPeriod/2 {
		return 1 + p.BurstAmplitude
	}
	return 1 - p.BurstAmplitude
}

// request is a client's request, from its arrival until it is answered or its client gives up.
type request struct {
	*simulation
	template     Attempt // what all its tries have in common
	arrivedAt    time.Time
	result       *ClassResult
	class        *Class
	balancer     *balancer
	retriesLeft  int // further tries
	attemptsMade int // made so far
	lastNode     int // the node that turned it away last; -1: none
	finished     bool
	attempt      *Attempt // the try that is open
	target       *host
	incarnation  int // of that node, as it took the try
	timeout      clock.Timer
}

func (p *simulation) startRequest(sizes, hints *rand.Rand) {
	p.accountInSystem()
	p.inSystem++
	p.requestCount++
	r := &request{simulation: p, arrivedAt: p.clock.Now(), retriesLeft: p.MaxRetries, lastNode: -1, balancer: p.balancers[p.requestCount%len(p.balancers)]}
	class := drawIndex(sizes, len(p.Classes), func(i int) float64 { return p.Classes[i].Share })
	r.class = &p.Classes[class]
	work := r.class.Work.Sample(sizes)
	hint := work
	if r.class.WorkHintCV > 0 {
		hint *= Distribution{Mean: 1, CV: r.class.WorkHintCV, Kind: "lognormal"}.Sample(hints)
	}
	id := "r" + strconv.Itoa(p.requestCount)
	tenant := p.drawTenant(sizes)
	r.template = Attempt{ID: id, RequestID: id, Class: class, Tenant: tenant, MemoryKB: 20, Work: work, WorkHint: time.Duration(hint / p.Speed * 1e9), Deadline: r.arrivedAt.Add(r.class.ClientTimeout), CallerID: r.balancer.number}
	if p.NoWorkHints {
		r.template.WorkHint = 0
	}
	if p.TryAllNodes {
		r.retriesLeft = p.Nodes - 1
	}
	if r.class.HasIdempotencyKey {
		r.template.IdempotencyKey = r.template.ID
	}
	if r.arrivedAt.Sub(p.startedAt) >= p.WarmUp {
		r.result = &p.result.Classes[class]
		r.result.Offered++
	} else {
		r.result = &ClassResult{Latency: hdrhistogram.New(1, 600_000_000, 1)}
	}
	// An answer may come as late as the grace allows, and has a way to go.
	r.timeout = p.clock.AfterFunc(r.class.ClientTimeout+responseGrace+2*p.NetworkDelay+time.Millisecond, r.giveUp)
	if p.OnStep != nil {
		whose := ""
		if tenant >= 0 {
			whose = ", of " + p.Tenants[tenant].Name
		}
		p.emit(id, "", "", "come", fmt.Sprintf("%s%s, %.1f ms of work, by balancer %d", r.class.Name, whose, work*1000, r.balancer.number))
	}
	r.balancer.retryTokens = min(maxRetryTokens, r.balancer.retryTokens+p.RetryBudget)
	r.send()
}

// drawTenant is whose request it is; -1: nobody's.
func (p *simulation) drawTenant(r *rand.Rand) int {
	if len(p.Tenants) == 0 {
		return -1
	}
	return drawIndex(r, len(p.Tenants), func(i int) float64 { return p.Tenants[i].Share })
}

// drawIndex is one of n, by their shares.
func drawIndex(r *rand.Rand, n int, share func(i int) float64) int {
	sum := 0.0
	for i := range n {
		sum += share(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// send makes the next try.
func (r *request) send() {
	if !r.clock.Now().Add(r.NetworkDelay).Before(r.template.Deadline) {
		r.finish(&r.result.TimedOut) // it would come when nobody waits any more
		return
	}
	at := r.pickNode()
	if at < 0 {
		if r.balancer.honorsRetryAfter && r.RetryAfterShare > 0 { // all are to be left alone: it is refused where it is
			r.finish(&r.result.Rejected)
		} else {
			r.finish(&r.result.Failed)
		}
		return
	}
	r.result.Attempts++
	t := r.template
	r.attemptsMade++
	t.SentAt, t.IsRetry = r.clock.Now(), r.attemptsMade > 1
	if t.IsRetry {
		t.ID = fmt.Sprint(t.ID, ".", r.attemptsMade-1)
	}
	h := r.nodes[at]
	r.attempt, r.target, r.lastNode = &t, h, at
	r.balancer.inFlight[at]++
	r.emit(t.RequestID, t.ID, h.name, "sent", "")
	r.clock.AfterFunc(r.NetworkDelay, func() {
		if h.down {
			r.handleResponse(at, &t, node.Response{Status: node.StatusRejected}) // nobody listens: it never ran
			return
		}
		if r.attempt != &t || h.losesMessage() {
			return // its client gave up on the way, or it was lost there
		}
		r.incarnation = h.incarnation
		r.requestOf[&t] = r
		t.ArrivedAt = r.clock.Now()
		life, p := h.incarnation, r.simulation
		h.reader.enqueue(&t, func(t *Attempt) {
			if r := p.requestOf[t]; h.incarnation == life && r != nil && r.attempt == t { // else nobody waits any more: it was read in vain
				r.offer(at, t)
			}
		})
	})
}

// offer gives a try that has been read to its node.
func (r *request) offer(at int, t *Attempt) {
	h := r.nodes[at]
	h.invariants.Submit(t, func(a node.Response) {
		if r.rollout != nil {
			r.rollout.recordResponse(h, t, &a)
		}
		if h.losesMessage() {
			return
		}
		r.clock.AfterFunc(r.NetworkDelay, func() { r.handleResponse(at, t, a) })
	})
}

// losesMessage says whether a message is lost on the node's link.
func (h *host) losesMessage() bool { return h.lossRate > 0 && h.lossRandom.Float64() < h.lossRate }

// handleResponse takes the answer to a try.
func (r *request) handleResponse(at int, t *Attempt, a node.Response) {
	delete(r.requestOf, t)
	if r.attempt != t {
		return // its client gave up
	}
	r.attempt = nil
	r.balancer.inFlight[at]--
	if a.Status == node.StatusRejected && a.RetryAfter > 0 {
		r.balancer.avoid(at, r.clock.Now().Add(a.RetryAfter))
	}
	switch {
	case a.Status == node.StatusServed:
		took := r.clock.Now().Sub(r.arrivedAt)
		_ = r.result.Latency.RecordValue(max(1, took.Microseconds()))
		if took <= r.class.LatencyObjective {
			r.result.WeightWithinObjective += r.class.PriorityWeight
			r.finish(&r.result.WithinObjective)
		} else {
			r.finish(&r.result.Late)
		}
		return
	case a.Status == node.StatusFailed && r.class.HasIdempotencyKey: // it may have run: another node would run it again
		r.finish(&r.result.Failed)
		return
	case r.TryAllNodes && a.Status == node.StatusRejected && r.retriesLeft > 0 && (!a.NoFailover || !r.balancer.honorsRetryAfter):
		r.retriesLeft--
		r.send()
		return
	case !r.TryAllNodes && r.retriesLeft > 0 && (!a.NoFailover || !r.HonorRetryAfter) && r.balancer.spendRetryToken(r.RetryBudget):
		r.retriesLeft--
		wait := r.Backoff
		if r.HonorRetryAfter && a.RetryAfter > 0 {
			wait = a.RetryAfter
		}
		if r.OnStep != nil {
			r.emit(t.RequestID, "", "", "waits", wait.String())
		}
		r.clock.AfterFunc(wait, func() {
			if !r.finished {
				r.send()
			}
		})
		return
	}
	if a.Status == node.StatusRejected {
		r.finish(&r.result.Rejected)
	} else {
		r.finish(&r.result.Failed)
	}
}

// spendRetryToken takes a further try off the balancer's budget.
func (b *balancer) spendRetryToken(budget float64) bool {
	if budget == 0 {
		return true
	}
	if b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}

// giveUp has the client give up.
func (r *request) giveUp() {
	if t := r.attempt; t != nil {
		r.attempt = nil
		delete(r.requestOf, t)
		for i, h := range r.nodes {
			if h == r.target {
				r.balancer.inFlight[i]--
			}
		}
		h, life := r.target, r.incarnation
		r.clock.AfterFunc(r.NetworkDelay, func() {
			if !h.down && h.incarnation == life {
				h.invariants.Cancel(t)
			}
		})
	}
	r.finish(&r.result.TimedOut)
}

func (r *request) finish(count *int) {
	if r.finished {
		return
	}
	r.finished = true
	*count++
	if r.OnStep != nil {
		ends := map[*int]string{&r.result.WithinObjective: "in aim", &r.result.Late: "late", &r.result.Rejected: "refused", &r.result.Failed: "failed", &r.result.TimedOut: "expired"}
		r.emit(r.template.ID, "", "", "ended", fmt.Sprintf("%s, %v after it came", ends[count], r.clock.Now().Sub(r.arrivedAt)))
	}
	r.timeout.Stop()
	r.accountInSystem()
	r.inSystem--
	// Little's law is about the length: what a request stays beyond it counts for nothing.
	end, last := r.clock.Now(), r.startedAt.Add(r.Duration)
	if end.After(last) {
		end = last
	}
	r.sojournSeconds += max(0, end.Sub(r.arrivedAt).Seconds())
}

// pickNode is the node for the next try: not the one that turned the last one away, where there is another. -1: there is none.
func (r *request) pickNode() int {
	b := r.balancer
	listed := r.candidates[:0]
	for i, h := range r.nodes {
		if h.inEndpointList && i != r.lastNode && b.mayUse(i, r.clock.Now()) {
			listed = append(listed, i)
		}
	}
	if len(listed) == 0 && r.lastNode >= 0 && r.nodes[r.lastNode].inEndpointList && b.mayUse(r.lastNode, r.clock.Now()) {
		listed = append(listed, r.lastNode)
	}
	if r.candidates = listed; len(listed) == 0 {
		return -1
	}
	switch r.Balancing {
	case LeastRequests:
		best, least := -1, math.MaxInt
		from := b.random.IntN(len(listed)) // ties go evenly
		for k := range listed {
			if i := listed[(from+k)%len(listed)]; b.inFlight[i] < least {
				best, least = i, b.inFlight[i]
			}
		}
		return best
	case PowerOfTwoChoices:
		x, y := listed[b.random.IntN(len(listed))], listed[b.random.IntN(len(listed))]
		if b.inFlight[y] < b.inFlight[x] {
			return y
		}
		return x
	case Random:
		return listed[b.random.IntN(len(listed))]
	}
	b.nextIndex++
	return listed[b.nextIndex%len(listed)]
}

// applyFault has a fault begin, and end.
func (p *simulation) applyFault(f Fault) {
	h := p.nodes[f.Node]
	life := h.incarnation
	still := func(what func()) func() { // unless it has died since
		return func() {
			if h.incarnation == life {
				what()
			}
		}
	}
	switch f.Kind {
	case FaultStall, FaultSlow:
		speed := 0.0
		if f.Kind == FaultSlow {
			speed = f.Factor
		}
		h.machine.SetSpeed(speed * p.warmSpeed(h))
		p.clock.AfterFunc(f.Duration, still(func() { h.machine.SetSpeed(p.warmSpeed(h)) }))
	case FaultSlowDependency:
		p.dependency.speed = f.Factor
		p.clock.AfterFunc(f.Duration, func() { p.dependency.speed = 1 })
	case FaultMessageLoss:
		h.lossRate = f.Factor
		p.clock.AfterFunc(f.Duration, func() { h.lossRate = 0 })
	case FaultDrain:
		h.invariants.Drain(f.Duration)
		p.announce(h, false)
		p.clock.AfterFunc(f.Duration, still(func() { p.stopNode(h, f.RestartDelay) }))
	case FaultCrash:
		for _, t := range h.invariants.unanswered() { // their connections break: they may have run
			p.breakConnection(h, t)
		}
		p.stopNode(h, f.RestartDelay)
	}
}

// breakConnection has the caller of a try hear that its connection is gone.
func (p *simulation) breakConnection(h *host, t *Attempt) {
	if r := p.requestOf[t]; r != nil {
		for i := range p.nodes {
			if p.nodes[i] == h {
				p.clock.AfterFunc(p.NetworkDelay, func() { r.handleResponse(i, t, node.Response{Status: node.StatusFailed}) })
			}
		}
	}
}
