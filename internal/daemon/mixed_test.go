package daemon

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// mixedResult is the result of one run of both protocols on cores that they share.
type mixedResult struct {
	offered, withinObjective [2]float64 // weights of the requests sent, and of those served within the objective; by front: RESP, uwsgi
	unanswered               int
	ranTwice                 int // keys that ran more than once
}

// runMixedLoad sends requests for 4 s at a share of the capacity of two cores, half by each front. A third are bookings, with three times
// the weight, and a tenth of those are repeated by the other front.
func runMixedLoad(b *testing.B, load float64, seed uint64) (m mixedResult) {
	const work, cores, duration, deadline = 10 * time.Millisecond, 2, 4 * time.Second, 2 * time.Second
	objective := deadline * 2 / 3
	var mu sync.Mutex
	runs := map[string]int{}
	free := make(chan struct{}, cores)
	run := func(body string) {
		mu.Lock()
		runs[body]++
		mu.Unlock()
		free <- struct{}{}
		time.Sleep(work)
		<-free
	}
	rt := standin.NewRuntime(b, func(j *standin.Job) (string, string) { run(string(j.Body)); return "OK", string(j.Body) })
	server := standin.NewServer(b, func(body string) string {
		run(body)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	s := serveWithLimits(b, limits.For(1024, 8192), deadline, rt, server.Address) // only the cores are scarce, not connections or memory
	defer func() { s.stop <- nil; <-s.stopped }()
	rng := rand.New(rand.NewPCG(seed, 9))
	type sentRequest struct {
		at     time.Time
		weight float64
	}
	var wait sync.WaitGroup
	recordAnswer := func(front int, a sentRequest, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if ok && time.Since(a.at) <= objective {
			m.withinObjective[front] += a.weight
		}
	}
	balancers := make([]*standin.Balancer, 8)
	open := make([]map[string]sentRequest, len(balancers))
	sent := make([]int, len(balancers))
	for i := range balancers {
		balancers[i], open[i] = standin.Dial(b, s.address), map[string]sentRequest{}
	}
	rate := load * cores / work.Seconds()
	began := time.Now()
	next := time.Duration(0)
	var reading sync.WaitGroup
	counts := make([]chan int, len(balancers))
	for i, c := range balancers {
		counts[i] = make(chan int, 1)
		reading.Go(func() {
			total, got := -1, 0
			for total < 0 || got < total {
				select {
				case total = <-counts[i]:
					continue
				default:
				}
				if total < 0 && len(counts[i]) == 0 {
					mu.Lock()
					idle := len(open[i]) == 0
					mu.Unlock()
					if idle {
						time.Sleep(time.Millisecond)
						continue
					}
				}
				parts := c.Read()
				if len(parts) < 2 {
					return
				}
				got++
				mu.Lock()
				a := open[i][parts[0]]
				delete(open[i], parts[0])
				mu.Unlock()
				recordAnswer(0, a, parts[1] == "ACK")
			}
		})
	}
	id := 0
	send := func(front int, class, body, key string, weight float64) {
		a := sentRequest{time.Now(), weight}
		mu.Lock()
		m.offered[front] += weight
		mu.Unlock()
		if front == 0 {
			id++
			i := id % len(balancers)
			sent[i]++
			mu.Lock()
			open[i][fmt.Sprint(id)] = a
			mu.Unlock()
			more := ""
			if key != "" {
				more = ",opkey=" + key
			}
			balancers[i].Do(id, class, standin.RequestID(int(seed)*1e6+id), a.at, body, more)
			return
		}
		wait.Go(func() {
			vars := getVars("/slots")
			if key != "" {
				vars = postVars(key)
			}
			line := strings.SplitN(sendUwsgi(b, s.uwsgi, body, vars...), "\r\n", 2)[0]
			if !strings.HasPrefix(line, "HTTP/1.1 ") {
				mu.Lock()
				m.unanswered++
				mu.Unlock()
			}
			recordAnswer(1, a, line == "HTTP/1.1 200 OK")
		})
	}
	for n := 0; ; n++ {
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if next > duration {
			break
		}
		time.Sleep(time.Until(began.Add(next)))
		front := rng.IntN(2)
		if rng.IntN(3) > 0 {
			send(front, "slot-search", fmt.Sprint("r", n), "", 1)
			continue
		}
		key := fmt.Sprint("k", n)
		send(front, "book", key, key, 3)
		if rng.IntN(10) == 0 {
			send(1-front, "book", key, key, 0) // a repeat has no weight
		}
	}
	for i := range balancers {
		counts[i] <- sent[i]
	}
	wait.Wait()
	reading.Wait()
	mu.Lock()
	defer mu.Unlock()
	for i := range open {
		m.unanswered += len(open[i])
	}
	for body, n := range runs {
		if strings.HasPrefix(body, "k") && n > 1 {
			m.ranTwice++
		}
	}
	return m
}

// BenchmarkMixed runs five seeds at 93% and at 120% of the cores' capacity, and reports the share of the offered weight that each front
// served within the objective: the mean, and that of the worst seed. docs/operators/uwsgi.md has the figures.
func BenchmarkMixed(b *testing.B) {
	for _, load := range []float64{0.93, 1.2} {
		b.Run(fmt.Sprintf("load=%.2f", load), func(b *testing.B) {
			worst := [2]float64{1, 1}
			var sum [2]float64
			for seed := range uint64(5) {
				m := runMixedLoad(b, load, seed+1)
				if m.unanswered > 0 || m.ranTwice > 0 {
					b.Errorf("seed %d: %d unanswered, %d ran twice", seed+1, m.unanswered, m.ranTwice)
				}
				for f := range sum {
					kept := m.withinObjective[f] / m.offered[f]
					sum[f] += kept / 5
					worst[f] = min(worst[f], kept)
				}
			}
			for f, name := range []string{"resp", "uwsgi"} {
				b.ReportMetric(sum[f], name+"-kept")
				b.ReportMetric(worst[f], name+"-worst")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
