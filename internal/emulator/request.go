package emulator

import (
	"fmt"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
)

// request is the state of a client's request from its arrival until it is answered or the client gives up.
type request struct {
	*simulation
	template     Attempt // the fields that all attempts share
	arrivedAt    time.Time
	result       *ClassResult
	class        *Class
	balancer     *balancer
	retriesLeft  int
	attemptsMade int
	lastNode     int // index of the node that the last attempt went to; -1: none yet
	finished     bool
	attempt      *Attempt // in flight; nil: none
	target       *host    // of the last attempt
	incarnation  int      // of target, when it got the attempt
	timeout      clock.Timer
}

// send sends the next attempt. It ends the request if the attempt would arrive after the deadline or no node can be used.
func (r *request) send() {
	if !r.clock.Now().Add(r.NetworkDelay).Before(r.template.Deadline) {
		r.finish(&r.result.TimedOut)
		return
	}
	index := r.pickNode()
	if index < 0 {
		if r.balancer.honorsRetryAfter && r.RetryAfterShare > 0 { // all nodes may be excluded by their Retry-After
			r.finish(&r.result.Rejected)
		} else {
			r.finish(&r.result.Failed)
		}
		return
	}
	r.result.Attempts++
	r.attemptsMade++
	a := r.template
	a.SentAt, a.IsRetry = r.clock.Now(), r.attemptsMade > 1
	if a.IsRetry {
		a.ID = fmt.Sprint(a.ID, ".", r.attemptsMade-1)
	}
	h := r.nodes[index]
	r.attempt, r.target, r.lastNode = &a, h, index
	r.balancer.inFlight[index]++
	r.emit(a.RequestID, a.ID, h.name, EventSent, "")
	r.clock.AfterFunc(r.NetworkDelay, func() { r.deliver(index, &a) })
}

// deliver handles the arrival of an attempt at its node, which reads it before its server decides.
func (r *request) deliver(index int, a *Attempt) {
	h := r.nodes[index]
	if h.down {
		r.handleResponse(index, a, node.Response{Status: node.StatusRejected}) // connection refused: the attempt never ran
		return
	}
	if r.attempt != a || h.losesMessage() {
		return // the client gave up in the meantime, or the message is lost
	}
	r.incarnation = h.incarnation
	r.requestOf[a] = r
	a.ArrivedAt = r.clock.Now()
	incarnation, s := h.incarnation, r.simulation
	h.reader.enqueue(a, func(a *Attempt) {
		if r := s.requestOf[a]; h.incarnation == incarnation && r != nil && r.attempt == a { // same process, and the client still waits
			r.submit(index, a)
		}
	})
}

// submit passes an attempt that has been read to the node's server.
func (r *request) submit(index int, a *Attempt) {
	h := r.nodes[index]
	h.invariants.Submit(a, func(response node.Response) {
		if r.rollout != nil {
			r.rollout.recordResponse(h, a, &response)
		}
		if h.losesMessage() {
			return
		}
		r.clock.AfterFunc(r.NetworkDelay, func() { r.handleResponse(index, a, response) })
	})
}

// handleResponse ends the request or retries it after the response to an attempt.
func (r *request) handleResponse(index int, a *Attempt, response node.Response) {
	delete(r.requestOf, a)
	if r.attempt != a {
		return // the client gave up
	}
	r.attempt = nil
	r.balancer.inFlight[index]--
	if response.Status == node.StatusRejected && response.RetryAfter > 0 {
		r.balancer.avoid(index, r.clock.Now().Add(response.RetryAfter))
	}
	switch {
	case response.Status == node.StatusServed:
		r.finishServed()
	case response.Status == node.StatusFailed && r.class.HasIdempotencyKey: // it may have run, and another node would run it a second time
		r.finish(&r.result.Failed)
	case r.mayFailOver(response):
		r.retriesLeft--
		r.send()
	case r.mayRetry(response):
		r.retriesLeft--
		r.retryAfter(r.retryDelay(response))
	case response.Status == node.StatusRejected:
		r.finish(&r.result.Rejected)
	default:
		r.finish(&r.result.Failed)
	}
}

// giveUp ends a request whose client timed out. The balancer cancels the attempt in flight.
func (r *request) giveUp() {
	if a := r.attempt; a != nil {
		r.attempt = nil
		delete(r.requestOf, a)
		for i, h := range r.nodes {
			if h == r.target {
				r.balancer.inFlight[i]--
			}
		}
		h, incarnation := r.target, r.incarnation
		r.clock.AfterFunc(r.NetworkDelay, func() {
			if !h.down && h.incarnation == incarnation {
				h.invariants.Cancel(a)
			}
		})
	}
	r.finish(&r.result.TimedOut)
}

// finishServed ends a request that a node has served.
func (r *request) finishServed() {
	latency := r.clock.Now().Sub(r.arrivedAt)
	_ = r.result.Latency.RecordValue(max(1, latency.Microseconds())) // the error means that the latency is above maxLatencyMicros
	if latency > r.class.LatencyObjective {
		r.finish(&r.result.Late)
		return
	}
	r.result.WeightWithinObjective += r.class.PriorityWeight
	r.finish(&r.result.WithinObjective)
}

// finish ends the request and increments count, a counter of r.result. Later calls do nothing.
func (r *request) finish(count *int) {
	if r.finished {
		return
	}
	r.finished = true
	*count++
	if r.OnStep != nil {
		outcomes := map[*int]string{&r.result.WithinObjective: "in aim", &r.result.Late: "late", &r.result.Rejected: "refused",
			&r.result.Failed: "failed", &r.result.TimedOut: "expired"}
		r.emit(r.template.ID, "", "", EventEnded, fmt.Sprintf("%s, %v after arrival", outcomes[count], r.clock.Now().Sub(r.arrivedAt)))
	}
	r.timeout.Stop()
	r.accountInSystem()
	r.inSystem--
	// Little's law is checked over the world's duration, so time in the system after its end is left out.
	end, last := r.clock.Now(), r.startedAt.Add(r.Duration)
	if end.After(last) {
		end = last
	}
	r.sojournSeconds += max(0, end.Sub(r.arrivedAt).Seconds())
}
