package uwsgi

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/limits"
)

// errBodyTruncated is returned if the client ended its sending side before the end of the body.
var errBodyTruncated = errors.New("the client closed its sending side before the end of the request body")

// errClientGone is returned if the client disconnected while the window was full.
var errClientGone = errors.New("the client disconnected before its request body was read")

// departurePollInterval is how often a full window is checked for the client's departure.
const departurePollInterval = 100 * time.Millisecond

// readBufferSize is the size of the buffer into which a body is read, in bytes.
const readBufferSize = 4 << 10

// bodyReader reads a request body from the client into a bounded window, from which another goroutine takes it. While the window
// is full, nothing more is read from the client.
type bodyReader struct {
	conn             net.Conn
	framing          packet.Framing
	maxBytes         int64 // of content; a longer body is rejected
	idleTimeout      time.Duration
	windowSize       int  // bytes
	halfCloseCancels bool // a client that ends its sending side counts as disconnected
	started          bool // start was called; accessed by the front's goroutine only
	buffered         bool // the body is passed to the pool separately; set before the pool gets the request

	mu         sync.Mutex
	changed    *sync.Cond
	window     []byte // received and not taken yet
	replay     []byte // taken and kept for a retry, as long as all of it fits in windowSize
	replayLost bool   // replay no longer holds everything that was taken
	received   int64  // bytes of the body so far, including its framing
	chunks     packet.ChunkScanner
	complete   bool
	err        error

	ended        chan struct{} // closed when the client has failed or stop was called: err is set
	trailing     chan struct{} // closed when bytes arrived after the body
	trailingOnce sync.Once
	readerDone   chan struct{} // closed when the reading goroutine has ended
}

func newBodyReader(conn net.Conn, framing packet.Framing, l limits.Limits, maxBytes int64, halfCloseCancels bool) *bodyReader {
	b := &bodyReader{conn: conn, framing: framing, maxBytes: maxBytes, idleTimeout: l.BodyIdleTimeout, windowSize: l.BodyWindowBytes,
		halfCloseCancels: halfCloseCancels, ended: make(chan struct{}), trailing: make(chan struct{}), readerDone: make(chan struct{})}
	b.changed = sync.NewCond(&b.mu)
	b.complete = !framing.Chunked && framing.Length == 0
	return b
}

// start starts a goroutine that reads the body.
func (b *bodyReader) start() {
	b.started = true
	go b.readLoop()
}

// readLoop reads until the client fails or stop is called. It is the only reader of the connection.
func (b *bodyReader) readLoop() {
	defer close(b.readerDone)
	buf := make([]byte, readBufferSize)
	for {
		maxRead, complete, err := b.waitForWindow(len(buf))
		if err != nil {
			b.fail(err)
			return
		}
		n, err := b.conn.Read(buf[:maxRead])
		if n > 0 && complete {
			b.reportTrailing()
			continue
		}
		if n > 0 {
			b.mu.Lock()
			bodyBytes, bodyErr := b.append(buf[:n])
			b.changed.Broadcast()
			b.mu.Unlock()
			if bodyErr != nil {
				b.fail(bodyErr)
				return
			}
			if bodyBytes < n {
				b.reportTrailing()
			}
		}
		if err != nil {
			b.readEnded(err, complete)
			return
		}
	}
}

// waitForWindow blocks until the window has room, and sets the deadline for the next read. It returns the number of bytes that may
// be read, at most maxRead, and whether the body is complete.
func (b *bodyReader) waitForWindow(maxRead int) (n int, complete bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.complete && b.err == nil && len(b.window) >= b.windowSize {
		if b.clientGone() {
			return 0, false, errClientGone
		}
		wake := time.AfterFunc(departurePollInterval, b.changed.Broadcast)
		b.changed.Wait()
		wake.Stop()
	}
	if b.err != nil {
		return 0, false, b.err
	}
	deadline := time.Time{} // after the body, a client may be silent until it gets its response
	if !b.complete {
		maxRead = min(maxRead, max(1, b.windowSize-len(b.window)))
		deadline = time.Now().Add(b.idleTimeout)
	}
	// The lock must be held here, so that the deadline set by stop is not overwritten.
	return maxRead, b.complete, b.conn.SetReadDeadline(deadline)
}

// clientGone reports whether the client has disconnected with part of its body still unread, so that no read can tell.
func (b *bodyReader) clientGone() bool {
	conn := b.conn
	if c, ok := conn.(*tls.Conn); ok {
		conn = c.NetConn()
	}
	return gracefulclose.PeerGone(conn, b.halfCloseCancels)
}

// append adds received bytes to the window and returns how many of them belong to the body. The caller must hold mu.
func (b *bodyReader) append(received []byte) (n int, err error) {
	n = len(received)
	if b.framing.Chunked {
		var done bool
		if n, done, err = b.chunks.Scan(received); err != nil {
			return 0, err
		}
		b.complete = done
		if b.chunks.Data > b.maxBytes {
			return 0, packet.ErrOversize
		}
	} else if left := b.framing.Length - b.received; int64(n) >= left {
		n, b.complete = int(left), true
	}
	b.received += int64(n)
	b.window = append(b.window, received[:n]...)
	return n, nil
}

// reportTrailing records that bytes arrived after the body. An intermediary may take them for another request.
func (b *bodyReader) reportTrailing() {
	b.trailingOnce.Do(func() { close(b.trailing) })
}

// readEnded handles the end of the client's input.
func (b *bodyReader) readEnded(err error, complete bool) {
	b.mu.Lock()
	complete = complete || b.complete
	b.mu.Unlock()
	switch {
	case !complete && errors.Is(err, io.EOF):
		b.fail(errBodyTruncated)
	case complete && errors.Is(err, io.EOF) && !b.halfCloseCancels:
		// The client has ended its sending side, and may still read the response.
	default:
		b.fail(err)
	}
}

// fail ends the body with an error. Only the first error is kept.
func (b *bodyReader) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return
	}
	b.err = err
	b.changed.Broadcast()
	close(b.ended)
}

// failure returns the error that ended the body, or nil if there was none.
func (b *bodyReader) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// clientFailed reports whether the client has disconnected, or has sent a malformed or oversize body. A call of stop does not
// count.
func (b *bodyReader) clientFailed() bool {
	err := b.failure()
	return err != nil && !errors.Is(err, net.ErrClosed)
}

// readAll waits for the complete body and returns it. It fails after the timeout.
func (b *bodyReader) readAll(timeout time.Duration) ([]byte, error) {
	timer := time.AfterFunc(timeout, func() { b.fail(os.ErrDeadlineExceeded) })
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.complete && b.err == nil {
		b.changed.Wait()
	}
	if !b.complete {
		return nil, b.err
	}
	return b.window, nil
}

// rewind puts all bytes that were taken back into the window. It returns false if some of them are no longer buffered.
func (b *bodyReader) rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.replayLost {
		return false
	}
	b.window = append(append([]byte(nil), b.replay...), b.window...)
	b.replay = nil
	return true
}

// replayable reports whether a retry could send the whole body.
func (b *bodyReader) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.replayLost
}

// copyTo writes the body to a server as it arrives, until it is complete or stop is closed. A slow server slows down the client
// instead of taking memory.
func (b *bodyReader) copyTo(server net.Conn, writeTimeout time.Duration, stop <-chan struct{}) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-stop:
			b.mu.Lock()
			b.changed.Broadcast()
			b.mu.Unlock()
		case <-done:
		}
	}()
	for {
		data, complete, err := b.take(stop)
		switch {
		case isClosed(stop):
			return nil
		case len(data) == 0 && complete:
			return nil
		case len(data) == 0:
			return err
		}
		if err := server.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := server.Write(data); err != nil {
			return err
		}
	}
}

// take waits until the window is not empty, the body has ended or stop is closed, and then empties the window.
func (b *bodyReader) take(stop <-chan struct{}) (data []byte, complete bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.window) == 0 && !b.complete && b.err == nil && !isClosed(stop) {
		b.changed.Wait()
	}
	data = b.window
	b.window = nil
	if len(b.replay)+len(data) > b.windowSize {
		b.replay, b.replayLost = nil, true
	}
	if !b.replayLost {
		b.replay = append(b.replay, data...)
	}
	b.changed.Broadcast()
	return data, b.complete, b.err
}

// stop stops reading, and reports whether the client may have sent bytes that were not read.
func (b *bodyReader) stop() (unread bool) {
	if !b.started {
		return !b.complete
	}
	b.mu.Lock()
	unread = !b.complete
	b.mu.Unlock()
	b.fail(net.ErrClosed)
	_ = b.conn.SetReadDeadline(time.Now()) // an error means that the connection is closed already
	<-b.readerDone
	return unread || isClosed(b.trailing)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
