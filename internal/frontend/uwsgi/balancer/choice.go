// Package balancer decides which of several servers gets a request, how many each gets at once, who waits, who is left out,
// and whether a request is tried again. It does no I/O and has no clock: each call is given the time, which must not go
// back. The same calls with the same seed give the same choices. It is not safe for concurrent use.
package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Rules are the bounds of the choices.
type Rules struct {
	Most       int // requests at once on one server; 0: a limit that follows latency
	LimitLeast int // the least and the greatest such limit, and where it begins
	LimitMost  int
	LimitFirst int
	Queue      int           // requests that wait for a server at once
	Fails      int           // failures one after the other that leave a server out
	OutLeast   time.Duration // for how long, doubling with each time in a row
	OutMost    time.Duration
	OutShare   float64       // of the servers that may be left out at once; one always may unless it is the last
	SlowStart  time.Duration // in which a server that is new or back grows to its full share
	StartShare float64       // of what a warm one is sent that it is sent at first
	Tries      int           // servers tried for one request
	Budget     float64       // further tries for each first one
	Floor      float64       // further tries a second, whatever the first ones
}

// Default are rules for a pool of application servers.
func Default() Rules {
	return Rules{LimitLeast: 1, LimitMost: 256, LimitFirst: 16, Queue: 256, Fails: 3, OutLeast: 500 * time.Millisecond,
		OutMost: 30 * time.Second, OutShare: 0.5, SlowStart: 5 * time.Second, StartShare: 0.1, Tries: 3, Budget: 0.2, Floor: 1}
}

// Result is how a try on a server ended.
type Result int

// The results.
const (
	OK        Result = iota // a whole response, whatever its status
	Refused                 // no connection: nothing can have run
	Broken                  // the connection broke, or the response can't be read
	Slow                    // it ran out of time
	Withdrawn               // given up here; it says nothing about the server
)

// State is a server's.
type State int

// The states.
const (
	In       State = iota
	Warming        // in, with a growing share
	Out            // left out after failures
	Probing        // its time out is over: one probe is under way
	Draining       // no longer on the list; what runs there goes on
)

func (s State) String() string {
	return [...]string{"in", "warming", "out", "probing", "draining"}[s]
}

// server is what is known of one.
type server struct {
	name    string
	open    int
	fails   int // one after the other
	outs    int // times left out one after the other
	out     bool
	probing bool
	until   time.Time // out: until then
	since   time.Time // warming from then; zero: since ever
	ramp    ramp      // while it warms
	leaving bool
	limit   limit
}

// Waiter is a request that waits for a server.
type waiter struct {
	id    string
	due   time.Time
	tried []string
}

// Grant is a server given to a request that waited, or none because its time is over.
type Grant struct {
	ID, Server string // Server: empty if its time is over
}

// Pool is a set of servers.
type Pool struct {
	rules   Rules
	rng     *rand.Rand
	servers []*server
	turn    int
	queue   []waiter
	tokens  float64 // further tries that are left
	filled  time.Time
	sent    rate // requests that were given a server
	counts  Counts
}

// Counts are totals since the start.
type Counts struct{ First, Again, NoBudget, Queued, QueueFull, Expired, Outs int }

// New returns a pool without servers.
func New(r Rules, seed uint64) *Pool {
	return &Pool{rules: r, rng: rand.New(rand.NewPCG(seed, 0)), tokens: 2}
}

// Use makes these the servers, at once. Those that were there keep what is known of them; those no longer listed get no
// new work; new ones begin with a small share, unless they are the first of all.
func (p *Pool) Use(now time.Time, names []string) []Grant {
	first := len(p.servers) == 0
	for _, s := range p.servers {
		s.leaving = !slices.Contains(names, s.name)
	}
	for _, name := range names {
		if p.find(name) != nil {
			continue
		}
		s := &server{name: name, limit: newLimit(p.rules)}
		if !first {
			p.warm(now, s)
		}
		p.servers = append(p.servers, s)
	}
	p.forget()
	return p.serve(now)
}

// forget drops servers that have left and have nothing open.
func (p *Pool) forget() {
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool { return s.leaving && s.open == 0 })
}

func (p *Pool) find(name string) *server {
	for _, s := range p.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Verdict is what becomes of a request that asks for a server.
type Verdict int

// The verdicts.
const (
	Go        Verdict = iota // to the server
	Wait                     // a Grant follows, unless it is withdrawn
	Full                     // too many wait already
	NoServers                // there are none, or all have been tried
)

func (v Verdict) String() string { return [...]string{"go", "wait", "full", "no servers"}[v] }

// Take asks for a server for a request that is of use until due. tried are those that have had it. The server that is given counts
// as busy until Ended.
func (p *Pool) Take(now time.Time, id string, due time.Time, tried []string) (name string, v Verdict) {
	if len(tried) == 0 {
		p.counts.First++
		p.fill(now)
		p.tokens = math.Min(p.tokens+p.rules.Budget, p.most())
	}
	s, any := p.choose(now, tried)
	switch {
	case s != nil && len(p.queue) == 0:
		p.give(now, s)
		return s.name, Go
	case !any:
		return "", NoServers
	case len(p.queue) >= p.rules.Queue:
		p.counts.QueueFull++
		return "", Full
	}
	p.counts.Queued++
	p.queue = append(p.queue, waiter{id, due, tried})
	return "", Wait
}

// Withdraw takes a waiting request back. It returns false if it doesn't wait.
func (p *Pool) Withdraw(id string) bool {
	n := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(w waiter) bool { return w.id == id })
	return len(p.queue) < n
}

// choose is the server with room that has least open for its weight, in turn among equals. any says whether there is one that the
// request may have at all, now or later.
func (p *Pool) choose(now time.Time, tried []string) (best *server, any bool) {
	var bestLoad float64
	warm := slices.ContainsFunc(p.servers, func(s *server) bool { return !s.leaving && !s.out && !p.warming(now, s) })
	allOut := !slices.ContainsFunc(p.servers, func(s *server) bool { return !s.leaving && !s.out && !slices.Contains(tried, s.name) })
	for i := range p.servers {
		s := p.servers[(p.turn+i)%len(p.servers)]
		if s.leaving || slices.Contains(tried, s.name) {
			continue
		}
		any = true
		// With all of them out the choice is between a server that may be sick and none: it gets the request.
		if s.out && !allOut {
			continue
		}
		room := p.room(now, s)
		if s.open >= room {
			continue
		}
		// Where some are warm, one that warms has its turn when its ramp says so, and no other: see ramp.
		if warm && p.warming(now, s) && !s.out {
			if s.ramp.may(now, p.pace(now, s)) {
				best, bestLoad = s, 0
			}
			continue
		}
		if load := float64(s.open) / float64(room); best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	if best != nil {
		p.turn = (slices.Index(p.servers, best) + 1) % len(p.servers)
	}
	return best, any
}

// room is how many requests a server may have at once now.
func (p *Pool) room(now time.Time, s *server) int {
	room := p.rules.Most
	if room == 0 {
		room = int(s.limit.value)
	}
	if s.out {
		return 1
	}
	if p.warming(now, s) {
		room = int(math.Ceil(float64(room) * p.share(now, s)))
	}
	return max(1, room)
}

// Ended tells how a try on a server ended and how long it took, to the first byte of its response. It returns servers for
// those that waited.
func (p *Pool) Ended(now time.Time, name string, r Result, took time.Duration) []Grant {
	s := p.find(name)
	if s == nil {
		return nil
	}
	if s.open > 0 {
		s.open--
	}
	switch r {
	case OK:
		s.limit.add(now, took, s.open+1, p.rules)
		p.well(now, s)
	case Refused, Broken, Slow:
		s.limit.fail(p.rules)
		p.ill(now, s)
	}
	p.forget()
	return p.serve(now)
}

// well notes that a server answers.
func (p *Pool) well(now time.Time, s *server) {
	if s.out { // it was tried for want of a better one, or probed
		p.warm(now, s)
	}
	s.fails, s.outs, s.out, s.probing = 0, 0, false, false
}

// ill notes a failure, and leaves the server out if there were too many.
func (p *Pool) ill(now time.Time, s *server) {
	s.fails++
	if s.out {
		if !now.Before(s.until) || s.probing {
			p.leaveOut(now, s)
		}
		return
	}
	if s.fails < p.rules.Fails {
		return
	}
	in, out := 0, 0
	for _, o := range p.servers {
		switch {
		case o.leaving:
		case o.out:
			out++
		default:
			in++
		}
	}
	// The last one stays, and most of them do: when many fail at once the cause is rarely theirs.
	if in > 1 && (out == 0 || float64(out+1) <= p.rules.OutShare*float64(in+out)) {
		p.leaveOut(now, s)
	}
}

func (p *Pool) leaveOut(now time.Time, s *server) {
	span := p.rules.OutLeast << min(s.outs, 20)
	span = min(span, p.rules.OutMost)
	// With jitter, so that servers that failed together are not tried together.
	span += time.Duration(p.rng.Float64() * 0.2 * float64(span))
	s.out, s.probing, s.until = true, false, now.Add(span)
	s.outs++
	p.counts.Outs++
}

// Probe names the servers whose time out is over; each must be probed and the outcome told to Probed.
func (p *Pool) Probe(now time.Time) (names []string) {
	for _, s := range p.servers {
		if s.out && !s.probing && !s.leaving && !now.Before(s.until) {
			s.probing = true
			names = append(names, s.name)
		}
	}
	return names
}

// Probed tells how a probe went.
func (p *Pool) Probed(now time.Time, name string, ok bool) []Grant {
	s := p.find(name)
	if s == nil || !s.out {
		return nil
	}
	if ok {
		p.well(now, s)
	} else {
		p.leaveOut(now, s)
	}
	return p.serve(now)
}

// Tick gives up those that have waited past their time; it is to be called now and then. It also serves those for whom room
// has come with time.
func (p *Pool) Tick(now time.Time) []Grant { return p.serve(now) }

// serve gives servers to those that wait, in their order.
func (p *Pool) serve(now time.Time) (grants []Grant) {
	rest := p.queue[:0]
	full := false
	for _, w := range p.queue {
		if !now.Before(w.due) {
			p.counts.Expired++
			grants = append(grants, Grant{w.id, ""})
			continue
		}
		if !full {
			s, any := p.choose(now, w.tried)
			if s != nil {
				p.give(now, s)
				grants = append(grants, Grant{w.id, s.name})
				continue
			}
			if !any {
				grants = append(grants, Grant{w.id, ""})
				continue
			}
			full = len(w.tried) == 0 // one that may go anywhere found nothing: no one else will
		}
		rest = append(rest, w)
	}
	clear(p.queue[len(rest):])
	p.queue = rest
	return grants
}

// Attempt is a try that failed, as far as it matters for another one.
type Attempt struct {
	Wrote      bool          // some of the request may have reached the server
	Repeatable bool          // running it twice does no harm
	Whole      bool          // all of the request is at hand to be sent once more
	Begun      bool          // part of a response is with the caller
	Tries      int           // so far
	Left       time.Duration // until it is due
	Need       time.Duration // that a try takes, as far as is known
}

// Again decides whether a request is tried on another server, and says why not. A try that is allowed is taken off the budget.
func (p *Pool) Again(now time.Time, a Attempt) (bool, string) {
	switch {
	case a.Begun:
		return false, "part of a response is with the caller"
	case a.Wrote && !a.Repeatable:
		return false, "it may have run, and must not run twice"
	case !a.Whole:
		return false, "part of its body is gone"
	case a.Tries >= p.rules.Tries:
		return false, fmt.Sprintf("it was tried %d times", a.Tries)
	case a.Left <= a.Need:
		return false, "its time is nearly over"
	}
	// A connection that was refused costs the servers nothing; all else is load on top of load.
	if a.Wrote {
		p.fill(now)
		if p.tokens < 1 {
			p.counts.NoBudget++
			return false, "the budget for further tries is used up"
		}
		p.tokens--
	}
	p.counts.Again++
	return true, ""
}

// most is how many further tries can be saved up.
func (p *Pool) most() float64 { return math.Max(10*p.rules.Floor, 20) }

func (p *Pool) fill(now time.Time) {
	if !p.filled.IsZero() {
		p.tokens = math.Min(p.most(), p.tokens+p.rules.Floor*now.Sub(p.filled).Seconds())
	}
	p.filled = now
}

// Server is a server's state, for people.
type Server struct {
	Name  string
	State State
	Open  int
	Room  int
	Fails int
	Back  time.Duration // out: until it is probed
}

// Explain tells how the servers stand, in the order of their names.
func (p *Pool) Explain(now time.Time) (list []Server) {
	for _, s := range p.servers {
		e := Server{Name: s.name, Open: s.open, Room: p.room(now, s), Fails: s.fails}
		switch {
		case s.leaving:
			e.State = Draining
		case s.probing:
			e.State = Probing
		case s.out:
			e.State, e.Back = Out, max(0, s.until.Sub(now))
		case p.warming(now, s):
			e.State = Warming
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Waiting is how many wait for a server.
func (p *Pool) Waiting() int { return len(p.queue) }

// Totals are the counts so far.
func (p *Pool) Totals() Counts { return p.counts }
