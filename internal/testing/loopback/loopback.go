// Package loopback finds addresses for processes that are started later, and started again: addresses that nothing else on
// the machine takes meanwhile. A port that the system chose and that was let go again is not one: until the process listens,
// any outgoing connection and any other listener may be given it, and a connection that waits out its end keeps it for a minute.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports below those that systems give to connections of their own accord (32768 and above on Linux, by
// /proc/sys/net/ipv4/ip_local_port_range; 49152 by RFC 6335).
const (
	firstPort = 10000
	ports     = 20000
)

// mostTaken bounds how many ports that others have are passed over.
const mostTaken = 64

// Addresses returns so many distinct addresses on one host of the loopback network, drawn anew at each call: of 127.0.0.0/8
// (RFC 1122, 3.2.1.3), which is the machine's own whole on Linux, and 127.0.0.1 where the system has no other. Each was free.
func Addresses(n int) ([]string, error) {
	found, err := on(fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)), n)
	if err == nil {
		return found, nil
	}
	found, err2 := on("127.0.0.1", n)
	if err2 != nil {
		return nil, errors.Join(err, err2)
	}
	return found, nil
}

// on finds free ports of a host, from a random one on.
func on(host string, n int) (found []string, err error) {
	port := rand.IntN(ports)
	for try := range min(n+mostTaken, ports) {
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+(port+try)%ports))
		var ln net.Listener
		if ln, err = net.Listen("tcp", address); err != nil {
			continue
		}
		ln.Close()
		if found = append(found, address); len(found) == n {
			return found, nil
		}
	}
	return nil, fmt.Errorf("loopback: no %d free ports on %s (%w)", n, host, err)
}
