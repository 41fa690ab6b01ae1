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

// Events is notified of the end of each run.
type Events interface {
	RunEnded(id string, o admission.Outcome, took time.Duration, result []byte)
}

// PoolOptions configure a pool.
type PoolOptions struct {
	Balancer   balancer.Config
	Seed       uint64         // for the balancer's random numbers
	Keys       *tlskeys.Keys  // for TLS to servers; nil: the system's certificate authorities, and no client certificate
	ServerName string         // expected in the servers' certificates; empty: the host of the address
	OnRunDone  func(RunTimes) // called after each run unless nil; must not block
	Limits     limits.Limits
	Log        *slog.Logger
}

// Pool runs requests on uwsgi servers, on behalf of the node. Package balancer decides which server gets a request. Its methods are
// safe for concurrent use and don't block on the network.
type Pool struct {
	opts   PoolOptions
	log    *lograte.Logger
	events Events

	mu        sync.Mutex
	balancer  *balancer.Balancer
	endpoints map[string]endpoint.Endpoint // by name, including draining servers
	requests  map[string]*clientRequest    // submitted by the front and not started yet
	runs      map[string]*run
	waiters   map[string]chan string // by run; each receives the server assigned to a queued run, or "" for none
	closed    chan struct{}
	closeOnce sync.Once
}

// NewPool returns a pool without servers. Serve must be called before Start.
func NewPool(o PoolOptions) *Pool {
	return &Pool{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), balancer: balancer.New(o.Balancer, o.Seed),
		endpoints: map[string]endpoint.Endpoint{}, requests: map[string]*clientRequest{}, runs: map[string]*run{},
		waiters: map[string]chan string{}, closed: make(chan struct{})}
}

// Serve sets the receiver of events, and starts to maintain the queue and to probe ejected servers until Close.
func (p *Pool) Serve(events Events) {
	p.events = events
	go p.maintain()
}

// Close stops the maintenance that Serve started. Runs in progress continue.
func (p *Pool) Close() { p.closeOnce.Do(func() { close(p.closed) }) }

// SetServers replaces the list of servers. Runs on servers that are no longer listed continue. If an address is invalid, the list
// stays unchanged.
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

// addRequest registers a request. It must be called before the request is submitted to the node, which may start it immediately.
func (p *Pool) addRequest(id string, request *clientRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[id] = request
}

// removeRequest removes a request that was not started.
func (p *Pool) removeRequest(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, id)
}

// Start starts a run of a request. If the request is buffered, body is everything that follows the packet's head, including chunk
// framing.
func (p *Pool) Start(id, _ string, body []byte, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := p.requests[id]
	delete(p.requests, id)
	if request == nil { // the client has just disconnected, and the request isn't buffered
		go p.events.RunEnded(id, logic.OutcomeNotStarted, 0, nil)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.deadline)
	r := &run{id: id, request: request, body: body, cancel: cancel}
	p.runs[id] = r
	r.times.StartedAt = time.Now()
	go p.run(ctx, r)
}

// Stop cancels a run whose response is no longer needed.
func (p *Pool) Stop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[id]; r != nil {
		r.cancel()
	}
}

// Resume does nothing, because uwsgi runs neither pause nor make calls.
func (p *Pool) Resume(string) {}

// DeliverReply does nothing, because uwsgi runs make no calls.
func (p *Pool) DeliverReply(string, []byte) {}

// SkipCall does nothing, because uwsgi runs make no calls.
func (p *Pool) SkipCall(string, uint64) {}
