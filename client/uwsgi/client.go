// Package uwsgi is a client for applications behind the uwsgi protocol, such as a sloehitch daemon. Bodies and responses are streams;
// requests with a key may be sent again, and are when the server says so or cannot be reached.
//
// The protocol is that of uWSGI's page "The uwsgi Protocol"; requests carry CGI variables (RFC 3875), responses are HTTP's.
package uwsgi

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/endpoint"
)

// Client sends requests to one address. Its zero value but for Address is ready; it may be used from many goroutines, and must not be
// changed once it is used.
type Client struct {
	Address string      // host:port, suwsgi://host:port (TLS) or unix:/path
	TLS     *tls.Config // for suwsgi://; nil: the system's authorities

	DialTimeout      time.Duration // for one connection attempt; 0: 2 s
	MaxAttempts      int           // of one request, the first included; 0: 4
	Backoff          time.Duration // before a further try that the server named no time for, doubling, with jitter; 0: 100 ms
	MaxRetryAfter    time.Duration // the longest that a server's Retry-After is heeded; beyond it the response is returned; 0: 30 s
	MaxHeadBytes     int           // bytes of a response's head; 0: 64 KiB
	DeadlineVariable string        // the variable that tells how many milliseconds are left, such as HTTP_X_DEADLINE_MS; empty: none is sent
	Modifier         byte          // modifier1; 0 for WSGI
}

// Request is one request. Body is read once for each try.
type Request struct {
	Method string // empty: GET
	Path   string // as it is decoded, such as /book
	Query  string // as it is sent, without "?"
	Host   string
	Header http.Header
	Vars   map[string]string // further CGI variables, or others in the place of those that follow from the fields

	// IdempotencyKey is the same for all tries of one request that must not run twice; it is sent as Idempotency-Key. A request without a key is sent again only
	// if no connection came about.
	IdempotencyKey string
	// Body returns the body anew for each try; nil: none. Length is its length in bytes, -1 if it isn't known: then it is sent in chunks.
	Body   func() (io.Reader, error)
	Length int64
}

// TextBody is a body of these bytes, for Request.Body and Request.Length.
func TextBody(s string) (func() (io.Reader, error), int64) {
	return func() (io.Reader, error) { return strings.NewReader(s), nil }, int64(len(s))
}

// Response is the response to a request. Its Body must be closed. A body that ends before it is whole gives io.ErrUnexpectedEOF, or the
// connection's error, never io.EOF; only where the close of the connection marks the end and is no reset that can't be told.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Length   int64 // of the body; -1: not told
	Attempts int
}

// RetryAfter is when the server asks to come back; 0 if it doesn't say. Only seconds are read, as the daemon sends them.
func (r *Response) RetryAfter() time.Duration {
	n, err := strconv.ParseInt(r.Header.Get("Retry-After"), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

func orDefault[T int | time.Duration](v, other T) T {
	if v == 0 {
		return other
	}
	return v
}

// Do sends a request and returns when the response's head has come. The context bounds all of it, the reading of the body included. Where it
// has a deadline, no try is begun that would have to wait past it.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	e, err := endpoint.Parse(c.Address)
	if err != nil {
		return nil, err
	}
	for n := 1; ; n++ {
		resp, err := c.attempt(ctx, e, r)
		if resp != nil {
			resp.Attempts = n
		}
		wait, again := c.retryDelay(r, n, resp, err)
		if !again || ctx.Err() != nil {
			return resp, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
			return resp, err
		}
		if resp != nil {
			resp.Body.Close()
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
}

// retryDelay says whether a request may be sent once more, and after which time.
func (c *Client) retryDelay(r *Request, tries int, resp *Response, err error) (time.Duration, bool) {
	if tries >= orDefault(c.MaxAttempts, 4) {
		return 0, false
	}
	back := orDefault(c.Backoff, 100*time.Millisecond) << (tries - 1)
	back += time.Duration(rand.Int64N(int64(back)/2 + 1)) // so that callers that failed together don't come back together
	var d *DialError
	switch {
	case err == nil && resp.Status == http.StatusServiceUnavailable && r.IdempotencyKey != "":
		if told := resp.RetryAfter(); told > 0 {
			return told, told <= orDefault(c.MaxRetryAfter, 30*time.Second)
		}
		return back, true
	case err == nil:
		return 0, false
	case errors.As(err, &d):
		return back, true // nothing was sent
	}
	var bad *BodyError
	return back, r.IdempotencyKey != "" && !errors.As(err, &bad)
}

// DialError says that no connection came about: nothing was sent.
type DialError struct{ Err error }

func (e *DialError) Error() string { return "uwsgi: no connection: " + e.Err.Error() }
func (e *DialError) Unwrap() error { return e.Err }

// BodyError says that the request's body could not be read.
type BodyError struct{ Err error }

func (e *BodyError) Error() string { return "uwsgi: the request's body: " + e.Err.Error() }
func (e *BodyError) Unwrap() error { return e.Err }

// attempt makes one try.
func (c *Client) attempt(ctx context.Context, e endpoint.Endpoint, r *Request) (*Response, error) {
	head, err := c.packetHead(ctx, r)
	if err != nil {
		return nil, err
	}
	dialing, cancel := context.WithTimeout(ctx, orDefault(c.DialTimeout, 2*time.Second))
	conn, err := c.connect(dialing, e)
	cancel()
	if err != nil {
		return nil, &DialError{err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	sent := make(chan error, 1)
	go func() { sent <- c.send(conn, head, r) }()
	resp, err := c.receive(conn, r)
	if err != nil {
		conn.Close()
		stop()
		// What went wrong with the body is the cause; that the server then hung up is not.
		var bad *BodyError
		if sendErr := <-sent; errors.As(sendErr, &bad) {
			return nil, sendErr
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, fmt.Errorf("uwsgi: %w", err)
	}
	resp.Body = &connBody{resp.Body, conn, stop}
	return resp, nil
}

func (c *Client) connect(ctx context.Context, e endpoint.Endpoint) (net.Conn, error) {
	plain := e
	plain.TLS = false
	conn, err := plain.Dial(ctx, nil, "")
	if err != nil || !e.TLS {
		return conn, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.TLS != nil {
		config = c.TLS.Clone()
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(e.Address)
	}
	t := tls.Client(conn, config)
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return t, nil
}

// packetHead is the packet's header and variables.
func (c *Client) packetHead(ctx context.Context, r *Request) ([]byte, error) {
	path := r.Path
	if path == "" {
		path = "/"
	}
	vars := map[string]string{"REQUEST_METHOD": r.Method, "PATH_INFO": path, "QUERY_STRING": r.Query, "SCRIPT_NAME": "",
		"SERVER_PROTOCOL": "HTTP/1.1", "REQUEST_URI": path}
	if r.Method == "" {
		vars["REQUEST_METHOD"] = http.MethodGet
	}
	if r.Query != "" {
		vars["REQUEST_URI"] += "?" + r.Query
	}
	if r.Host != "" {
		vars["HTTP_HOST"] = r.Host
	}
	for name, values := range r.Header {
		vars[variable(name)] = strings.Join(values, ", ")
	}
	if r.IdempotencyKey != "" {
		vars[variable("Idempotency-Key")] = r.IdempotencyKey
	}
	switch {
	case r.Body == nil:
		vars["CONTENT_LENGTH"] = "0"
	case r.Length >= 0:
		vars["CONTENT_LENGTH"] = strconv.FormatInt(r.Length, 10)
	default:
		vars["HTTP_TRANSFER_ENCODING"] = "chunked"
	}
	if deadline, ok := ctx.Deadline(); ok && c.DeadlineVariable != "" {
		vars[c.DeadlineVariable] = strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
	}
	for name, value := range r.Vars {
		vars[name] = value
	}
	list := make([][2]string, 0, len(vars))
	for name, value := range vars {
		if strings.ContainsAny(value, "\x00\r\n") {
			return nil, fmt.Errorf("uwsgi: the value of %s has a line end or zero byte", name)
		}
		list = append(list, [2]string{name, value})
	}
	return packet.AppendRequest(nil, c.Modifier, 0, list)
}

// variable is the CGI variable of a header field.
func variable(name string) string {
	name = strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	if name == "CONTENT_TYPE" || name == "CONTENT_LENGTH" {
		return name
	}
	return "HTTP_" + name
}

// send writes a request. A body that can't be read whole ends the connection: the server must not take what came for all of it.
func (c *Client) send(conn net.Conn, head []byte, r *Request) error {
	if _, err := conn.Write(head); err != nil || r.Body == nil {
		return err
	}
	from, err := r.Body()
	if err != nil {
		conn.Close()
		return &BodyError{err}
	}
	source := &errorRecorder{from: from}
	if r.Length >= 0 {
		n, err := io.Copy(conn, io.LimitReader(source, r.Length))
		if source.err == nil && err == nil && n < r.Length {
			source.err = fmt.Errorf("%d bytes of %d", n, r.Length)
		}
		if source.err != nil {
			conn.Close()
			return &BodyError{source.err}
		}
		return err
	}
	w := httputil.NewChunkedWriter(conn)
	_, err = io.Copy(w, source)
	if source.err != nil {
		conn.Close()
		return &BodyError{source.err}
	}
	if err == nil {
		err = w.Close()
	}
	if err == nil {
		_, err = io.WriteString(conn, "\r\n")
	}
	return err
}

// errorRecorder notes an error of the body's own.
type errorRecorder struct {
	from io.Reader
	err  error
}

func (r *errorRecorder) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// receive reads a response's head.
func (c *Client) receive(conn net.Conn, r *Request) (*Response, error) {
	most := orDefault(c.MaxHeadBytes, 64<<10)
	in := bufio.NewReaderSize(conn, most+1)
	for {
		b, head, err := peekHead(in, r.Method == http.MethodHead, most)
		if err != nil {
			return nil, err
		}
		text := bytes.Clone(b[:head.Size])
		if _, err := in.Discard(head.Size); err != nil {
			return nil, err
		}
		if head.Status < 200 {
			continue
		}
		if !head.CGI {
			_, text, _ = bytes.Cut(text, []byte("\n"))
		}
		fields, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(text))).ReadMIMEHeader()
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		resp := &Response{Status: head.Status, Header: http.Header(fields), Length: head.Body.Length}
		switch {
		case head.Body.Chunked:
			resp.Body = io.NopCloser(httputil.NewChunkedReader(in))
		case head.Body.Length >= 0:
			resp.Body = io.NopCloser(&lengthReader{in, head.Body.Length})
		default:
			resp.Body = io.NopCloser(in)
		}
		return resp, nil
	}
}

// peekHead looks at a whole head.
func peekHead(in *bufio.Reader, headOnly bool, most int) ([]byte, packet.ResponseHead, error) {
	for {
		b, _ := in.Peek(in.Buffered())
		head, err := packet.ReadResponseHead(b, headOnly, most)
		if !errors.Is(err, packet.ErrIncomplete) {
			return b, head, err
		}
		if _, err := in.Peek(len(b) + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, head, err
		}
	}
}

// lengthReader reads so many bytes, and takes fewer for an error.
type lengthReader struct {
	in   io.Reader
	left int64
}

func (e *lengthReader) Read(b []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.in.Read(b[:min(int64(len(b)), e.left)])
	if e.left -= int64(n); err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// connBody closes its connection.
type connBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

func (b *connBody) Close() error {
	b.stop()
	return b.conn.Close()
}
