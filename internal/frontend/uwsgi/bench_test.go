package uwsgi

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloehitch/internal/testing/standin"
)

// exchange sends a request and reads the complete response.
func exchange(address, request string) (int64, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, request)
		sent <- err
	}()
	n, err := io.Copy(io.Discard, c)
	if err != nil {
		return n, err
	}
	return n, <-sent
}

// BenchmarkExchange sends requests by 8 clients through the front and straight to the server, which echoes the body.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{10, 1 << 20} {
		body := strings.Repeat("x", size)
		for _, through := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d bytes both ways/through=%v", size, through), func(b *testing.B) {
				e := standin.NewEcho(b, "")
				address := e.Address
				if through {
					address = newHarness(b, []string{address}, nil).address
				}
				request := standin.Packet(b, body, at("/", length(size))...)
				h := hdrhistogram.New(1, int64(time.Minute), 3)
				var mu sync.Mutex
				var left atomic.Int64
				left.Store(int64(b.N))
				var wait sync.WaitGroup
				b.ResetTimer()
				for range 8 {
					wait.Go(func() {
						own := hdrhistogram.New(1, int64(time.Minute), 3)
						for left.Add(-1) >= 0 {
							began := time.Now()
							if n, err := exchange(address, request); err != nil || n < int64(size) {
								b.Errorf("%d bytes, %v", n, err)
								return
							}
							if err := own.RecordValue(int64(time.Since(began))); err != nil {
								b.Error(err)
							}
						}
						mu.Lock()
						defer mu.Unlock()
						h.Merge(own)
					})
				}
				wait.Wait()
				b.StopTimer()
				for _, q := range []float64{50, 99, 99.9} {
					b.ReportMetric(float64(h.ValueAtQuantile(q))/1e3, fmt.Sprintf("p%v-us", q))
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			})
		}
	}
}

// BenchmarkMemory measures the heap and stacks that requests take while they are queued, and while their responses are streamed. The
// stand-ins' part is included.
func BenchmarkMemory(b *testing.B) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc + m.StackInuse)
	}
	for _, kind := range []string{"held", "streaming"} {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				hold := make(chan struct{})
				script := standin.Script{{Until: "/"}, {Wait: hold}}
				if kind == "streaming" {
					script = standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\n"}, {Send: "x"}, {Wait: hold}}
				}
				s := standin.NewScripted(b, script)
				cores := 1
				if kind == "streaming" {
					cores = 2 * n
				}
				r := newHarnessOn(b, cores, []string{s.Address}, func(o *Options, p *PoolOptions) {
					o.Limits.UwsgiConnections, o.Limits.MaxInFlight, p.Balancer.MaxConcurrency, p.Balancer.MaxQueued = 2*n, 2*n, 2*n, 2*n
				})
				before := heap()
				var conns []net.Conn
				for range n {
					c := r.dial(b)
					if _, err := io.WriteString(c, standin.Packet(b, "", at("/")...)); err != nil {
						b.Fatal(err)
					}
					conns = append(conns, c)
				}
				standin.WaitFor(b, "all are in", func() bool { return r.Totals().Read == n })
				if kind == "streaming" {
					for _, c := range conns {
						if _, err := io.ReadFull(c, make([]byte, 20)); err != nil {
							b.Fatal(err)
						}
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/request")
				b.ReportMetric(0, "ns/op")
				close(hold)
				for _, c := range conns {
					c.Close()
				}
			})
		}
	}
}
