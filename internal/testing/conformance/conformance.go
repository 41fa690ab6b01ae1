// Package conformance is a black-box test suite for servers of the uwsgi protocol. Each case has a script of bytes to send and a class of
// permitted answers, and names the part of the published protocol, of CGI, HTTP or TCP that requires it.
package conformance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"sync"
	"syscall"
	"time"

	client "sloehitch/client/uwsgi"
	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/testing/scriptedpeer"
)

// Want is the class of answers that a case permits.
type Want string

// The classes of answers.
const (
	Served  Want = "served"  // a well-formed response of a status below 400 and, from an application that echoes, the body
	Refused Want = "refused" // a well-formed response of a status of 400 or above, or the end of the connection without a byte
	Either  Want = "either"  // Served or Refused: the protocol leaves it open, or not all servers do what it requires
	Pong    Want = "pong"    // the answer to a ping, or the end of the connection without a byte
	Quiet   Want = "quiet"   // the end of the connection without a byte, or a response of a status of 400 or above
)

// Case is one test case.
type Case struct {
	Name  string              `json:"name"` // group/name
	From  string              `json:"from"` // the part of the specification
	Steps scriptedpeer.Script `json:"-"`
	Want  Want                `json:"want"`
	Echo  string              `json:"-"` // the request's body as the application must receive it if the request is served
	Head  bool                `json:"-"` // the request is a HEAD
	Times int                 `json:"-"` // number of concurrent executions; 0: one
}

// Target is the server under test.
type Target struct {
	Address endpoint.Endpoint
	Path    string        // path of an application that answers 200 to all methods
	Echo    bool          // the application answers with the request's body
	Timeout time.Duration // timeout of a case; a server that has not answered by then fails it
}

// Result is the result of a case.
type Result struct {
	Case
	Passed bool          `json:"passed"`
	Why    string        `json:"why,omitempty"`
	Got    string        `json:"got,omitempty"` // the first bytes of a wrong answer
	Took   time.Duration `json:"took_ns"`
}

// Reach sends one ordinary request, so that a wrong address or path is reported as such, instead of as two hundred failed cases.
func (t Target) Reach(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout)
	defer cancel()
	c := client.Client{Address: t.Address.String(), MaxAttempts: 1}
	resp, err := c.Do(ctx, &client.Request{Path: t.Path, Host: "localhost"})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Status >= 400 {
		return fmt.Errorf("GET %s was answered with status %d; set --path to an application that answers 200", t.Path, resp.Status)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<20))
	return err
}

// Run runs the cases whose names match run, or all cases if run is nil, atOnce of them concurrently. It returns the results in the order of
// the cases.
func Run(t Target, run *regexp.Regexp, atOnce int) []Result {
	var list []Case
	for _, c := range Cases(t.Path) {
		if run == nil || run.MatchString(c.Name) {
			list = append(list, c)
		}
	}
	results := make([]Result, len(list))
	semaphore := make(chan struct{}, max(1, atOnce))
	var wait sync.WaitGroup
	for i, c := range list {
		wait.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i] = t.runCase(c)
		})
	}
	wait.Wait()
	return results
}

func (t Target) runCase(c Case) Result {
	began := time.Now()
	r := Result{Case: c}
	errs := make(chan error, max(1, c.Times))
	var got []byte
	var mu sync.Mutex
	for range cap(errs) {
		go func() {
			b, err := t.exchange(c)
			if err != nil {
				mu.Lock()
				got = b
				mu.Unlock()
			}
			errs <- err
		}()
	}
	var err error
	for range cap(errs) {
		err = errors.Join(err, <-errs)
	}
	r.Took = time.Since(began)
	if r.Passed = err == nil; !r.Passed {
		r.Why, r.Got = err.Error(), fmt.Sprintf("%.120q", got)
	}
	return r
}

// exchange runs a case on one connection and checks the answer.
func (t Target) exchange(c Case) (got []byte, err error) {
	conn, err := net.DialTimeout(t.Address.Network, t.Address.Address, t.Timeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(t.Timeout)); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() { // concurrent, because a server may answer before everything is sent
		defer close(done)
		_, _ = c.Steps.Play(conn) // an early close by the server shows when its answer is read
	}()
	got, readErr := io.ReadAll(io.LimitReader(conn, 4<<20))
	if errors.Is(readErr, os.ErrDeadlineExceeded) {
		return got, errors.New("the server neither answered completely nor closed the connection before the timeout")
	}
	conn.Close()
	<-done
	reset := errors.Is(readErr, syscall.ECONNRESET)
	if readErr != nil && !reset {
		return got, readErr
	}
	return got, t.check(c, got, reset)
}

// check returns what is wrong with an answer, or nil.
func (t Target) check(c Case, got []byte, reset bool) error {
	if len(got) == 0 {
		if c.Want == Served {
			return errors.New("the server closed the connection without an answer")
		}
		return nil
	}
	if c.Want == Pong || got[0] == packet.Ping {
		if c.Want != Pong || !bytes.Equal(got, packet.Pong.Append(nil)) {
			return errors.New("the response is not the answer to a ping, or is one without a ping")
		}
		return nil
	}
	head, body, err := readResponse(got, c.Head, reset)
	if err != nil {
		return err
	}
	refused := head.Status >= 400
	switch c.Want {
	case Refused, Quiet:
		if !refused {
			return fmt.Errorf("the request was served with status %d, want a status of 400 or above", head.Status)
		}
	case Served:
		if refused {
			return fmt.Errorf("the request was refused with status %d, want a status below 400", head.Status)
		}
	}
	if t.Echo && !refused && !c.Head && string(body) != c.Echo {
		return fmt.Errorf("the application echoed %d bytes that are not the request's body of %d bytes", len(body), len(c.Echo))
	}
	return nil
}

// readResponse parses one complete response and decodes its body. Bytes after the response are an error.
func readResponse(b []byte, headOnly, reset bool) (head packet.ResponseHead, body []byte, err error) {
	for {
		if head, err = packet.ReadResponseHead(b, headOnly, 64<<10); err != nil {
			return head, nil, err
		}
		b = b[head.Size:]
		if head.Status >= 200 {
			break
		}
	}
	rest := head.BodyScanner()
	n, done, err := rest.Scan(b)
	switch {
	case err != nil:
		return head, nil, err
	case !done && !rest.EndsAtClose():
		return head, nil, fmt.Errorf("the response's body is truncated after %d bytes", n)
	case rest.EndsAtClose() && reset:
		return head, nil, errors.New("the connection was reset within a response body that ends at the close of the connection")
	case n < len(b):
		return head, nil, fmt.Errorf("%d bytes follow the response", len(b)-n)
	}
	if body = b[:n]; head.Body.Chunked {
		body, err = decodeChunks(body)
	}
	return head, body, err
}

// decodeChunks decodes a chunked body that was scanned without an error.
func decodeChunks(b []byte) (data []byte, err error) {
	for {
		line, rest, _ := bytes.Cut(b, []byte("\r\n"))
		digits, _, _ := bytes.Cut(line, []byte(";"))
		var n int
		if _, err := fmt.Sscanf(string(digits), "%x", &n); err != nil {
			return nil, err
		}
		if n == 0 {
			return data, nil
		}
		data = append(data, rest[:n]...)
		b = rest[n+2:]
	}
}
