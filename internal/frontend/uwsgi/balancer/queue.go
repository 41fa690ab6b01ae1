package balancer

import (
	"slices"
	"time"
)

// Rule: queueing for a server.
//
// Inputs: the queued requests (at most Config.MaxQueued), each with its deadline and the servers that it was already sent to.
// A request is queued if there are candidate servers but none has capacity, or if other requests are queued already. Queued
// requests are served in order of arrival whenever capacity may have become available. A request whose deadline has passed, or
// that has no candidates left, leaves the queue without a server.

// Decision is the outcome of Acquire.
type Decision int

// The decisions.
const (
	Assigned  Decision = iota // a server was assigned, whose name is returned
	Queued                    // the request waits for an Assignment, unless the wait is canceled
	QueueFull                 // MaxQueued requests are queued already
	NoServer                  // there are no servers, or the request was already sent to all of them
)

// String returns the decision in words.
func (d Decision) String() string {
	return [...]string{"assigned", "queued", "queue full", "no server"}[d]
}

// waiter is a queued request.
type waiter struct {
	id        string
	deadline  time.Time
	attempted []string // servers that the request was already sent to
}

// Assignment is the result of a queued request's wait.
type Assignment struct {
	ID     string
	Server string // empty if the request gets no server
}

// Acquire assigns a server to a request, or queues the request until its deadline. attempted lists the servers that the request
// was already sent to. An assigned request counts as in flight on its server until Release.
func (b *Balancer) Acquire(now time.Time, id string, deadline time.Time, attempted []string) (name string, d Decision) {
	if len(attempted) == 0 {
		b.retries.deposit(now, b.config)
	}
	s, candidates := b.pick(now, attempted)
	switch {
	case s != nil && len(b.queue) == 0:
		b.assign(now, s)
		return s.name, Assigned
	case !candidates:
		return "", NoServer
	case len(b.queue) >= b.config.MaxQueued:
		return "", QueueFull
	}
	b.queue = append(b.queue, waiter{id, deadline, attempted})
	return "", Queued
}

// CancelWait removes a request from the queue. It returns false if the request isn't queued.
func (b *Balancer) CancelWait(id string) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(w waiter) bool { return w.id == id })
	return len(b.queue) < n
}

// Tick expires queued requests and assigns capacity that has become available with the passing of time, as in slow start. It must
// be called at short intervals.
func (b *Balancer) Tick(now time.Time) []Assignment { return b.assignQueued(now) }

// QueueLength returns the number of queued requests.
func (b *Balancer) QueueLength() int { return len(b.queue) }

// assignQueued assigns servers to queued requests in order of arrival, and removes requests that can't get one.
func (b *Balancer) assignQueued(now time.Time) (assignments []Assignment) {
	remaining := b.queue[:0]
	noCapacity := false
	for _, w := range b.queue {
		if !now.Before(w.deadline) {
			assignments = append(assignments, Assignment{w.id, ""})
			continue
		}
		if !noCapacity {
			s, candidates := b.pick(now, w.attempted)
			if s != nil {
				b.assign(now, s)
				assignments = append(assignments, Assignment{w.id, s.name})
				continue
			}
			if !candidates {
				assignments = append(assignments, Assignment{w.id, ""})
				continue
			}
			noCapacity = len(w.attempted) == 0 // a request that may go to any server got none, so the remaining ones can't either
		}
		remaining = append(remaining, w)
	}
	clear(b.queue[len(remaining):])
	b.queue = remaining
	return assignments
}
