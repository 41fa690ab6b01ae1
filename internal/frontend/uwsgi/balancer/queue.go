package balancer

import (
	"slices"
	"time"
)

// Rule: queueing for a server.
//
// Inputs: the requests that wait (at most Config.MaxQueued), each with its deadline and the servers that it was sent to.
// A request waits where candidates exist but none has capacity, and behind those that wait already. Queued requests are
// served in order of arrival whenever capacity may have come free; the wait of one whose deadline has passed, or that has no
// candidates left, ends without a server.

// Decision is the outcome of a request for a server.
type Decision int

// The decisions.
const (
	Assigned  Decision = iota // to the server that is returned
	Queued                    // an Assignment follows, unless the wait is canceled
	QueueFull                 // MaxQueued requests wait already
	NoServer                  // there is none, or all have been tried
)

// String returns the decision in words.
func (d Decision) String() string {
	return [...]string{"assigned", "queued", "queue full", "no server"}[d]
}

// waiter is a queued request.
type waiter struct {
	id        string
	deadline  time.Time
	attempted []string // servers that the request was sent to
}

// Assignment ends the wait of a queued request.
type Assignment struct {
	ID     string
	Server string // empty: there is none for it
}

// Acquire asks for a server for a request that is of use until deadline. attempted names the servers that the request was sent
// to. The request counts as in flight on the server until Release.
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

// CancelWait removes a queued request. It returns false if the request isn't queued.
func (b *Balancer) CancelWait(id string) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(w waiter) bool { return w.id == id })
	return len(b.queue) < n
}

// Tick expires queued requests and assigns capacity that has come with time. It must be called at short intervals.
func (b *Balancer) Tick(now time.Time) []Assignment { return b.assignQueued(now) }

// QueueLength returns the number of queued requests.
func (b *Balancer) QueueLength() int { return len(b.queue) }

// assignQueued serves queued requests in order.
func (b *Balancer) assignQueued(now time.Time) (assignments []Assignment) {
	rest := b.queue[:0]
	full := false
	for _, w := range b.queue {
		if !now.Before(w.deadline) {
			assignments = append(assignments, Assignment{w.id, ""})
			continue
		}
		if !full {
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
			full = len(w.attempted) == 0 // one that may go to any server found none: nor would the rest
		}
		rest = append(rest, w)
	}
	clear(b.queue[len(rest):])
	b.queue = rest
	return assignments
}
