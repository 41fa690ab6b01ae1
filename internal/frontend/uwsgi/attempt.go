package uwsgi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/frontend/uwsgi/packet"
)

// attempt is one exchange of a run with one server.
type attempt struct {
	pool   *Pool
	run    *run
	server string

	sent             bool            // the server may have received part of the request
	responseStarted  bool            // part of the response was sent to the client
	result           balancer.Result // reported to the balancer for the server
	firstByteLatency time.Duration   // from the start to the first byte of the response; 0 if none arrived
	times            AttemptTimes
}

// copyBufferSize is the size of a response buffer, in bytes. A response head must fit in one buffer.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

var (
	// errClientWrite is returned if the response could not be written to the client. It does not count against the server.
	errClientWrite = errors.New("cannot write the response to the client")
	// errResponseTruncated is returned if the server closed the connection before the end of the response body.
	errResponseTruncated = errors.New("the server closed the connection before the end of the response")
)

// bodyError wraps the error because of which the request body could not be read from the client.
type bodyError struct{ error }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.error }

// do sends the request and streams the response to the client, or returns the response if it is buffered. It sets a.result.
func (a *attempt) do(ctx context.Context) (result []byte, err error) {
	startedAt := time.Now()
	conn, err := a.dial(ctx)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	a.times.ConnectedAt = time.Now()
	if a.run.sent && !a.run.request.mayRunAgain() { // asked again, as the wait for this server may have been long
		a.result = balancer.ResultCanceled
		return nil, errMayNotRunAgain
	}
	cancelClose := context.AfterFunc(ctx, func() { conn.Close() }) // the run was stopped, or its deadline has passed
	defer cancelClose()

	stop := make(chan struct{})
	sent := make(chan error, 1)
	go func() { sent <- a.send(conn, stop) }()
	result, err = a.receive(conn, startedAt)
	close(stop) // a server that has responded needs no more of the request body
	if err != nil {
		conn.Close()
	} else if deadlineErr := conn.SetWriteDeadline(time.Now()); deadlineErr != nil {
		conn.Close()
	}
	return result, a.classify(ctx, err, <-sent)
}

// dial connects to the server.
func (a *attempt) dial(ctx context.Context) (net.Conn, error) {
	opts := &a.pool.opts
	a.pool.mu.Lock()
	e := a.pool.endpoints[a.server]
	a.pool.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, opts.Limits.DialTimeout)
	conn, err := e.Dial(dialCtx, opts.Keys, opts.ServerName)
	cancel()
	if err == nil {
		return conn, nil
	}
	a.result = balancer.ResultConnectFailed
	// A lack of descriptors in this process, or an expired deadline, must not count against the server.
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || ctx.Err() != nil {
		a.result = balancer.ResultCanceled
	}
	return nil, err
}

// classify sets a.result and returns the error that ended the attempt. err is the error from receiving the response, sendErr the
// one from sending the request.
func (a *attempt) classify(ctx context.Context, err, sendErr error) error {
	var clientErr *bodyError
	switch {
	case err == nil:
		a.result = balancer.ResultOK
	case errors.As(sendErr, &clientErr):
		a.result = balancer.ResultCanceled
		return sendErr
	case errors.Is(err, errClientWrite):
		a.result = balancer.ResultCanceled
	case errors.Is(ctx.Err(), context.Canceled) && (a.firstByteLatency > 0 || a.run.request.body.clientFailed()):
		a.result = balancer.ResultCanceled
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		// This includes a run that was stopped before the server sent a byte, while its client was still waiting.
		a.result = balancer.ResultTimeout
	default:
		a.result = balancer.ResultBroken
	}
	return err
}

// send writes the request's head, and then its body as it arrives from the client, until stop is closed.
func (a *attempt) send(conn net.Conn, stop <-chan struct{}) error {
	writeTimeout, request := a.pool.opts.Limits.WriteTimeout, a.run.request
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := conn.Write(request.head)
	a.sent = n > 0
	if err == nil && len(a.run.body) > 0 {
		_, err = conn.Write(a.run.body)
	}
	if err != nil || request.body.buffered {
		return err
	}
	if err = request.body.copyTo(conn, writeTimeout, stop); err != nil && request.body.failure() != nil {
		conn.Close() // the server must not take a truncated body for a complete one
		return &bodyError{err}
	}
	return err
}

// receive reads the response. It streams the response to the client or returns it.
func (a *attempt) receive(conn net.Conn, startedAt time.Time) ([]byte, error) {
	request := a.run.request
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	got, head, err := a.readHead(conn, *buf, startedAt)
	if err != nil {
		return nil, err
	}
	rest := head.BodyScanner()
	n, done, err := rest.Scan(got[head.Size:])
	if err != nil {
		return nil, err
	}
	if extra := len(got) - head.Size - n; extra > 0 {
		return nil, fmt.Errorf("%w: %d bytes after the response body", packet.ErrMalformed, extra)
	}
	switch {
	case done:
		return append([]byte(nil), got...), nil
	case request.streamable && (head.Body.Length < 0 || head.Body.Length > int64(cap(got)-head.Size)):
		return nil, a.streamResponse(conn, got, rest)
	}
	return a.readBuffered(conn, append([]byte(nil), got...), rest, a.pool.opts.Limits.BufferedResponseBytes)
}

// readHead reads the response head. Interim (1xx) heads are dropped, because the client may not expect them. got begins with the
// head, and may contain the start of the body.
func (a *attempt) readHead(conn net.Conn, buf []byte, startedAt time.Time) (got []byte, head packet.ResponseHead, err error) {
	lim := a.pool.opts.Limits
	if err := conn.SetReadDeadline(time.Now().Add(lim.UpstreamTimeout)); err != nil {
		return nil, head, err
	}
	n := 0
	for {
		m, err := conn.Read(buf[n:])
		if m > 0 && a.firstByteLatency == 0 {
			a.firstByteLatency = time.Since(startedAt)
			a.times.FirstByteAt = time.Now()
		}
		n += m
		for n > 0 {
			head, headErr := packet.ReadResponseHead(buf[:n], a.run.request.headOnly, min(lim.ResponseHeadBytes, len(buf)-1))
			if errors.Is(headErr, packet.ErrIncomplete) {
				break
			}
			if headErr != nil {
				return nil, head, headErr
			}
			if head.Status >= 200 {
				return buf[:n], head, nil
			}
			n = copy(buf, buf[head.Size:n])
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = packet.ErrIncomplete
			}
			return nil, head, err
		}
	}
}

// readBuffered reads the rest of a buffered response, which may have at most maxBytes.
func (a *attempt) readBuffered(conn net.Conn, got []byte, rest *packet.BodyScanner, maxBytes int) ([]byte, error) {
	buf := make([]byte, 4<<10)
	for {
		n, readErr := conn.Read(buf)
		k, done, err := rest.Scan(buf[:n])
		got = append(got, buf[:k]...)
		switch {
		case err != nil:
			return nil, err
		case len(got) > maxBytes:
			return nil, fmt.Errorf("%w: the response is longer than %d bytes", packet.ErrOversize, maxBytes)
		case k < n:
			return nil, fmt.Errorf("%w: %d bytes after the response body", packet.ErrMalformed, n-k)
		}
		if ended, err := bodyEnded(rest, done, readErr); err != nil {
			return nil, err
		} else if ended {
			return got, nil
		}
	}
}

// bodyEnded reports whether a response body has ended: by its framing (done), by the server closing the connection, or by an error.
func bodyEnded(rest *packet.BodyScanner, done bool, readErr error) (ended bool, err error) {
	switch {
	case done:
		return true, nil
	case errors.Is(readErr, io.EOF) && rest.EndsAtClose():
		return true, nil
	case errors.Is(readErr, io.EOF):
		return true, errResponseTruncated
	case readErr != nil:
		return true, readErr
	}
	return false, nil
}

// streamResponse writes a response to the client as it arrives. A slow client slows down the server instead of taking memory.
func (a *attempt) streamResponse(conn net.Conn, got []byte, rest *packet.BodyScanner) error {
	if !a.run.request.startResponse() {
		return errClientWrite // the node has answered the request meanwhile
	}
	a.responseStarted = true
	if err := a.writeToClient(got); err != nil {
		return err
	}
	buf := got[:cap(got)]
	for {
		if err := conn.SetReadDeadline(time.Now().Add(a.pool.opts.Limits.UpstreamTimeout)); err != nil {
			return err
		}
		n, readErr := conn.Read(buf)
		k, done, err := rest.Scan(buf[:n])
		if err != nil {
			return err
		}
		if err := a.writeToClient(buf[:k]); err != nil {
			return err
		}
		if ended, err := bodyEnded(rest, done, readErr); ended {
			return err
		}
	}
}

// writeToClient writes part of the response to the client.
func (a *attempt) writeToClient(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	client := a.run.request.client
	if err := client.SetWriteDeadline(time.Now().Add(a.pool.opts.Limits.WriteTimeout)); err != nil {
		return errClientWrite
	}
	if _, err := client.Write(b); err != nil {
		return fmt.Errorf("%w: %w", errClientWrite, err)
	}
	return nil
}
