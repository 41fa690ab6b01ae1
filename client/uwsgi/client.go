// Package uwsgi is a client for servers that speak the uwsgi protocol, such as a sloehitch daemon. It streams the bodies of
// requests and responses. Requests with an idempotency key are retried if the server answers 503 or the exchange fails.
//
// The protocol is specified in uWSGI's document "The uwsgi Protocol". Requests carry CGI variables (RFC 3875); responses are HTTP
// responses.
package uwsgi

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sloehitch/internal/platform/endpoint"
)

// Default values of Client's fields.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultMaxAttempts   = 4
	defaultBackoff       = 100 * time.Millisecond
	defaultMaxRetryAfter = 30 * time.Second
	defaultMaxHeadBytes  = 64 << 10
)

// Client sends requests to one address. Only Address must be set. A Client is safe for concurrent use, and must not be changed once
// it is in use.
type Client struct {
	Address string      // host:port, suwsgi://host:port (TLS) or unix:/path
	TLS     *tls.Config // for suwsgi://; nil: the system's certificate authorities

	DialTimeout      time.Duration // of one connection attempt; 0: 2 s
	MaxAttempts      int           // per request, including the first; 0: 4
	Backoff          time.Duration // delay before the first retry without Retry-After, doubled for each further retry, plus jitter; 0: 100 ms
	MaxRetryAfter    time.Duration // longest Retry-After to wait for; a response with a longer one is returned; 0: 30 s
	MaxHeadBytes     int           // limit on the size of a response head; 0: 64 KiB
	DeadlineVariable string        // variable for the remaining time in milliseconds, such as HTTP_X_DEADLINE_MS; empty: none
	Modifier         byte          // modifier1; 0 for WSGI
}

// Request is a request to a uwsgi server.
type Request struct {
	Method string // empty: GET
	Path   string // decoded, such as /book
	Query  string // encoded, without "?"
	Host   string
	Header http.Header
	Vars   map[string]string // additional CGI variables; they override those derived from the other fields

	// IdempotencyKey identifies a request that must not run twice, and is the same for all its attempts. It is sent as
	// Idempotency-Key. A request without a key is retried only if no connection was established.
	IdempotencyKey string
	// Body returns a new reader of the body for each attempt; nil: no body. Length is the body's length in bytes, or -1 if it isn't
	// known: then the body is sent in chunked encoding.
	Body   func() (io.Reader, error)
	Length int64
}

// TextBody returns values for Request.Body and Request.Length that send s as the body.
func TextBody(s string) (func() (io.Reader, error), int64) {
	return func() (io.Reader, error) { return strings.NewReader(s), nil }, int64(len(s))
}

// Response is the response to a request. Its Body must be closed. Reading a truncated body returns io.ErrUnexpectedEOF or the
// connection's error, and not io.EOF. The exception is a body that ends when the connection is closed: it can be truncated without
// an error unless the connection is reset.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Length   int64 // of the body in bytes; -1 if not known
	Attempts int
}

// RetryAfter returns the response's Retry-After, or 0 if there is none. It supports only the form in seconds.
func (r *Response) RetryAfter() time.Duration {
	n, err := strconv.ParseInt(r.Header.Get("Retry-After"), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// orDefault returns v, or defaultValue if v is 0.
func orDefault[T int | time.Duration](v, defaultValue T) T {
	if v == 0 {
		return defaultValue
	}
	return v
}

// Do sends a request, with retries, and returns when the response head has been received. The context applies to the whole
// exchange, including reading the response body. No retry is made whose delay would exceed the context's deadline.
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
		wait, retry := c.retryDelay(r, n, resp, err)
		if !retry || ctx.Err() != nil {
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

// retryDelay returns the delay before the next attempt, and whether another attempt may be made.
//
// A request is retried if no connection was established, or if it has an idempotency key and the server answered 503 or the
// exchange failed, unless the request's own body failed. The delay is the server's Retry-After up to MaxRetryAfter, or else
// Backoff × 2^(attempts−1), extended at random by up to a half, so that clients that failed together don't retry together.
func (c *Client) retryDelay(r *Request, attempts int, resp *Response, err error) (time.Duration, bool) {
	if attempts >= orDefault(c.MaxAttempts, defaultMaxAttempts) {
		return 0, false
	}
	backoff := orDefault(c.Backoff, defaultBackoff) << (attempts - 1)
	backoff += time.Duration(rand.Int64N(int64(backoff)/2 + 1))
	var dialErr *DialError
	switch {
	case err == nil && resp.Status == http.StatusServiceUnavailable && r.IdempotencyKey != "":
		if retryAfter := resp.RetryAfter(); retryAfter > 0 {
			return retryAfter, retryAfter <= orDefault(c.MaxRetryAfter, defaultMaxRetryAfter)
		}
		return backoff, true
	case err == nil:
		return 0, false
	case errors.As(err, &dialErr):
		return backoff, true
	}
	var bodyErr *BodyError
	return backoff, r.IdempotencyKey != "" && !errors.As(err, &bodyErr)
}

// DialError is returned if no connection was established, so that nothing was sent.
type DialError struct{ Err error }

// Error implements error.
func (e *DialError) Error() string { return "uwsgi: cannot connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// BodyError is returned if the request body could not be read.
type BodyError struct{ Err error }

// Error implements error.
func (e *BodyError) Error() string { return "uwsgi: cannot read the request body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }
