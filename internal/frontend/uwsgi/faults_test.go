package uwsgi

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/testing/standin"
)

// TestDescriptorExhaustionDoesNotCountAgainstServers checks that without free descriptors, streams continue, new requests are
// answered, and nothing counts against the servers.
func TestDescriptorExhaustionDoesNotCountAgainstServers(t *testing.T) {
	release := make(chan struct{})
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Wait: release}, {Send: ", last"}})
	r := newHarness(t, []string{s.Address}, nil)
	stream := r.dial(t)
	if got, err := (standin.Script{{Send: standin.Packet(t, "", requestVars("/")...)}, {Until: "first"}}).Play(stream); err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	next := r.dial(t)
	standin.WaitFor(t, "the second connection has a slot", func() bool { return r.OpenConnections() == 2 })
	var oldLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &oldLimit); err != nil {
		t.Fatal(err)
	}
	exhausted := oldLimit
	exhausted.Cur = 0 // open descriptors stay open
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &exhausted); err != nil {
		t.Fatal(err)
	}
	got, err := func() (string, error) {
		defer func() {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &oldLimit); err != nil {
				t.Error(err)
			}
		}()
		if _, err := io.WriteString(next, standin.Packet(t, "", requestVars("/write")...)); err != nil {
			return "", err
		}
		b, err := io.ReadAll(next)
		return string(b), err
	}()
	if !strings.HasPrefix(got, "HTTP/1.1 502 ") || err != nil {
		t.Errorf("request without descriptors got %q, %v, want a 502", got, err)
	}
	if e := r.pool.Servers()[0]; e.ConsecutiveFailures != 0 || e.State != balancer.StateHealthy {
		t.Errorf("the lack of descriptors counted against the server: %+v", e)
	}
	close(release)
	if rest, err := io.ReadAll(stream); string(rest) != ", last" || err != nil {
		t.Errorf("the stream ended with %q, %v", rest, err)
	}
}

// TestDisconnectDuringResponseLeaksNothing checks that clients that disconnect at the moment when their response is ready leak no
// goroutines, descriptors or requests.
func TestDisconnectDuringResponseLeaksNothing(t *testing.T) {
	s := standin.NewScripted(t, replyAfter("/", okResponse))
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.HalfCloseCancels = true })
	goroutines, descriptors := runtime.NumGoroutine(), openFiles(t)
	for i := range 300 {
		c := r.dial(t)
		if _, err := io.WriteString(c, standin.Packet(t, "", requestVars("/")...)); err != nil {
			t.Fatal(err)
		}
		for range i * 20 { // a little later each time, until after the response
			runtime.Gosched()
		}
		c.Close()
	}
	standin.WaitFor(t, "all connections and requests have ended", func() bool {
		_, inFlight, _ := r.node.Totals()
		return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && inFlight == 0 && len(s.Received()) == s.Connections()
	})
	standin.WaitFor(t, "all goroutines and descriptors are released", func() bool {
		return runtime.NumGoroutine() <= goroutines && openFiles(t) <= descriptors
	})
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", requestVars("/")...)}}); got != okResponse || err != nil {
		t.Errorf("the next request got %q, %v", got, err)
	}
}

// TestDrainResetsAllStreams checks that a drain ends with all streams reset, all requests answered and all connections closed.
func TestDrainResetsAllStreams(t *testing.T) {
	const n = 300
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Until: "never"}})
	r := newHarnessOn(t, 2*n, []string{s.Address}, func(o *Options, p *PoolOptions) { o.Limits.UwsgiConnections, p.Balancer.MaxConcurrency = n, n })
	goroutines := runtime.NumGoroutine()
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = r.dial(t)
		if got, err := (standin.Script{{Send: standin.Packet(t, "", requestVars("/")...)}, {Until: "first"}}).Play(conns[i]); err != nil {
			t.Fatalf("stream %d: %q, %v", i, got, err)
		}
	}
	r.node.Drain(time.Now(), r.limits.KillMargin, false)
	for i, c := range conns {
		if rest, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("stream %d ended with %q, %v, want a reset", i, rest, err)
		}
		c.Close()
	}
	standin.WaitFor(t, "all connections and requests have ended", func() bool {
		return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && r.Totals().Broken == n
	})
	r.node.Sweep()
	for id := range r.runs() { // in production, the end of the process ends them
		r.pool.Stop(id)
	}
	standin.WaitFor(t, "all goroutines have ended", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// TestServersWithSeededFaults checks servers with seeded faults: each client gets at most one response, which is complete or ends
// in a reset, no request that is not idempotent reaches two servers, and nothing is leaked.
func TestServersWithSeededFaults(t *testing.T) {
	const seeds = 200
	served := 0
	for seed := range uint64(seeds) {
		path, key := []string{"/", "/book", "/write"}[seed%3], [2]string{"HTTP_IDEMPOTENCY_KEY", "k"}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 50000, strings.Repeat("r", 50000))
		if seed%2 == 0 {
			response = okResponse
		}
		a := standin.NewScripted(t, standin.FaultyScript(seed, "hello", response))
		b := standin.NewScripted(t, standin.FaultyScript(seed+1000, "hello", response))
		r := newHarness(t, []string{a.Address, b.Address}, nil)
		got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "hello", requestVars(path, contentLength(5), key)...),
			Split: seed%5 == 0}})
		switch complete := got == response && err == nil; {
		case complete:
			served++
		case strings.HasPrefix(got, "HTTP/1.1 50") && err == nil:
		case strings.HasPrefix(response, got) && errors.Is(err, syscall.ECONNRESET):
		default:
			t.Errorf("seed %d: %d bytes, %v: %.80q", seed, len(got), err, got)
		}
		standin.WaitFor(t, "all connections and requests have ended", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 })
		if n := a.Connections() + b.Connections(); path != "/" && n > 1 {
			t.Errorf("seed %d: a request that is not idempotent reached %d servers", seed, n)
		}
		r.pool.Close()
	}
	if served == 0 || served == seeds {
		t.Errorf("%d of %d requests were served, want some but not all", served, seeds)
	}
}
