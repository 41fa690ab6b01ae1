package uwsgi

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
)

// The outcomes of a request, as traces show them.
const (
	outcomeServed   = "served"
	outcomeRejected = "refused"
	outcomeFailed   = "failed"
	outcomeCanceled = "left"
)

// submit has the node answer a request, writes the response, and returns the request's outcome.
func (f *Front) submit(conn net.Conn, q *node.Request, r *clientRequest) (outcome string) {
	r.beginResponse = func() bool { return f.opts.Core.BeginResponse(q.ID) }
	r.deadline = time.Now().Add(clock.System{}.Until(f.runDeadline(q))) // with a monotonic reading, as the pool compares it
	answers := make(chan node.Response, 1)
	f.opts.Pool.expect(q.ID, r)
	defer f.opts.Pool.forget(q.ID)
	f.opts.Core.Submit(*q, func(a node.Response) { answers <- a })
	select {
	case answer := <-answers:
		return f.respond(conn, r, answer)
	case <-r.body.ended:
		f.opts.Core.Cancel(q.ID)
		select { // the answer may just have been made
		case answer := <-answers:
			return f.respond(conn, r, answer)
		default:
			f.clientGone(conn, r)
			return outcomeCanceled
		}
	case <-r.body.trailing:
		// Others on the way may take what follows a body for another request: neither gets a regular response.
		f.opts.Core.Cancel(q.ID)
		f.rejectBodyAfterSubmit(conn, r, fmt.Errorf("%w: bytes after the body", packet.ErrMalformed))
		return outcomeCanceled
	}
}

// respond writes the node's answer, as far as the pool has not written it, and returns the request's outcome.
func (f *Front) respond(conn net.Conn, r *clientRequest, answer node.Response) (outcome string) {
	switch {
	case answer.ResponseStarted && answer.Status == node.StatusServed:
		f.count(func(n *Counts) { n.Streamed++ })
		f.closeAfterResponse(conn, r.body)
	case answer.ResponseStarted:
		f.count(func(n *Counts) { n.Broken++ })
		reset(conn)
	case answer.Status == node.StatusFailed && r.body.clientFailed(): // the client's fault is why the request failed
		f.clientGone(conn, r)
		return outcomeCanceled
	default:
		f.writeResponse(conn, r.body, responseBytes(answer))
	}
	switch answer.Status {
	case node.StatusServed:
		return outcomeServed
	case node.StatusRejected:
		return outcomeRejected
	case node.StatusFailed:
		return outcomeFailed
	default:
		return ""
	}
}

// runDeadline returns when the node will have answered at the latest.
func (f *Front) runDeadline(q *node.Request) time.Time {
	if q.AttemptTimeout > 0 {
		return q.ArrivedAt.Add(q.AttemptTimeout)
	}
	return q.ArrivedAt.Add(f.opts.Limits.UpstreamTimeout + f.opts.Limits.OrphanTimeout)
}

// clientGone ends a request whose client has disconnected, or whose body is malformed, oversize or late.
func (f *Front) clientGone(conn net.Conn, r *clientRequest) {
	err := r.body.failure()
	if errors.Is(err, packet.ErrMalformed) || errors.Is(err, packet.ErrOversize) || errors.Is(err, os.ErrDeadlineExceeded) {
		f.rejectBodyAfterSubmit(conn, r, err)
		return
	}
	f.count(func(n *Counts) { n.Left++ })
}

// rejectBodyAfterSubmit ends a request whose body turned out bad after it was submitted. The node has canceled the request, so
// nothing else writes to the connection from here on.
func (f *Front) rejectBodyAfterSubmit(conn net.Conn, r *clientRequest, err error) {
	if r.hasStartedResponse() {
		f.count(func(n *Counts) { n.Broken++ })
		reset(conn)
		return
	}
	f.rejectBody(conn, r.body, err)
}
