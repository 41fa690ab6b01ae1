// Package operatorapi serves the operators' calls on a second address: a connection carries one line, and the answer is a
// line that begins with ACK or NAK (the operators' page of days in service). It only parses, asks and writes; what a
// call does is the Handler's.
package operatorapi

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
	"sloehitch/internal/platform/limits"
)

// Handler carries out the calls. Its methods must not block for long: each answer is due within a second.
type Handler interface {
	Ready() bool    // whether the node takes clients
	Report() Report // its counts
	Evacuate()      // have health checks fail
	Activate()      // have them succeed again
}

// Server answers operators' calls.
type Server struct {
	handler   Handler
	limits    limits.Limits
	log       *slog.Logger
	slots     chan struct{} // one for each connection that is served
	rejecting chan struct{} // one for each connection beyond them that is told so

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New returns a server for h.
func New(h Handler, lim limits.Limits, log *slog.Logger) *Server {
	return &Server{
		handler:   h,
		limits:    lim,
		log:       log,
		slots:     make(chan struct{}, lim.OperatorConnections),
		rejecting: make(chan struct{}, lim.RejectedOperatorConnections()),
		conns:     map[net.Conn]struct{}{},
	}
}

// Serve answers the calls that arrive on ln until ln is closed; then it closes the open connections and returns nil. Each connection is served by a
// goroutine of its own, so that an incomplete call delays no other; it is closed after limits.OperatorCallTimeout. Connections beyond
// limits.OperatorConnections are answered "NAK busy" at once.
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
				time.Sleep(s.limits.MinBackoff) // such as too many open descriptors
				continue
			}
			return err
		}
		select {
		case s.slots <- struct{}{}:
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

// rejectConnection answers a connection for which there is no slot. A few at once get the time to read the answer; further ones are closed at once, so
// that they hold no descriptors.
func (s *Server) rejectConnection(c net.Conn) {
	defer c.Close()
	s.write(c, []byte("NAK busy: too many operators' connections at once\n"))
	select {
	case s.rejecting <- struct{}{}:
		gracefulclose.CloseWriteAndDiscard(c, s.limits.CloseTimeout, s.limits.FrameBytes)
		<-s.rejecting
	default:
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.track(c, false)
		c.Close()
		<-s.slots
	}()
	_ = c.SetReadDeadline(time.Now().Add(s.limits.OperatorCallTimeout))
	line, err := readLine(bufio.NewReaderSize(c, 64), s.limits.OperatorCallBytes)
	if err != nil {
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			s.write(c, []byte("NAK "+err.Error()+"\n"))
			gracefulclose.CloseWriteAndDiscard(c, s.limits.CloseTimeout, s.limits.FrameBytes)
		}
		return // nothing arrived in time: the caller may have left
	}
	s.write(c, s.Answer(line))
	gracefulclose.CloseWriteAndDiscard(c, s.limits.CloseTimeout, s.limits.FrameBytes)
}

// errLong means that a call is longer than limits.OperatorCallBytes.
var errLong = errors.New("call too long")

// readLine reads up to and without the newline; a line longer than maxBytes is an error.
func readLine(r *bufio.Reader, maxBytes int) (string, error) {
	var b []byte
	for {
		piece, err := r.ReadSlice('\n')
		b = append(b, piece...)
		if len(b) > maxBytes {
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

// Answer carries out the call in line and returns the whole answer.
func (s *Server) Answer(line string) []byte {
	call, err := Parse(line)
	if err != nil {
		return []byte("NAK " + err.Error() + "\n")
	}
	switch call {
	case Readyz:
		if s.handler.Ready() {
			return []byte("ACK ready\n")
		}
		return []byte("NAK not ready: not taking clients\n")
	case Telemetry:
		b := s.handler.Report().Append([]byte("ACK\n"))
		return append(b, "--\n"...)
	case Evacuate:
		s.handler.Evacuate()
		s.log.Info("evacuated; health checks fail until activate")
		return []byte("ACK evacuating\n")
	default:
		s.handler.Activate()
		s.log.Info("activated; health checks succeed again")
		return []byte("ACK active\n")
	}
}

func (s *Server) write(c net.Conn, b []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	_, _ = c.Write(b)
}
