package store

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// dialRetryDelay is the delay between two attempts to connect to a member.
const dialRetryDelay = 50 * time.Millisecond

// streamLayer accepts and opens the connections between members. It implements raft.StreamLayer.
type streamLayer struct {
	net.Listener
	verify func(raft.ServerAddress, time.Duration) error
	done   <-chan struct{}
}

// Dial verifies a member and connects to it. It retries until the timeout: raft doubles its backoff with each failed
// connection, up to 10 s, so a member that was unreachable for seconds would otherwise wait as long again once it is
// back.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	for deadline := time.Now().Add(timeout); ; {
		conn, err := l.attempt(address, time.Until(deadline))
		if err == nil {
			return conn, nil
		}
		if time.Until(deadline) < dialRetryDelay {
			return nil, err
		}
		select {
		case <-time.After(dialRetryDelay):
		case <-l.done:
			return nil, err
		}
	}
}

// attempt verifies a member and connects to it.
func (l *streamLayer) attempt(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if err := l.verify(address, timeout); err != nil {
		return nil, err
	}
	return net.DialTimeout("tcp", string(address), timeout)
}
