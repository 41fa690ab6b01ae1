package directory

import (
	"errors"
	"net"
	"syscall"

	"sloehitch/internal/platform/lograte"
)

// sender sends datagrams over a UDP socket. It replaces the socket when the address changes or the socket fails.
type sender struct {
	log     *lograte.Logger
	address string
	conn    net.Conn // nil: no socket could be opened, or the address is empty
}

// send sends a datagram to the address, unless the address is empty.
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
	// A socket that has lost its route to the directory never regains one. It is kept until it can be replaced, since
	// no other socket can be opened during a shortage of descriptors.
	if replacement := s.dial(); replacement != nil {
		s.close()
		s.conn = replacement
	}
}

// dial opens a socket to the address; it returns nil on failure.
func (s *sender) dial() net.Conn {
	conn, err := net.Dial("udp", s.address)
	if err != nil {
		s.log.Warn("cannot open a socket to the directory; the next report tries again", err)
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

// write sends a datagram and reports whether the socket still works. The first error may belong to an earlier
// datagram that the directory's host refused, so a second attempt is made.
func write(conn net.Conn, datagram []byte) bool {
	if _, err := conn.Write(datagram); err == nil {
		return true
	}
	_, err := conn.Write(datagram)
	return err == nil || errors.Is(err, syscall.ECONNREFUSED) // refused: the directory is down, but its host is reachable
}
