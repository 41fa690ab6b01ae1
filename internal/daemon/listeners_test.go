package daemon

import (
	"net"
	"os"
	"sloehitch/internal/platform/limits"
	"syscall"
	"testing"
)

// TestAnAddressThatIsNotFreeYet checks that listening is retried after transient errors until the timeout, and fails at once after others.
func TestAnAddressThatIsNotFreeYet(t *testing.T) {
	lim := limits.For(64, 256)
	tries := 0
	ln, err := listenWithRetry(lim, func() (net.Listener, error) {
		if tries++; tries < 4 {
			errno := []syscall.Errno{syscall.EADDRINUSE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL}[tries]
			return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}
		}
		return net.Listen("tcp", "127.0.0.1:0")
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	tries = 0
	if _, err := listenWithRetry(lim, func() (net.Listener, error) { tries++; return nil, syscall.EACCES }); err == nil || tries != 1 {
		t.Errorf("%v after %d attempts, want an error at the first", err, tries)
	}
	lim.CommitTimeout = 0
	if _, err := listenWithRetry(lim, func() (net.Listener, error) { return nil, syscall.EADDRINUSE }); err == nil {
		t.Error("no error after the timeout")
	}
}
