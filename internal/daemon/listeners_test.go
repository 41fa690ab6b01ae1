package daemon

import (
	"net"
	"os"
	"syscall"
	"testing"

	"sloehitch/internal/platform/limits"
)

// TestListenWithRetryRetriesTransientErrors checks that listening is retried after transient errors until the timeout, and fails at
// once after others.
func TestListenWithRetryRetriesTransientErrors(t *testing.T) {
	lim := limits.For(64, 256)
	attempts := 0
	ln, err := listenWithRetry(lim, func() (net.Listener, error) {
		if attempts++; attempts < 4 {
			errno := []syscall.Errno{syscall.EADDRINUSE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL}[attempts]
			return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}
		}
		return net.Listen("tcp", "127.0.0.1:0")
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	attempts = 0
	if _, err := listenWithRetry(lim, func() (net.Listener, error) { attempts++; return nil, syscall.EACCES }); err == nil || attempts != 1 {
		t.Errorf("%v after %d attempts, want an error at the first", err, attempts)
	}
	lim.CommitTimeout = 0
	if _, err := listenWithRetry(lim, func() (net.Listener, error) { return nil, syscall.EADDRINUSE }); err == nil {
		t.Error("no error after the timeout")
	}
}
