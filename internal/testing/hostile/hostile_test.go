package hostile

import (
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/testing/standin"
)

var attackFor = flag.Duration("hostile.for", 3*time.Second, "how long each attack takes")

// attack is what misbehaving clients do, from several goroutines, until stop is closed.
type attack struct {
	name    string
	clients int
	uwsgi   bool
	act     func(t *testing.T, address string, client int, stop <-chan struct{})
}

// connect returns a connection of a misbehaving client, or nil if there is none to be had now.
func connect(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(time.Millisecond)
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// hold writes text and keeps the connection open until the node closes it or stop is closed.
func hold(address, text string, stop <-chan struct{}) {
	conn := connect(address)
	if conn == nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	b := make([]byte, 512)
	for !stopped(stop) {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := conn.Read(b); err != nil && !strings.Contains(err.Error(), "timeout") {
			return
		}
	}
}

// trickle writes text byte by byte.
func trickle(address, text string, stop <-chan struct{}) {
	conn := connect(address)
	if conn == nil {
		return
	}
	defer conn.Close()
	for i := 0; i < len(text) && !stopped(stop); i++ {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// flood writes what next returns without a pause, and reads all answers.
func flood(address string, next func(n int) string, stop <-chan struct{}) {
	conn := connect(address)
	if conn == nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Time{})
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for n := 0; !stopped(stop); n++ {
		if _, err := io.WriteString(conn, next(n)); err != nil {
			return
		}
	}
}

// pipeline sends requests without a pause, as many open at a time as a connection may have.
func pipeline(address string, message func(n int) string, stop <-chan struct{}) {
	const open = 32
	conn := connect(address)
	if conn == nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Time{})
	tokens := make(chan struct{}, open)
	go func() {
		for in := redcon.NewReader(conn); ; <-tokens {
			if _, err := in.ReadCommand(); err != nil {
				return
			}
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case tokens <- struct{}{}:
		case <-time.After(time.Second): // the connection has ended
			return
		}
		if _, err := io.WriteString(conn, message(n)); err != nil {
			return
		}
	}
}

// batch returns 50 messages.
func batch(n int, message func(i int) string) string {
	var b strings.Builder
	for i := 50 * n; i < 50*(n+1); i++ {
		b.WriteString(message(i))
	}
	return b.String()
}

// attacks are pictures (a) and (b) of what operators of other deployments reported.
func attacks(t *testing.T) []attack {
	now := time.Now()
	message := standin.Do(1, "slot-search", standin.RequestID(1), now, strings.Repeat("x", 2000), "")
	fields := standin.Do(1, "slot-search", standin.RequestID(1), now, "x", strings.Repeat(",a=1", 230))
	manyVars, shortVars := make([][2]string, 250), make([][2]string, 4000)
	for i := range manyVars {
		manyVars[i] = [2]string{fmt.Sprint("V", i), strings.Repeat("v", 100)}
	}
	for i := range shortVars {
		shortVars[i] = [2]string{fmt.Sprint("V", i), "v"}
	}
	large := uwsgiPacket(t, "/book", strings.Repeat("x", 60<<10), [2]string{"HTTP_IDEMPOTENCY_KEY", "half"})
	unknownClass := func(n int) string {
		return batch(n, func(i int) string {
			return standin.Do(1+i, fmt.Sprint("class-", i), fmt.Sprintf("bb%014x", i), time.Now(), "x", "")
		})
	}
	respFlood := func(next func(int) string) func(*testing.T, string, int, <-chan struct{}) {
		return func(_ *testing.T, address string, _ int, stop <-chan struct{}) { flood(address, next, stop) }
	}
	return []attack{
		{"a/slow, half and many fields", 300, false, func(_ *testing.T, address string, client int, stop <-chan struct{}) {
			switch client % 3 {
			case 0:
				trickle(address, message, stop)
			case 1:
				hold(address, message[:len(message)/2], stop)
			case 2:
				hold(address, strings.Repeat(fields, 6), stop)
			}
		}},
		{"a/slow, half and many fields", 300, true, func(t *testing.T, address string, client int, stop <-chan struct{}) {
			switch client % 4 {
			case 0:
				trickle(address, large, stop)
			case 1:
				hold(address, large[:len(large)/2], stop)
			case 2:
				hold(address, uwsgiPacket(t, "/read", "", manyVars...), stop)
			case 3:
				hold(address, uwsgiPacket(t, "/read", "", shortVars...), stop)
			}
		}},
		{"b/unknown classes under ever new names", 1, false, respFlood(unknownClass)},
		{"b/a class under ever new ids", 1, false, func(_ *testing.T, address string, _ int, stop <-chan struct{}) {
			pipeline(address, func(n int) string {
				return standin.Do(1+n, "slot-search", fmt.Sprintf("bb%014x", n), time.Now(), "x", "")
			}, stop)
		}},
		{"b/health checks", 1, false, respFlood(func(n int) string {
			return batch(n, func(i int) string { return standin.Array("PING", fmt.Sprint(1+i)) })
		})},
		{"b/cancellations of unknown requests", 1, false, respFlood(func(n int) string {
			return batch(n, func(i int) string { return standin.Array("UNDO", fmt.Sprint(1+i)) })
		})},
		{"b/unsound messages", 1, false, respFlood(func(n int) string {
			return batch(n, func(i int) string { return standin.Array(fmt.Sprint("VERB", i), fmt.Sprint(1+i)) })
		})},
		{"b/unsound packets", 1, true, func(_ *testing.T, address string, _ int, _ <-chan struct{}) {
			_, _ = exchange(address, "\x00\x04\x00\x00\xff\xff\xff\xff")
		}},
		{"b/small requests", 1, true, func(t *testing.T, address string, _ int, _ <-chan struct{}) {
			_, _ = exchange(address, uwsgiPacket(t, "/read", "x"))
		}},
	}
}

// TestHostileClientsStayBounded guards against the death of a process by its memory limit, and against late or missing answers of others,
// while clients write slowly, stop within a large request, send heads of very many fields, or send small or unsound requests at full speed.
func TestHostileClientsStayBounded(t *testing.T) {
	binary := buildDaemon(t)
	for _, a := range attacks(t) {
		front := "resp"
		if a.uwsgi {
			front = "uwsgi"
		}
		t.Run(front+"/"+a.name, func(t *testing.T) {
			n := startNode(t, binary, time.Millisecond)
			address := n.resp
			if a.uwsgi {
				address = n.uwsgi
			}
			stop := make(chan struct{})
			time.AfterFunc(*attackFor, func() { close(stop) })
			attacked := make(chan struct{})
			go func() {
				defer close(attacked)
				crowd(a.clients, stop, func(client int) { a.act(t, address, client, stop) })
			}()
			var other trueClient
			if a.uwsgi {
				other.runUwsgi(t, n, stop)
			} else {
				other.runResp(n, stop)
			}
			<-attacked
			peak := n.peakMB(t)
			t.Logf("peak memory %.1f MB of %d; the other client: %v", peak, memoryMB, &other)
			if peak > memoryMB {
				t.Errorf("peak memory %.1f MB exceeds the limit of %d MB", peak, memoryMB)
			}
			if len(other.unanswered) > 0 {
				t.Errorf("requests of the other client without an answer: %v", other.unanswered[:min(5, len(other.unanswered))])
			}
			if len(other.latencies) == 0 {
				if other.closed == 0 {
					t.Error("the other client got no answers")
				}
				return
			}
			if latest := other.latencies[len(other.latencies)-1]; latest > deadline {
				t.Errorf("an answer came after %v, its deadline was %v", latest, deadline)
			}
		})
	}
}
