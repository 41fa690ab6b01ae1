package limits

import (
	"testing"
	"time"
)

// TestDescriptorsSuffice: with every part at its bound at once there is still one left for each link, listener and file that the
// process holds, whatever cap the platform sets.
func TestDescriptorsSuffice(t *testing.T) {
	const (
		own     = 10 // standard streams, epoll and its wake-up, the clients' and the operators' listener, runtime, directory, a configuration being read
		passing = 1  // a connection that is accepted and has no seat yet
	)
	for sockets := 64; sockets <= 4096; sockets++ {
		l := For(64, sockets)
		if all := l.MaxConnections + l.EvictedConnections + l.CatalogueConnections + l.OperatorConnections + l.RejectedOperatorConnections() + own + passing; all > sockets {
			t.Fatalf("%d descriptors of %d: %+v", all, sockets, l)
		}
		if l.MaxConnections < sockets/2 {
			t.Fatalf("%d connections of %d descriptors: balancers may open half", l.MaxConnections, sockets)
		}
	}
}

// TestReadyInTime: however the runtime is missed, late, gone or silent, its link is dialled again early enough for a process to be
// ready within 10 s of its start.
func TestReadyInTime(t *testing.T) {
	l := For(32, 64)
	const within = 10 * time.Second
	for what, span := range map[string]time.Duration{
		"refused until it comes":      l.MaxBackoff + l.DialTimeout,
		"no answer to the dialling":   l.DialTimeout + l.MaxBackoff + l.DialTimeout,
		"taken, and never ready":      l.RuntimeReadyTimeout + l.MinBackoff + l.DialTimeout,
		"silent once up, then a late": 2*l.RuntimeSilence + l.MinBackoff + l.DialTimeout,
	} {
		if span > within-2*time.Second { // the rest is for the process to start
			t.Errorf("%s: dialled again after up to %v", what, span)
		}
	}
}
