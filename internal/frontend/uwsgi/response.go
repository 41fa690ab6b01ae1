package uwsgi

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sloehitch/internal/node"
)

// maxDiscardedBytes limits the number of bytes that gracefulClose reads and discards.
const maxDiscardedBytes = 16 << 20

// writeResponse writes a complete response and ends the connection. body is nil if the request body was not read.
func (f *Front) writeResponse(conn net.Conn, body *bodyReader, response []byte) {
	if !f.write(conn, response) {
		return
	}
	if body == nil {
		gracefulClose(conn, f.opts.Limits.CloseTimeout) // the body may still be in transit
		return
	}
	f.closeAfterResponse(conn, body)
}

// closeAfterResponse ends a connection whose response is complete. A client that is still sending gets time to read the response.
func (f *Front) closeAfterResponse(conn net.Conn, body *bodyReader) {
	if body.stop() {
		gracefulClose(conn, f.opts.Limits.CloseTimeout)
	}
}

// write writes to a client, and reports whether that succeeded.
func (f *Front) write(conn net.Conn, b []byte) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(f.opts.Limits.WriteTimeout)); err != nil {
		return false
	}
	if _, err := conn.Write(b); err != nil {
		f.opts.Log.Debug("cannot write uwsgi response to client", "error", err)
		return false
	}
	return true
}

// gracefulClose ends the sending side and discards what the client still sends, until the timeout. Closing a connection with unread
// bytes resets it, and the reset may overtake the response. The caller must still close the connection.
func gracefulClose(conn net.Conn, timeout time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxDiscardedBytes)) // the error is irrelevant, since the connection is closed next
}

// reset closes a connection with a TCP reset, so that the client can tell that the response is not complete: a regular close may
// mark the end of a response. A Unix socket has no reset, so there a truncated response that ends at the close looks complete.
func reset(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn() // bypasses TLS, which would send close_notify
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that the connection is closed already
	}
	conn.Close()
}

// responseBytes encodes the node's answer as an HTTP response.
func responseBytes(a node.Response) []byte {
	switch {
	case a.Status == node.StatusServed:
		return a.Result
	case a.Status == node.StatusRejected:
		return statusResponse(http.StatusServiceUnavailable, a.RetryAfter)
	case a.KeyReused:
		return statusResponse(http.StatusUnprocessableEntity, 0)
	case a.DeadlineExceeded:
		return statusResponse(http.StatusGatewayTimeout, 0)
	}
	return statusResponse(http.StatusBadGateway, 0)
}

// statusResponse returns an HTTP response with only a status text as its body. A 503 has a Retry-After in whole seconds, at least
// 1.
func statusResponse(status int, retryAfter time.Duration) []byte {
	text := http.StatusText(status) + "\n"
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(text))
	if status == http.StatusServiceUnavailable {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", max(1, int64((retryAfter+time.Second-1)/time.Second)))
	}
	return fmt.Appendf(b, "\r\n%s", text)
}
