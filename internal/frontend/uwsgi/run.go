package uwsgi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/logic"
)

// Errors for runs that get no server.
var (
	errNoServer   = errors.New("no server is available")
	errQueueFull  = errors.New("the queue for servers is full")
	errNoCapacity = errors.New("no server had capacity in time")
	errClientLeft = errors.New("the client has left before the request was sent")
	// errMayNotRunAgain ends a retry whose request is no longer idempotent: SIGHUP came between the decision and the connection.
	errMayNotRunAgain = errors.New("the request may have run and is no longer idempotent")
)

// run is a request that the node has started on the pool.
type run struct {
	id      string
	request *clientRequest
	body    []byte // of a buffered request: everything that follows the head
	cancel  context.CancelFunc
	sent    bool     // a server may have received part of the request
	times   RunTimes // accessed by the run's goroutine only
}

// run sends a request to one server after another, until one has responded or no retry is allowed, and reports the outcome.
func (p *Pool) run(ctx context.Context, r *run) {
	defer r.cancel()
	startedAt := time.Now()
	result, err := p.runAttempts(ctx, r)
	p.mu.Lock()
	delete(p.runs, r.id)
	p.mu.Unlock()
	outcome := p.outcome(ctx, r, err)
	if err != nil {
		r.times.Failure = err.Error()
	}
	p.reportRun(r, outcome)
	p.events.RunEnded(r.id, outcome, time.Since(startedAt), result)
}

// runAttempts makes the attempts of a run. It returns the response if it was buffered, or the error of the last attempt.
func (p *Pool) runAttempts(ctx context.Context, r *run) (result []byte, err error) {
	var attempted []string
	for {
		server, acquireErr := p.acquire(ctx, r, attempted)
		if acquireErr != nil {
			if len(attempted) == 0 {
				err = acquireErr
			}
			return result, err
		}
		attempted = append(attempted, server)
		a := attempt{pool: p, run: r, server: server, times: AttemptTimes{Server: server, StartedAt: time.Now()}}
		result, err = a.do(ctx)
		refusal := p.attemptEnded(ctx, &a, len(attempted), err)
		if err == nil {
			return result, nil
		}
		p.logFailedAttempt(&a, err, refusal)
		if refusal != nil {
			return result, err
		}
		if !r.request.body.rewind() {
			return result, err
		}
	}
}

// attemptEnded records an attempt and releases its server. It returns nil if a retry is allowed, or the reason why not.
func (p *Pool) attemptEnded(ctx context.Context, a *attempt, attempts int, err error) (refusal error) {
	now := time.Now()
	if a.times.EndedAt = now; err != nil {
		a.times.Failure = err.Error()
	}
	r := a.run
	idempotent := err != nil && r.request.mayRunAgain() // before mu is locked: the node calls the pool with its own lock held
	r.times.Attempts = append(r.times.Attempts, a.times)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.balancer.Release(now, a.server, a.result, a.firstByteLatency))
	sentEarlier := r.sent
	r.sent = r.sent || a.sent
	if err == nil || ctx.Err() != nil {
		return ctx.Err()
	}
	return p.balancer.AllowRetry(now, balancer.FailedAttempt{Sent: a.sent, SentEarlier: sentEarlier, Idempotent: idempotent,
		BodyAvailable: r.request.body.replayable(), ResponseStarted: a.responseStarted, Attempts: attempts,
		TimeLeft: r.request.deadline.Sub(now)})
}

// logFailedAttempt logs a failed attempt with what decided about a retry, unless the client caused the failure or waits no more.
func (p *Pool) logFailedAttempt(a *attempt, err, refusal error) {
	detail := fmt.Errorf("%w; request %s, server %s, sent %t", err, a.run.id, a.server, a.sent)
	switch {
	case refusal == nil:
		p.log.Warn("uwsgi attempt failed, retrying on another server", detail)
	case !errors.Is(refusal, context.Canceled) && !causedByClient(err):
		p.log.Warn("uwsgi attempt failed, not retried", fmt.Errorf("%w; %w", detail, refusal))
	}
}

// outcome returns the outcome to report to the node for a run that ended with err. It logs err unless the client caused it.
func (p *Pool) outcome(ctx context.Context, r *run, err error) admission.Outcome {
	switch {
	case err == nil:
		return logic.OutcomeOK
	case !r.sent:
		p.log.Warn("uwsgi request not sent to any server", err)
		return logic.OutcomeNotStarted
	case errors.Is(ctx.Err(), context.Canceled), causedByClient(err):
		// A failure on the client's side does not count against the servers: otherwise a few faulty clients would make the node
		// shed the requests of all clients.
		return logic.OutcomeCanceled
	default: // the request may have run
		p.log.Warn("uwsgi request failed", err)
		return logic.OutcomeFailed
	}
}

// causedByClient reports whether an attempt failed because its client's connection did.
func causedByClient(err error) bool {
	return errors.As(err, new(*bodyError)) || errors.Is(err, errClientWrite)
}

// acquire returns a server for a run, after waiting in the queue if necessary.
func (p *Pool) acquire(ctx context.Context, r *run, attempted []string) (server string, err error) {
	p.mu.Lock()
	server, decision := p.balancer.Acquire(time.Now(), r.id, r.request.deadline, attempted)
	if decision != balancer.Queued {
		p.mu.Unlock()
		switch decision {
		case balancer.NoServer:
			return "", errNoServer
		case balancer.QueueFull:
			return "", errQueueFull
		default:
			return server, nil
		}
	}
	wait := make(chan string, 1)
	p.waiters[r.id] = wait
	p.mu.Unlock()
	select {
	case server = <-wait:
		if server == "" {
			return "", errNoCapacity
		}
		if r.request.clientLeft() { // both at the same time
			p.release(server)
			return "", errClientLeft
		}
		return server, nil
	case <-ctx.Done():
		p.cancelWait(r.id, wait)
		return "", errNoCapacity
	case <-r.request.body.ended:
		p.cancelWait(r.id, wait)
		return "", errClientLeft
	}
}

// release returns a server that was assigned to a run and is not used.
func (p *Pool) release(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseUnused(server)
}

// releaseUnused implements release; the caller must hold mu.
func (p *Pool) releaseUnused(server string) {
	p.deliver(p.balancer.Release(time.Now(), server, balancer.ResultCanceled, 0))
}

// cancelWait removes a run from the queue, and releases a server that was assigned to the run in the meantime.
func (p *Pool) cancelWait(id string, wait <-chan string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
	if p.balancer.CancelWait(id) {
		return
	}
	if server := <-wait; server != "" {
		p.releaseUnused(server)
	}
}

// deliver passes assigned servers to the runs that wait for them. The caller must hold mu.
func (p *Pool) deliver(assignments []balancer.Assignment) {
	for _, a := range assignments {
		if wait := p.waiters[a.ID]; wait != nil {
			delete(p.waiters, a.ID)
			wait <- a.Server // does not block: the channel has room for the only value ever sent
		}
	}
}
