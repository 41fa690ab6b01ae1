package limits

import (
	"testing"
	"time"
)

// TestDescriptorsSuffice checks for every cap of the platform that, with all parts at their limits, enough descriptors remain for the
// links, listeners and files of the process.
func TestDescriptorsSuffice(t *testing.T) {
	const (
		fixed       = 10 // standard streams, epoll and its wake-up, the clients' and the operators' listener, runtime, directory, a configuration being read
		withoutSlot = 1  // an accepted connection that has no slot yet
	)
	for sockets := 64; sockets <= 4096; sockets++ {
		l := For(64, sockets)
		if all := l.MaxConnections + l.EvictedConnections + l.CatalogueConnections + l.OperatorConnections + l.RejectedOperatorConnections() + fixed + withoutSlot; all > sockets {
			t.Fatalf("up to %d descriptors in use, of %d: %+v", all, sockets, l)
		}
		if l.MaxConnections < sockets/2 {
			t.Fatalf("MaxConnections %d for %d descriptors is less than the half that balancers may open", l.MaxConnections, sockets)
		}
	}
}

// TestRuntimeRedialedWithinReadyTime checks that the runtime is dialed again early enough for a process to be ready within 10 s of
// its start, whether the runtime starts late, does not answer, or falls silent.
func TestRuntimeRedialedWithinReadyTime(t *testing.T) {
	l := For(32, 64)
	const within = 10 * time.Second
	for name, delay := range map[string]time.Duration{
		"refused until it is up": l.MaxBackoff + l.DialTimeout,
		"no answer to the dial":  l.DialTimeout + l.MaxBackoff + l.DialTimeout,
		"connected, never ready": l.RuntimeReadyTimeout + l.MinBackoff + l.DialTimeout,
		"silent after it was up": 2*l.RuntimeSilence + l.MinBackoff + l.DialTimeout,
	} {
		if delay > within-2*time.Second { // the rest is for the process to start
			t.Errorf("%s: dialed again after up to %v", name, delay)
		}
	}
}
