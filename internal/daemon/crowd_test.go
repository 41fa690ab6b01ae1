package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

// TestManyConnectionsKeepConcurrencyLimit sends requests on 20 connections at once and checks that each is answered once and that
// the concurrency limit holds.
func TestManyConnectionsKeepConcurrencyLimit(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { time.Sleep(time.Millisecond); return "OK", "r" })
	s := serveNode(t, longDeadline, rt)
	const conns, requestsPerConn = 20, 32
	var wg sync.WaitGroup
	for i := range conns {
		b := standin.Dial(t, s.address)
		wg.Go(func() {
			for j := range requestsPerConn {
				b.Do(j+1, "book", standin.RequestID(1+i*requestsPerConn+j), time.Now(), "a", ",opkey="+standin.RequestID(1+i*requestsPerConn+j))
			}
			seen := map[string]bool{}
			for range requestsPerConn {
				got := b.Read()
				if len(got) < 2 || seen[got[0]] {
					t.Errorf("answer %q is malformed or repeated (anything received: %v)", got, len(got) > 0)
					return
				}
				seen[got[0]] = true
			}
			expectNoMoreAnswers(t, b, "999")
		})
	}
	wg.Wait()
	if concurrent := rt.MaxConcurrent(); concurrent > 10 {
		t.Errorf("%d concurrent runs on 2 cores that sustain at most 10", concurrent)
	}
	if got := s.resp.OpenConnections(); got > conns {
		t.Errorf("%d connections are open, more than the clients opened", got)
	}
}

// TestOverloadOnBothProtocolsAnswersAll sends requests by both protocols at 120% of the capacity of the stand-ins. Each must be
// answered, neither protocol may be starved, and no key may run twice.
func TestOverloadOnBothProtocolsAnswersAll(t *testing.T) {
	const work, requests = 10 * time.Millisecond, 240 // two cores serve 200 requests per second; 240 arrive within a second
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { time.Sleep(work); return "OK", string(j.Body) })
	server := standin.NewServer(t, func(body string) string {
		time.Sleep(work)
		return "HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
	})
	s := serveNode(t, 2*time.Second, rt, server.Address)
	var wg sync.WaitGroup
	answered := make(chan string, requests)
	balancers := make([]*standin.Balancer, 4)
	for i := range balancers {
		b := standin.Dial(t, s.address)
		balancers[i] = b
		wg.Go(func() {
			for range requests / 2 / len(balancers) {
				if got := b.Read(); len(got) >= 2 {
					answered <- got[1]
				}
			}
		})
	}
	for i := range requests {
		time.Sleep(time.Second / requests)
		key := overloadKey(i)
		if i%2 == 1 {
			wg.Go(func() { answered <- strings.SplitN(sendUwsgi(t, s.uwsgi, key, postVars(key)...), "\r\n", 2)[0] })
			continue
		}
		balancers[i/2%len(balancers)].Do(i+1, "book", standin.RequestID(i+1), time.Now(), key, ",opkey="+key)
	}
	wg.Wait()
	close(answered)
	counts := map[string]int{}
	for word := range answered {
		counts[word]++
	}
	total := counts["ACK"] + counts["NAK"] + counts["FAIL"] + counts["HTTP/1.1 200 OK"] +
		counts["HTTP/1.1 503 Service Unavailable"] + counts["HTTP/1.1 502 Bad Gateway"] + counts["HTTP/1.1 504 Gateway Timeout"]
	if total != requests {
		t.Errorf("%d of %d requests answered: %v", total, requests, counts)
	}
	if counts["ACK"] == 0 || counts["HTTP/1.1 200 OK"] == 0 {
		t.Errorf("a protocol was starved: %v", counts)
	}
	for i := range requests {
		key := overloadKey(i)
		if n := rt.Runs(key) + server.Runs(key); n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// overloadKey returns the key of the i-th request. Each key is sent twice by one protocol, and every eighth key by both; it may run only once.
func overloadKey(i int) string {
	if i/4%8 == 0 {
		return fmt.Sprintf("both%d", i/4)
	}
	return fmt.Sprintf("k%d-%d", i/4, i%2)
}
