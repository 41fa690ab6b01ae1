package uwsgi

import (
	"errors"
	"net"
	"net/http"
	"os"

	"sloehitch/internal/frontend/uwsgi/packet"
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

// rejectEvicted responds to a request whose connection was evicted from its slot.
func (f *Front) rejectEvicted(conn net.Conn) {
	f.count(func(n *Counts) { n.Crowded++ })
	f.write(conn, statusResponse(http.StatusServiceUnavailable, f.opts.Limits.RejectedRetryAfter))
	gracefulClose(conn, f.opts.Limits.CloseTimeout/evictedCloseDivisor)
}
