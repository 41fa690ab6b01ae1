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

// maxDiscardedBytes bounds what gracefulClose reads and discards.
const maxDiscardedBytes = 16 << 20

// writeResponse writes a complete response and ends the connection. body is nil where the request's body was not read.
func (f *Front) writeResponse(conn net.Conn, body *bodyReader, response []byte) {
	if !f.write(conn, response) {
		return
	}
	if body == nil {
		gracefulClose(conn, f.opts.Limits.CloseTimeout) // the body may be on its way
		return
	}
	f.closeAfterResponse(conn, body)
}

// closeAfterResponse ends a connection whose response is complete. A client that is still sending must be able to read it first.
func (f *Front) closeAfterResponse(conn net.Conn, body *bodyReader) {
	if body.stop() {
		gracefulClose(conn, f.opts.Limits.CloseTimeout)
	}
}

// write writes to a client, and says whether that worked.
func (f *Front) write(conn net.Conn, b []byte) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(f.opts.Limits.WriteTimeout)); err != nil {
		return false
	}
	if _, err := conn.Write(b); err != nil {
		f.opts.Log.Debug("could not write the uwsgi response", "error", err)
		return false
	}
	return true
}

// gracefulClose ends the sending side and discards what the client still sends, for at most a timeout: a connection that is closed
// with bytes unread is reset, and the reset may overtake the response. The caller still has to close the connection.
func gracefulClose(conn net.Conn, timeout time.Duration) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxDiscardedBytes)) // how it ends makes no difference
}

// reset closes a connection so that its client can tell that the response is not complete: with a reset where a regular close would
// mark its end. A Unix socket has no reset; there a response that ends at the close can't be told from a complete one.
func reset(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn() // without TLS's close_notify
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // where that fails the connection is closed already
	}
	conn.Close()
}

// responseBytes turns the node's answer into the bytes of a response.
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

// statusResponse returns a short response of our own. A 503 carries Retry-After in whole seconds, at least 1.
func statusResponse(status int, retryAfter time.Duration) []byte {
	text := http.StatusText(status) + "\n"
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(text))
	if status == http.StatusServiceUnavailable {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", max(1, int64((retryAfter+time.Second-1)/time.Second)))
	}
	return fmt.Appendf(b, "\r\n%s", text)
}
