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

var quiet = slog.New(slog.DiscardHandler)

// Class is one class of requests in a world.
type Class struct {
	Name     string
	Share    float64       // of the requests
	Work     Sizes         // in seconds of a core of speed 1
	Aim      time.Duration // an answer within it has the full worth
	Deadline time.Duration // the caller gives up then
	Worth    float64
	Keyed    bool
	Window   time.Duration // of a keyed class
	Calls    bool          // its runs call the dependency half way
	HintCV   float64       // how rough the callers' word of the work is; 0: exact
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Share float64 // of the requests
	Quota float64 // requests a second inside its share, over all nodes
}

// Habit is how a balancer chooses a node.
type Habit string

// The habits.
const (
	RoundRobin Habit = "round-robin"
	LeastOpen  Habit = "least-open"  // of those that it has open itself
	TwoChoices Habit = "two-choices" // the better of two drawn at random
	Random     Habit = "random"
)

// World is one deployment under one load.
type World struct {
	Seed     uint64
	Length   time.Duration // of arrivals; what is open then is let end
	WarmUp   time.Duration // at the beginning, that counts for nothing
	Nodes    int
	Cores    int
	Speed    float64 // of a core
	Thrash   float64
	ThrashAt float64
	Crowd    float64 // requests on the cores for each core that a node survives, as it is told
	MemoryKB float64
	Hop      time.Duration // to a node or back
	Read     float64       // work of reading a request, as a share of the mean work; 0: reading costs nothing
	Grace    time.Duration // after the notice to leave, within which what comes may run; 0: 2 s

	Classes []Class
	Rate    float64 // first tries a second; 0: from Load
	Load    float64 // of what all cores can do
	Burst   float64 // how much more comes in the upper half of each BurstEvery, and less in the lower; 0 to 1
	Every   time.Duration

	Below   *Dependency // of the classes that call; nil: none do
	Tenants []Tenant    // whose requests they are; none: nobody's

	Balancers int
	Habit     Habit
	Retries   int
	Backoff   time.Duration // before a further try, where nothing is advised
	Heed      bool          // advice on when to come back
	Away      float64       // share of the balancers that send a node nothing for as long as it advises
	Walk      bool          // after a refusal a balancer goes on through its list at once, to its end
	Unhinted  bool          // callers say nothing of the work
	TellsWait bool          // nodes know that callers say how long they wait
	Budget    float64       // further tries for each first one that a balancer makes, a few saved up; 0: no bound
	Notice    time.Duration // after which balancers learn that a node leaves, is gone or has come back

	ColdFrom float64       // share of its speed that a node has as it comes back; 0: all
	ColdFor  time.Duration // until it has all

	Faults  []Fault
	Release *Release // nil: there is none
	Policy  func(Site) Server

	// Drive moves the clock to a time and makes all calls until then; nil: as fast as it goes. A driver that follows the
	// machine's clock lets servers be real ones (package rig). Begin is when the clock begins; zero: always the same.
	Drive func(c *clock.Virtual, until time.Time)
	Begin time.Time

	Watch func(Step) // is told of each step of each request; nil: nobody is
}

// Step is one thing that happened to a request.
type Step struct {
	At      time.Duration // since the beginning
	Request string
	Try     string // empty: it is of the request as a whole
	Node    string // empty: it is with its caller
	What    string // come, sent, offered, run, served, refused, failed, gone, waits or ended (More says how)
	More    string
}

// tell tells whoever watches of a step.
func (p *play) tell(request, try, node, what, more string) {
	if p.Watch != nil {
		p.Watch(Step{p.clock.Now().Sub(p.begun), request, try, node, what, more})
	}
}

// Fault is something that happens to a node.
type Fault struct {
	At     time.Duration
	Node   int
	Kind   Kind
	Length time.Duration
	Factor float64
	Return time.Duration // of Leave and Die: after Length, until it is back, cold and knowing nothing; 0: it stays away
}

// Kind is what happens.
type Kind string

// The faults.
const (
	Stall Kind = "stall" // its cores stand still for Length
	Slow  Kind = "slow"  // they go at Factor of their speed for Length
	Leave Kind = "leave" // it is told to stop, and is gone after Length
	Die   Kind = "die"   // it is gone at once with all that it had in hand
	Below Kind = "below" // the dependency goes at Factor of its speed for Length; Node counts for nothing
	Lossy Kind = "lossy" // of what is sent to it and comes back, Factor is lost for Length
)

// Check errs where a world can't be played.
func (w *World) Check() error {
	var errs []error
	want := func(ok bool, what string) {
		if !ok {
			errs = append(errs, errors.New(what))
		}
	}
	want(w.Nodes > 0 && w.Cores > 0 && w.Balancers > 0, "nodes, cores and balancers must be above 0")
	want(w.Speed > 0 && w.Length > 0, "speed and length must be above 0")
	want(w.WarmUp >= 0 && w.WarmUp < w.Length, "the warm-up must be shorter than the length")
	want((w.Rate > 0) != (w.Load > 0), "one of rate and load must be above 0")
	want(w.Burst >= 0 && w.Burst <= 1 && (w.Burst == 0 || w.Every > 0), "burst must be from 0 to 1, with the time between two above 0")
	want(w.Policy != nil, "a policy is wanted")
	w.Release.check(want)
	want(len(w.Classes) > 0, "classes are wanted")
	for _, c := range w.Classes {
		want(c.Share > 0 && c.Work.Mean > 0 && c.Aim > 0 && c.Deadline >= c.Aim, fmt.Sprintf("class %q: share, work and aim must be above 0, and the deadline no sooner than the aim", c.Name))
		want(!c.Keyed || c.Window > 0, fmt.Sprintf("class %q: a keyed class needs a window above 0", c.Name))
	}
	calls := false
	for _, c := range w.Classes {
		calls = calls || c.Calls
	}
	want(!calls || w.Below != nil, "classes call a dependency, and there is none")
	want(w.Below == nil || w.Below.Slots > 0 && w.Below.Service.Mean > 0 && w.Below.Waiting >= 0, "the dependency's slots and service must be above 0")
	for _, t := range w.Tenants {
		want(t.Name != "" && t.Share > 0 && t.Quota >= 0, fmt.Sprintf("tenant %q: a name and a share above 0 are wanted", t.Name))
	}
	want(w.Read >= 0 && w.Read <= 10, "read must be from 0 to 10 times the mean work")
	want(w.Away >= 0 && w.Away <= 1, "away must be from 0 to 1")
	want(w.Grace >= 0, "grace must not be below 0")
	want(w.Budget >= 0 && w.Notice >= 0, "budget and notice must not be below 0")
	want(w.ColdFrom >= 0 && w.ColdFrom <= 1, "cold_from must be from 0 to 1")
	switch w.Habit {
	case RoundRobin, LeastOpen, TwoChoices, Random:
	default:
		want(false, fmt.Sprintf("no habit %q: round-robin, least-open, two-choices or random", w.Habit))
	}
	for _, f := range w.Faults {
		want(f.Node >= 0 && f.Node < w.Nodes, fmt.Sprintf("a fault of node %d, of %d", f.Node, w.Nodes))
		switch f.Kind {
		case Stall, Leave, Die:
		case Slow, Lossy, Below:
			want(f.Kind != Below || w.Below != nil, "a fault of the dependency, and there is none")
			want(f.Factor > 0 && f.Factor <= 1, fmt.Sprintf("a fault %q wants a factor above 0, 1 at most", f.Kind))
		default:
			want(false, fmt.Sprintf("no fault %q: stall, slow, leave, die, lossy or below", f.Kind))
		}
	}
	_, err := logic.New(w.Settings(), 0)
	return errors.Join(append(errs, err)...)
}

// answerGrace is how long after its due time an answer is still valid.
const answerGrace = 80 * time.Millisecond

// Settings are what each node is told.
func (w *World) Settings() logic.Settings {
	s := logic.Settings{Cores: w.Cores, MemoryKB: w.MemoryKB, RunMemoryFactor: 4, MaxConcurrencyPerCore: max(1, w.Crowd), ConcurrencyWindow: 1500000, FleetSize: w.Nodes,
		ResponseGrace: logic.Micros(answerGrace.Microseconds()), DrainGrace: 2000000, StepInterval: 4000, StopMode: logic.StopPause, MaxRetryAfter: 1000000}
	s.DeadlinePropagated = w.TellsWait
	if w.Grace > 0 {
		s.DrainGrace = logic.Micros(w.Grace.Microseconds())
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{Name: t.Name, QuotaPerSecond: t.Quota})
	}
	s.OverQuotaWeightShare = 0.05
	if w.Below != nil { // the share of the slots, and of as much again that may wait, that a node can count on
		s.CallConcurrencyLimit, s.CallConcurrencyWindow, s.AbandonedCallDuration = 2*float64(w.Below.Slots)/float64(w.Nodes), 5000000, 200000
	}
	for _, c := range w.Classes {
		class := logic.Class{Name: c.Name, LatencyObjective: logic.Micros(c.Aim.Microseconds()), ClientTimeout: logic.Micros(c.Deadline.Microseconds()), PriorityWeight: c.Worth, CallsDependency: c.Calls}
		if c.Keyed {
			class.Idempotency, class.IdempotencyWindow = logic.IdempotentByKey, logic.Micros(c.Window.Microseconds())
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

// rate is the first tries a second.
func (w *World) rate() float64 {
	if w.Rate > 0 {
		return w.Rate
	}
	return w.Load * float64(w.Nodes*w.Cores) * w.Speed / (w.meanWork() * (1 + w.Read))
}

// Tally is what became of one class's requests, those of the warm-up left out.
type Tally struct {
	Offered, InAim, Late, Refused, Failed, Expired int // requests; Expired: their callers gave up
	Tries                                          int
	Worth                                          float64                 // of those answered within the aim
	Latency                                        *hdrhistogram.Histogram // microseconds, of those served
}

// Result is what became of a world.
type Result struct {
	Classes     []Tally
	Utilization float64 // of all cores, over the length
	Mean        float64 // requests in the system: by the clock, over the length
	Little      float64 // the same by Little's law: all requests' time in the system over the length
	Events      uint64
	Broken      []*Broken
	Release     *Rolled // what became of the release, where there was one
}

// Goodput is the worth answered in time over the worth offered.
func (r *Result) Goodput(w *World) float64 {
	got, offered := 0.0, 0.0
	for i, t := range r.Classes {
		got += t.Worth
		offered += float64(t.Offered) * w.Classes[i].Worth
	}
	return got / max(1e-9, offered)
}

// play is a world while it runs.
type play struct {
	*World
	clock   *clock.Virtual
	begun   time.Time
	nodes   []*host
	callers []*balancer
	streams Streams
	result  *Result
	ids     int
	listed  []int // room for choose
	below   *below
	tries   map[*Try]*request
	rollout *rollout // nil: no release goes through it

	open   int // requests in the system
	area   float64
	spent  float64
	marked time.Time
}

type host struct {
	name    string
	machine *Machine
	server  *rules
	intake  *intake
	gone    bool    // it takes nothing more
	listed  bool    // as balancers know it
	life    int     // how often it has begun: what was sent to an earlier life is lost
	lossy   float64 // share of messages lost
	loss    *rand.Rand
	version *version // nil where there is no release
	factor  float64  // of its speed, by its version; 0: 1
}

// speed is a node's when it is warm.
func (p *play) speed(h *host) float64 {
	if h.factor > 0 {
		return p.World.Speed * h.factor
	}
	return p.World.Speed
}

// balancer is one caller of the nodes.
type balancer struct {
	number int
	next   int
	open   []int
	random *rand.Rand
	budget float64     // further tries that it may make now
	obeys  bool        // advice to stay away
	away   []time.Time // by node: until when
}

// saved is how many further tries a balancer may save up.
const saved = 10

// Play plays a world to its end. It errs where the world can't be played; a broken rule is in the result.
func Play(w World) (*Result, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	begun := time.UnixMilli(1764576000000)
	if !w.Begin.IsZero() {
		begun = w.Begin.Round(0)
	}
	p := &play{World: &w, clock: clock.NewVirtual(begun), begun: begun, marked: begun, streams: Streams{w.Seed}, result: &Result{Release: &Rolled{}}, tries: map[*Try]*request{}}
	settings := w.Settings()
	if w.Below != nil {
		p.below = &below{Dependency: *w.Below, clock: p.clock, random: p.streams.Stream("dependency"), speed: 1}
	}
	for i := range w.Nodes {
		h := &host{name: fmt.Sprint("n", i), listed: true, loss: p.streams.Stream(fmt.Sprint("loss ", i))}
		p.begin(h, settings)
		p.nodes = append(p.nodes, h)
	}
	for i := range w.Balancers {
		p.callers = append(p.callers, &balancer{number: i, open: make([]int, w.Nodes), away: make([]time.Time, w.Nodes),
			obeys: float64(i) < w.Away*float64(w.Balancers), random: p.streams.Stream(fmt.Sprint("balancer ", i))})
	}
	for range w.Classes {
		p.result.Classes = append(p.result.Classes, Tally{Latency: hdrhistogram.New(1, 600_000_000, 3)})
	}
	if err := p.rolls(); err != nil {
		return nil, err
	}
	for _, f := range w.Faults {
		p.clock.AfterFunc(f.At, func() { p.fault(f) })
	}
	p.arrive(p.streams.Stream("arrivals"), p.streams.Stream("sizes"), p.streams.Stream("hints"))
	end := begun.Add(w.Length)
	p.run(end)
	p.mark()
	p.result.Mean = p.area / w.Length.Seconds()
	for _, h := range p.nodes {
		p.result.Utilization += h.machine.Utilization() / float64(w.Nodes)
	}
	longest := time.Duration(0)
	for _, c := range w.Classes {
		longest = max(longest, c.Deadline)
	}
	tail := longest + 10*time.Second // what is open ends
	if w.Drive != nil {
		tail = longest + time.Second // in real time
	}
	p.run(end.Add(tail))
	p.result.Little = p.spent / w.Length.Seconds()
	return p.result, nil
}

// begin starts a node that knows nothing.
func (p *play) begin(h *host, settings logic.Settings) {
	h.life++
	h.gone = false
	h.machine = NewMachine(p.clock, p.Cores, p.World.Speed, p.Thrash, p.ThrashAt)
	h.intake = &intake{host: h, work: p.Read * p.meanWork(), cores: p.Cores}
	h.server = &rules{clock: p.clock, settings: settings, name: h.name, seed: p.Seed, begun: p.begun, open: map[*Try]*watched{}, keys: map[string]time.Time{},
		broken: func(b *Broken) { p.result.Broken = append(p.result.Broken, b) }}
	h.server.watch = func(what string, t *Try) { p.tell(t.Request, t.ID, h.name, what, "") }
	h.server.Server = p.Policy(Site{Clock: p.clock, Machine: h.machine, Settings: settings, Ran: h.server.ran, below: p.below})
}

// end has a node gone with all that it has in hand, and has it come back if it is to.
func (p *play) end(h *host, back time.Duration) {
	h.gone = true
	h.life++
	h.server.stop()
	h.machine.Speed(0) // what ran is lost
	for _, t := range h.intake.line {
		p.broke(h, t)
	}
	p.list(h, false)
	if back <= 0 {
		return
	}
	p.clock.AfterFunc(back, func() {
		settings := p.Settings()
		settings.SlowStart, settings.SlowStartCapacity, settings.SlowStartDuration = p.ColdFrom > 0, p.ColdFrom, logic.Micros(p.ColdFor.Microseconds())
		p.begin(h, settings)
		if w := p.rollout; w != nil {
			label := h.version.label
			if to, changes := w.label[h]; changes {
				label = to
				delete(w.label, h)
			}
			w.starts(h, label)
		}
		p.warm(h, h.life, 0)
		p.list(h, true)
	})
}

// warmSteps are the steps in which a node that came back gets its speed.
const warmSteps = 10

// warm gives a node the speed of its next step.
func (p *play) warm(h *host, life, step int) {
	if p.ColdFrom == 0 || h.life != life {
		return
	}
	h.machine.Speed(p.speed(h) * (p.ColdFrom + (1-p.ColdFrom)*float64(step)/warmSteps))
	if step < warmSteps {
		p.clock.AfterFunc(p.ColdFor/warmSteps, func() { p.warm(h, life, step+1) })
	}
}

// list has balancers learn late whether a node is there.
func (p *play) list(h *host, listed bool) {
	p.clock.AfterFunc(p.Notice, func() { h.listed = listed })
}

func (p *play) run(until time.Time) {
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

// mark accounts for the requests in the system until now.
func (p *play) mark() {
	now := p.clock.Now()
	p.area += float64(p.open) * now.Sub(p.marked).Seconds()
	p.marked = now
}

// arrive has the next request come, as a Poisson process whose rate may swing.
func (p *play) arrive(arrivals, sizes, hints *rand.Rand) {
	most := p.rate() * (1 + p.Burst)
	p.clock.AfterFunc(time.Duration(arrivals.ExpFloat64()/most*1e9), func() {
		since := p.clock.Now().Sub(p.begun)
		if since >= p.Length {
			return
		}
		p.arrive(arrivals, sizes, hints)
		if rate := p.rate() * p.swing(since); arrivals.Float64()*most < rate { // thinning (Lewis and Shedler, 1979)
			p.request(sizes, hints)
		}
	})
}

func (p *play) swing(since time.Duration) float64 {
	if p.Burst == 0 {
		return 1
	}
	if since%p.Every < p.Every/2 {
		return 1 + p.Burst
	}
	return 1 - p.Burst
}

// request is a client's request, from its arrival until it is answered or its client gives up.
type request struct {
	*play
	try    Try // what all its tries have in common
	born   time.Time
	tally  *Tally
	class  *Class
	caller *balancer
	left   int // further tries
	made   int // made so far
	avoid  int // the node that turned it away last; -1: none
	ended  bool
	now    *Try // the try that is open
	at     *host
	life   int // of that node, as it took the try
	expiry clock.Timer
}

func (p *play) request(sizes, hints *rand.Rand) {
	p.mark()
	p.open++
	p.ids++
	r := &request{play: p, born: p.clock.Now(), left: p.Retries, avoid: -1, caller: p.callers[p.ids%len(p.callers)]}
	class := draw(sizes, len(p.Classes), func(i int) float64 { return p.Classes[i].Share })
	r.class = &p.Classes[class]
	work := r.class.Work.Draw(sizes)
	hint := work
	if r.class.HintCV > 0 {
		hint *= Sizes{Mean: 1, CV: r.class.HintCV, Kind: "lognormal"}.Draw(hints)
	}
	id := "r" + strconv.Itoa(p.ids)
	tenant := p.drawTenant(sizes)
	r.try = Try{ID: id, Request: id, Class: class, Tenant: tenant, KB: 20, Work: work, Hint: time.Duration(hint / p.Speed * 1e9), Due: r.born.Add(r.class.Deadline), Source: r.caller.number}
	if p.Unhinted {
		r.try.Hint = 0
	}
	if p.Walk {
		r.left = p.Nodes - 1
	}
	if r.class.Keyed {
		r.try.Key = r.try.ID
	}
	if r.born.Sub(p.begun) >= p.WarmUp {
		r.tally = &p.result.Classes[class]
		r.tally.Offered++
	} else {
		r.tally = &Tally{Latency: hdrhistogram.New(1, 600_000_000, 1)}
	}
	// An answer may come as late as the grace allows, and has a way to go.
	r.expiry = p.clock.AfterFunc(r.class.Deadline+answerGrace+2*p.Hop+time.Millisecond, r.expire)
	if p.Watch != nil {
		whose := ""
		if tenant >= 0 {
			whose = ", of " + p.Tenants[tenant].Name
		}
		p.tell(id, "", "", "come", fmt.Sprintf("%s%s, %.1f ms of work, by balancer %d", r.class.Name, whose, work*1000, r.caller.number))
	}
	r.caller.budget = min(saved, r.caller.budget+p.Budget)
	r.send()
}

// drawTenant is whose request it is; -1: nobody's.
func (p *play) drawTenant(r *rand.Rand) int {
	if len(p.Tenants) == 0 {
		return -1
	}
	return draw(r, len(p.Tenants), func(i int) float64 { return p.Tenants[i].Share })
}

// draw is one of n, by their shares.
func draw(r *rand.Rand, n int, share func(i int) float64) int {
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
	if !r.clock.Now().Add(r.Hop).Before(r.try.Due) {
		r.end(&r.tally.Expired) // it would come when nobody waits any more
		return
	}
	at := r.choose()
	if at < 0 {
		if r.caller.obeys && r.Away > 0 { // all are to be left alone: it is refused where it is
			r.end(&r.tally.Refused)
		} else {
			r.end(&r.tally.Failed)
		}
		return
	}
	r.tally.Tries++
	t := r.try
	r.made++
	t.Sent, t.Retry = r.clock.Now(), r.made > 1
	if t.Retry {
		t.ID = fmt.Sprint(t.ID, ".", r.made-1)
	}
	h := r.nodes[at]
	r.now, r.at, r.avoid = &t, h, at
	r.caller.open[at]++
	r.tell(t.Request, t.ID, h.name, "sent", "")
	r.clock.AfterFunc(r.Hop, func() {
		if h.gone {
			r.back(at, &t, node.Response{Status: node.StatusRejected}) // nobody listens: it never ran
			return
		}
		if r.now != &t || h.lost() {
			return // its client gave up on the way, or it was lost there
		}
		r.life = h.life
		r.tries[&t] = r
		t.Came = r.clock.Now()
		life, p := h.life, r.play
		h.intake.take(&t, func(t *Try) {
			if r := p.tries[t]; h.life == life && r != nil && r.now == t { // else nobody waits any more: it was read in vain
				r.offer(at, t)
			}
		})
	})
}

// offer gives a try that has been read to its node.
func (r *request) offer(at int, t *Try) {
	h := r.nodes[at]
	h.server.Offer(t, func(a node.Response) {
		if r.rollout != nil {
			r.rollout.answered(h, t, &a)
		}
		if h.lost() {
			return
		}
		r.clock.AfterFunc(r.Hop, func() { r.back(at, t, a) })
	})
}

// lost says whether a message is lost on the node's link.
func (h *host) lost() bool { return h.lossy > 0 && h.loss.Float64() < h.lossy }

// back takes the answer to a try.
func (r *request) back(at int, t *Try, a node.Response) {
	delete(r.tries, t)
	if r.now != t {
		return // its client gave up
	}
	r.now = nil
	r.caller.open[at]--
	if a.Status == node.StatusRejected && a.RetryAfter > 0 {
		r.caller.keepAway(at, r.clock.Now().Add(a.RetryAfter))
	}
	switch {
	case a.Status == node.StatusServed:
		took := r.clock.Now().Sub(r.born)
		_ = r.tally.Latency.RecordValue(max(1, took.Microseconds()))
		if took <= r.class.Aim {
			r.tally.Worth += r.class.Worth
			r.end(&r.tally.InAim)
		} else {
			r.end(&r.tally.Late)
		}
		return
	case a.Status == node.StatusFailed && r.class.Keyed: // it may have run: another node would run it again
		r.end(&r.tally.Failed)
		return
	case r.Walk && a.Status == node.StatusRejected && r.left > 0 && (!a.NoFailover || !r.caller.obeys):
		r.left--
		r.send()
		return
	case !r.Walk && r.left > 0 && (!a.NoFailover || !r.Heed) && r.caller.affords(r.Budget):
		r.left--
		wait := r.Backoff
		if r.Heed && a.RetryAfter > 0 {
			wait = a.RetryAfter
		}
		if r.Watch != nil {
			r.tell(t.Request, "", "", "waits", wait.String())
		}
		r.clock.AfterFunc(wait, func() {
			if !r.ended {
				r.send()
			}
		})
		return
	}
	if a.Status == node.StatusRejected {
		r.end(&r.tally.Refused)
	} else {
		r.end(&r.tally.Failed)
	}
}

// affords takes a further try off the balancer's budget.
func (b *balancer) affords(budget float64) bool {
	if budget == 0 {
		return true
	}
	if b.budget < 1 {
		return false
	}
	b.budget--
	return true
}

// expire has the client give up.
func (r *request) expire() {
	if t := r.now; t != nil {
		r.now = nil
		delete(r.tries, t)
		for i, h := range r.nodes {
			if h == r.at {
				r.caller.open[i]--
			}
		}
		h, life := r.at, r.life
		r.clock.AfterFunc(r.Hop, func() {
			if !h.gone && h.life == life {
				h.server.Gone(t)
			}
		})
	}
	r.end(&r.tally.Expired)
}

func (r *request) end(count *int) {
	if r.ended {
		return
	}
	r.ended = true
	*count++
	if r.Watch != nil {
		ends := map[*int]string{&r.tally.InAim: "in aim", &r.tally.Late: "late", &r.tally.Refused: "refused", &r.tally.Failed: "failed", &r.tally.Expired: "expired"}
		r.tell(r.try.ID, "", "", "ended", fmt.Sprintf("%s, %v after it came", ends[count], r.clock.Now().Sub(r.born)))
	}
	r.expiry.Stop()
	r.mark()
	r.open--
	// Little's law is about the length: what a request stays beyond it counts for nothing.
	end, last := r.clock.Now(), r.begun.Add(r.Length)
	if end.After(last) {
		end = last
	}
	r.spent += max(0, end.Sub(r.born).Seconds())
}

// choose is the node for the next try: not the one that turned the last one away, where there is another. -1: there is none.
func (r *request) choose() int {
	b := r.caller
	listed := r.listed[:0]
	for i, h := range r.nodes {
		if h.listed && i != r.avoid && b.willing(i, r.clock.Now()) {
			listed = append(listed, i)
		}
	}
	if len(listed) == 0 && r.avoid >= 0 && r.nodes[r.avoid].listed && b.willing(r.avoid, r.clock.Now()) {
		listed = append(listed, r.avoid)
	}
	if r.listed = listed; len(listed) == 0 {
		return -1
	}
	switch r.Habit {
	case LeastOpen:
		best, least := -1, math.MaxInt
		from := b.random.IntN(len(listed)) // ties go evenly
		for k := range listed {
			if i := listed[(from+k)%len(listed)]; b.open[i] < least {
				best, least = i, b.open[i]
			}
		}
		return best
	case TwoChoices:
		x, y := listed[b.random.IntN(len(listed))], listed[b.random.IntN(len(listed))]
		if b.open[y] < b.open[x] {
			return y
		}
		return x
	case Random:
		return listed[b.random.IntN(len(listed))]
	}
	b.next++
	return listed[b.next%len(listed)]
}

// fault has a fault begin, and end.
func (p *play) fault(f Fault) {
	h := p.nodes[f.Node]
	life := h.life
	still := func(what func()) func() { // unless it has died since
		return func() {
			if h.life == life {
				what()
			}
		}
	}
	switch f.Kind {
	case Stall, Slow:
		speed := 0.0
		if f.Kind == Slow {
			speed = f.Factor
		}
		h.machine.Speed(speed * p.speed(h))
		p.clock.AfterFunc(f.Length, still(func() { h.machine.Speed(p.speed(h)) }))
	case Below:
		p.below.speed = f.Factor
		p.clock.AfterFunc(f.Length, func() { p.below.speed = 1 })
	case Lossy:
		h.lossy = f.Factor
		p.clock.AfterFunc(f.Length, func() { h.lossy = 0 })
	case Leave:
		h.server.Leave(f.Length)
		p.list(h, false)
		p.clock.AfterFunc(f.Length, still(func() { p.end(h, f.Return) }))
	case Die:
		for _, t := range h.server.hand() { // their connections break: they may have run
			p.broke(h, t)
		}
		p.end(h, f.Return)
	}
}

// broke has the caller of a try hear that its connection is gone.
func (p *play) broke(h *host, t *Try) {
	if r := p.tries[t]; r != nil {
		for i := range p.nodes {
			if p.nodes[i] == h {
				p.clock.AfterFunc(p.Hop, func() { r.back(i, t, node.Response{Status: node.StatusFailed}) })
			}
		}
	}
}
