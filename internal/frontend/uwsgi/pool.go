package uwsgi

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/logic"
)

// Events are where runs tell how they went.
type Events interface {
	RunEnded(id string, o admission.Outcome, took time.Duration, result []byte)
}

// PoolOptions are what a pool is made of.
type PoolOptions struct {
	Rules  balancer.Rules
	Seed   uint64
	Keys   *tlskeys.Keys  // for servers with TLS; nil: the system's authorities, no certificate of our own
	Name   string         // that their certificates must have; empty: the address's host
	Over   func(RunTimes) // is told of each run that is over; nil: nobody. It must not block
	Limits limits.Limits
	Log    *slog.Logger
}

// RunTimes is when what happened to a run. Times of what did not happen are zero.
type RunTimes struct {
	Started, Done time.Time
	Tries         []TryTimes
	Outcome       string // ok, failed, cancelled or moot
	Why           string // it did not go well
}

// TryTimes is when what happened to a try on a server.
type TryTimes struct {
	Server                             string
	Began, Connected, FirstByte, Ended time.Time
	Why                                string // it did not go well
}

// last is the last try; one without times where there was none.
func (r *RunTimes) last() TryTimes {
	if len(r.Tries) == 0 {
		return TryTimes{}
	}
	return r.Tries[len(r.Tries)-1]
}

// Last is the last try, and whether there was one.
func (r RunTimes) Last() (TryTimes, bool) { return r.last(), len(r.Tries) > 0 }

// Pool runs requests on uwsgi servers. It is a runner of work for the core. What it does is chosen by package choice.
type Pool struct {
	opts   PoolOptions
	log    *lograte.Logger
	events Events

	mu     sync.Mutex
	choice *balancer.Pool
	ends   map[string]endpoint.Endpoint // by name, also of servers that are leaving
	jobs   map[string]*job              // read by the front, not started yet
	runs   map[string]*run
	waits  map[string]chan string // a server for a run that waits for one, or "" for none
	closed chan struct{}
	once   sync.Once
}

// run is a job that was started.
type run struct {
	id     string
	job    *job
	body   []byte // of one that is held whole: all after the head
	cancel context.CancelFunc
	wrote  bool     // a server may have got some of it
	seen   RunTimes // of the goroutine that runs it
}

// over tells the log, at the level for debugging, and whoever else is to know, where a run's time went and why tries failed.
func (p *Pool) over(r *run, o admission.Outcome) {
	t := &r.seen
	last := t.last()
	t.Outcome = map[admission.Outcome]string{logic.OutcomeOK: "ok", logic.OutcomeFailed: "failed", logic.OutcomeCanceled: "cancelled", logic.OutcomeNotStarted: "moot"}[o]
	t.Done = time.Now()
	r.job.ran(*t)
	if p.opts.Over != nil {
		p.opts.Over(*t)
	}
	if !p.opts.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -1
		}
		return at.Sub(t.Started)
	}
	p.opts.Log.Debug("uwsgi run over", "id", r.id, "outcome", t.Outcome, "server", last.Server, "tries", len(t.Tries), "connected", since(last.Connected),
		"first_byte", since(last.FirstByte), "took", since(t.Done), "failed", t.Why)
}

// NewPool returns a pool without servers. Serve must be called before it gets work.
func NewPool(o PoolOptions) *Pool {
	return &Pool{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), choice: balancer.New(o.Rules, o.Seed), ends: map[string]endpoint.Endpoint{},
		jobs: map[string]*job{}, runs: map[string]*run{}, waits: map[string]chan string{}, closed: make(chan struct{})}
}

// Serve names where runs are reported, and begins to look after the servers until Close.
func (p *Pool) Serve(events Events) {
	p.events = events
	go p.tend()
}

// Close ends what Serve began. Runs go on.
func (p *Pool) Close() { p.once.Do(func() { close(p.closed) }) }

// Use takes work to servers at these addresses from now on. Runs at others go on. With a bad address nothing changes.
func (p *Pool) Use(addresses []string) error {
	names := make([]string, 0, len(addresses))
	ends := map[string]endpoint.Endpoint{}
	for _, a := range addresses {
		e, err := endpoint.Parse(a)
		if err != nil {
			return err
		}
		names = append(names, e.String())
		ends[e.String()] = e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, e := range ends {
		p.ends[name] = e
	}
	p.grant(p.choice.Use(time.Now(), names))
	for _, s := range p.choice.Explain(time.Now()) {
		ends[s.Name] = p.ends[s.Name]
	}
	p.ends = ends
	return nil
}

// Servers tells how the servers stand.
func (p *Pool) Servers() []balancer.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.choice.Explain(time.Now())
}

// expect hands over a job before the core hears of its request.
func (p *Pool) expect(id string, j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[id] = j
}

// forget drops a job that was not started.
func (p *Pool) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.jobs, id)
}

// Start runs a request. body is all that follows the packet's head where the request is held whole.
func (p *Pool) Start(id, _ string, body []byte, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	delete(p.jobs, id)
	if j == nil { // its client has just left, and it isn't held whole
		go p.events.RunEnded(id, logic.OutcomeNotStarted, 0, nil)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), j.due)
	r := &run{id: id, job: j, body: body, cancel: cancel}
	p.runs[id] = r
	r.seen.Started = time.Now()
	go p.run(ctx, r)
}

// Stop ends a run whose answer is wanted no more. uwsgi knows no pause.
func (p *Pool) Stop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[id]; r != nil {
		r.cancel()
	}
}

// Resume does nothing: uwsgi runs neither pause nor call anything below.
func (p *Pool) Resume(string) {}

// DeliverReply does nothing, as Resume.
func (p *Pool) DeliverReply(string, []byte) {}

// SkipCall does nothing, as Resume.
func (p *Pool) SkipCall(string, uint64) {}

// run takes a request to one server after the other, until one has answered or no further try is allowed.
func (p *Pool) run(ctx context.Context, r *run) {
	defer r.cancel()
	began := time.Now()
	var tried []string
	var result []byte
	err := errors.New("no servers")
	for {
		name, why := p.take(ctx, r, tried)
		if name == "" {
			if len(tried) == 0 {
				err = errors.New(why)
			}
			break
		}
		tried = append(tried, name)
		t := try{pool: p, run: r, name: name, seen: TryTimes{Server: name, Began: time.Now()}}
		result, err = t.do(ctx)
		now := time.Now()
		if t.seen.Ended = now; err != nil {
			t.seen.Why = err.Error()
		}
		r.seen.Tries = append(r.seen.Tries, t.seen)
		p.mu.Lock()
		p.grant(p.choice.Ended(now, name, t.result, t.took))
		r.wrote = r.wrote || t.wrote
		again := false
		if err != nil && ctx.Err() == nil {
			again, _ = p.choice.Again(now, balancer.Attempt{Wrote: t.wrote, Repeatable: r.job.safe, Whole: r.job.body.complete(),
				Begun: t.begun, Tries: len(tried), Left: r.job.due.Sub(now)})
		}
		p.mu.Unlock()
		if err == nil || !again {
			break
		}
		p.log.Warn("uwsgi try failed, another follows", err)
		if !r.job.body.rewind() {
			break
		}
	}
	p.mu.Lock()
	delete(p.runs, r.id)
	p.mu.Unlock()
	outcome := logic.OutcomeOK
	switch {
	case err == nil:
	case !r.wrote:
		outcome = logic.OutcomeNotStarted // no server got a byte of it: it never ran
		p.log.Warn("uwsgi run not started", err)
	case errors.Is(ctx.Err(), context.Canceled), errors.As(err, new(*bodyError)), errors.Is(err, errClient):
		// The client's doing says nothing about how work goes here: taken for failures, a few bad clients would have the
		// module hold back everybody's work.
		outcome = logic.OutcomeCanceled
	default:
		outcome = logic.OutcomeFailed // it may have run
		p.log.Warn("uwsgi run failed", err)
	}
	if err != nil {
		r.seen.Why = err.Error()
	}
	p.over(r, outcome)
	p.events.RunEnded(r.id, outcome, time.Since(began), result)
}

// take gets a server for a run, and waits for one if need be.
func (p *Pool) take(ctx context.Context, r *run, tried []string) (name, why string) {
	p.mu.Lock()
	name, verdict := p.choice.Take(time.Now(), r.id, r.job.due, tried)
	if verdict != balancer.Wait {
		p.mu.Unlock()
		return name, verdict.String()
	}
	wait := make(chan string, 1)
	p.waits[r.id] = wait
	p.mu.Unlock()
	select {
	case name = <-wait:
		return name, "no server had room in time"
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waits, r.id)
	if !p.choice.Withdraw(r.id) {
		if name = <-wait; name != "" { // granted just now: the server is free for others
			p.grant(p.choice.Ended(time.Now(), name, balancer.Withdrawn, 0))
		}
	}
	return "", "no server had room in time"
}

// grant hands servers to runs that wait; the caller holds mu.
func (p *Pool) grant(grants []balancer.Grant) {
	for _, g := range grants {
		if wait := p.waits[g.ID]; wait != nil {
			delete(p.waits, g.ID)
			wait <- g.Server // it has room for the one that is ever sent
		}
	}
}

// tend looks after waiting requests and sick servers until the pool is closed.
func (p *Pool) tend() {
	ticker := time.NewTicker(p.opts.Limits.PoolInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.closed:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		now := time.Now()
		p.grant(p.choice.Tick(now))
		probes := p.choice.Probe(now)
		ends := make([]endpoint.Endpoint, len(probes))
		for i, name := range probes {
			ends[i] = p.ends[name]
		}
		p.mu.Unlock()
		for i, name := range probes {
			go p.probe(name, ends[i])
		}
	}
}

// probe pings a server that was left out. One that takes the connection and closes it knows no pings, but is there; one
// that takes it and says nothing is as sick as before.
func (p *Pool) probe(name string, e endpoint.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.Limits.DialTimeout)
	defer cancel()
	ok := false
	if conn, err := e.Dial(ctx, p.opts.Keys, p.opts.Name); err == nil {
		defer conn.Close()
		deadline, _ := ctx.Deadline()
		if err = conn.SetDeadline(deadline); err == nil {
			if _, err = conn.Write(packet.Header{Mod1: packet.Ping}.Append(nil)); err == nil {
				_, err = io.ReadFull(conn, make([]byte, packet.HeaderSize))
			}
		}
		ok = err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant(p.choice.Probed(time.Now(), name, ok))
}
