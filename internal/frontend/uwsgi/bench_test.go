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

// exchange sends a request, reads the complete response and returns its size.
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

// BenchmarkExchange sends requests from 8 concurrent clients, through the front and directly to the server, which echoes the body.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{10, 1 << 20} {
		body := strings.Repeat("x", size)
		for _, viaFront := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d bytes both ways/through=%v", size, viaFront), func(b *testing.B) {
				e := standin.NewEcho(b, "")
				address := e.Address
				if viaFront {
					address = newHarness(b, []string{address}, nil).address
				}
				request := standin.Packet(b, body, requestVars("/", contentLength(size))...)
				h := hdrhistogram.New(1, int64(time.Minute), 3)
				var mu sync.Mutex
				var remaining atomic.Int64
				remaining.Store(int64(b.N))
				var wait sync.WaitGroup
				b.ResetTimer()
				for range 8 {
					wait.Go(func() {
						histogram := hdrhistogram.New(1, int64(time.Minute), 3)
						for remaining.Add(-1) >= 0 {
							startedAt := time.Now()
							if n, err := exchange(address, request); err != nil || n < int64(size) {
								b.Errorf("response of %d bytes, error %v", n, err)
								return
							}
							if err := histogram.RecordValue(int64(time.Since(startedAt))); err != nil {
								b.Error(err)
							}
						}
						mu.Lock()
						defer mu.Unlock()
						h.Merge(histogram)
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

// BenchmarkMemory measures the heap and stack memory per request, for queued requests and for streamed responses. It includes the
// memory of the test servers.
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
				release := make(chan struct{})
				script := standin.Script{{Until: "/"}, {Wait: release}}
				if kind == "streaming" {
					script = standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\n"}, {Send: "x"}, {Wait: release}}
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
					if _, err := io.WriteString(c, standin.Packet(b, "", requestVars("/")...)); err != nil {
						b.Fatal(err)
					}
					conns = append(conns, c)
				}
				standin.WaitFor(b, "all requests are read", func() bool { return r.Totals().Read == n })
				if kind == "streaming" {
					for _, c := range conns {
						if _, err := io.ReadFull(c, make([]byte, 20)); err != nil {
							b.Fatal(err)
						}
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/request")
				b.ReportMetric(0, "ns/op")
				close(release)
				for _, c := range conns {
					c.Close()
				}
			})
		}
	}
}
