package linkproxy

import (
	"errors"
	"io"
	"net"
)

// reset closes a connection with a TCP reset instead of a FIN.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection has already ended
	}
	c.Close()
}

// closeWrite shuts down the sending side of a connection.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only if the connection has already ended
	}
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
