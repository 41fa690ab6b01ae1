package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/sockerr"
)

// listeners are the daemon's listeners, which shutdown closes.
type listeners struct {
	mu     sync.Mutex
	all    []net.Listener
	closed bool
}

// add registers a listener. After closeAll it closes the listener at once and returns false.
func (l *listeners) add(ln net.Listener) (open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		ln.Close()
		return false
	}
	l.all = append(l.all, ln)
	return true
}

// closeAll closes all listeners, and those that are added later.
func (l *listeners) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, ln := range l.all {
		ln.Close()
	}
}

func (l *listeners) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// clientListener returns the listener for balancers. If $GW_ACCEPT_FD is set, it is the descriptor that the platform passes, so
// that an old and a new process accept from the same queue while one replaces the other. Otherwise it is a new socket on address.
func (d *Daemon) clientListener(address string) (net.Listener, error) {
	text := os.Getenv("GW_ACCEPT_FD")
	if text == "" {
		return d.listenOn(address)
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("GW_ACCEPT_FD: %q is not a file descriptor above 2", text)
	}
	f := os.NewFile(uintptr(fd), "clients")
	ln, err := net.FileListener(f) // duplicates the descriptor, so that closing the listener leaves the platform's open
	f.Close()
	if err != nil {
		return nil, fmt.Errorf("GW_ACCEPT_FD %d: %w", fd, err)
	}
	d.log.Info("accepting clients from the inherited listener", "descriptor", fd, "address", ln.Addr().String())
	return ln, nil
}

// listenOn listens on a TCP address with listenWithRetry.
func (d *Daemon) listenOn(address string) (net.Listener, error) {
	return listenWithRetry(d.limits, func() (net.Listener, error) { return net.Listen("tcp", address) })
}

// listenWithRetry retries transient errors for limits.CommitTimeout, because the platform would take a process that exits at once
// for one that cannot start.
func listenWithRetry(l limits.Limits, listen func() (net.Listener, error)) (net.Listener, error) {
	for end := time.Now().Add(l.CommitTimeout); ; time.Sleep(l.MinBackoff) {
		ln, err := listen()
		if err == nil || !sockerr.IsTransientListen(err) || time.Now().After(end) {
			return ln, err
		}
	}
}

// serveOn listens and serves in the background. If this process replaces another one that still uses the address, it retries in the
// background until the address is free, so that clients do not have to wait.
func (d *Daemon) serveOn(what string, listen func() (net.Listener, error), serve func(net.Listener) error) error {
	ln, err := listen()
	if errors.Is(err, syscall.EADDRINUSE) && listenerInherited() {
		d.log.Info("address in use; waiting for the replaced process to release it", "for", what, "error", err)
		go d.serveWhenFree(what, listen, serve)
		return nil
	}
	if err != nil {
		return err
	}
	if d.listeners.add(ln) {
		go d.serveListener(ln, serve)
	}
	return nil
}

// serveListener serves until the listener is closed, and reports any other failure.
func (d *Daemon) serveListener(ln net.Listener, serve func(net.Listener) error) {
	if err := serve(ln); err != nil {
		d.failed <- err
	}
}

// serveWhenFree retries until the address is free or the daemon shuts down.
func (d *Daemon) serveWhenFree(what string, listen func() (net.Listener, error), serve func(net.Listener) error) {
	for !d.listeners.isClosed() {
		time.Sleep(d.limits.MinBackoff)
		ln, err := listen()
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			d.failed <- err
			return
		}
		if d.listeners.add(ln) {
			d.log.Info("address released; listening", "for", what, "address", ln.Addr().String())
			d.serveListener(ln, serve)
		}
		return
	}
}
