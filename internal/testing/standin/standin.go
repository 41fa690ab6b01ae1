// Package standin has stand-ins for the peers of a node, for tests: a runtime, a catalogue, load balancers, uwsgi servers and clients, and
// a configuration that names them. Each stand-in is closed at the end of its test.
package standin

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"sloehitch/internal/testing/loopback"
)

// WaitTimeout bounds each wait in a test; only a failing test waits that long.
const WaitTimeout = 20 * time.Second

// DiscardLogger is a logger that discards everything.
var DiscardLogger = slog.New(slog.DiscardHandler)

// Listen listens on a free port until the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// FreeAddress returns a free address for a server that is started, or restarted, later in the test. The system does not assign its port to
// other sockets meanwhile.
func FreeAddress(t testing.TB) string {
	t.Helper()
	found, err := loopback.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return found[0]
}
