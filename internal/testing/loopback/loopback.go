// Package loopback finds addresses for processes that are started later, or restarted: addresses that nothing else on the machine uses
// meanwhile. A port that the system assigned and that was released again is not suitable: until the process listens, the system may assign
// it to any outgoing connection or listener, and a connection in TIME_WAIT keeps it for a minute.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// The range of ports is below those that systems assign to connections themselves (from 32768 on Linux, by
// /proc/sys/net/ipv4/ip_local_port_range; from 49152 by RFC 6335).
const (
	firstPort = 10000
	ports     = 20000
)

// mostTaken bounds the number of ports in use that are skipped.
const mostTaken = 64

// Addresses returns n distinct free addresses on one host of the loopback network. Each call draws a host from 127.0.0.0/8 (RFC 1122,
// 3.2.1.3), which is entirely local on Linux, and uses 127.0.0.1 if the system has no other loopback address.
func Addresses(n int) ([]string, error) {
	found, err := freePorts(fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)), n)
	if err == nil {
		return found, nil
	}
	found, err2 := freePorts("127.0.0.1", n)
	if err2 != nil {
		return nil, errors.Join(err, err2)
	}
	return found, nil
}

// freePorts finds n free ports of a host, starting at a random one.
func freePorts(host string, n int) (found []string, err error) {
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
	return nil, fmt.Errorf("loopback: could not find %d free ports on %s (%w)", n, host, err)
}
