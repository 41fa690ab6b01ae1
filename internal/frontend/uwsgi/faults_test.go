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

// TestNoDescriptors: without free descriptors streams go on, new requests are answered, and nothing counts against the servers.
func TestNoDescriptors(t *testing.T) {
	hold := make(chan struct{})
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Wait: hold}, {Send: ", last"}})
	r := newHarness(t, []string{s.Address}, nil)
	stream := r.dial(t)
	if got, err := (standin.Script{{Send: standin.Packet(t, "", at("/")...)}, {Until: "first"}}).Play(stream); err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	next := r.dial(t)
	standin.WaitFor(t, "the next one is seated", func() bool { return r.OpenConnections() == 2 })
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	none := was
	none.Cur = 0 // what is open stays open
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	got, err := func() (string, error) {
		defer func() {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
				t.Error(err)
			}
		}()
		if _, err := io.WriteString(next, standin.Packet(t, "", at("/write")...)); err != nil {
			return "", err
		}
		b, err := io.ReadAll(next)
		return string(b), err
	}()
	if !strings.HasPrefix(got, "HTTP/1.1 502 ") || err != nil {
		t.Errorf("without descriptors: %q, %v", got, err)
	}
	if e := r.pool.Servers()[0]; e.ConsecutiveFailures != 0 || e.State != balancer.StateHealthy {
		t.Errorf("counted against the server: %+v", e)
	}
	close(hold)
	if rest, err := io.ReadAll(stream); string(rest) != ", last" || err != nil {
		t.Errorf("what streamed: %q, %v", rest, err)
	}
}

// TestClientDisconnectsAsTheResponseComes: clients that disconnect at the instant at which their response is ready leave nothing behind.
func TestClientDisconnectsAsTheResponseComes(t *testing.T) {
	s := standin.NewScripted(t, reply("/", fine))
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.HalfCloseCancels = true })
	goroutines, descriptors := runtime.NumGoroutine(), openFiles(t)
	for i := range 300 {
		c := r.dial(t)
		if _, err := io.WriteString(c, standin.Packet(t, "", at("/")...)); err != nil {
			t.Fatal(err)
		}
		for range i * 20 { // ever a little later, past the moment of the answer
			runtime.Gosched()
		}
		c.Close()
	}
	standin.WaitFor(t, "all is over", func() bool {
		_, hand, _ := r.node.Totals()
		return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && hand == 0 && len(s.Received()) == s.Connections()
	})
	standin.WaitFor(t, "nothing is left", func() bool { return runtime.NumGoroutine() <= goroutines && openFiles(t) <= descriptors })
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", at("/")...)}}); got != fine || err != nil {
		t.Errorf("the next one: %q, %v", got, err)
	}
}

// TestDrainWhileHundredsStream: at the end of a drain all streams are reset, and nothing is unanswered or open.
func TestDrainWhileHundredsStream(t *testing.T) {
	const n = 300
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Until: "never"}})
	r := newHarnessOn(t, 2*n, []string{s.Address}, func(o *Options, p *PoolOptions) { o.Limits.UwsgiConnections, p.Balancer.MaxConcurrency = n, n })
	goroutines := runtime.NumGoroutine()
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = r.dial(t)
		if got, err := (standin.Script{{Send: standin.Packet(t, "", at("/")...)}, {Until: "first"}}).Play(conns[i]); err != nil {
			t.Fatalf("%d: %q, %v", i, got, err)
		}
	}
	r.node.Drain(time.Now(), r.limits.KillMargin, false)
	for i, c := range conns {
		if rest, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%d ended with %q, %v", i, rest, err)
		}
		c.Close()
	}
	standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && r.Totals().Broken == n })
	r.node.Sweep()
	for id := range r.runs() { // a stop of the process would end them
		r.pool.Stop(id)
	}
	standin.WaitFor(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// TestSeededFaults: whatever servers do, by seed, each client gets at most one response, complete or marked as truncated; nothing that is not
// idempotent gets to two servers; and nothing is left.
func TestSeededFaults(t *testing.T) {
	const seeds = 200
	served := 0
	for seed := range uint64(seeds) {
		path, key := []string{"/", "/book", "/write"}[seed%3], [2]string{"HTTP_IDEMPOTENCY_KEY", "k"}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 50000, strings.Repeat("r", 50000))
		if seed%2 == 0 {
			response = fine
		}
		a := standin.NewScripted(t, standin.FaultyScript(seed, "hello", response))
		b := standin.NewScripted(t, standin.FaultyScript(seed+1000, "hello", response))
		r := newHarness(t, []string{a.Address, b.Address}, nil)
		got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "hello", at(path, length(5), key)...), Split: seed%5 == 0}})
		switch whole := got == response && err == nil; {
		case whole:
			served++
		case strings.HasPrefix(got, "HTTP/1.1 50") && err == nil:
		case strings.HasPrefix(response, got) && errors.Is(err, syscall.ECONNRESET):
		default:
			t.Errorf("seed %d: %d bytes, %v: %.80q", seed, len(got), err, got)
		}
		standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 })
		if n := a.Connections() + b.Connections(); path != "/" && n > 1 {
			t.Errorf("seed %d: what must not run twice went to %d servers", seed, n)
		}
		r.pool.Close()
	}
	if served == 0 || served == seeds {
		t.Errorf("%d of %d were served", served, seeds)
	}
}
