package uwsgi

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

// mapper maps three paths to classes: idempotent reads, keyed requests, and writes that are not idempotent.
type mapper struct{}

const (
	read = iota
	book
	write
)

func (mapper) Map(get func(string) string, q *node.Request) int {
	switch get("PATH_INFO") {
	case "/":
		q.Class = read
	case "/book":
		q.Class, q.IdempotencyKey = book, get("HTTP_IDEMPOTENCY_KEY")
	case "/write":
		q.Class = write
	default:
		return http.StatusNotFound
	}
	return 0
}

// harness is a front and a pool on a real node.
type harness struct {
	*Front
	pool    *Pool
	node    *node.Node
	address string
	limits  limits.Limits
}

// newHarness starts a harness whose node has 16 cores. change, if not nil, adjusts the options first.
func newHarness(t testing.TB, servers []string, change func(o *Options, p *PoolOptions)) *harness {
	t.Helper()
	return newHarnessOn(t, 16, servers, change)
}

// newHarnessOn starts a harness whose node has the given number of cores.
func newHarnessOn(t testing.TB, cores int, servers []string, change func(o *Options, p *PoolOptions)) *harness {
	t.Helper()
	lim := limits.For(64, 256)
	lim.CloseTimeout = 100 * time.Millisecond
	cfg := logic.Settings{Cores: cores, MemoryKB: 1e6, MaxConcurrencyPerCore: 5, ResponseGrace: 80000, DrainGrace: 2000000, Classes: []logic.Class{
		{Name: "read", LatencyObjective: 20e6, ClientTimeout: 60e6, PriorityWeight: 1},
		{Name: "book", LatencyObjective: 20e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.IdempotentByKey, IdempotencyWindow: 60e6},
		{Name: "write", LatencyObjective: 20e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.NonIdempotent}}}
	o := Options{Mapper: mapper{}, MaxBodyBytes: 1 << 20, Limits: lim, Log: standin.DiscardLogger}
	po := PoolOptions{Balancer: balancer.DefaultConfig(), Limits: lim, Log: standin.DiscardLogger}
	if change != nil {
		change(&o, &po)
	}
	controller, err := admission.New(cfg, admission.Options{Clock: clock.System{}})
	if err != nil {
		t.Fatal(err)
	}
	n := node.New(node.Options{Settings: cfg, Admission: controller, Clock: clock.System{}, Limits: o.Limits, Log: standin.DiscardLogger})
	go n.Run()
	t.Cleanup(controller.Close)
	po.Limits = o.Limits
	p := NewPool(po)
	if err := p.SetServers(servers); err != nil {
		t.Fatal(err)
	}
	p.Serve(n)
	t.Cleanup(p.Close)
	o.Core, o.Pool = n, p
	ln := standin.Listen(t)
	f := New(o)
	go f.Serve(ln)
	return &harness{f, p, n, ln.Addr().String(), o.Limits}
}

func (r *harness) dial(t testing.TB) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// request runs a script as a client. It returns everything that the client received, and the error that ended the connection.
func (r *harness) request(t testing.TB, s standin.Script) (string, error) {
	t.Helper()
	c := r.dial(t)
	head, err := s.Play(c)
	if err != nil {
		return string(head), err
	}
	rest, err := io.ReadAll(c)
	return string(head) + string(rest), err
}

func requestVars(path string, extra ...[2]string) [][2]string {
	return append([][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", path}}, extra...)
}

func contentLength(n int) [2]string { return [2]string{"CONTENT_LENGTH", fmt.Sprint(n)} }

var chunkedEncoding = [2]string{"HTTP_TRANSFER_ENCODING", "chunked"}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// replyAfter returns a server's script that reads up to the given end of a request and responds.
func replyAfter(end, response string) standin.Script {
	return standin.Script{{Until: end}, {Send: response}}
}

// openFiles returns the number of open descriptors.
func openFiles(t *testing.T) int {
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors can't be counted here")
	}
	return len(names)
}

// runs returns the ids of the pool's runs.
func (r *harness) runs() map[string]bool {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	ids := map[string]bool{}
	for id := range r.pool.runs {
		ids[id] = true
	}
	return ids
}
