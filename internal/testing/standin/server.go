package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// Server is a uwsgi server that answers each request with the result of a function, and counts requests by body.
type Server struct {
	Address string

	mu   sync.Mutex
	runs map[string]int
}

// NewServer starts a uwsgi server that answers a request with respond of its body.
func NewServer(t testing.TB, respond func(body string) string) *Server {
	ln := Listen(t)
	s := &Server{Address: ln.Addr().String(), runs: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *Server) serve(conn net.Conn, respond func(body string) string) {
	defer conn.Close()
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return
	}
	vars := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(conn, vars); err != nil {
		return
	}
	var n int
	if _, after, found := strings.Cut(string(vars), "CONTENT_LENGTH"); found {
		_, _ = fmt.Sscanf(after[2:], "%d", &n) // a request without a number has no body
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(conn, body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	_, _ = io.WriteString(conn, respond(string(body))) // the peer may have disconnected
}

// Runs returns how often a request with this body was received.
func (s *Server) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}
