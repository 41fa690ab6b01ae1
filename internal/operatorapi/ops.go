// Package operatorapi serves the operators' calls on a second address: a connection carries one line, and the answer is a
// line that begins with ACK or NAK (the operators' page of days in service). It only parses, asks and writes; what a
// call does is the Handler's.
package operatorapi

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
	"sloehitch/internal/platform/limits"
)

// Call is what an operator asks for.
type Call int

// The calls.
const (
	Readyz    Call = iota + 1 // does this process take clients?
	Telemetry                 // the figures, then a line "--"
	Evacuate                  // empty the node: health checks answer bad from now on
	Activate                  // take clients again
)

var names = map[string]Call{"readyz": Readyz, "telemetry": Telemetry, "evacuate": Evacuate, "activate": Activate}

// Parse reads one call. The line may end in "\n" or "\r\n"; case and surrounding blanks count for nothing. It errs on
// an empty line, a word it does not know, or words after the call.
func Parse(line string) (Call, error) {
	words := strings.Fields(line)
	switch {
	case len(words) == 0:
		return 0, errors.New("empty call")
	case len(words) > 1:
		return 0, fmt.Errorf("%q takes no arguments", words[0])
	}
	c, ok := names[strings.ToLower(words[0])]
	if !ok {
		return 0, fmt.Errorf("unknown call %q: readyz, telemetry, evacuate or activate", truncate(words[0], 32))
	}
	return c, nil
}

func truncate(s string, n int) string {
	if len(s) > n {
		return s[:n] + "..."
	}
	return s
}

// Class is what one class of requests came to since the process started.
type Class struct {
	Name                       string
	OK, Shed, Errors, Attempts int // served, refused, failed; runs handed to the runtime
}

// Report are the counts that telemetry shows.
type Report struct {
	Classes                       []Class
	InFlight                      int // requests taken and not yet answered
	ConfigApplied, ConfigRejected int // configuration files taken and turned down at SIGHUP
}

// Append writes the figures in the statsd form of the operators' page, "app.responses.C.ok:812|c" and
// "app.active:14|g", a line each.
func (f Report) Append(b []byte) []byte {
	counter := func(name string, v int) {
		b = append(b, "app."...)
		b = append(b, name...)
		b = append(b, ':')
		b = strconv.AppendInt(b, int64(v), 10)
		b = append(b, "|c\n"...)
	}
	for _, c := range f.Classes {
		counter("responses."+c.Name+".ok", c.OK)
		counter("responses."+c.Name+".shed", c.Shed)
		counter("responses."+c.Name+".errors", c.Errors)
		counter("responses."+c.Name+".tries", c.Attempts)
	}
	b = append(b, "app.active:"...)
	b = strconv.AppendInt(b, int64(f.InFlight), 10)
	b = append(b, "|g\n"...)
	counter("config_applied", f.ConfigApplied)
	counter("config_rejected", f.ConfigRejected)
	return b
}

// Handler does what the calls ask. Its methods must not block for long: each answer is due within a second.
type Handler interface {
	Ready() bool
	Report() Report
	Evacuate()
	Activate()
}

// Server answers operators' calls.
type Server struct {
	h     Handler
	lim   limits.Limits
	log   *slog.Logger
	seats chan struct{}
	extra chan struct{} // of those that found no seat and are being told so

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New returns a server for h.
func New(h Handler, lim limits.Limits, log *slog.Logger) *Server {
	return &Server{h: h, lim: lim, log: log, seats: make(chan struct{}, lim.OperatorConnections), extra: make(chan struct{}, lim.RejectedOperatorConnections()), conns: map[net.Conn]struct{}{}}
}

// Serve answers the calls that come to ln until it is closed; then it closes what is open and returns nil. Each
// connection is served by itself, so a caller that says nothing, or half a call, holds up nobody else; it is let go
// after limits.OpsCall. Beyond limits.OpsSeats at once a caller hears "NAK busy" at once.
func (s *Server) Serve(ln net.Listener) error {
	defer s.closeAll()
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() || isTemporary(err) {
				time.Sleep(s.lim.MinBackoff) // such as no descriptor left: wait a little rather than spin
				continue
			}
			return err
		}
		select {
		case s.seats <- struct{}{}:
			s.track(c, true)
			go s.serve(c)
		default:
			go s.rejectConnection(c)
		}
	}
}

func isTemporary(err error) bool {
	var t interface{ Temporary() bool }
	return errors.As(err, &t) && t.Temporary()
}

func (s *Server) track(c net.Conn, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.conns[c] = struct{}{}
	} else {
		delete(s.conns, c)
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// rejectConnection tells a caller that there is no seat. A few at once get the time to read it; of a crowd beyond that no
// descriptor is held.
func (s *Server) rejectConnection(c net.Conn) {
	defer c.Close()
	s.write(c, []byte("NAK busy: too many operators' connections at once\n"))
	select {
	case s.extra <- struct{}{}:
		gracefulclose.CloseWriteAndDiscard(c, s.lim.CloseTimeout, s.lim.FrameBytes)
		<-s.extra
	default:
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.track(c, false)
		c.Close()
		<-s.seats
	}()
	_ = c.SetReadDeadline(time.Now().Add(s.lim.OperatorCallTimeout))
	line, err := readLine(bufio.NewReaderSize(c, 64), s.lim.OperatorCallBytes)
	if err != nil {
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			s.write(c, []byte("NAK "+err.Error()+"\n"))
			gracefulclose.CloseWriteAndDiscard(c, s.lim.CloseTimeout, s.lim.FrameBytes)
		}
		return // a caller that said nothing in time is let go without a word: it may be gone
	}
	s.write(c, s.Answer(line))
	gracefulclose.CloseWriteAndDiscard(c, s.lim.CloseTimeout, s.lim.FrameBytes)
}

var errLong = errors.New("call too long")

// readLine reads up to and without the newline; a line longer than most bytes is an error.
func readLine(r *bufio.Reader, most int) (string, error) {
	var b []byte
	for {
		piece, err := r.ReadSlice('\n')
		b = append(b, piece...)
		if len(b) > most {
			return "", errLong
		}
		switch {
		case err == nil:
			return string(b[:len(b)-1]), nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return "", err
		}
	}
}

// Answer is what the call in line gets, whole.
func (s *Server) Answer(line string) []byte {
	call, err := Parse(line)
	if err != nil {
		return []byte("NAK " + err.Error() + "\n")
	}
	switch call {
	case Readyz:
		if s.h.Ready() {
			return []byte("ACK ready\n")
		}
		return []byte("NAK not ready: not taking clients\n")
	case Telemetry:
		b := s.h.Report().Append([]byte("ACK\n"))
		return append(b, "--\n"...)
	case Evacuate:
		s.h.Evacuate()
		s.log.Info("evacuate: health checks answer bad from now on")
		return []byte("ACK evacuating\n")
	default:
		s.h.Activate()
		s.log.Info("activate: health checks answer good again")
		return []byte("ACK active\n")
	}
}

func (s *Server) write(c net.Conn, b []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(s.lim.WriteTimeout))
	_, _ = c.Write(b)
}

// Ask makes one call at address and returns the whole answer. It blocks until the node closes the connection or
// the timeout passes; it errs where the call is not one of the four, where the node can't be reached, and where the
// answer begins with NAK (the answer is returned then too).
func Ask(address, call string, timeout time.Duration) (string, error) {
	if _, err := Parse(call); err != nil {
		return "", err
	}
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	if _, err := c.Write([]byte(call + "\n")); err != nil {
		return "", err
	}
	var b strings.Builder
	if _, err := bufio.NewReader(c).WriteTo(&b); err != nil {
		return b.String(), err
	}
	answer := b.String()
	if !strings.HasPrefix(answer, "ACK") {
		return answer, fmt.Errorf("the node says: %s", strings.TrimSpace(answer))
	}
	return answer, nil
}
