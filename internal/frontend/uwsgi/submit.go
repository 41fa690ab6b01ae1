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

// Outcomes of a request. Traces show these values, so they must not change.
const (
	outcomeServed   = "served"
	outcomeRejected = "refused"
	outcomeFailed   = "failed"
	outcomeCanceled = "left"
)

// submit submits a request to the node, writes the response, and returns the request's outcome.
func (f *Front) submit(conn net.Conn, q *node.Request, r *clientRequest) (outcome string) {
	r.beginResponse = func() bool { return f.opts.Core.BeginResponse(q.ID) }
	r.deadline = time.Now().Add(clock.System{}.Until(f.runDeadline(q))) // with a monotonic reading, for the pool
	answers := make(chan node.Response, 1)
	f.opts.Pool.addRequest(q.ID, r)
	defer f.opts.Pool.removeRequest(q.ID)
	f.opts.Core.Submit(*q, func(a node.Response) { answers <- a })
	select {
	case answer := <-answers:
		return f.respond(conn, r, answer)
	case <-r.body.ended:
		f.opts.Core.Cancel(q.ID)
		select { // the node may have answered in the meantime
		case answer := <-answers:
			return f.respond(conn, r, answer)
		default:
			f.endFailedClient(conn, r)
			return outcomeCanceled
		}
	case <-r.body.trailing:
		// An intermediary may take the bytes after the body for another request, so the request gets no regular response.
		f.opts.Core.Cancel(q.ID)
		f.rejectBodyAfterSubmit(conn, r, fmt.Errorf("%w: bytes after the body", packet.ErrMalformed))
		return outcomeCanceled
	}
}

// respond writes the node's answer unless the pool has streamed the response, and returns the request's outcome.
func (f *Front) respond(conn net.Conn, r *clientRequest, answer node.Response) (outcome string) {
	switch {
	case answer.ResponseStarted && answer.Status == node.StatusServed:
		f.count(func(n *Counts) { n.Streamed++ })
		f.closeAfterResponse(conn, r.body)
	case answer.ResponseStarted:
		f.count(func(n *Counts) { n.Broken++ })
		reset(conn)
	case answer.Status == node.StatusFailed && r.body.clientFailed(): // the request failed because the client did
		f.endFailedClient(conn, r)
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

// runDeadline returns the time by which the node answers a request.
func (f *Front) runDeadline(q *node.Request) time.Time {
	if q.AttemptTimeout > 0 {
		return q.ArrivedAt.Add(q.AttemptTimeout)
	}
	return q.ArrivedAt.Add(f.opts.Limits.UpstreamTimeout + f.opts.Limits.OrphanTimeout)
}

// endFailedClient ends a request whose client has disconnected, or whose body is malformed, oversize or timed out.
func (f *Front) endFailedClient(conn net.Conn, r *clientRequest) {
	err := r.body.failure()
	if errors.Is(err, packet.ErrMalformed) || errors.Is(err, packet.ErrOversize) || errors.Is(err, os.ErrDeadlineExceeded) {
		f.rejectBodyAfterSubmit(conn, r, err)
		return
	}
	f.count(func(n *Counts) { n.Left++ })
}

// rejectBodyAfterSubmit ends a request whose body was found invalid after the request was submitted. The request must be canceled
// at the node already, so that nothing else writes to the connection.
func (f *Front) rejectBodyAfterSubmit(conn net.Conn, r *clientRequest, err error) {
	if r.hasStartedResponse() {
		f.count(func(n *Counts) { n.Broken++ })
		reset(conn)
		return
	}
	f.rejectBody(conn, r.body, err)
}
