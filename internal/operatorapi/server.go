// Package operatorapi serves the operators' calls on a separate address: a connection carries one line, and the answer
// begins with a line that starts with ACK or NAK (operators' documentation, the page on days in service). The package
// parses calls and writes answers; a Handler carries the calls out.
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

// Handler carries out the calls. Its methods must not block for long, since each answer is due within a second.
type Handler interface {
	Ready() bool    // reports whether the node accepts clients
	Report() Report // returns the node's counters
	Evacuate()      // makes health checks fail
	Activate()      // makes health checks succeed again
}

// Server answers operators' calls.
type Server struct {
	handler   Handler
	limits    limits.Limits
	log       *slog.Logger
	slots     chan struct{} // holds one element for each connection that is served
	rejecting chan struct{} // holds one element for each rejected connection that may still read its answer

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New returns a server that passes calls to h.
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

// Serve answers the calls that arrive on ln until ln is closed; then it closes the open connections and returns nil. Each
// connection is served by its own goroutine, so that an incomplete call delays no other, and is closed if its call is not
// complete within limits.OperatorCallTimeout. Connections beyond limits.OperatorConnections are answered "NAK busy" at once.
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
				time.Sleep(s.limits.MinBackoff) // a temporary error, such as too many open file descriptors
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

// rejectConnection answers a connection for which there is no slot. A few connections at a time are given time to read the
// answer; further ones are closed at once, so that they hold no file descriptors.
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
		return // no complete call arrived in time: the caller may be gone
	}
	s.write(c, s.Answer(line))
	gracefulclose.CloseWriteAndDiscard(c, s.limits.CloseTimeout, s.limits.FrameBytes)
}

// errCallTooLong is returned for a call that is longer than limits.OperatorCallBytes.
var errCallTooLong = errors.New("call too long")

// readLine reads a line and returns it without the newline. It returns errCallTooLong for a line longer than maxBytes.
func readLine(r *bufio.Reader, maxBytes int) (string, error) {
	var b []byte
	for {
		piece, err := r.ReadSlice('\n')
		b = append(b, piece...)
		if len(b) > maxBytes {
			return "", errCallTooLong
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

// Answer carries out the call in line and returns the complete answer.
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
		s.log.Info("evacuated by an operator's call; health checks fail until activate is called")
		return []byte("ACK evacuating\n")
	default:
		s.handler.Activate()
		s.log.Info("activated by an operator's call; health checks succeed again")
		return []byte("ACK active\n")
	}
}

func (s *Server) write(c net.Conn, b []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	_, _ = c.Write(b)
}
