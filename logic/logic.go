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
	meanWeight   = 0.1     // weight of one sample in T_m (the paper's alpha): work varies from run to run
	probeWeight  = 0.5     // weight of a probe's sample: few come, and each tells of a change
	aimShare     = 0.65    // D1 as a share of the aim: room for runs longer than T_m and for the way back
	idleShare    = 0.9     // and on a server with an idle core
	slopeMost    = 2       // run time for each unit of hint that one sample may suggest
	lateShare    = 0.75    // D2 as a share of the aim, or of a later instant where late answers have worth
	queuedShare  = 0.02    // a request waits this share of its aim before it may be refused as hopeless
	stallFloor   = 100000  // least completion gap that may be a stall (the paper's 100 ms)
	stallGaps    = 6       // a stall is a gap of this many mean gaps, so that thin traffic is none
	slowShare    = 0.18    // share of the mean aim that reading takes on a server too slow to be sent more
	readShare    = 0.5     // share of the cores beyond which what is being read takes the place of runs
	limitCut     = 0.75    // factor on the limit when runs slow each other
	slowRuns     = 1.3     // recent mean over long mean run time that counts as slowed
	crowdShare   = 0.75    // share of the crowd that the server survives which may run at once
	memoryShare  = 0.92    // share of the memory that may be planned; the rest covers late news
	callsMost    = 0.8     // share of the calls bound that is planned while calls take their least time
	callsLeast   = 0.25    // and at the least, however slow: crowds slow the dependency well below its bound
	callSlow     = 2       // mean over least call time from which calls count as slowed
	callsDrift   = 0.002   // weight with which the least call time follows the mean: it may be over
	callsBurst   = 10      // calls that may be made at once after a quiet spell
	callsAhead   = 0.2     // and at least as much as is planned in this part of the mean aim
	callWaits    = 0.3     // part of an aim that a call to a shared dependency may take, or counts for
	callsKept    = 4       // calls' time kept back from the least worthy for the most worthy
	callWeight   = 0.15    // weight of one sample of the call time, or age at reading: few tell of a change
	callPatience = 6       // a call that may be left out waits this many least call times at most
	callRepeats  = 1       // times that a safe call which did not go well is made again
	callBack     = 0.5     // mean call times until a call turned away by a tier is made again, growing
	callsPart    = 0.5     // share of the room left under the calls bound that one call may take
	wakeTicks    = 8       // ticks between looks at the clock while work is in hand
	quotaSlack   = 1.3     // a server's part of a quota over the even one: traffic is uneven
	quotaBurst   = 3       // seconds of quota that a tenant may use at once
	inviteShare  = 0.3     // work that callers may have out here, as a share of what fits into the mean aim
	retryShare   = 0.3     // worth of a marked later try: some of its aim is spent, and how much is not told
	heardLately  = 32      // arrivals over which the callers' shares of the traffic are averaged
	failShare    = 0.6     // mean of failures, or of ages at reading, from which the server counts as unwell
	staleShare   = 0.5     // share of its aim within which a request is read on a server that is well
	adviceShare  = 1.0 / 3 // advice to stay away, as a share of the time that the backlog takes
	toldParts    = 100     // parts of the deadline in which told waits are told apart
	toldLately   = 512     // arrivals over which the told shares of the deadline are counted
	toldOrdinary = 0.05    // part of the arrivals with a told share from which it is one of first tries
	idleParts    = 4       // longest idle span over the one kept where all callers come back
	lastShare    = 0.6     // refused share from which a further try elsewhere is taken to be in vain
	lastFew      = 0.3     // the same where further tries that come here show that others refuse too
	lastAgain    = 0.15    // share of further tries among the arrivals from which they show it
	valveStep    = 0.4     // relative change of the idle span a look, for each unit of intake off its share
	valveShare   = 0.35    // share of the cores that intake may take before the table is let fill
	shutMost     = 0.9     // share of the traffic that a backlog keeps away at most
	shutSick     = 0.98    // share kept away while sick or leaving; the rest tells when it is over
	sayStep      = 0.25    // relative change of the said value worth saying
)

type stage int

const (
	held    stage = iota // waits for a slot
	running              // on the cores
	calling              // stands at a call
	joined               // waits for its forerunner's result
)

type request struct {
	Arrival
	id       RequestID
	arrived  Micros // when it reached the machine
	first    Micros // when its first try was made, at the latest
	due      Micros // its answer is owed by then
	started  Micros
	stage    stage
	stopped  Micros  // when its stop was asked last
	old      bool    // in the old-request queue
	density  float64 // worth for core time, as of the last order
	answered bool
	keyEnds  Micros  // when its entry of the table of keys expires; 0: it has none
	over     bool    // beyond its tenant's quota
	weight   float64 // of its run's sample
	callOut  bool
	lost     int    // calls of its run that did not go well
	callFrom Micros // its next call is not made before
	called   Micros // when its call was made
	reserved Micros // the longest that this call can stay in the dependency's hands
}

// handled is a call that is over.
type handled struct {
	left Micros // when it left the dependency's hands
	span Micros // how long it was in them
}

func (a *Average) add(x, weight float64) {
	a.N++
	a.Mean += max(weight, 1/float64(a.N)) * (x - a.Mean)
}

// classState is what is known of one class.
type classState struct {
	Class
	Estimate
}

// Server decides for one server process. It is not safe for concurrent use.
type Server struct {
	cfg     Settings
	now     Micros
	started Micros
	out     []Action

	classes       []*classState
	aim, topWorth float64 // the mean aim in microseconds and the most worth over the classes, above 0
	told          [toldParts]float64
	latest        []Arrival
	tokens        []float64 // what is left of each tenant's quota on this server
	byID          map[RequestID]*request
	queue         []*request // held; order sorts it
	active        []*request // running, calling or joined

	limit               float64
	share               float64 // of the cores and the memory: another process of this server has the rest
	running             int
	calls               int      // requests that stand at a call
	memory              float64  // kilobytes of held and running requests
	keys                []Micros // when entries of the table of keys expire, in order
	recent              Average  // recent run time over the estimate at its start
	gap                 Average  // microseconds between completions while the cores are full
	progress            Micros   // last sign that the cores get work done
	stallEnd            Micros   // runs started before this are no samples
	refusing            Average  // share of requests refused
	failing             Average  // share of recent runs that failed
	floor               float64  // rank below which callers are asked to send nothing
	stale               Average  // age at reading, of staleShare of the aim
	readGap             Average  // microseconds between requests read while cores read
	again               float64  // share of further tries among the latest arrivals
	lastProbe, lastRead Micros
	gauges              Gauges

	callTime  Average // microseconds of a call
	callBest  float64 // the least that its mean has been lately
	callsOut  int     // calls in the dependency's hands, abandoned ones not counted
	ledger    []handled
	callsDone Micros // sum of the ledger's spans: calls over that the bound still counts
	callsHeld Micros // the longest that the calls out may take, together
	callsFrom Micros // no call is made before: the last one was not taken
	lastCall  Micros
	credit    float64 // call time that may be used now, in microseconds; below 0: overdrawn

	drainAt, kill  Micros // when the notice to leave came and when it ends; 0: none
	wakeAt         Micros // 0: no timer armed
	said           float64
	healthy        bool
	idle, idleSaid float64
}

// New returns a Server that has decided nothing yet. It needs no seed so far: nothing is drawn at random.
func New(cfg Settings, _ uint64) (*Server, error) {
	if err := check(cfg); err != nil {
		return nil, err
	}
	s := &Server{now: -1, byID: map[RequestID]*request{},
		limit: float64(cfg.Cores), share: 1,
		tokens: make([]float64, len(cfg.Tenants)), said: -1, healthy: true,
		topWorth: 1e-9, gauges: Gauges{CoreUse: -1, RunQueue: -1, MemoryShare: -1, Connections: -1}}
	s.tune(cfg)
	for i := range s.tokens {
		s.tokens[i] = s.quota(i) * quotaBurst
	}
	return s, nil
}

// Retune takes new settings while requests are in hand. Classes keep their places and new
// ones come after them, so that each request keeps its class; tenants stay as they are.
func (s *Server) Retune(cfg Settings) error {
	if err := check(cfg); err != nil {
		return err
	}
	if len(cfg.Classes) < len(s.classes) || len(cfg.Tenants) != len(s.cfg.Tenants) {
		return errors.New("settings: while requests are in hand classes may only be added")
	}
	s.tune(cfg)
	return nil
}

// tune takes over settings and their classes.
func (s *Server) tune(cfg Settings) {
	cfg.RunFactor = max(1, cfg.RunFactor)
	s.cfg, s.aim = cfg, 0
	for i, c := range cfg.Classes {
		if i == len(s.classes) {
			s.classes = append(s.classes, &classState{})
		}
		s.classes[i].Class = c
		s.aim += float64(c.Aim) / float64(len(cfg.Classes))
		s.topWorth = max(s.topWorth, c.Worth)
	}
}

// Learned is what this server has found out so far.
func (s *Server) Learned() Learned {
	l := Learned{Limit: s.limit, Gap: s.gap, CallTime: s.callTime, CallBest: s.callBest, Refusing: s.refusing,
		Told: slices.Clone(s.told[:]), Classes: map[string]Estimate{}, Tokens: map[string]float64{}}
	for _, c := range s.classes {
		l.Classes[c.Name] = c.Estimate
	}
	for i, t := range s.cfg.Tenants {
		l.Tokens[t.Name] = s.tokens[i]
	}
	return l
}

// Adopt begins with what another server found out; slots caps its limit as it does an own one. It is to be
// called before the first Step.
func (s *Server) Adopt(l Learned) {
	s.limit, s.gap, s.refusing = max(s.limit, l.Limit), l.Gap, l.Refusing
	s.callTime, s.callBest = l.CallTime, l.CallBest
	copy(s.told[:], l.Told)
	for _, c := range s.classes {
		c.Estimate = l.Classes[c.Name]
	}
	for i, t := range s.cfg.Tenants {
		s.tokens[i] = min(s.tokens[i], max(0, l.Tokens[t.Name]))
	}
}

// Share says which part of the cores and the memory, up to 1, this server may use as of the next Step.
func (s *Server) Share(part float64) { s.share = part }

// check errs where nothing could be decided. Package settings says what is wrong with which key.
func check(cfg Settings) error {
	ok := len(cfg.Classes) > 0 && min(float64(cfg.Cores), cfg.MemoryKB) > 0
	for _, c := range cfg.Classes {
		ok = ok && c.Aim > 0 && c.Deadline > 0 && c.Window >= 0
	}
	if !ok || cfg.CallsShare > 0 && cfg.CallsSpan == 0 || min(cfg.WarmAfter, cfg.CrowdSpan, cfg.AnswerGrace,
		cfg.DrainGrace, cfg.Tick, cfg.CallsSpan, cfg.CallLinger, cfg.MaxAdvice, cfg.IdleSpan) < 0 {
		return errors.New("settings: cores, memory, aims and deadlines must be above 0, no span below")
	}
	return nil
}

// Step takes in all that happened, then decides once. The actions are valid until the next call.
func (s *Server) Step(now Micros, events []Event) []Action {
	s.advance(now)
	for i := range events {
		s.take(&events[i])
	}
	s.order()
	s.guardDue()
	s.guardUseless()
	s.guardMemory()
	for s.running < s.slots() && s.round() { // one round for each free slot
	}
	s.refuseHopeless()
	s.guardCalls()
	s.signal()
	s.arm()
	return s.out
}

func (s *Server) do(a Action) { s.out = append(s.out, a) }

// advance moves the clock and what depends on it alone.
func (s *Server) advance(now Micros) {
	s.out = s.out[:0]
	if s.now < 0 {
		s.started, s.progress, s.now = now, now, now
		s.do(Action{Kind: ActHealth, On: true})
	}
	span := float64(now - s.now)
	s.credit = min(s.credit+s.callPace()*span, max(callsBurst*s.callTime.Mean, callsAhead*s.aim*s.callPace()))
	s.now = now
	at, _ := slices.BinarySearch(s.keys, now)
	s.keys = s.keys[at:]
	for len(s.ledger) > 0 && s.ledger[0].left+s.cfg.CallsSpan < now {
		s.callsDone -= s.ledger[0].span
		s.ledger = s.ledger[1:]
	}
	for i := range s.tokens {
		s.tokens[i] = min(s.quota(i)*quotaBurst, s.tokens[i]+s.quota(i)*span/1e6)
	}
}

// quota is this server's part of a tenant's quota, in requests a second; at least a request fits the burst.
func (s *Server) quota(tenant int) float64 {
	return max(quotaSlack*s.cfg.Tenants[tenant].Quota/float64(max(1, s.cfg.Servers)), 1.0/quotaBurst)
}

// Intake.

func (s *Server) take(ev *Event) {
	switch r := s.byID[ev.ID]; {
	case ev.Kind == EvArrival:
		s.arrive(ev)
	case ev.Kind == EvTimer:
		s.wakeAt, s.gauges = 0, ev.Gauges
		s.moveFloor()
		if s.gauges.RunQueue <= float64(s.running) {
			s.stale.Mean = 0
		}
		s.climb()
		s.closeIdle()
	case ev.Kind == EvDrain:
		s.drainAt, s.kill = s.now, s.now+max(1, ev.Left)
	case r == nil: // late news of a request that is over
	case ev.Kind == EvDone:
		s.finish(r, ev)
	case ev.Kind == EvGone:
		r.answered = true
		s.dismiss(r)
	case ev.Kind == EvNeedsCall:
		s.atCall(r)
	case ev.Kind == EvCallResult:
		s.callResult(r, ev)
	}
}

func (s *Server) arrive(ev *Event) {
	a := ev.Arrival
	c := s.classes[a.Class]
	r := &request{Arrival: a, id: ev.ID, arrived: s.now - a.Age, due: s.now + a.Wait, weight: meanWeight}
	if a.Wait == 0 {
		r.due = max(s.now, r.arrived+c.Deadline)
	}
	r.first = r.arrived - s.spent(c, r.due-r.arrived)
	r.over = s.overQuota(r)
	s.stale.add(min(1, float64(a.Age)/(staleShare*float64(c.Aim))), callWeight)
	if s.reads() > 0 {
		s.readGap.add(min(s.aim, float64(s.now-s.lastRead)), callWeight)
	}
	s.lastRead = s.now
	s.again *= 1 - 1.0/heardLately
	if a.Retry {
		s.again += 1.0 / heardLately
	}
	s.latest = append(s.latest, a)
	s.latest = s.latest[max(0, len(s.latest)-heardLately):]
	s.byID[r.id] = r
	s.memory += r.KB
	if a.Forerunner != 0 && s.repeat(r) {
		return
	}
	s.queue = append(s.queue, r)
	s.keep(r)
	if s.tooLateToRun(r) || c.Effect == Keyed && c.Window > 0 && r.keyEnds == 0 {
		s.giveUp(r) // a keyed request without its entry must not run: a repeat could not be told
	}
}

// callers is the number of callers of like traffic that the latest arrivals amount to, since most callers
// carry little and an even split of the room would starve those that carry much.
func (s *Server) callers() float64 {
	pairs, heard := 0, map[int]int{}
	for _, a := range s.latest {
		heard[a.Source]++
		pairs += 2*heard[a.Source] - 1
	}
	return float64(len(s.latest)*len(s.latest)) / float64(max(1, pairs))
}

// spent is how much of its time a request has spent in earlier tries, at the least. Callers give each try the
// same share of the deadline but the last, which gets what is left.
func (s *Server) spent(c *classState, told Micros) Micros {
	if !s.cfg.TellsWait || told >= c.Deadline {
		return 0
	}
	share := int(float64(toldParts) * float64(told) / float64(c.Deadline))
	sum := 0.0
	for i := range s.told {
		s.told[i] *= 1 - 1.0/toldLately
		sum += s.told[i]
	}
	s.told[share]++
	for i := share; i < toldParts; i++ {
		if s.told[i] >= toldOrdinary*(sum+1) {
			return max(0, Micros(float64(i)/toldParts*float64(c.Deadline))-told)
		}
	}
	return c.Deadline - told
}

// overQuota takes a first try off its tenant's part of the quota and says whether none was left.
func (s *Server) overQuota(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(s.tokens) || s.tokens[r.Tenant] < 1 {
		return r.Tenant >= 0
	}
	if !r.Retry && r.first == r.arrived {
		s.tokens[r.Tenant]--
	}
	return false
}

// repeat settles a request that names its forerunner: it joins one that ran, and takes the place of
// one of its own key that is still held. It reports whether the request was joined.
func (s *Server) repeat(r *request) bool {
	f := s.byID[r.Forerunner]
	if f != nil && f.stage == held && s.classes[r.Class].Effect == Keyed {
		f.keyEnds, r.keyEnds = 0, f.keyEnds // the entry passes to the repeat
		s.giveUp(f)
		return false
	}
	r.stage = joined
	s.active = append(s.active, r)
	s.do(Action{Kind: ActJoin, ID: r.id})
	return true
}

// finish takes in the end of a run or a join. A run stopped by another hand is answered here.
func (s *Server) finish(r *request, ev *Event) {
	if r.stage == running && (ev.Outcome == OK || ev.Outcome == Failed) {
		s.completed(r, ev)
	} else if (r.stage == running || r.stage == calling) && ev.Outcome == Cancelled {
		s.giveUp(r)
	}
	s.forget(r)
}

// dismiss ends a request of which nothing runs.
func (s *Server) dismiss(r *request) {
	if r.stage == held || r.stage == joined {
		s.releaseKey(r)
		s.forget(r)
	}
}

// Estimate.

// completed takes a run's time into the averages. Failed runs, runs with calls left out and runs begun
// before a stall are no samples of T_m.
func (s *Server) completed(r *request, ev *Event) {
	if s.running >= s.cfg.Cores { // in thin traffic a gap tells nothing
		if s.now-s.progress > s.stallGap() {
			s.stallEnd = s.now
		}
		s.gap.add(float64(s.now-s.progress), meanWeight)
	}
	s.progress = s.now
	s.refusing.add(0, 1.0/heardLately)
	s.failing.add(float64(1-ev.Outcome), r.weight) // Failed is 0, OK is 1
	if ev.Outcome == OK {
		s.sample(r, float64(ev.Elapsed))
	}
	s.climb()
	s.cut()
}

func (s *Server) sample(r *request, elapsed float64) {
	c := s.classes[r.Class]
	if r.started < s.stallEnd {
		return
	}
	if tm := s.runTime(r); tm > 0 {
		s.recent.add(elapsed/tm, probeWeight/2)
	}
	c.Run.add(elapsed, r.weight)
	if r.Hint <= 0 {
		return
	}
	hint := float64(r.Hint)
	if c.Hinted.N == 0 {
		// At first in proportion to the hint, but no more than that many times: the rest is waits.
		c.Cov, c.Spread = min(hint*elapsed, slopeMost*hint*hint)/4, hint*hint/4
		c.Hint.Mean, c.Hinted.Mean = hint, elapsed // one sample has no spread of its own
	}
	off := hint - c.Hint.Mean
	c.Cov += r.weight * (off*(elapsed-c.Hinted.Mean) - c.Cov)
	c.Spread += r.weight * (off*off - c.Spread)
	c.Hint.add(hint, r.weight)
	c.Hinted.add(elapsed, r.weight)
}

// runTime is T_m for a request, in microseconds: where it carries a hint, the best straight line through the
// hints and run times seen, since waits for disk and calls don't grow with the work and hints may be rough.
func (s *Server) runTime(r *request) float64 {
	c := s.classes[r.Class]
	if r.Hint > 0 && c.Hinted.N > 0 {
		slope := max(0, c.Cov) / max(1, c.Spread)
		return max(meanWeight*c.Hinted.Mean, c.Hinted.Mean+slope*(float64(r.Hint)-c.Hint.Mean))
	}
	return c.Run.Mean
}

// Two queues.

// bounds are D1 and D2 of a request as instants: its answer is to be ready by then. Both are capped at
// the wait that its caller told.
func (s *Server) bounds(r *request) (d1, d2 float64) {
	c := s.classes[r.Class]
	aim := float64(c.Aim) + c.AimStretch*float64(r.Hint)
	aim = min(aim, float64(c.Deadline))
	share := lateShare
	if s.running < s.cfg.Cores { // nobody else would have the core: what may still make it is worth a run
		share = idleShare
	}
	late := aim + c.LateWorth*(float64(c.Deadline)-aim) // the less it earns late, the sooner it goes
	told := float64(r.due - r.arrived)
	from, first := float64(r.arrived), float64(r.first)
	return min(first+aim*aimShare, from+told*lateShare), min(first+late*share, from+told*share)
}

// meets reports whether a request that starts after the given wait would be ready by the bound.
func (s *Server) meets(r *request, bound, wait float64) bool {
	if c := s.classes[r.Class]; c.Calls {
		delay := s.callDelay(r, s.calls-s.callsOut)
		if c.DegradedWorth > 0 {
			delay = min(delay, callPatience*s.callBest) // then it goes on without
		}
		wait += delay
	}
	return float64(s.now)+wait+s.runTime(r) < bound
}

// density orders the queues: worth for each unit of core time expected.
func (s *Server) density(r *request) float64 {
	c := s.classes[r.Class]
	worth := c.Worth
	if r.over {
		worth *= s.cfg.OverShareWorth
	}
	if r.Retry || r.first < r.arrived {
		worth *= retryShare
	}
	if s.cfg.WorthByWork {
		return worth
	}
	return worth / max(1, s.runTime(r))
}

// order moves requests that can no longer meet D1 to the old queue and sorts what is held: new before old,
// then by worth for core time, then by arrival.
func (s *Server) order() {
	for _, r := range s.queue {
		d1, _ := s.bounds(r)
		r.old = r.old || !s.meets(r, d1, 0)
		r.density = s.density(r)
	}
	slices.SortStableFunc(s.queue, func(a, b *request) int {
		switch {
		case a.old && !b.old:
			return 1
		case b.old && !a.old:
			return -1
		}
		return cmp.Or(cmp.Compare(b.density, a.density), cmp.Compare(a.arrived, b.arrived))
	})
}

// round starts the first held request that meets its bound, or as a probe, and reports whether it found
// one. Requests that do not meet D2 are refused on the way.
func (s *Server) round() bool {
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		_, d2 := s.bounds(r)
		meets := s.meets(r, d2, 0) && !s.sick()
		switch {
		case !s.fits(r) || s.sick() && !s.mayProbe(r):
			i++ // refuseHopeless settles the sick spell's
		case meets || s.mayProbe(r):
			if !meets {
				r.weight, s.lastProbe = probeWeight, s.now
			}
			s.start(r)
			return true
		default:
			s.giveUp(r)
		}
	}
	return false
}

func (s *Server) start(r *request) {
	s.queue = drop(s.queue, r)
	s.active = append(s.active, r)
	s.do(Action{Kind: ActRun, ID: r.id})
	if s.running == 0 {
		s.progress = s.now
	}
	r.stage, r.started = running, s.now
	s.running++
	s.memory += r.KB * (s.cfg.RunFactor - 1)
}

// refuseHopeless refuses requests that the work ahead of them keeps from meeting D2. The paper tests only the
// head of a queue; this adds the wait that is still to come. It acts once queuedShare of the aim has passed,
// so that a burst of a moment refuses nobody, and leaves the caller time to try elsewhere.
func (s *Server) refuseHopeless() {
	ahead := 0.0
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		_, d2 := s.bounds(r)
		waited := float64(s.now-r.arrived) >= queuedShare*float64(s.classes[r.Class].Aim)
		if waited && (s.sick() || !s.meets(r, d2, ahead/s.limit)) {
			s.giveUp(r)
			continue
		}
		ahead += s.runTime(r)
		i++
	}
}

// Limit.

// climb raises the limit by one while cores idle and work is held: less wants the cores than there are,
// since runs wait for something else.
func (s *Server) climb() {
	idle := s.gauges.RunQueue >= 0 && s.gauges.RunQueue < float64(s.cfg.Cores)
	if idle && len(s.queue) > 0 && s.running >= int(s.limit) {
		s.limit = min(s.limit+1, s.crowd()*crowdShare)
	}
}

// closeIdle sets how long an unused connection may stay: as long as callers come back, and longer while
// reading and new connections take too much of the cores. A full table turns callers away at no cost, but
// taxes the cores and doesn't choose. It could harm where one long-lived stream holds each connection.
func (s *Server) closeIdle() {
	intake := s.reads() / max(float64(s.cfg.Cores), s.gauges.RunQueue)
	longest := float64(s.cfg.IdleSpan)
	shortest := longest / idleParts * max(0.1, 1-s.callers()/float64(max(1, len(s.latest))))
	s.idle = min(longest, max(s.idle*(1+valveStep*(intake-valveShare)), shortest))
	if s.idle > 1.25*s.idleSaid || s.idle < 0.8*s.idleSaid {
		s.idleSaid = s.idle
		s.do(Action{Kind: ActCloseIdle, Span: Micros(s.idle)})
	}
}

// cut lowers the limit when runs take much longer than T_m while more wants the cores than there are.
func (s *Server) cut() {
	if s.recent.Mean > slowRuns && s.gauges.RunQueue > float64(s.cfg.Cores) {
		s.limit = max(float64(s.cfg.Cores), s.limit*limitCut)
		s.recent.Mean = 1
	}
}

// crowd is how many runs the server survives on its cores; a cold server survives fewer. As a guard it could
// harm where runs mostly wait for disk, which the crowd does not count.
func (s *Server) crowd() float64 {
	speed := 1.0
	if s.cfg.Cold && s.now-s.started < s.cfg.WarmAfter {
		speed = s.cfg.ColdCapacity + (1-s.cfg.ColdCapacity)*float64(s.now-s.started)/float64(s.cfg.WarmAfter)
	}
	return max(1, float64(s.cfg.Cores)*(1+(s.cfg.CrowdFactor-1)*speed))
}

// reads is how many requests are being read, one a core at most: all that wants the cores and does not run.
func (s *Server) reads() float64 { return max(0, s.gauges.RunQueue-float64(s.running)) }

// slow says whether a core takes so long to read one request, by Little's law, that hardly any can be served
// in time. That tells a slow server from a crowded one, where each request has part of a core.
func (s *Server) slow() bool {
	part := min(1, float64(s.cfg.Cores)/max(1, s.gauges.RunQueue))
	return s.reads()*s.readGap.Mean*part > slowShare*s.aim
}

// slots is the number of runs allowed on the cores now: all that stand at calls may return together. Unread
// requests stand in line as they came, so while there is a line reading goes before running.
func (s *Server) slots() int {
	crowd, calls := s.crowd()*s.share, float64(s.calls)
	limit := s.limit*s.share - max(0, s.reads()-readShare*float64(s.cfg.Cores))
	return int(min(max(1, limit), max(1, crowd*crowdShare-calls/2), crowd-calls))
}

// Guards.

// stallGap is the completion gap beyond which full cores are taken to stand still; half the mean aim as
// long as the ordinary gap is unknown.
func (s *Server) stallGap() Micros {
	if s.gap.N < stallGaps {
		return Micros(s.aim / 2)
	}
	return max(stallFloor, Micros(stallGaps*s.gap.Mean))
}

// sick guards against a server that takes work and does none of it, whatever the cause: runs age with no
// completion, or most runs fail. Held requests are then refused with advice, and one probe at a time
// tells when it is over. It could harm where a few very long runs fill all cores.
func (s *Server) sick() bool {
	return s.running >= s.cfg.Cores && s.now-s.progress > 2*s.stallGap() ||
		s.failing.N > stallGaps && s.failing.Mean > failShare
}

// mayProbe says whether a request may start against the estimate, so that a stale T_m or a sick spell that
// is over cannot shut the door: nothing runs and the last probe is half an aim ago.
func (s *Server) mayProbe(r *request) bool {
	c := s.classes[r.Class]
	return s.running == 0 && s.now-s.lastProbe > c.Aim/2 && s.now < r.arrived+c.Aim
}

// used is the memory in use, in kilobytes.
func (s *Server) used() float64 { return s.memory + float64(len(s.keys))*s.cfg.KeyKB }

// fits says whether a held request may start now as far as memory and the drain go.
func (s *Server) fits(r *request) bool {
	return s.used()+r.KB*(s.cfg.RunFactor-1) <= s.share*memoryShare*s.cfg.MemoryKB && !s.tooLateToRun(r)
}

// guardMemory keeps held requests within the memory: the least worthy go first. It could harm when one
// huge request pushes out many small ones.
func (s *Server) guardMemory() {
	for i := len(s.queue) - 1; i >= 0 && s.used() > s.share*memoryShare*s.cfg.MemoryKB; i-- {
		s.giveUp(s.queue[i])
	}
}

// keep puts a keyed request in the table, to live until its window from arrival has passed. Where there
// is no room it is not kept, and so never runs.
func (s *Server) keep(r *request) {
	c := s.classes[r.Class]
	ends := r.arrived + c.Window + 2*s.cfg.Tick
	if c.Effect != Keyed || c.Window == 0 {
		return
	}
	if r.keyEnds == 0 && s.used()+s.cfg.KeyKB > s.share*memoryShare*s.cfg.MemoryKB {
		return
	}
	s.dropKey(r)
	r.keyEnds = ends
	at, _ := slices.BinarySearch(s.keys, ends)
	s.keys = slices.Insert(s.keys, at, ends)
	s.do(Action{Kind: ActKeepKey, ID: r.id, Span: r.keyEnds - s.now})
}

// dropKey takes a request's entry off the account.
func (s *Server) dropKey(r *request) {
	if at, found := slices.BinarySearch(s.keys, r.keyEnds); found {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
}

// releaseKey forgets the entry of a request that never ran.
func (s *Server) releaseKey(r *request) {
	if r.keyEnds == 0 {
		return
	}
	s.dropKey(r)
	r.keyEnds = 0
	s.do(Action{Kind: ActForgetKey, ID: r.id})
}

// tooLateToRun guards the drain: what arrived after the grace of the notice to leave must not run.
func (s *Server) tooLateToRun(r *request) bool {
	return s.kill > 0 && r.arrived > s.drainAt+s.cfg.DrainGrace-s.cfg.Tick
}

// margin is how long before a last moment the module acts: a late timer must not break a rule.
func (s *Server) margin() Micros { return max(2*s.cfg.Tick, s.cfg.AnswerGrace) }

// guardDue answers what falls due, running or not, and everything before the kill of a drain, so that
// nothing is lost.
func (s *Server) guardDue() {
	killed := s.kill > 0 && s.now >= s.kill-2*s.margin()
	for _, r := range slices.Concat(s.queue, s.active) {
		if killed || s.now >= r.due-s.cfg.Tick {
			s.giveUp(r)
		}
	}
}

// guardUseless guards the cores against safe runs whose answer was given or is wanted no more: they are
// stopped while others wait. It could harm where such a run is nearly done and would serve repeats.
func (s *Server) guardUseless() {
	if s.cfg.Stop == StopOff || len(s.queue) == 0 {
		return
	}
	for _, r := range s.active {
		due := s.now-r.stopped > stallFloor // a stop does nothing while the cores stand still: ask again
		if r.answered && r.stage == running && s.classes[r.Class].Effect == Safe && due {
			r.stopped = s.now
			s.do(Action{Kind: ActStop, ID: r.id})
		}
	}
}

// Calls.

func (s *Server) atCall(r *request) {
	if r.stage != running {
		return
	}
	s.running--
	s.calls++
	s.progress = s.now
	r.stage = calling
	if r.answered {
		s.forget(r)
	}
}

// callResult goes on after a call. One of an effect is repeated only if it never ran, a safe one once more:
// its reply may be lost. One that a shared dependency turns away stops calls for a while; a tier has others.
func (s *Server) callResult(r *request, ev *Event) {
	if !r.callOut {
		return
	}
	s.callOver(r, ev.Outcome == TimedOut || ev.Outcome == Reset)
	s.callSample(ev)
	c := s.classes[r.Class]
	if ev.Outcome == OK {
		s.resume(r)
		return
	}
	r.lost++
	if s.cfg.CallsShare > 0 && ev.Outcome.NeverRan() {
		s.callsFrom = s.now + max(wakeTicks*s.cfg.Tick, Micros(callPatience*s.callTime.Mean))
	} else if ev.Outcome.NeverRan() {
		r.callFrom = s.now + max(wakeTicks*s.cfg.Tick, Micros(callBack*float64(r.lost)*s.callTime.Mean))
	}
	if s.cfg.CallsShare <= 0 && c.Effect == Safe && r.lost <= callRepeats {
		return
	}
	if c.DegradedWorth > 0 {
		s.goOn(r)
	} else if !ev.Outcome.NeverRan() && c.Effect != Safe {
		s.giveUp(r)
	}
}

// callSample takes a call's time into the averages. One given up took longer than was waited, but its reply
// may be lost: it counts as somewhat slow, so that a few can't pass for a slow dependency.
func (s *Server) callSample(ev *Event) {
	took := float64(ev.Elapsed)
	switch {
	case ev.Outcome == TimedOut && took > s.callTime.Mean && s.callTime.N > 0:
		took = min(took, callSlow*s.callTime.Mean)
	case ev.Outcome != OK && (s.callTime.N > 0 || ev.Outcome != TimedOut):
		return
	}
	s.callTime.add(max(1, took), callWeight)
	if s.callBest += callsDrift * (s.callTime.Mean - s.callBest); float64(s.callTime.N)*callWeight <= 1 {
		s.callBest = s.callTime.Mean // too few samples to tell the least
	}
	s.callBest = min(s.callBest, s.callTime.Mean)
}

// callOver moves a call from what is reserved to what is spent. One given up stays in the dependency's
// hands for a while.
func (s *Server) callOver(r *request, lingers bool) {
	h := handled{left: s.now, span: s.now - r.called}
	if lingers {
		h.left, h.span = h.left+s.cfg.CallLinger, h.span+s.cfg.CallLinger
	}
	r.callOut = false
	s.callsOut--
	s.callsHeld -= r.reserved
	s.callsDone += h.span
	// A debt from a crowd that has passed must not shut the calls out for long.
	s.credit = max(s.credit-min(float64(h.span), callWaits*s.aim), -s.callPace()*s.aim/4)
	s.ledger = append(s.ledger, h)
}

func (s *Server) goOn(r *request) {
	r.started = -1 // its time is no sample
	s.do(Action{Kind: ActGoOn, ID: r.id})
	s.resume(r)
}

func (s *Server) resume(r *request) {
	s.calls--
	s.running++
	r.stage = running
	s.progress = s.now
}

// guardCalls keeps the mean of the calls in hand under this server's share of what the dependency survives:
// one is made only if the longest that it can stay in hand fits beside those that the span still counts. They
// are paced well below that, most worth first. What can't end its call in time goes on without it or is
// answered at once. It could harm where this server is asked for far more than others, whose room is unseen.
func (s *Server) guardCalls() {
	for i, r := range s.atCalls() {
		_, d2 := s.bounds(r)
		span := s.callSpan(r)
		wait := s.callDelay(r, i)
		late := float64(s.now)+wait+s.callTime.Mean > d2 && !s.probesCall()
		switch {
		case s.classes[r.Class].DegradedWorth > 0 && (late || wait > callPatience*s.callBest || span <= 0):
			s.goOn(r)
		case late:
			s.giveUp(r)
		case s.now >= max(s.callsFrom, r.callFrom) && span > 0 && wait <= 0:
			s.call(r, span)
		}
	}
}

// atCalls lists the requests that wait to make a call, most worth first.
func (s *Server) atCalls() []*request {
	var list []*request
	for _, r := range s.active {
		if r.stage == calling && !r.callOut && !r.answered {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(b.density, a.density) })
	return list
}

// callDelay is how long a request's call waits for its turn if so many wait before it, in microseconds. One
// that is out counts for its mean time at least; the less worth a class has, the more is kept for others.
func (s *Server) callDelay(r *request, ahead int) float64 {
	if s.cfg.CallsShare <= 0 {
		return 0
	}
	kept := callsKept * (1 - s.classes[r.Class].Worth/s.topWorth)
	left := s.credit - (float64(ahead)+kept)*s.callTime.Mean
	for _, r := range s.active {
		if r.callOut {
			left -= max(s.callTime.Mean, min(float64(s.now-r.called), callWaits*s.aim))
		}
	}
	return max(0, -left/s.callPace())
}

// callPace is the mean number of calls in hand that is planned: most of the bound while calls take about the
// least time that they have taken, less in proportion as they take longer.
func (s *Server) callPace() float64 {
	if s.callTime.N == 0 {
		return callsMost * s.cfg.CallsShare
	}
	return min(callsMost, max(callsLeast, callsMost*callSlow*s.callBest/s.callTime.Mean)) * s.cfg.CallsShare
}

// callSpan is how long a call may take before it is given up, so that the bound holds even then; 0 if there
// is no room for one that takes an ordinary time.
func (s *Server) callSpan(r *request) Micros {
	span := r.due - s.now
	if c := s.classes[r.Class]; s.callTime.N > 0 {
		if c.Effect == Safe { // its reply may be lost: it can be made again, or left out
			patience := max(callPatience*s.callTime.Mean, min(1, s.cfg.CallsShare)*callWaits*float64(c.Aim))
			span = min(span, max(wakeTicks*s.cfg.Tick, Micros(patience)))
		} else if c.LateWorth == 0 && s.cfg.CallsShare <= 0 {
			span = min(span, max(1, r.first+c.Aim-s.now))
		}
	}
	if s.cfg.CallsShare > 0 {
		bound := Micros(s.cfg.CallsShare * float64(s.cfg.CallsSpan))
		room := bound - s.callsDone - s.callsHeld - s.cfg.CallLinger - s.cfg.Tick
		span = min(span, Micros(callsPart*float64(room)))
	}
	if float64(span) < s.callTime.Mean && !s.probesCall() {
		return 0
	}
	return span
}

// probesCall says whether a call may be made against the estimate, so that a stale call time can't end all
// calls: none is out and the last was made half an aim ago.
func (s *Server) probesCall() bool {
	return s.callsOut == 0 && float64(s.now-s.lastCall) > s.aim/2
}

func (s *Server) call(r *request, span Micros) {
	s.lastCall, r.called, r.callOut = s.now, s.now, true
	r.reserved = span + s.cfg.CallLinger + s.cfg.Tick
	s.callsOut++
	s.callsHeld += r.reserved
	s.do(Action{Kind: ActCall, ID: r.id, Span: span})
}

// Endings.

// giveUp answers a request that can't be served, at once: an error where it ran and running it again would do
// harm, else a refusal that tells when to come back. What runs keeps its place until it ends.
func (s *Server) giveUp(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if took := float64(s.now - r.started); r.stage == running && took > s.runTime(r) {
		s.sample(r, took) // at least so long
	}
	if r.stage == held || s.classes[r.Class].Effect == Safe {
		s.refusing.add(1, 1.0/heardLately)
		s.do(Action{Kind: ActRefuse, ID: r.id, Span: s.advice(), Last: s.inVain()})
	} else {
		s.do(Action{Kind: ActFail, ID: r.id})
	}
	s.dismiss(r)
}

// inVain says whether a try elsewhere is taken to be in vain: much is refused here and, by tries seen, there.
func (s *Server) inVain() bool {
	shares := s.refusing.Mean > lastFew && s.again > lastAgain
	return !s.slow() && (shares || s.refusing.Mean > lastShare)
}

// forget drops a request that is over. A call still out stays in the dependency's hands for a while.
func (s *Server) forget(r *request) {
	switch r.stage {
	case running:
		s.running--
	case calling:
		s.calls--
	}
	if r.callOut {
		s.callOver(r, true)
	}
	if r.stage == running || r.stage == calling {
		s.memory -= r.KB * (s.cfg.RunFactor - 1)
	}
	if r.stage == held {
		s.queue = drop(s.queue, r)
	} else {
		s.active = drop(s.active, r)
	}
	s.memory -= r.KB
	delete(s.byID, r.id)
}

func drop(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(other *request) bool { return other == r })
}

// Signals to callers.

// advice is how long a refused caller should stay away: in proportion to the time that it takes to start what
// is held and to read what stands unread, by the age of what was read.
func (s *Server) advice() Micros {
	if s.sick() || s.kill > 0 || s.slow() {
		return s.cfg.MaxAdvice
	}
	backlog := staleShare * s.stale.Mean * s.aim
	for _, r := range s.queue {
		backlog += s.runTime(r) / s.limit
	}
	return min(s.cfg.MaxAdvice, Micros(adviceShare*backlog))
}

// signal tells health checks of the symptoms of a hang or of failing work, and callers how much to send here.
func (s *Server) signal() {
	if well := !s.sick() && s.stale.Mean < failShare && !s.leaving(); well != s.healthy {
		s.healthy = well
		s.do(Action{Kind: ActHealth, On: well})
	}
	if s.cfg.Signal == SignalNone {
		return
	}
	v := s.openness()
	if s.said < 0 || v > s.said*(1+sayStep) || v < s.said*(1-sayStep) {
		s.said = v
		s.do(Action{Kind: ActSay, Value: v})
	}
}

// leaving says whether callers are to stay away as the server leaves service. What comes within the grace may
// still run, and callers bear the word in mind for a while: half of the grace is served as ever.
func (s *Server) leaving() bool {
	return s.kill > 0 && s.now >= s.drainAt+s.cfg.DrainGrace/2
}

// openness is the value to say, by what callers do with it.
func (s *Server) openness() float64 {
	shut := 0.0
	if s.sick() || s.leaving() {
		shut = shutSick
	}
	if s.cfg.Signal == SignalAllowance {
		room := (1 - shut) * s.limit / max(1, s.callers())
		time := 0.0 // the mean of T_m over the classes
		for _, c := range s.classes {
			time += c.Run.Mean / float64(len(s.classes))
		}
		if time > 0 {
			room *= inviteShare * s.aim / time
		}
		return room
	}
	if s.cfg.Signal == SignalFloor {
		return max(shut, s.floor)
	}
	return 1 - max(shut, min(shutMost, s.refusing.Mean))
}

// moveFloor guards against reading what is refused anyway: while cores are short, the floor rises to the
// rank that as much of the latest arrivals lies under as is refused; else it sinks: what it hides returns.
func (s *Server) moveFloor() {
	s.floor *= 1 - 1.0/heardLately
	refused := int(max(0, s.refusing.Mean-lastShare) * float64(len(s.latest)))
	if s.cfg.Signal == SignalFloor && refused > 0 && s.credit >= callsKept*s.callTime.Mean {
		ranked := slices.Clone(s.latest)
		slices.SortFunc(ranked, func(a, b Arrival) int { return cmp.Compare(a.Rank, b.Rank) })
		s.floor = max(s.floor, min(shutMost, ranked[refused].Rank))
	}
}

// arm asks for one timer while there is work in hand.
func (s *Server) arm() {
	if len(s.byID) == 0 && s.healthy || s.wakeAt != 0 {
		return
	}
	span := max(1, s.cfg.Tick, min(wakeTicks*s.cfg.Tick, s.cfg.AnswerGrace/2))
	s.wakeAt = s.now + span
	s.do(Action{Kind: ActTimer, Tag: uint64(s.wakeAt), Span: span})
}
