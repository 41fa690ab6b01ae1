package uwsgi

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/node"
)

// rejectInput responds to input that is not a valid request, counts it, and logs it at a limited rate.
func (f *Front) rejectInput(conn net.Conn, err error) {
	status := 0
	f.count(func(n *Counts) {
		switch {
		case errors.Is(err, errPingAnswered):
		case errors.Is(err, packet.ErrMalformed):
			status = http.StatusBadRequest
			n.Malformed++
		case errors.Is(err, packet.ErrOversize):
			status = http.StatusRequestEntityTooLarge
			n.Oversize++
		case errors.Is(err, os.ErrDeadlineExceeded):
			status = http.StatusRequestTimeout
			n.Slow++
		default: // the client disconnected before its request was complete, and needs no response
			n.Left++
		}
	})
	if status == 0 {
		return
	}
	f.log.Warn("uwsgi request rejected as invalid", err)
	f.write(conn, statusResponse(status, 0))
	gracefulClose(conn, f.opts.Limits.CloseTimeout)
}

// rejectBody is like rejectInput, for an error that was found while the body was read.
func (f *Front) rejectBody(conn net.Conn, body *bodyReader, err error) {
	body.stop()
	f.rejectInput(conn, err)
}

// Reasons why a valid request is not submitted to the node.
var (
	errEvicted            = errors.New("its connection was evicted before the request was complete")
	errBodyBudgetExceeded = errors.New("the bodies of open requests use their memory budget")
)

// rejectUnsubmitted responds to a valid request that can't be submitted for the given reason, and ends the connection. The core
// chooses the status, as it knows whether an earlier attempt with the same idempotency key ran: 503 promises that none did.
func (f *Front) rejectUnsubmitted(conn net.Conn, q *node.Request, reason error, closeTimeout time.Duration) {
	f.count(func(n *Counts) { n.Crowded++ })
	status := f.opts.Core.RejectionStatusOf(q)
	f.log.Warn("uwsgi request not submitted", fmt.Errorf("%w; keyed %t, may have run %t", reason, q.IdempotencyKey != "", status == node.StatusFailed))
	if f.write(conn, responseBytes(node.Response{Status: status, RetryAfter: f.opts.Limits.RejectedRetryAfter})) {
		gracefulClose(conn, closeTimeout)
	}
}
