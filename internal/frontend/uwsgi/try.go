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

// try is one exchange with one server.
type try struct {
	pool *Pool
	run  *run
	name string

	wrote  bool            // the server may have got some of the request
	begun  bool            // part of the response is with the client
	result balancer.Result // what it says of the server
	took   time.Duration   // to the first byte of the response
	seen   TryTimes
}

// buffers are for bytes on their way from servers to clients.
var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// errClient says that the client took no more, which is not the server's fault.
var errClient = errors.New("the client takes no more of the response")

// do sends the request and passes the response on, or returns it whole.
func (t *try) do(ctx context.Context) (result []byte, err error) {
	lim := t.pool.opts.Limits
	began := time.Now()
	t.pool.mu.Lock()
	e := t.pool.ends[t.name]
	t.pool.mu.Unlock()
	dialing, cancel := context.WithTimeout(ctx, lim.DialTimeout)
	conn, err := e.Dial(dialing, t.pool.opts.Keys, t.pool.opts.Name)
	cancel()
	if err != nil {
		t.result = balancer.Refused
		// Our own want of descriptors, or of time, says nothing about the server.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || ctx.Err() != nil {
			t.result = balancer.Withdrawn
		}
		return nil, err
	}
	defer conn.Close()
	t.seen.Connected = time.Now()
	over := context.AfterFunc(ctx, func() { conn.Close() }) // stopped, or out of time
	defer over()

	stop := make(chan struct{})
	sent := make(chan error, 1)
	go func() { sent <- t.send(conn, stop) }()
	result, err = t.receive(conn, began)
	close(stop) // a server that has answered needs no more of the body
	if err != nil {
		conn.Close()
	} else if werr := conn.SetWriteDeadline(time.Now()); werr != nil {
		conn.Close()
	}
	sendErr := <-sent
	var client *bodyError
	switch {
	case err == nil:
		t.result = balancer.OK
	case errors.As(sendErr, &client):
		t.result, err = balancer.Withdrawn, sendErr
	case errors.Is(err, errClient), errors.Is(ctx.Err(), context.Canceled) && (t.took > 0 || t.run.job.body.left()):
		t.result = balancer.Withdrawn
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded): // also stopped as its client's time was over, without a word from the server
		t.result = balancer.Slow
	default:
		t.result = balancer.Broken
	}
	return result, err
}

// bodyError says that the request's body ended badly, on the client's side.
type bodyError struct{ error }

func (e *bodyError) Unwrap() error { return e.error }

// send writes the request: its head, then the body as it comes from the client.
func (t *try) send(conn net.Conn, stop <-chan struct{}) error {
	lim, j := t.pool.opts.Limits, t.run.job
	if err := conn.SetWriteDeadline(time.Now().Add(lim.WriteTimeout)); err != nil {
		return err
	}
	n, err := conn.Write(j.head)
	t.wrote = n > 0
	if err == nil && len(t.run.body) > 0 {
		_, err = conn.Write(t.run.body)
	}
	if err != nil || j.body.held {
		return err
	}
	if err = j.body.copyTo(conn, lim.WriteTimeout, stop); err != nil && j.body.why() != nil {
		conn.Close() // the server must not take half a body for a whole one
		return &bodyError{err}
	}
	return err
}

// receive reads the response. One that is not passed on is returned whole.
func (t *try) receive(conn net.Conn, began time.Time) ([]byte, error) {
	lim, j := t.pool.opts.Limits, t.run.job
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	got, head, err := t.readHead(conn, *buf, began)
	if err != nil {
		return nil, err
	}
	rest := head.Rest()
	n, done, err := rest.Scan(got[head.Size:])
	if err != nil {
		return nil, err
	}
	if extra := len(got) - head.Size - n; extra > 0 {
		return nil, fmt.Errorf("%w: %d bytes behind the response's body", packet.ErrMalformed, extra)
	}
	switch {
	case done:
		return append([]byte(nil), got...), nil
	case j.stream && (head.Body.Length < 0 || head.Body.Length > int64(cap(got)-head.Size)):
		return nil, t.pass(conn, got, rest)
	}
	return t.whole(conn, append([]byte(nil), got...), rest, lim.BufferedResponseBytes)
}

// readHead reads up to the end of the response's head, past interim ones, which end here: the client may not expect any. got begins with the
// head, and may have some of the body.
func (t *try) readHead(conn net.Conn, buf []byte, began time.Time) (got []byte, head packet.Head, err error) {
	lim := t.pool.opts.Limits
	if err := conn.SetReadDeadline(time.Now().Add(lim.UpstreamTimeout)); err != nil {
		return nil, head, err
	}
	n := 0
	for {
		k, err := conn.Read(buf[n:])
		if k > 0 && t.took == 0 {
			t.took = time.Since(began)
			t.seen.FirstByte = time.Now()
		}
		n += k
		for n > 0 {
			head, headErr := packet.ReadHead(buf[:n], t.run.job.headOnly, min(lim.ResponseHeadBytes, len(buf)-1))
			if errors.Is(headErr, packet.ErrShort) {
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
				err = packet.ErrShort
			}
			return nil, head, err
		}
	}
}

// whole reads the rest of a response that is kept.
func (t *try) whole(conn net.Conn, got []byte, rest *packet.Rest, most int) ([]byte, error) {
	buf := make([]byte, 4<<10)
	for {
		n, readErr := conn.Read(buf)
		k, done, err := rest.Scan(buf[:n])
		got = append(got, buf[:k]...)
		switch {
		case err != nil:
			return nil, err
		case len(got) > most:
			return nil, fmt.Errorf("%w: a response of more than %d bytes", packet.ErrOversize, most)
		case k < n:
			return nil, fmt.Errorf("%w: %d bytes behind the response's body", packet.ErrMalformed, n-k)
		case done:
			return got, nil
		case errors.Is(readErr, io.EOF) && rest.ByClose():
			return got, nil
		case errors.Is(readErr, io.EOF):
			return nil, errors.New("the server broke off within the response")
		case readErr != nil:
			return nil, readErr
		}
	}
}

// pass passes a response on as it comes. A reader that is slow holds the server up, not memory.
func (t *try) pass(conn net.Conn, got []byte, rest *packet.Rest) error {
	j, lim := t.run.job, t.pool.opts.Limits
	if !j.begin() {
		return errClient // it has been answered meanwhile
	}
	t.begun = true
	if err := t.toClient(got); err != nil {
		return err
	}
	buf := got[:cap(got)]
	for {
		if err := conn.SetReadDeadline(time.Now().Add(lim.UpstreamTimeout)); err != nil {
			return err
		}
		n, readErr := conn.Read(buf)
		k, done, err := rest.Scan(buf[:n])
		if err != nil {
			return err
		}
		if err := t.toClient(buf[:k]); err != nil {
			return err
		}
		switch {
		case done:
			return nil
		case errors.Is(readErr, io.EOF) && rest.ByClose():
			return nil
		case errors.Is(readErr, io.EOF):
			return errors.New("the server broke off within the response")
		case readErr != nil:
			return readErr
		}
	}
}

func (t *try) toClient(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	c := t.run.job.conn
	if err := c.SetWriteDeadline(time.Now().Add(t.pool.opts.Limits.WriteTimeout)); err != nil {
		return errClient
	}
	if _, err := c.Write(b); err != nil {
		return fmt.Errorf("%w: %w", errClient, err)
	}
	return nil
}
