package directory

import (
	"errors"
	"net"
	"syscall"

	"sloehitch/internal/platform/lograte"
)

// sender sends datagrams over a UDP socket that it opens, and replaces when the address changes or the socket
// fails.
type sender struct {
	log     *lograte.Logger
	address string
	conn    net.Conn // nil: none could be opened, or there is no address
}

// send sends a datagram to the address, if there is one.
func (s *sender) send(address string, datagram []byte) {
	if address != s.address {
		s.close()
	}
	s.address = address
	if s.conn == nil && address != "" {
		s.conn = s.dial()
	}
	if s.conn == nil || write(s.conn, datagram) {
		return
	}
	// A socket that has lost its route to the directory never finds one again. It is kept until it can be
	// replaced: under a shortage of descriptors it is the only one.
	if replacement := s.dial(); replacement != nil {
		s.close()
		s.conn = replacement
	}
}

// dial opens a socket to the address; nil if it can't.
func (s *sender) dial() net.Conn {
	conn, err := net.Dial("udp", s.address)
	if err != nil {
		s.log.Warn("directory can't be reached; the next report tries again", err)
		return nil
	}
	return conn
}

func (s *sender) close() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// write sends a datagram and reports whether the socket still works. The first error may be that of an
// earlier datagram, which the directory's host refused: the second attempt's error is its own.
func write(conn net.Conn, datagram []byte) bool {
	if _, err := conn.Write(datagram); err == nil {
		return true
	}
	_, err := conn.Write(datagram)
	return err == nil || errors.Is(err, syscall.ECONNREFUSED) // the directory is down; the route to it works
}
