package uwsgi

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/logic"
)

// Events receives the ends of runs.
type Events interface {
	RunEnded(id string, o admission.Outcome, took time.Duration, result []byte)
}

// PoolOptions configure a pool.
type PoolOptions struct {
	Balancer   balancer.Config
	Seed       uint64         // of the balancer's random numbers
	Keys       *tlskeys.Keys  // for servers with TLS; nil: the system's authorities, no certificate of our own
	ServerName string         // that the servers' certificates must have; empty: the address's host
	OnRunDone  func(RunTimes) // called after each run; nil: not called. It must not block
	Limits     limits.Limits
	Log        *slog.Logger
}

// Pool runs requests on uwsgi servers. It is a runner for the node; package balancer decides which server gets a request. Its
// methods are safe for concurrent use and don't block on the network.
type Pool struct {
	opts   PoolOptions
	log    *lograte.Logger
	events Events

	mu        sync.Mutex
	balancer  *balancer.Balancer
	endpoints map[string]endpoint.Endpoint // by name, draining servers included
	requests  map[string]*clientRequest    // read by the front, not started yet
	runs      map[string]*run
	waiters   map[string]chan string // receive the server that a queued run gets, or "" for none
	closed    chan struct{}
	closeOnce sync.Once
}

// NewPool returns a pool without servers. Serve must be called before it gets work.
func NewPool(o PoolOptions) *Pool {
	return &Pool{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), balancer: balancer.New(o.Balancer, o.Seed),
		endpoints: map[string]endpoint.Endpoint{}, requests: map[string]*clientRequest{}, runs: map[string]*run{},
		waiters: map[string]chan string{}, closed: make(chan struct{})}
}

// Serve sets the receiver of the ends of runs, and begins to maintain the queue and probe ejected servers until Close.
func (p *Pool) Serve(events Events) {
	p.events = events
	go p.maintain()
}

// Close ends what Serve began. Runs go on.
func (p *Pool) Close() { p.closeOnce.Do(func() { close(p.closed) }) }

// SetServers replaces the list of servers. Runs on servers no longer listed go on. With an invalid address nothing changes.
func (p *Pool) SetServers(addresses []string) error {
	names := make([]string, 0, len(addresses))
	endpoints := map[string]endpoint.Endpoint{}
	for _, address := range addresses {
		e, err := endpoint.Parse(address)
		if err != nil {
			return err
		}
		names = append(names, e.String())
		endpoints[e.String()] = e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, e := range endpoints {
		p.endpoints[name] = e
	}
	p.deliver(p.balancer.SetServers(time.Now(), names))
	for _, s := range p.balancer.Servers(time.Now()) {
		endpoints[s.Name] = p.endpoints[s.Name]
	}
	p.endpoints = endpoints
	return nil
}

// Servers returns the state of all servers, sorted by name.
func (p *Pool) Servers() []balancer.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Servers(time.Now())
}

// expect takes a request before it is submitted to the node, which may start it at once.
func (p *Pool) expect(id string, request *clientRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[id] = request
}

// forget drops a request that was not started.
func (p *Pool) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, id)
}

// Start runs a request. body is all that follows the packet's head where the request is buffered.
func (p *Pool) Start(id, _ string, body []byte, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := p.requests[id]
	delete(p.requests, id)
	if request == nil { // its client has just disconnected, and it isn't buffered
		go p.events.RunEnded(id, logic.OutcomeNotStarted, 0, nil)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.deadline)
	r := &run{id: id, request: request, body: body, cancel: cancel}
	p.runs[id] = r
	r.times.StartedAt = time.Now()
	go p.run(ctx, r)
}

// Stop cancels a run whose response is no longer wanted.
func (p *Pool) Stop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[id]; r != nil {
		r.cancel()
	}
}

// Resume does nothing: uwsgi runs neither pause nor make calls of their own.
func (p *Pool) Resume(string) {}

// DeliverReply does nothing, as Resume.
func (p *Pool) DeliverReply(string, []byte) {}

// SkipCall does nothing, as Resume.
func (p *Pool) SkipCall(string, uint64) {}
