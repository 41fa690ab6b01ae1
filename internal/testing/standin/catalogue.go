package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
)

// NewCatalogue starts a stand-in for the catalogue that calls reply to answer each fetch, and returns its address.
func NewCatalogue(t testing.TB, reply func(id string, c net.Conn)) string {
	ln := Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					var id string
					var ms, n int
					if _, err := fmt.Sscanf(line, "FETCH %s %d %d", &id, &ms, &n); err != nil {
						continue
					}
					if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
						return
					}
					reply(id, c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}
