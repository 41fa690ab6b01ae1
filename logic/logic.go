package logic

// The decisions of sloehitch. The interface (settings, events, actions) is in api.go.
//
// The ordinary path is FEFM ("Flow Management for SIP Application Servers"): a held request starts only
// if its wait so far plus a moving average of run times meets the aim D1 (new queue) or the looser D2
// (old queue); one that meets neither is refused. The number of runs is under a limit.

import (
	"cmp"
	"errors"
	"slices"
)

// Tuned values. Spans not given as ratios of told quantities are in microseconds.
const (
	runTimeSampleWeight            = 0.1     // weight of one sample in T_m (the paper's alpha): work varies from run to run
	probeSampleWeight              = 0.5     // weight of a probe's sample: few come, and each tells of a change
	newQueueBoundShare             = 0.65    // D1 as a share of the aim: room for runs longer than T_m and for the way back
	idleOldQueueBoundShare         = 0.9     // and on a server with an idle core
	maxRunTimePerHint              = 2       // run time for each unit of hint that one sample may suggest
	oldQueueBoundShare             = 0.75    // D2 as a share of the aim, or of a later instant where late answers have worth
	minQueueTimeShare              = 0.02    // a request waits this share of its aim before it may be refused as hopeless
	minStallGap                    = 100000  // least completion gap that may be a stall (the paper's 100 ms)
	stallGapFactor                 = 6       // a stall is a gap of this many mean gaps, so that thin traffic is none
	slowReadShare                  = 0.18    // share of the mean aim that reading takes on a server too slow to be sent more
	readingCoreShare               = 0.5     // share of the cores beyond which what is being read takes the place of runs
	runLimitDecrease               = 0.75    // factor on the limit when runs slow each other
	slowdownThreshold              = 1.3     // recent mean over long mean run time that counts as slowed
	maxConcurrencyShare            = 0.75    // share of the crowd that the server survives which may run at once
	plannedMemoryShare             = 0.92    // share of the memory that may be planned; the rest covers late news
	maxCallPaceShare               = 0.8     // share of the calls bound that is planned while calls take their least time
	minCallPaceShare               = 0.25    // and at the least, however slow: crowds slow the dependency well below its bound
	slowCallFactor                 = 2       // mean over least call time from which calls count as slowed
	minCallTimeDrift               = 0.002   // weight with which the least call time follows the mean: it may be over
	callBurst                      = 10      // calls that may be made at once after a quiet spell
	callBurstObjectiveShare        = 0.2     // and at least as much as is planned in this part of the mean aim
	callObjectiveShare             = 0.3     // part of an aim that a call to a shared dependency may take, or counts for
	reservedCalls                  = 4       // calls' time kept back from the least worthy for the most worthy
	callSampleWeight               = 0.15    // weight of one sample of the call time, or age at reading: few tell of a change
	callPatienceFactor             = 6       // a call that may be left out waits this many least call times at most
	maxCallRetries                 = 1       // times that a safe call which did not go well is made again
	callRetryBackoff               = 0.5     // mean call times until a call turned away by a tier is made again, growing
	maxCallBudgetShare             = 0.5     // share of the room left under the calls bound that one call may take
	timerSteps                     = 8       // ticks between looks at the clock while work is in hand
	quotaImbalance                 = 1.3     // a server's part of a quota over the even one: traffic is uneven
	quotaBurstSeconds              = 3       // seconds of quota that a tenant may use at once
	offeredWorkShare               = 0.3     // work that callers may have out here, as a share of what fits into the mean aim
	retryWeightShare               = 0.3     // worth of a marked later try: some of its aim is spent, and how much is not told
	recentArrivalCount             = 32      // arrivals over which the callers' shares of the traffic are averaged
	unhealthyShare                 = 0.6     // mean of failures, or of ages at reading, from which the server counts as unwell
	staleReadShare                 = 0.5     // share of its aim within which a request is read on a server that is well
	retryAfterShare                = 1.0 / 3 // advice to stay away, as a share of the time that the backlog takes
	timeoutBuckets                 = 100     // parts of the deadline in which told waits are told apart
	timeoutHistogramArrivals       = 512     // arrivals over which the told shares of the deadline are counted
	commonTimeoutShare             = 0.05    // part of the arrivals with a told share from which it is one of first tries
	idleTimeoutRange               = 4       // longest idle span over the one kept where all callers come back
	futileRejectedShare            = 0.6     // refused share from which a further try elsewhere is taken to be in vain
	futileRejectedShareWithRetries = 0.3     // the same where further tries that come here show that others refuse too
	futileRetryShare               = 0.15    // share of further tries among the arrivals from which they show it
	idleTimeoutGain                = 0.4     // relative change of the idle span a look, for each unit of intake off its share
	intakeTargetShare              = 0.35    // share of the cores that intake may take before the table is let fill
	maxDivertedShare               = 0.9     // share of the traffic that a backlog keeps away at most
	faultyDivertedShare            = 0.98    // share kept away while sick or leaving; the rest tells when it is over
	loadSignalMinChange            = 0.25    // relative change of the said value worth saying
)

type requestState int

const (
	stateQueued    requestState = iota // waits for a slot
	stateRunning                       // on the cores
	stateAtCall                        // stands at a call
	stateCoalesced                     // waits for its forerunner's result
)

type request struct {
	Arrival
	id               RequestID
	arrivedAt        Micros // when it reached the machine
	firstAttemptAt   Micros // when its first try was made, at the latest
	deadline         Micros // its answer is owed by then
	startedAt        Micros
	state            requestState
	stopRequestedAt  Micros  // when its stop was asked last
	inOldQueue       bool    // in the old-request queue
	weightDensity    float64 // worth for core time, as of the last order
	answered         bool
	keyExpiresAt     Micros  // when its entry of the table of keys expires; 0: it has none
	overQuota        bool    // beyond its tenant's quota
	sampleWeight     float64 // of its run's sample
	callInFlight     bool
	failedCalls      int    // calls of its run that did not go well
	callBlockedUntil Micros // its next call is not made before
	callStartedAt    Micros // when its call was made
	callReservation  Micros // the longest that this call can stay in the dependency's hands
}

// endedCall is a call that is over.
type endedCall struct {
	releasedAt Micros // when it left the dependency's hands
	duration   Micros // how long it was in them
}

func (a *Average) add(x, weight float64) {
	a.Samples++
	a.Mean += max(weight, 1/float64(a.Samples)) * (x - a.Mean)
}

// classState is what is known of one class.
type classState struct {
	Class
	Estimate
}

// Server decides for one server process. It is not safe for concurrent use.
type Server struct {
	cfg       Settings
	now       Micros
	startedAt Micros
	actions   []Action

	classes                  []*classState
	meanObjective, maxWeight float64 // the mean aim in microseconds and the most worth over the classes, above 0
	timeoutHistogram         [timeoutBuckets]float64
	recentArrivals           []Arrival
	tenantTokens             []float64 // what is left of each tenant's quota on this server
	byID                     map[RequestID]*request
	queue                    []*request // held; order sorts it
	active                   []*request // running, calling or joined

	runLimit                float64
	resourceShare           float64 // of the cores and the memory: another process of this server has the rest
	running                 int
	atCall                  int      // requests that stand at a call
	requestMemoryKB         float64  // kilobytes of held and running requests
	keyExpiries             []Micros // when entries of the table of keys expire, in order
	runSlowdown             Average  // recent run time over the estimate at its start
	completionGap           Average  // microseconds between completions while the cores are full
	lastProgressAt          Micros   // last sign that the cores get work done
	stallEndedAt            Micros   // runs started before this are no samples
	rejectedShare           Average  // share of requests refused
	failedShare             Average  // share of recent runs that failed
	priorityFloor           float64  // rank below which callers are asked to send nothing
	readStaleness           Average  // age at reading, of staleShare of the aim
	readInterval            Average  // microseconds between requests read while cores read
	retryShare              float64  // share of further tries among the latest arrivals
	lastProbeAt, lastReadAt Micros
	gauges                  Gauges

	callTime          Average // microseconds of a call
	minCallTime       float64 // the least that its mean has been lately
	callsInFlight     int     // calls in the dependency's hands, abandoned ones not counted
	endedCalls        []endedCall
	endedCallTime     Micros // sum of the ledger's spans: calls over that the bound still counts
	reservedCallTime  Micros // the longest that the calls out may take, together
	callsBlockedUntil Micros // no call is made before: the last one was not taken
	lastCallAt        Micros
	callCredit        float64 // call time that may be used now, in microseconds; below 0: overdrawn

	drainStartedAt, killAt       Micros // when the notice to leave came and when it ends; 0: none
	timerDueAt                   Micros // 0: no timer armed
	sentLoadSignal               float64
	sentHealthy                  bool
	idleTimeout, sentIdleTimeout float64
}

// New returns a Server that has decided nothing yet. It needs no seed so far: nothing is drawn at random.
func New(cfg Settings, _ uint64) (*Server, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	s := &Server{now: -1, byID: map[RequestID]*request{},
		runLimit: float64(cfg.Cores), resourceShare: 1,
		tenantTokens: make([]float64, len(cfg.Tenants)), sentLoadSignal: -1, sentHealthy: true,
		maxWeight: 1e-9, gauges: Gauges{CPUUtilization: -1, RunQueueLength: -1, MemoryUtilization: -1, Connections: -1}}
	s.applySettings(cfg)
	for i := range s.tenantTokens {
		s.tenantTokens[i] = s.quotaRate(i) * quotaBurstSeconds
	}
	return s, nil
}

// Reconfigure takes new settings while requests are in hand. Classes keep their places and new
// ones come after them, so that each request keeps its class; tenants stay as they are.
func (s *Server) Reconfigure(cfg Settings) error {
	if err := validate(cfg); err != nil {
		return err
	}
	if len(cfg.Classes) < len(s.classes) || len(cfg.Tenants) != len(s.cfg.Tenants) {
		return errors.New("settings: while requests are in hand classes may only be added")
	}
	s.applySettings(cfg)
	return nil
}

// applySettings takes over settings and their classes.
func (s *Server) applySettings(cfg Settings) {
	cfg.RunMemoryFactor = max(1, cfg.RunMemoryFactor)
	s.cfg, s.meanObjective = cfg, 0
	for i, c := range cfg.Classes {
		if i == len(s.classes) {
			s.classes = append(s.classes, &classState{})
		}
		s.classes[i].Class = c
		s.meanObjective += float64(c.LatencyObjective) / float64(len(cfg.Classes))
		s.maxWeight = max(s.maxWeight, c.PriorityWeight)
	}
}

// LearnedState is what this server has found out so far.
func (s *Server) LearnedState() LearnedState {
	l := LearnedState{RunLimit: s.runLimit, CompletionGap: s.completionGap, CallTime: s.callTime, MinCallTime: s.minCallTime, RejectedShare: s.rejectedShare,
		TimeoutHistogram: slices.Clone(s.timeoutHistogram[:]), Classes: map[string]Estimate{}, TenantTokens: map[string]float64{}}
	for _, c := range s.classes {
		l.Classes[c.Name] = c.Estimate
	}
	for i, t := range s.cfg.Tenants {
		l.TenantTokens[t.Name] = s.tenantTokens[i]
	}
	return l
}

// RestoreLearned begins with what another server found out; slots caps its limit as it does an own one. It is to be
// called before the first Step.
func (s *Server) RestoreLearned(l LearnedState) {
	s.runLimit, s.completionGap, s.rejectedShare = max(s.runLimit, l.RunLimit), l.CompletionGap, l.RejectedShare
	s.callTime, s.minCallTime = l.CallTime, l.MinCallTime
	copy(s.timeoutHistogram[:], l.TimeoutHistogram)
	for _, c := range s.classes {
		c.Estimate = l.Classes[c.Name]
	}
	for i, t := range s.cfg.Tenants {
		s.tenantTokens[i] = min(s.tenantTokens[i], max(0, l.TenantTokens[t.Name]))
	}
}

// SetResourceShare says which part of the cores and the memory, up to 1, this server may use as of the next Step.
func (s *Server) SetResourceShare(part float64) { s.resourceShare = part }

// validate errs where nothing could be decided. Package settings says what is wrong with which key.
func validate(cfg Settings) error {
	ok := len(cfg.Classes) > 0 && min(float64(cfg.Cores), cfg.MemoryKB) > 0
	for _, c := range cfg.Classes {
		ok = ok && c.LatencyObjective > 0 && c.ClientTimeout > 0 && c.IdempotencyWindow >= 0
	}
	if !ok || cfg.CallConcurrencyLimit > 0 && cfg.CallConcurrencyWindow == 0 || min(cfg.SlowStartDuration, cfg.ConcurrencyWindow, cfg.ResponseGrace,
		cfg.DrainGrace, cfg.StepInterval, cfg.CallConcurrencyWindow, cfg.AbandonedCallDuration, cfg.MaxRetryAfter, cfg.CallerIdleTimeout) < 0 {
		return errors.New("settings: cores, memory, aims and deadlines must be above 0, no span below")
	}
	return nil
}

// Step takes in all that happened, then decides once. The actions are valid until the next call.
func (s *Server) Step(now Micros, events []Event) []Action {
	s.advanceClock(now)
	for i := range events {
		s.handleEvent(&events[i])
	}
	s.sortQueue()
	s.answerExpired()
	s.stopAnsweredRuns()
	s.shedForMemory()
	for s.running < s.runSlots() && s.startNext() { // one round for each free slot
	}
	s.shedHopeless()
	s.admitCalls()
	s.updateSignals()
	s.armTimer()
	return s.actions
}

func (s *Server) emit(a Action) { s.actions = append(s.actions, a) }

// advanceClock moves the clock and what depends on it alone.
func (s *Server) advanceClock(now Micros) {
	s.actions = s.actions[:0]
	if s.now < 0 {
		s.startedAt, s.lastProgressAt, s.now = now, now, now
		s.emit(Action{Kind: ActionSetHealth, Healthy: true})
	}
	span := float64(now - s.now)
	s.callCredit = min(s.callCredit+s.plannedCallConcurrency()*span, max(callBurst*s.callTime.Mean, callBurstObjectiveShare*s.meanObjective*s.plannedCallConcurrency()))
	s.now = now
	at, _ := slices.BinarySearch(s.keyExpiries, now)
	s.keyExpiries = s.keyExpiries[at:]
	for len(s.endedCalls) > 0 && s.endedCalls[0].releasedAt+s.cfg.CallConcurrencyWindow < now {
		s.endedCallTime -= s.endedCalls[0].duration
		s.endedCalls = s.endedCalls[1:]
	}
	for i := range s.tenantTokens {
		s.tenantTokens[i] = min(s.quotaRate(i)*quotaBurstSeconds, s.tenantTokens[i]+s.quotaRate(i)*span/1e6)
	}
}

// quotaRate is this server's part of a tenant's quota, in requests a second; at least a request fits the burst.
func (s *Server) quotaRate(tenant int) float64 {
	return max(quotaImbalance*s.cfg.Tenants[tenant].QuotaPerSecond/float64(max(1, s.cfg.FleetSize)), 1.0/quotaBurstSeconds)
}

// Intake.

func (s *Server) handleEvent(ev *Event) {
	switch r := s.byID[ev.ID]; {
	case ev.Kind == EventArrival:
		s.handleArrival(ev)
	case ev.Kind == EventTimer:
		s.timerDueAt, s.gauges = 0, ev.Gauges
		s.updatePriorityFloor()
		if s.gauges.RunQueueLength <= float64(s.running) {
			s.readStaleness.Mean = 0
		}
		s.raiseRunLimit()
		s.adjustIdleTimeout()
	case ev.Kind == EventDrain:
		s.drainStartedAt, s.killAt = s.now, s.now+max(1, ev.TimeToKill)
	case r == nil: // late news of a request that is over
	case ev.Kind == EventRunEnded:
		s.handleRunEnded(r, ev)
	case ev.Kind == EventCanceled:
		r.answered = true
		s.removeUnlessRunning(r)
	case ev.Kind == EventCallNeeded:
		s.handleCallNeeded(r)
	case ev.Kind == EventCallEnded:
		s.handleCallEnded(r, ev)
	}
}

func (s *Server) handleArrival(ev *Event) {
	a := ev.Arrival
	c := s.classes[a.Class]
	r := &request{Arrival: a, id: ev.ID, arrivedAt: s.now - a.Age, deadline: s.now + a.AttemptTimeout, sampleWeight: runTimeSampleWeight}
	if a.AttemptTimeout == 0 {
		r.deadline = max(s.now, r.arrivedAt+c.ClientTimeout)
	}
	r.firstAttemptAt = r.arrivedAt - s.earlierAttemptTime(c, r.deadline-r.arrivedAt)
	r.overQuota = s.chargeQuota(r)
	s.readStaleness.add(min(1, float64(a.Age)/(staleReadShare*float64(c.LatencyObjective))), callSampleWeight)
	if s.requestsBeingRead() > 0 {
		s.readInterval.add(min(s.meanObjective, float64(s.now-s.lastReadAt)), callSampleWeight)
	}
	s.lastReadAt = s.now
	s.retryShare *= 1 - 1.0/recentArrivalCount
	if a.Retry {
		s.retryShare += 1.0 / recentArrivalCount
	}
	s.recentArrivals = append(s.recentArrivals, a)
	s.recentArrivals = s.recentArrivals[max(0, len(s.recentArrivals)-recentArrivalCount):]
	s.byID[r.id] = r
	s.requestMemoryKB += r.MemoryKB
	if a.OriginalID != 0 && s.handleRepeat(r) {
		return
	}
	s.queue = append(s.queue, r)
	s.storeKey(r)
	if s.arrivedAfterDrainGrace(r) || c.Idempotency == IdempotentByKey && c.IdempotencyWindow > 0 && r.keyExpiresAt == 0 {
		s.rejectOrFail(r) // a keyed request without its entry must not run: a repeat could not be told
	}
}

// effectiveCallers is the number of callers of like traffic that the latest arrivals amount to, since most callers
// carry little and an even split of the room would starve those that carry much.
func (s *Server) effectiveCallers() float64 {
	pairs, heard := 0, map[int]int{}
	for _, a := range s.recentArrivals {
		heard[a.CallerID]++
		pairs += 2*heard[a.CallerID] - 1
	}
	return float64(len(s.recentArrivals)*len(s.recentArrivals)) / float64(max(1, pairs))
}

// earlierAttemptTime is how much of its time a request has spent in earlier tries, at the least. Callers give each try the
// same share of the deadline but the last, which gets what is left.
func (s *Server) earlierAttemptTime(c *classState, told Micros) Micros {
	if !s.cfg.DeadlinePropagated || told >= c.ClientTimeout {
		return 0
	}
	share := int(float64(timeoutBuckets) * float64(told) / float64(c.ClientTimeout))
	sum := 0.0
	for i := range s.timeoutHistogram {
		s.timeoutHistogram[i] *= 1 - 1.0/timeoutHistogramArrivals
		sum += s.timeoutHistogram[i]
	}
	s.timeoutHistogram[share]++
	for i := share; i < timeoutBuckets; i++ {
		if s.timeoutHistogram[i] >= commonTimeoutShare*(sum+1) {
			return max(0, Micros(float64(i)/timeoutBuckets*float64(c.ClientTimeout))-told)
		}
	}
	return c.ClientTimeout - told
}

// chargeQuota takes a first try off its tenant's part of the quota and says whether none was left.
func (s *Server) chargeQuota(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(s.tenantTokens) || s.tenantTokens[r.Tenant] < 1 {
		return r.Tenant >= 0
	}
	if !r.Retry && r.firstAttemptAt == r.arrivedAt {
		s.tenantTokens[r.Tenant]--
	}
	return false
}

// handleRepeat settles a request that names its forerunner: it joins one that ran, and takes the place of
// one of its own key that is still held. It reports whether the request was joined.
func (s *Server) handleRepeat(r *request) bool {
	f := s.byID[r.OriginalID]
	if f != nil && f.state == stateQueued && s.classes[r.Class].Idempotency == IdempotentByKey {
		f.keyExpiresAt, r.keyExpiresAt = 0, f.keyExpiresAt // the entry passes to the repeat
		s.rejectOrFail(f)
		return false
	}
	r.state = stateCoalesced
	s.active = append(s.active, r)
	s.emit(Action{Kind: ActionCoalesce, ID: r.id})
	return true
}

// handleRunEnded takes in the end of a run or a join. A run stopped by another hand is answered here.
func (s *Server) handleRunEnded(r *request, ev *Event) {
	if r.state == stateRunning && (ev.Outcome == OutcomeOK || ev.Outcome == OutcomeFailed) {
		s.recordCompletion(r, ev)
	} else if (r.state == stateRunning || r.state == stateAtCall) && ev.Outcome == OutcomeCanceled {
		s.rejectOrFail(r)
	}
	s.removeRequest(r)
}

// removeUnlessRunning ends a request of which nothing runs.
func (s *Server) removeUnlessRunning(r *request) {
	if r.state == stateQueued || r.state == stateCoalesced {
		s.deleteKey(r)
		s.removeRequest(r)
	}
}

// Estimate.

// recordCompletion takes a run's time into the averages. Failed runs, runs with calls left out and runs begun
// before a stall are no samples of T_m.
func (s *Server) recordCompletion(r *request, ev *Event) {
	if s.running >= s.cfg.Cores { // in thin traffic a gap tells nothing
		if s.now-s.lastProgressAt > s.stallGap() {
			s.stallEndedAt = s.now
		}
		s.completionGap.add(float64(s.now-s.lastProgressAt), runTimeSampleWeight)
	}
	s.lastProgressAt = s.now
	s.rejectedShare.add(0, 1.0/recentArrivalCount)
	s.failedShare.add(float64(1-ev.Outcome), r.sampleWeight) // Failed is 0, OK is 1
	if ev.Outcome == OutcomeOK {
		s.recordRunTime(r, float64(ev.Elapsed))
	}
	s.raiseRunLimit()
	s.lowerRunLimit()
}

func (s *Server) recordRunTime(r *request, elapsed float64) {
	c := s.classes[r.Class]
	if r.startedAt < s.stallEndedAt {
		return
	}
	if tm := s.expectedRunTime(r); tm > 0 {
		s.runSlowdown.add(elapsed/tm, probeSampleWeight/2)
	}
	c.RunTime.add(elapsed, r.sampleWeight)
	if r.WorkHint <= 0 {
		return
	}
	hint := float64(r.WorkHint)
	if c.HintedRunTime.Samples == 0 {
		// At first in proportion to the hint, but no more than that many times: the rest is waits.
		c.Covariance, c.HintVariance = min(hint*elapsed, maxRunTimePerHint*hint*hint)/4, hint*hint/4
		c.Hint.Mean, c.HintedRunTime.Mean = hint, elapsed // one sample has no spread of its own
	}
	off := hint - c.Hint.Mean
	c.Covariance += r.sampleWeight * (off*(elapsed-c.HintedRunTime.Mean) - c.Covariance)
	c.HintVariance += r.sampleWeight * (off*off - c.HintVariance)
	c.Hint.add(hint, r.sampleWeight)
	c.HintedRunTime.add(elapsed, r.sampleWeight)
}

// expectedRunTime is T_m for a request, in microseconds: where it carries a hint, the best straight line through the
// hints and run times seen, since waits for disk and calls don't grow with the work and hints may be rough.
func (s *Server) expectedRunTime(r *request) float64 {
	c := s.classes[r.Class]
	if r.WorkHint > 0 && c.HintedRunTime.Samples > 0 {
		slope := max(0, c.Covariance) / max(1, c.HintVariance)
		return max(runTimeSampleWeight*c.HintedRunTime.Mean, c.HintedRunTime.Mean+slope*(float64(r.WorkHint)-c.Hint.Mean))
	}
	return c.RunTime.Mean
}

// Two queues.

// queueBounds are D1 and D2 of a request as instants: its answer is to be ready by then. Both are capped at
// the wait that its caller told.
func (s *Server) queueBounds(r *request) (d1, d2 float64) {
	c := s.classes[r.Class]
	aim := float64(c.LatencyObjective) + c.ObjectivePerWork*float64(r.WorkHint)
	aim = min(aim, float64(c.ClientTimeout))
	share := oldQueueBoundShare
	if s.running < s.cfg.Cores { // nobody else would have the core: what may still make it is worth a run
		share = idleOldQueueBoundShare
	}
	late := aim + c.LateWeightShare*(float64(c.ClientTimeout)-aim) // the less it earns late, the sooner it goes
	told := float64(r.deadline - r.arrivedAt)
	from, first := float64(r.arrivedAt), float64(r.firstAttemptAt)
	return min(first+aim*newQueueBoundShare, from+told*oldQueueBoundShare), min(first+late*share, from+told*share)
}

// meetsBound reports whether a request that starts after the given wait would be ready by the bound.
func (s *Server) meetsBound(r *request, bound, wait float64) bool {
	if c := s.classes[r.Class]; c.CallsDependency {
		delay := s.callQueueDelay(r, s.atCall-s.callsInFlight)
		if c.DegradedWeightShare > 0 {
			delay = min(delay, callPatienceFactor*s.minCallTime) // then it goes on without
		}
		wait += delay
	}
	return float64(s.now)+wait+s.expectedRunTime(r) < bound
}

// computeWeightDensity orders the queues: worth for each unit of core time expected.
func (s *Server) computeWeightDensity(r *request) float64 {
	c := s.classes[r.Class]
	worth := c.PriorityWeight
	if r.overQuota {
		worth *= s.cfg.OverQuotaWeightShare
	}
	if r.Retry || r.firstAttemptAt < r.arrivedAt {
		worth *= retryWeightShare
	}
	if s.cfg.WeightPerWork {
		return worth
	}
	return worth / max(1, s.expectedRunTime(r))
}

// sortQueue moves requests that can no longer meet D1 to the old queue and sorts what is held: new before old,
// then by worth for core time, then by arrival.
func (s *Server) sortQueue() {
	for _, r := range s.queue {
		d1, _ := s.queueBounds(r)
		r.inOldQueue = r.inOldQueue || !s.meetsBound(r, d1, 0)
		r.weightDensity = s.computeWeightDensity(r)
	}
	slices.SortStableFunc(s.queue, func(a, b *request) int {
		switch {
		case a.inOldQueue && !b.inOldQueue:
			return 1
		case b.inOldQueue && !a.inOldQueue:
			return -1
		}
		return cmp.Or(cmp.Compare(b.weightDensity, a.weightDensity), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
}

// startNext starts the first held request that meets its bound, or as a probe, and reports whether it found
// one. Requests that do not meet D2 are refused on the way.
func (s *Server) startNext() bool {
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		_, d2 := s.queueBounds(r)
		meets := s.meetsBound(r, d2, 0) && !s.stalledOrFailing()
		switch {
		case !s.canStart(r) || s.stalledOrFailing() && !s.mayProbe(r):
			i++ // refuseHopeless settles the sick spell's
		case meets || s.mayProbe(r):
			if !meets {
				r.sampleWeight, s.lastProbeAt = probeSampleWeight, s.now
			}
			s.startRun(r)
			return true
		default:
			s.rejectOrFail(r)
		}
	}
	return false
}

func (s *Server) startRun(r *request) {
	s.queue = removeFrom(s.queue, r)
	s.active = append(s.active, r)
	s.emit(Action{Kind: ActionRun, ID: r.id})
	if s.running == 0 {
		s.lastProgressAt = s.now
	}
	r.state, r.startedAt = stateRunning, s.now
	s.running++
	s.requestMemoryKB += r.MemoryKB * (s.cfg.RunMemoryFactor - 1)
}

// shedHopeless refuses requests that the work ahead of them keeps from meeting D2. The paper tests only the
// head of a queue; this adds the wait that is still to come. It acts once queuedShare of the aim has passed,
// so that a burst of a moment refuses nobody, and leaves the caller time to try elsewhere.
func (s *Server) shedHopeless() {
	ahead := 0.0
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		_, d2 := s.queueBounds(r)
		waited := float64(s.now-r.arrivedAt) >= minQueueTimeShare*float64(s.classes[r.Class].LatencyObjective)
		if waited && (s.stalledOrFailing() || !s.meetsBound(r, d2, ahead/s.runLimit)) {
			s.rejectOrFail(r)
			continue
		}
		ahead += s.expectedRunTime(r)
		i++
	}
}

// Limit.

// raiseRunLimit raises the limit by one while cores idle and work is held: less wants the cores than there are,
// since runs wait for something else.
func (s *Server) raiseRunLimit() {
	idle := s.gauges.RunQueueLength >= 0 && s.gauges.RunQueueLength < float64(s.cfg.Cores)
	if idle && len(s.queue) > 0 && s.running >= int(s.runLimit) {
		s.runLimit = min(s.runLimit+1, s.maxConcurrency()*maxConcurrencyShare)
	}
}

// adjustIdleTimeout sets how long an unused connection may stay: as long as callers come back, and longer while
// reading and new connections take too much of the cores. A full table turns callers away at no cost, but
// taxes the cores and doesn't choose. It could harm where one long-lived stream holds each connection.
func (s *Server) adjustIdleTimeout() {
	intake := s.requestsBeingRead() / max(float64(s.cfg.Cores), s.gauges.RunQueueLength)
	longest := float64(s.cfg.CallerIdleTimeout)
	shortest := longest / idleTimeoutRange * max(0.1, 1-s.effectiveCallers()/float64(max(1, len(s.recentArrivals))))
	s.idleTimeout = min(longest, max(s.idleTimeout*(1+idleTimeoutGain*(intake-intakeTargetShare)), shortest))
	if s.idleTimeout > 1.25*s.sentIdleTimeout || s.idleTimeout < 0.8*s.sentIdleTimeout {
		s.sentIdleTimeout = s.idleTimeout
		s.emit(Action{Kind: ActionSetIdleTimeout, Duration: Micros(s.idleTimeout)})
	}
}

// lowerRunLimit lowers the limit when runs take much longer than T_m while more wants the cores than there are.
func (s *Server) lowerRunLimit() {
	if s.runSlowdown.Mean > slowdownThreshold && s.gauges.RunQueueLength > float64(s.cfg.Cores) {
		s.runLimit = max(float64(s.cfg.Cores), s.runLimit*runLimitDecrease)
		s.runSlowdown.Mean = 1
	}
}

// maxConcurrency is how many runs the server survives on its cores; a cold server survives fewer. As a guard it could
// harm where runs mostly wait for disk, which the crowd does not count.
func (s *Server) maxConcurrency() float64 {
	speed := 1.0
	if s.cfg.SlowStart && s.now-s.startedAt < s.cfg.SlowStartDuration {
		speed = s.cfg.SlowStartCapacity + (1-s.cfg.SlowStartCapacity)*float64(s.now-s.startedAt)/float64(s.cfg.SlowStartDuration)
	}
	return max(1, float64(s.cfg.Cores)*(1+(s.cfg.MaxConcurrencyPerCore-1)*speed))
}

// requestsBeingRead is how many requests are being read, one a core at most: all that wants the cores and does not run.
func (s *Server) requestsBeingRead() float64 {
	return max(0, s.gauges.RunQueueLength-float64(s.running))
}

// readsSlowly says whether a core takes so long to read one request, by Little's law, that hardly any can be served
// in time. That tells a slow server from a crowded one, where each request has part of a core.
func (s *Server) readsSlowly() bool {
	part := min(1, float64(s.cfg.Cores)/max(1, s.gauges.RunQueueLength))
	return s.requestsBeingRead()*s.readInterval.Mean*part > slowReadShare*s.meanObjective
}

// runSlots is the number of runs allowed on the cores now: all that stand at calls may return together. Unread
// requests stand in line as they came, so while there is a line reading goes before running.
func (s *Server) runSlots() int {
	crowd, calls := s.maxConcurrency()*s.resourceShare, float64(s.atCall)
	limit := s.runLimit*s.resourceShare - max(0, s.requestsBeingRead()-readingCoreShare*float64(s.cfg.Cores))
	return int(min(max(1, limit), max(1, crowd*maxConcurrencyShare-calls/2), crowd-calls))
}

// Guards.

// stallGap is the completion gap beyond which full cores are taken to stand still; half the mean aim as
// long as the ordinary gap is unknown.
func (s *Server) stallGap() Micros {
	if s.completionGap.Samples < stallGapFactor {
		return Micros(s.meanObjective / 2)
	}
	return max(minStallGap, Micros(stallGapFactor*s.completionGap.Mean))
}

// stalledOrFailing guards against a server that takes work and does none of it, whatever the cause: runs age with no
// completion, or most runs fail. Held requests are then refused with advice, and one probe at a time
// tells when it is over. It could harm where a few very long runs fill all cores.
func (s *Server) stalledOrFailing() bool {
	return s.running >= s.cfg.Cores && s.now-s.lastProgressAt > 2*s.stallGap() ||
		s.failedShare.Samples > stallGapFactor && s.failedShare.Mean > unhealthyShare
}

// mayProbe says whether a request may start against the estimate, so that a stale T_m or a sick spell that
// is over cannot shut the door: nothing runs and the last probe is half an aim ago.
func (s *Server) mayProbe(r *request) bool {
	c := s.classes[r.Class]
	return s.running == 0 && s.now-s.lastProbeAt > c.LatencyObjective/2 && s.now < r.arrivedAt+c.LatencyObjective
}

// memoryInUse is the memory in use, in kilobytes.
func (s *Server) memoryInUse() float64 {
	return s.requestMemoryKB + float64(len(s.keyExpiries))*s.cfg.KeyEntryKB
}

// canStart says whether a held request may start now as far as memory and the drain go.
func (s *Server) canStart(r *request) bool {
	return s.memoryInUse()+r.MemoryKB*(s.cfg.RunMemoryFactor-1) <= s.resourceShare*plannedMemoryShare*s.cfg.MemoryKB && !s.arrivedAfterDrainGrace(r)
}

// shedForMemory keeps held requests within the memory: the least worthy go first. It could harm when one
// huge request pushes out many small ones.
func (s *Server) shedForMemory() {
	for i := len(s.queue) - 1; i >= 0 && s.memoryInUse() > s.resourceShare*plannedMemoryShare*s.cfg.MemoryKB; i-- {
		s.rejectOrFail(s.queue[i])
	}
}

// storeKey puts a keyed request in the table, to live until its window from arrival has passed. Where there
// is no room it is not kept, and so never runs.
func (s *Server) storeKey(r *request) {
	c := s.classes[r.Class]
	ends := r.arrivedAt + c.IdempotencyWindow + 2*s.cfg.StepInterval
	if c.Idempotency != IdempotentByKey || c.IdempotencyWindow == 0 {
		return
	}
	if r.keyExpiresAt == 0 && s.memoryInUse()+s.cfg.KeyEntryKB > s.resourceShare*plannedMemoryShare*s.cfg.MemoryKB {
		return
	}
	s.removeKeyExpiry(r)
	r.keyExpiresAt = ends
	at, _ := slices.BinarySearch(s.keyExpiries, ends)
	s.keyExpiries = slices.Insert(s.keyExpiries, at, ends)
	s.emit(Action{Kind: ActionStoreKey, ID: r.id, Duration: r.keyExpiresAt - s.now})
}

// removeKeyExpiry takes a request's entry off the account.
func (s *Server) removeKeyExpiry(r *request) {
	if at, found := slices.BinarySearch(s.keyExpiries, r.keyExpiresAt); found {
		s.keyExpiries = slices.Delete(s.keyExpiries, at, at+1)
	}
}

// deleteKey forgets the entry of a request that never ran.
func (s *Server) deleteKey(r *request) {
	if r.keyExpiresAt == 0 {
		return
	}
	s.removeKeyExpiry(r)
	r.keyExpiresAt = 0
	s.emit(Action{Kind: ActionDeleteKey, ID: r.id})
}

// arrivedAfterDrainGrace guards the drain: what arrived after the grace of the notice to leave must not run.
func (s *Server) arrivedAfterDrainGrace(r *request) bool {
	return s.killAt > 0 && r.arrivedAt > s.drainStartedAt+s.cfg.DrainGrace-s.cfg.StepInterval
}

// responseMargin is how long before a last moment the module acts: a late timer must not break a rule.
func (s *Server) responseMargin() Micros { return max(2*s.cfg.StepInterval, s.cfg.ResponseGrace) }

// answerExpired answers what falls due, running or not, and everything before the kill of a drain, so that
// nothing is lost.
func (s *Server) answerExpired() {
	killed := s.killAt > 0 && s.now >= s.killAt-2*s.responseMargin()
	for _, r := range slices.Concat(s.queue, s.active) {
		if killed || s.now >= r.deadline-s.cfg.StepInterval {
			s.rejectOrFail(r)
		}
	}
}

// stopAnsweredRuns guards the cores against safe runs whose answer was given or is wanted no more: they are
// stopped while others wait. It could harm where such a run is nearly done and would serve repeats.
func (s *Server) stopAnsweredRuns() {
	if s.cfg.StopMode == StopOff || len(s.queue) == 0 {
		return
	}
	for _, r := range s.active {
		due := s.now-r.stopRequestedAt > minStallGap // a stop does nothing while the cores stand still: ask again
		if r.answered && r.state == stateRunning && s.classes[r.Class].Idempotency == Idempotent && due {
			r.stopRequestedAt = s.now
			s.emit(Action{Kind: ActionStop, ID: r.id})
		}
	}
}

// Calls.

func (s *Server) handleCallNeeded(r *request) {
	if r.state != stateRunning {
		return
	}
	s.running--
	s.atCall++
	s.lastProgressAt = s.now
	r.state = stateAtCall
	if r.answered {
		s.removeRequest(r)
	}
}

// handleCallEnded goes on after a call. One of an effect is repeated only if it never ran, a safe one once more:
// its reply may be lost. One that a shared dependency turns away stops calls for a while; a tier has others.
func (s *Server) handleCallEnded(r *request, ev *Event) {
	if !r.callInFlight {
		return
	}
	s.releaseCall(r, ev.Outcome == OutcomeTimedOut || ev.Outcome == OutcomeReset)
	s.recordCallTime(ev)
	c := s.classes[r.Class]
	if ev.Outcome == OutcomeOK {
		s.resumeRun(r)
		return
	}
	r.failedCalls++
	if s.cfg.CallConcurrencyLimit > 0 && ev.Outcome.NeverRan() {
		s.callsBlockedUntil = s.now + max(timerSteps*s.cfg.StepInterval, Micros(callPatienceFactor*s.callTime.Mean))
	} else if ev.Outcome.NeverRan() {
		r.callBlockedUntil = s.now + max(timerSteps*s.cfg.StepInterval, Micros(callRetryBackoff*float64(r.failedCalls)*s.callTime.Mean))
	}
	if s.cfg.CallConcurrencyLimit <= 0 && c.Idempotency == Idempotent && r.failedCalls <= maxCallRetries {
		return
	}
	if c.DegradedWeightShare > 0 {
		s.skipCall(r)
	} else if !ev.Outcome.NeverRan() && c.Idempotency != Idempotent {
		s.rejectOrFail(r)
	}
}

// recordCallTime takes a call's time into the averages. One given up took longer than was waited, but its reply
// may be lost: it counts as somewhat slow, so that a few can't pass for a slow dependency.
func (s *Server) recordCallTime(ev *Event) {
	took := float64(ev.Elapsed)
	switch {
	case ev.Outcome == OutcomeTimedOut && took > s.callTime.Mean && s.callTime.Samples > 0:
		took = min(took, slowCallFactor*s.callTime.Mean)
	case ev.Outcome != OutcomeOK && (s.callTime.Samples > 0 || ev.Outcome != OutcomeTimedOut):
		return
	}
	s.callTime.add(max(1, took), callSampleWeight)
	if s.minCallTime += minCallTimeDrift * (s.callTime.Mean - s.minCallTime); float64(s.callTime.Samples)*callSampleWeight <= 1 {
		s.minCallTime = s.callTime.Mean // too few samples to tell the least
	}
	s.minCallTime = min(s.minCallTime, s.callTime.Mean)
}

// releaseCall moves a call from what is reserved to what is spent. One given up stays in the dependency's
// hands for a while.
func (s *Server) releaseCall(r *request, lingers bool) {
	h := endedCall{releasedAt: s.now, duration: s.now - r.callStartedAt}
	if lingers {
		h.releasedAt, h.duration = h.releasedAt+s.cfg.AbandonedCallDuration, h.duration+s.cfg.AbandonedCallDuration
	}
	r.callInFlight = false
	s.callsInFlight--
	s.reservedCallTime -= r.callReservation
	s.endedCallTime += h.duration
	// A debt from a crowd that has passed must not shut the calls out for long.
	s.callCredit = max(s.callCredit-min(float64(h.duration), callObjectiveShare*s.meanObjective), -s.plannedCallConcurrency()*s.meanObjective/4)
	s.endedCalls = append(s.endedCalls, h)
}

func (s *Server) skipCall(r *request) {
	r.startedAt = -1 // its time is no sample
	s.emit(Action{Kind: ActionSkipCall, ID: r.id})
	s.resumeRun(r)
}

func (s *Server) resumeRun(r *request) {
	s.atCall--
	s.running++
	r.state = stateRunning
	s.lastProgressAt = s.now
}

// admitCalls keeps the mean of the calls in hand under this server's share of what the dependency survives:
// one is made only if the longest that it can stay in hand fits beside those that the span still counts. They
// are paced well below that, most worth first. What can't end its call in time goes on without it or is
// answered at once. It could harm where this server is asked for far more than others, whose room is unseen.
func (s *Server) admitCalls() {
	for i, r := range s.pendingCalls() {
		_, d2 := s.queueBounds(r)
		span := s.callTimeout(r)
		wait := s.callQueueDelay(r, i)
		late := float64(s.now)+wait+s.callTime.Mean > d2 && !s.mayProbeCall()
		switch {
		case s.classes[r.Class].DegradedWeightShare > 0 && (late || wait > callPatienceFactor*s.minCallTime || span <= 0):
			s.skipCall(r)
		case late:
			s.rejectOrFail(r)
		case s.now >= max(s.callsBlockedUntil, r.callBlockedUntil) && span > 0 && wait <= 0:
			s.startCall(r, span)
		}
	}
}

// pendingCalls lists the requests that wait to make a call, most worth first.
func (s *Server) pendingCalls() []*request {
	var list []*request
	for _, r := range s.active {
		if r.state == stateAtCall && !r.callInFlight && !r.answered {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(b.weightDensity, a.weightDensity) })
	return list
}

// callQueueDelay is how long a request's call waits for its turn if so many wait before it, in microseconds. One
// that is out counts for its mean time at least; the less worth a class has, the more is kept for others.
func (s *Server) callQueueDelay(r *request, ahead int) float64 {
	if s.cfg.CallConcurrencyLimit <= 0 {
		return 0
	}
	kept := reservedCalls * (1 - s.classes[r.Class].PriorityWeight/s.maxWeight)
	left := s.callCredit - (float64(ahead)+kept)*s.callTime.Mean
	for _, r := range s.active {
		if r.callInFlight {
			left -= max(s.callTime.Mean, min(float64(s.now-r.callStartedAt), callObjectiveShare*s.meanObjective))
		}
	}
	return max(0, -left/s.plannedCallConcurrency())
}

// plannedCallConcurrency is the mean number of calls in hand that is planned: most of the bound while calls take about the
// least time that they have taken, less in proportion as they take longer.
func (s *Server) plannedCallConcurrency() float64 {
	if s.callTime.Samples == 0 {
		return maxCallPaceShare * s.cfg.CallConcurrencyLimit
	}
	return min(maxCallPaceShare, max(minCallPaceShare, maxCallPaceShare*slowCallFactor*s.minCallTime/s.callTime.Mean)) * s.cfg.CallConcurrencyLimit
}

// callTimeout is how long a call may take before it is given up, so that the bound holds even then; 0 if there
// is no room for one that takes an ordinary time.
func (s *Server) callTimeout(r *request) Micros {
	span := r.deadline - s.now
	if c := s.classes[r.Class]; s.callTime.Samples > 0 {
		if c.Idempotency == Idempotent { // its reply may be lost: it can be made again, or left out
			patience := max(callPatienceFactor*s.callTime.Mean, min(1, s.cfg.CallConcurrencyLimit)*callObjectiveShare*float64(c.LatencyObjective))
			span = min(span, max(timerSteps*s.cfg.StepInterval, Micros(patience)))
		} else if c.LateWeightShare == 0 && s.cfg.CallConcurrencyLimit <= 0 {
			span = min(span, max(1, r.firstAttemptAt+c.LatencyObjective-s.now))
		}
	}
	if s.cfg.CallConcurrencyLimit > 0 {
		bound := Micros(s.cfg.CallConcurrencyLimit * float64(s.cfg.CallConcurrencyWindow))
		room := bound - s.endedCallTime - s.reservedCallTime - s.cfg.AbandonedCallDuration - s.cfg.StepInterval
		span = min(span, Micros(maxCallBudgetShare*float64(room)))
	}
	if float64(span) < s.callTime.Mean && !s.mayProbeCall() {
		return 0
	}
	return span
}

// mayProbeCall says whether a call may be made against the estimate, so that a stale call time can't end all
// calls: none is out and the last was made half an aim ago.
func (s *Server) mayProbeCall() bool {
	return s.callsInFlight == 0 && float64(s.now-s.lastCallAt) > s.meanObjective/2
}

func (s *Server) startCall(r *request, span Micros) {
	s.lastCallAt, r.callStartedAt, r.callInFlight = s.now, s.now, true
	r.callReservation = span + s.cfg.AbandonedCallDuration + s.cfg.StepInterval
	s.callsInFlight++
	s.reservedCallTime += r.callReservation
	s.emit(Action{Kind: ActionCall, ID: r.id, Duration: span})
}

// Endings.

// rejectOrFail answers a request that can't be served, at once: an error where it ran and running it again would do
// harm, else a refusal that tells when to come back. What runs keeps its place until it ends.
func (s *Server) rejectOrFail(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if took := float64(s.now - r.startedAt); r.state == stateRunning && took > s.expectedRunTime(r) {
		s.recordRunTime(r, took) // at least so long
	}
	if r.state == stateQueued || s.classes[r.Class].Idempotency == Idempotent {
		s.rejectedShare.add(1, 1.0/recentArrivalCount)
		s.emit(Action{Kind: ActionReject, ID: r.id, Duration: s.retryAfter(), NoFailover: s.failoverFutile()})
	} else {
		s.emit(Action{Kind: ActionFail, ID: r.id})
	}
	s.removeUnlessRunning(r)
}

// failoverFutile says whether a try elsewhere is taken to be in vain: much is refused here and, by tries seen, there.
func (s *Server) failoverFutile() bool {
	shares := s.rejectedShare.Mean > futileRejectedShareWithRetries && s.retryShare > futileRetryShare
	return !s.readsSlowly() && (shares || s.rejectedShare.Mean > futileRejectedShare)
}

// removeRequest drops a request that is over. A call still out stays in the dependency's hands for a while.
func (s *Server) removeRequest(r *request) {
	switch r.state {
	case stateRunning:
		s.running--
	case stateAtCall:
		s.atCall--
	}
	if r.callInFlight {
		s.releaseCall(r, true)
	}
	if r.state == stateRunning || r.state == stateAtCall {
		s.requestMemoryKB -= r.MemoryKB * (s.cfg.RunMemoryFactor - 1)
	}
	if r.state == stateQueued {
		s.queue = removeFrom(s.queue, r)
	} else {
		s.active = removeFrom(s.active, r)
	}
	s.requestMemoryKB -= r.MemoryKB
	delete(s.byID, r.id)
}

func removeFrom(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(other *request) bool { return other == r })
}

// Signals to callers.

// retryAfter is how long a refused caller should stay away: in proportion to the time that it takes to start what
// is held and to read what stands unread, by the age of what was read.
func (s *Server) retryAfter() Micros {
	if s.stalledOrFailing() || s.killAt > 0 || s.readsSlowly() {
		return s.cfg.MaxRetryAfter
	}
	backlog := staleReadShare * s.readStaleness.Mean * s.meanObjective
	for _, r := range s.queue {
		backlog += s.expectedRunTime(r) / s.runLimit
	}
	return min(s.cfg.MaxRetryAfter, Micros(retryAfterShare*backlog))
}

// updateSignals tells health checks of the symptoms of a hang or of failing work, and callers how much to send here.
func (s *Server) updateSignals() {
	if well := !s.stalledOrFailing() && s.readStaleness.Mean < unhealthyShare && !s.draining(); well != s.sentHealthy {
		s.sentHealthy = well
		s.emit(Action{Kind: ActionSetHealth, Healthy: well})
	}
	if s.cfg.SignalMode == SignalOff {
		return
	}
	v := s.loadSignal()
	if s.sentLoadSignal < 0 || v > s.sentLoadSignal*(1+loadSignalMinChange) || v < s.sentLoadSignal*(1-loadSignalMinChange) {
		s.sentLoadSignal = v
		s.emit(Action{Kind: ActionSetLoadSignal, LoadSignal: v})
	}
}

// draining says whether callers are to stay away as the server leaves service. What comes within the grace may
// still run, and callers bear the word in mind for a while: half of the grace is served as ever.
func (s *Server) draining() bool {
	return s.killAt > 0 && s.now >= s.drainStartedAt+s.cfg.DrainGrace/2
}

// loadSignal is the value to say, by what callers do with it.
func (s *Server) loadSignal() float64 {
	shut := 0.0
	if s.stalledOrFailing() || s.draining() {
		shut = faultyDivertedShare
	}
	if s.cfg.SignalMode == SignalConcurrencyLimit {
		room := (1 - shut) * s.runLimit / max(1, s.effectiveCallers())
		time := 0.0 // the mean of T_m over the classes
		for _, c := range s.classes {
			time += c.RunTime.Mean / float64(len(s.classes))
		}
		if time > 0 {
			room *= offeredWorkShare * s.meanObjective / time
		}
		return room
	}
	if s.cfg.SignalMode == SignalPriorityFloor {
		return max(shut, s.priorityFloor)
	}
	return 1 - max(shut, min(maxDivertedShare, s.rejectedShare.Mean))
}

// updatePriorityFloor guards against reading what is refused anyway: while cores are short, the floor rises to the
// rank that as much of the latest arrivals lies under as is refused; else it sinks: what it hides returns.
func (s *Server) updatePriorityFloor() {
	s.priorityFloor *= 1 - 1.0/recentArrivalCount
	refused := int(max(0, s.rejectedShare.Mean-futileRejectedShare) * float64(len(s.recentArrivals)))
	if s.cfg.SignalMode == SignalPriorityFloor && refused > 0 && s.callCredit >= reservedCalls*s.callTime.Mean {
		ranked := slices.Clone(s.recentArrivals)
		slices.SortFunc(ranked, func(a, b Arrival) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) })
		s.priorityFloor = max(s.priorityFloor, min(maxDivertedShare, ranked[refused].PriorityRank))
	}
}

// armTimer asks for one timer while there is work in hand.
func (s *Server) armTimer() {
	if len(s.byID) == 0 && s.sentHealthy || s.timerDueAt != 0 {
		return
	}
	span := max(1, s.cfg.StepInterval, min(timerSteps*s.cfg.StepInterval, s.cfg.ResponseGrace/2))
	s.timerDueAt = s.now + span
	s.emit(Action{Kind: ActionSetTimer, TimerID: uint64(s.timerDueAt), Duration: span})
}
