// Package uwsgi is a client for applications behind the uwsgi protocol, such as a sloehitch daemon. Bodies and responses are streams.
// Requests with an idempotency key are retried when the server asks for it or can't be reached.
//
// The protocol is that of uWSGI's page "The uwsgi Protocol"; requests carry CGI variables (RFC 3875), responses are HTTP's.
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

// Defaults of Client.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultMaxAttempts   = 4
	defaultBackoff       = 100 * time.Millisecond
	defaultMaxRetryAfter = 30 * time.Second
	defaultMaxHeadBytes  = 64 << 10
)

// Client sends requests to one address. Its zero value with an Address is ready for use. It is safe for concurrent use, and must not
// be changed once it is used.
type Client struct {
	Address string      // host:port, suwsgi://host:port (TLS) or unix:/path
	TLS     *tls.Config // for suwsgi://; nil: the system's authorities

	DialTimeout      time.Duration // of one connection attempt; 0: 2 s
	MaxAttempts      int           // per request, the first included; 0: 4
	Backoff          time.Duration // before a retry without Retry-After, doubling, with jitter; 0: 100 ms
	MaxRetryAfter    time.Duration // longest Retry-After that is waited for; beyond it the response is returned; 0: 30 s
	MaxHeadBytes     int           // of a response's head; 0: 64 KiB
	DeadlineVariable string        // in which the remaining milliseconds are sent, such as HTTP_X_DEADLINE_MS; empty: none
	Modifier         byte          // modifier1; 0 for WSGI
}

// Request is one request.
type Request struct {
	Method string // empty: GET
	Path   string // decoded, such as /book
	Query  string // encoded, without "?"
	Host   string
	Header http.Header
	Vars   map[string]string // further CGI variables; they replace those that follow from the other fields

	// IdempotencyKey is the same for all attempts of one request that must not run twice; it is sent as Idempotency-Key. A request
	// without a key is retried only if no connection was established.
	IdempotencyKey string
	// Body returns the body anew for each attempt; nil: none. Length is its length in bytes, or -1 if it isn't known: then it is
	// sent in chunks.
	Body   func() (io.Reader, error)
	Length int64
}

// TextBody returns a body of these bytes, for Request.Body and Request.Length.
func TextBody(s string) (func() (io.Reader, error), int64) {
	return func() (io.Reader, error) { return strings.NewReader(s), nil }, int64(len(s))
}

// Response is the response to a request. Its Body must be closed. Reading a truncated body returns io.ErrUnexpectedEOF or the
// connection's error, never io.EOF; only where the body ends at the connection's close, truncation without a reset can't be told.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Length   int64 // of the body in bytes; -1: not known
	Attempts int
}

// RetryAfter returns the response's Retry-After, or 0 if there is none. Only the form in seconds is read.
func (r *Response) RetryAfter() time.Duration {
	n, err := strconv.ParseInt(r.Header.Get("Retry-After"), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// orDefault returns v, or the default value if v is 0.
func orDefault[T int | time.Duration](v, defaultValue T) T {
	if v == 0 {
		return defaultValue
	}
	return v
}

// Do sends a request and returns when the response's head has come. The context bounds the whole exchange, the reading of the
// body included. Where it has a deadline, no retry is made that would have to wait past it.
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

// retryDelay says whether a request may be sent once more, and after which time.
//
// A request is retried if no connection was established, or if it has an idempotency key and the server answered 503 or the
// exchange broke, unless the request's own body failed. The delay is the server's Retry-After up to MaxRetryAfter, else
// Backoff × 2^(attempts−1), lengthened at random by up to a half, so that callers that failed together don't retry together.
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

// DialError says that no connection was established: nothing was sent.
type DialError struct{ Err error }

// Error implements error.
func (e *DialError) Error() string { return "uwsgi: no connection: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// BodyError says that the request's body could not be read.
type BodyError struct{ Err error }

// Error implements error.
func (e *BodyError) Error() string { return "uwsgi: the request's body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }
