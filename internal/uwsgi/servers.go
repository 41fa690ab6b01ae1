package uwsgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/gate"
	"sloehitch/internal/limits"
	"sloehitch/internal/lograte"
	"sloehitch/logic"
)

// Events are where runs tell how they went.
type Events interface {
	Ended(id string, o gate.Outcome, took time.Duration, result []byte)
}

// Servers runs requests on uwsgi servers, in turn. It is a runner of work for the core.
type Servers struct {
	limits limits.Limits
	log    *lograte.Logger
	events Events

	mu        sync.Mutex
	addresses []string
	next      int
	runs      map[string]*exchange
}

// exchange is one run: at most one server ever gets its bytes.
type exchange struct {
	conn    net.Conn
	stopped bool
}

// NewServers returns a runner on servers at these addresses. Serve must be called before it gets work.
func NewServers(addresses []string, l limits.Limits, log *slog.Logger) *Servers {
	return &Servers{addresses: addresses, limits: l, log: lograte.New(log, l.LogEvery), runs: map[string]*exchange{}}
}

// Serve names where runs are reported.
func (s *Servers) Serve(events Events) { s.events = events }

// Use takes work to servers at these addresses from now on.
func (s *Servers) Use(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
}

// Start runs a request: body is its packet, sent as it came.
func (s *Servers) Start(id, _ string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &exchange{}
	s.runs[id] = x
	n := len(s.addresses)
	order := make([]string, n)
	for i := range order {
		order[i] = s.addresses[(s.next+i)%n]
	}
	s.next++
	go s.run(id, x, order, body)
}

// Stop ends a run whose answer is wanted no more. uwsgi knows no pause.
func (s *Servers) Stop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.runs[id]; x != nil {
		x.stopped = true
		if x.conn != nil {
			x.conn.Close()
		}
	}
}

// Continue, Give and Omit belong to runs that pause and call; uwsgi's do neither.
func (s *Servers) Continue(string) {}

// Give does nothing: see Continue.
func (s *Servers) Give(string, []byte) {}

// Omit does nothing: see Continue.
func (s *Servers) Omit(string, uint64) {}

func (s *Servers) run(id string, x *exchange, addresses []string, body []byte) {
	began := time.Now()
	outcome, result := logic.Unreachable, []byte(nil)
	conn, err := s.dial(x, addresses)
	if err == nil {
		outcome = logic.OK
		if result, err = s.exchange(conn, body); err != nil {
			outcome = logic.Failed // it may have run
		}
		conn.Close()
	}
	s.mu.Lock()
	delete(s.runs, id)
	stopped := x.stopped
	s.mu.Unlock()
	switch {
	case outcome == logic.Unreachable:
		outcome = logic.Moot // no server got a byte of it: it never ran
		s.log.Warn("no uwsgi server reached", err)
	case err != nil && stopped:
		outcome = logic.Cancelled
	case err != nil:
		s.log.Warn("uwsgi run failed", err)
	}
	s.events.Ended(id, outcome, time.Since(began), result)
}

// dial tries each server once. A connection that failed proves that nothing ran there, so the next may be tried.
func (s *Servers) dial(x *exchange, addresses []string) (conn net.Conn, err error) {
	err = errors.New("no servers configured")
	for _, address := range addresses {
		if conn, err = net.DialTimeout("tcp", address, s.limits.Dial); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if x.stopped {
				conn.Close()
				return nil, net.ErrClosed
			}
			x.conn = conn
			return conn, nil
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			s.log.Warn("uwsgi server not reached", err)
		}
	}
	return nil, err
}

// exchange sends a request and reads the response, which ends with the connection.
func (s *Servers) exchange(conn net.Conn, body []byte) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(s.limits.Write)); err != nil {
		return nil, err
	}
	if _, err := conn.Write(body); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(s.limits.Exchange)); err != nil {
		return nil, err
	}
	result, err := io.ReadAll(io.LimitReader(conn, int64(s.limits.Response)+1))
	if err != nil {
		return nil, err
	}
	if len(result) > s.limits.Response {
		return nil, errors.New("response beyond the limits")
	}
	return result, checkResponse(result, isHead(body), s.limits.HTTPHead)
}

// checkResponse says whether a response is whole: half of one must not be passed on as an answer.
// The response to a HEAD tells the length of a body that it doesn't have.
func checkResponse(b []byte, headOnly bool, mostHead int) error {
	head, body, found := bytes.Cut(b, []byte("\r\n\r\n"))
	if !found || len(head) > mostHead {
		return errors.New("response without a whole head")
	}
	status, rest, _ := strings.Cut(string(head), "\r\n")
	fields := strings.SplitN(status, " ", 3)
	if code, err := strconv.Atoi(at(fields, 1)); !strings.HasPrefix(status, "HTTP/1.") || err != nil || code < 100 || code > 599 {
		return fmt.Errorf("bad status line %.60q", status)
	}
	for line := range strings.SplitSeq(rest, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		if textproto.CanonicalMIMEHeaderKey(name) != "Content-Length" {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err != nil || n != len(body) && !headOnly {
			return fmt.Errorf("a body of %d bytes under Content-Length %.20q", len(body), value)
		}
	}
	return nil
}

// isHead says whether a packet asks with HEAD.
func isHead(packet []byte) bool {
	return bytes.Contains(packet, []byte("\x0e\x00REQUEST_METHOD\x04\x00HEAD"))
}

func at(fields []string, i int) string {
	if i < len(fields) {
		return fields[i]
	}
	return ""
}
