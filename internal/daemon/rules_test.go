package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/operatorapi"
	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

const api = `{"openapi":"3.0.3","info":{"title":"booking","version":"1"},"paths":{
 "/slots":{"get":{"responses":{"200":{"description":"ok"}},"x-sloehitch":{"class":"slot-search","semantics":"retryable"}}},
 "/book":{"post":{"responses":{"200":{"description":"ok"}},"x-sloehitch":{"class":"book","semantics":"dedup","key":"header:Idempotency-Key"}}}}}`

// served is a whole node on real sockets, for one test.
type served struct {
	*Daemon
	address, uwsgi string
	stop           chan os.Signal
	stopped        chan error
}

// ample is a deadline that no test reaches by chance.
const ample = 60 * time.Second

func serveNode(t testing.TB, deadline time.Duration, rt *standin.Runtime, servers ...string) *served {
	t.Helper()
	return serveWithin(t, limits.For(64, 256), deadline, rt, servers...)
}

func serveWithin(t testing.TB, lim limits.Limits, deadline time.Duration, rt *standin.Runtime, servers ...string) *served {
	t.Helper()
	return serveDeployed(t, lim, deadline, rt, func(*config.Deploy) {}, servers...)
}

// serveDeployed is a node with more in its deployment file.
func serveDeployed(t testing.TB, lim limits.Limits, deadline time.Duration, rt *standin.Runtime, more func(*config.Deploy), servers ...string) *served {
	t.Helper()
	own, ownUwsgi := standin.Free(t), standin.Free(t)
	p, err := config.Parse([]byte(standin.Config(own, rt.Address, "", deadline)))
	if err != nil {
		t.Fatal(err)
	}
	l := &Config{Platform: p, Deploy: &config.Deploy{}}
	if len(servers) > 0 {
		l.Deploy.Uwsgi = config.Uwsgi{Listen: ownUwsgi, Servers: servers}
		if l.Operations, err = apispec.Load([]byte(api), &p.Logic, p.Names.Classes, p.Names.Tenants); err != nil {
			t.Fatal(err)
		}
	}
	more(l.Deploy)
	d, err := Start(l, Options{Limits: lim, Log: standin.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	s := &served{d, own, ownUwsgi, make(chan os.Signal, 1), make(chan error, 1)}
	go func() { s.stopped <- d.Run(ReceivedAt(s.stop)) }()
	t.Cleanup(func() {
		d.listeners.close()
	})
	return s
}

// only fails if anything but the answer to one more check is still to come on a connection.
func only(t *testing.T, b *standin.Balancer, tag string) {
	t.Helper()
	b.Send(standin.Array("PING", tag, ""))
	if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "GREEN" {
		t.Errorf("after the last answer came %q", got)
	}
}

func TestOneAnswerByTheDueTime(t *testing.T) {
	hold := make(chan struct{})
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { <-hold; return "OK", "late" })
	b := standin.Dial(t, serveNode(t, 600*time.Millisecond, rt).address)
	began := time.Now()
	b.Do(1, "book", standin.RequestID(1), began, "a", ",opkey=k1")
	if got := b.Read(); len(got) < 2 || got[0] != "1" || got[1] != "FAIL" {
		t.Fatalf("answer %q, want FAIL: it runs, so a refusal would be a lie", got)
	}
	if took := time.Since(began); took < 500*time.Millisecond {
		t.Errorf("answered after %v, long before its due time", took)
	}
	close(hold) // the run ends after the answer: there must be no second one
	for rt.Runs("x") == 0 {
		b.Do(2, "slot-search", standin.RequestID(2), time.Now(), "x", "")
		if got := b.Read(); len(got) < 2 || got[0] != "2" {
			t.Fatalf("answer %q", got)
		}
	}
	only(t, b, "3")
}

func TestKeyedRunsOnce(t *testing.T) {
	for _, c := range []struct{ code, word string }{{"OK", "ACK"}, {"ERROR", "FAIL"}} {
		hold := make(chan struct{})
		rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { <-hold; return c.code, "result" })
		b := standin.Dial(t, serveNode(t, ample, rt).address)
		at := time.Now()
		for tag := 1; tag <= 3; tag++ { // repeats while it runs or is held
			b.Do(tag, "book", standin.RequestID(tag), at, "a", ",opkey=k1")
		}
		close(hold)
		for range 3 {
			got := b.Read()
			// One that was still held may be refused for the repeat that takes its place.
			if len(got) < 2 || got[1] != c.word && (got[1] != "NAK" || got[0] == "3") {
				t.Errorf("%s: answer %q, want %s", c.code, got, c.word)
			}
		}
		b.Do(4, "book", standin.RequestID(4), time.Now(), "a", ",opkey=k1,resent=1") // one long after
		if got := b.Read(); len(got) < 2 || got[1] != c.word || c.code == "OK" && got[3] != "result" {
			t.Errorf("%s: a later repeat got %q, want %s", c.code, got, c.word)
		}
		if n := rt.Runs("a"); n != 1 {
			t.Errorf("%s: ran %d times", c.code, n)
		}
		only(t, b, "5")
	}
}

func TestDrain(t *testing.T) {
	started, hold := make(chan struct{}, 2), make(chan struct{})
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { started <- struct{}{}; <-hold; return "OK", "r" })
	s := serveNode(t, ample, rt)
	b := standin.Dial(t, s.address)
	b.Do(1, "slot-search", standin.RequestID(1), time.Now(), "a", "")
	<-started
	s.stop <- syscall.SIGTERM
	other := standin.Dial(t, s.address) // callers hear of the notice late: what comes within the grace is taken
	other.Do(1, "book", standin.RequestID(3), time.Now(), "in time", ",opkey=k3")
	<-started
	if got := b.Read(); strings.Join(got, " ") != "0 FIN" {
		t.Fatalf("got %q, want 0 FIN", got)
	}
	// It reached the machine after the grace, by its time stamp: it must not run, and be answered.
	time.Sleep(150 * time.Millisecond)
	b.Do(2, "book", standin.RequestID(2), time.Now(), "late", ",opkey=k2")
	if got := b.Read(); len(got) < 2 || got[0] != "2" || got[1] == "ACK" {
		t.Errorf("after the grace: %q", got)
	}
	close(hold)
	if got := b.Read(); len(got) < 2 || got[0] != "1" || got[1] != "ACK" {
		t.Errorf("in hand at the notice: %q", got)
	}
	if rt.Runs("late") != 0 {
		t.Error("ran what came too late")
	}
	b.Close()
	other.Close()
	select {
	case err := <-s.stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(standin.Patience):
		t.Error("not stopped")
	}
}

func TestCrowd(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { time.Sleep(time.Millisecond); return "OK", "r" })
	s := serveNode(t, ample, rt)
	const conns, each = 20, 32
	var wg sync.WaitGroup
	for i := range conns {
		b := standin.Dial(t, s.address)
		wg.Go(func() {
			for j := range each {
				b.Do(j+1, "book", standin.RequestID(1+i*each+j), time.Now(), "a", ",opkey="+standin.RequestID(1+i*each+j))
			}
			seen := map[string]bool{}
			for range each {
				got := b.Read()
				if len(got) < 2 || seen[got[0]] {
					t.Errorf("answer %q, seen before %v", got, len(got) > 0)
					return
				}
				seen[got[0]] = true
			}
			only(t, b, "999")
		})
	}
	wg.Wait()
	if most := rt.Most(); most > 10 {
		t.Errorf("%d runs at once on 2 cores that survive 10", most)
	}
	if got := s.resp.OpenConnections(); got > conns {
		t.Errorf("%d connections open", got)
	}
}

func TestBadInputCostsItsOwnConnection(t *testing.T) {
	hold := make(chan struct{})
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { <-hold; return "OK", "r" })
	s := serveNode(t, ample, rt)
	other := standin.Dial(t, s.address)
	other.Do(1, "slot-search", standin.RequestID(1), time.Now(), "a", "")
	ends := []string{"PING\r\n", "*1\r\n$9223372036854775807\r\n", "*9999999999\r\n", "*-1\r\n", "\x00\x00\x00",
		standin.Array("PING"), standin.Array("DO", "0", "book"), standin.Array("DO", "1", "book", "req=1", ""), standin.Array("PING", "1"),
		strings.Repeat(standin.Array("GET", "7"), 4), "*2\r\n$4\r\nPI"}
	var spoilt []*standin.Balancer
	for i, bad := range ends {
		b := standin.Dial(t, s.address)
		// What came whole in the same packet before the bad bytes was read and is owed an answer.
		fields := fmt.Sprintf("req=%s,ts=%d,owner=acme,need=1,level=0", standin.RequestID(10+i), time.Now().UnixMilli())
		b.Send(standin.Array("DO", "1", "slot-search", fields, "b") + bad)
		spoilt = append(spoilt, b)
	}
	refused := standin.Dial(t, s.address)
	refused.Send(standin.Array("DO", "5", "no-such-class", "req="+standin.RequestID(90)+",ts=1764576000123", "") + standin.Array("GET", "6"))
	for _, want := range []string{"5 NAK", "6 FAIL"} {
		if got := refused.Read(); len(got) < 2 || got[0]+" "+got[1] != want {
			t.Errorf("what can't be taken got %q, want %s", got, want)
		}
	}
	only(t, refused, "7")
	silent := standin.Dial(t, s.address)
	for i, b := range spoilt { // while the run goes on: nobody waits for that
		got := b.Read()
		for len(got) > 1 && got[0] == "7" {
			got = b.Read()
		}
		if len(got) < 2 || got[0] != "1" || got[1] == "ACK" {
			t.Errorf("%q: lost the request before it, got %q", ends[i], got)
		}
		for got = b.Read(); len(got) > 1 && got[0] == "7"; {
			got = b.Read()
		}
		if got != nil {
			t.Errorf("%q: not closed, got %q", ends[i], got)
		}
	}
	if got := silent.Read(); got != nil {
		t.Errorf("who said nothing got %q", got)
	}
	if other.Send(standin.Array("PING", "8")); other.Read()[1] != "GREEN" {
		t.Error("a quiet connection with something open was closed")
	}
	close(hold)
	if got := other.Read(); len(got) < 2 || got[0] != "1" {
		t.Errorf("another connection got %q", got)
	}
	only(t, other, "2")
}

// TestAKeyWithAnotherBody: by either protocol it is neither run nor answered with the first one's result, which stays.
func TestAKeyWithAnotherBody(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { return "OK", string(j.Body) })
	server := standin.NewServer(t, func(body string) string { return "HTTP/1.1 200 OK\r\n\r\n" + body })
	s := serveNode(t, ample, rt, server.Address)
	b := standin.Dial(t, s.address)
	for i, c := range []struct{ body, word string }{{"first", "ACK"}, {"other", "FAIL"}, {"first", "ACK"}} {
		b.Do(i+1, "book", standin.RequestID(i+1), time.Now(), c.body, ",opkey=k1")
		if got := b.Read(); len(got) < 2 || got[1] != c.word || c.word == "ACK" && got[3] != "first" {
			t.Errorf("%s got %q, want %s", c.body, got, c.word)
		}
		want := "HTTP/1.1 " + map[string]string{"ACK": "200 OK", "FAIL": "422 Unprocessable Entity"}[c.word]
		if got := ask(t, s.uwsgi, c.body, post("k2")...); !strings.HasPrefix(got, want) {
			t.Errorf("%s got %q, want %s", c.body, got, want)
		}
	}
	for body, want := range map[string]int{"first": 1, "other": 0} {
		if a, b := rt.Runs(body), server.Runs(body); a != want || b != want {
			t.Errorf("%s ran %d and %d times, want %d", body, a, b, want)
		}
	}
}

// TestOperatorsState: what operators set takes a node out of service and gives uwsgi work to other servers.
func TestOperatorsState(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	first := standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\nfirst" })
	second := standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\nsecond" })
	s := serveNode(t, ample, rt, first.Address)
	b := standin.Dial(t, s.address)
	for _, c := range []struct{ closed, servers, health, response string }{
		{"", "", "GREEN", "first"}, {"n2,n1", second.Address, "RED", "second"}, {"n2", "", "GREEN", "first"},
	} {
		if err := errors.Join(s.store.Set(store.KeyClosedNodes, c.closed), s.store.Set(store.KeyUwsgiServers, c.servers)); err != nil {
			t.Fatal(err)
		}
		b.Send(standin.Array("PING", "1", ""))
		if got := b.Read(); len(got) < 2 || got[1] != c.health {
			t.Errorf("closed %q: health %q", c.closed, got)
		}
		if got := ask(t, s.uwsgi, "", get("/slots")...); !strings.HasSuffix(got, c.response) {
			t.Errorf("servers %q: response %q", c.servers, got)
		}
	}
}

// TestReloadOfServers: the list of uwsgi servers follows the file too, unless operators have set another.
func TestReloadOfServers(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	var servers []string
	for _, name := range []string{"first", "second", "third"} {
		servers = append(servers, standin.NewServer(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\n" + name }).Address)
	}
	s := serveNode(t, ample, rt, servers[0])
	for _, c := range []struct{ file, set, want string }{
		{servers[0], "", "first"}, {servers[1], "", "second"}, {servers[0], servers[2], "third"}, {servers[0], "", "first"},
	} {
		if err := s.store.Set(store.KeyUwsgiServers, c.set); err != nil {
			t.Fatal(err)
		}
		s.load = func() (*Config, error) {
			return &Config{Platform: s.platform, Deploy: &config.Deploy{Uwsgi: config.Uwsgi{Listen: s.uwsgi, Servers: []string{c.file}}}}, nil
		}
		s.reload()
		if got := ask(t, s.uwsgi, "", get("/slots")...); !strings.HasSuffix(got, c.want) {
			t.Errorf("file %s, set %q: %q", c.file, c.set, got)
		}
	}
}

// TestUwsgiRefusalsAndErrors: the second front keeps the first rule with the answers of its own protocol.
func TestUwsgiRefusalsAndErrors(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	hold := make(chan struct{})
	server := standin.NewServer(t, func(body string) string {
		if body == "hang" {
			<-hold
		}
		return map[string]string{"fine": "HTTP/1.1 200 OK\r\n\r\nok", "cut": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"}[body]
	})
	defer close(hold)
	s := serveNode(t, ample, rt, server.Address)
	for _, c := range []struct{ key, body, want string }{
		{"1", "fine", "HTTP/1.1 200 OK"}, {"1", "fine", "HTTP/1.1 200 OK"}, {"2", "cut", "HTTP/1.1 502 Bad Gateway"},
		{"2", "cut", "HTTP/1.1 502 Bad Gateway"}, {"", "fine", "HTTP/1.1 400 Bad Request"},
	} {
		if got := ask(t, s.uwsgi, c.body, post(c.key)...); !strings.HasPrefix(got, c.want+"\r\n") {
			t.Errorf("key %q, %s: %q, want %s", c.key, c.body, got, c.want)
		}
	}
	short := serveNode(t, 300*time.Millisecond, rt, server.Address)
	if got := ask(t, short.uwsgi, "hang", post("3")...); !strings.HasPrefix(got, "HTTP/1.1 504 Gateway Timeout\r\n") {
		t.Errorf("past its due time: %q", got)
	}
	for _, body := range []string{"fine", "cut", "hang"} {
		if n := server.Runs(body); n != 1 {
			t.Errorf("%s ran %d times", body, n)
		}
	}
	s.node.Drain(time.Now(), time.Minute, false) // what comes later than the grace is refused, and told when to come back
	time.Sleep(1100 * time.Millisecond)
	if got := ask(t, s.uwsgi, "fine", post("4")...); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nRetry-After: 1\r\n") {
		t.Errorf("leaving: %q", got)
	}
}

// TestStreams: a server that is taken off the list finishes the response that streams, and at the end of a drain one that
// still streams is broken off so that its client can tell.
func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *served, hold chan struct{})
		want string
	}{
		{"its server is taken off the list", func(s *served, hold chan struct{}) {
			s.applyStoredValue(store.KeyUwsgiServers, "127.0.0.1:1") // as a reload does
			close(hold)
		}, "whole"},
		{"SIGTERM", func(s *served, hold chan struct{}) {
			s.stop <- syscall.SIGTERM
			if err := <-s.stopped; err != nil {
				t.Error(err)
			}
			close(hold)
		}, "reset"},
	} {
		t.Run(c.name, func(t *testing.T) {
			hold := make(chan struct{})
			server := standin.NewScripted(t, standin.Script{{Until: "/slots"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Wait: hold}, {Send: ", last"}})
			s := serveNode(t, ample, standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "" }), server.Address)
			conn, err := net.Dial("tcp", s.uwsgi)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(standin.Patience)); err != nil {
				t.Fatal(err)
			}
			got, err := standin.Script{{Send: standin.Packet(t, "", get("/slots")...)}, {Until: "first"}}.Play(conn)
			if err != nil {
				t.Fatalf("%q, %v", got, err)
			}
			c.play(s, hold)
			rest, err := io.ReadAll(conn)
			end := map[bool]string{true: "reset", false: string(rest)}[errors.Is(err, syscall.ECONNRESET)]
			if end == ", last" {
				end = "whole"
			}
			if end != c.want {
				t.Errorf("%q, %v; want it %s", rest, err, c.want)
			}
		})
	}
}

// ask sends one uwsgi request and reads the whole response.
func ask(t testing.TB, address string, body string, vars ...[2]string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer conn.Close()
	vars = append(vars, [2]string{"CONTENT_LENGTH", fmt.Sprint(len(body))})
	head, err := packet.AppendRequest(nil, 0, 0, vars)
	if err != nil {
		t.Error(err)
	}
	whole := append(head, body...)
	half := len(whole) / 2
	for _, part := range [][]byte{whole[:half], whole[half:]} { // in fragments
		if _, err := conn.Write(part); err != nil {
			t.Error(err)
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(standin.Patience)); err != nil {
		t.Error(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Error(err)
	}
	return string(response)
}

func get(path string) [][2]string {
	return [][2]string{{"REQUEST_METHOD", "GET"}, {"PATH_INFO", path}}
}

func post(key string) [][2]string {
	return [][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", "/book"}, {"HTTP_IDEMPOTENCY_KEY", key}}
}

// TestMixedSurge sends both protocols at 120% of what the stand-ins can do.
func TestMixedSurge(t *testing.T) {
	const work, asked = 10 * time.Millisecond, 240 // two cores do 200 a second; 240 come in a second
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { time.Sleep(work); return "OK", string(j.Body) })
	server := standin.NewServer(t, func(body string) string {
		time.Sleep(work)
		return "HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
	})
	s := serveNode(t, 2*time.Second, rt, server.Address)
	var wg sync.WaitGroup
	answered := make(chan string, asked)
	balancers := make([]*standin.Balancer, 4)
	for i := range balancers {
		b := standin.Dial(t, s.address)
		balancers[i] = b
		wg.Go(func() {
			for range asked / 2 / len(balancers) {
				if got := b.Read(); len(got) >= 2 {
					answered <- got[1]
				}
			}
		})
	}
	for i := range asked {
		time.Sleep(time.Second / asked)
		key := surgeKey(i)
		if i%2 == 1 {
			wg.Go(func() { answered <- strings.SplitN(ask(t, s.uwsgi, key, post(key)...), "\r\n", 2)[0] })
			continue
		}
		balancers[i/2%len(balancers)].Do(i+1, "book", standin.RequestID(i+1), time.Now(), key, ",opkey="+key)
	}
	wg.Wait()
	close(answered)
	words := map[string]int{}
	for word := range answered {
		words[word]++
	}
	total := words["ACK"] + words["NAK"] + words["FAIL"] + words["HTTP/1.1 200 OK"] +
		words["HTTP/1.1 503 Service Unavailable"] + words["HTTP/1.1 502 Bad Gateway"] + words["HTTP/1.1 504 Gateway Timeout"]
	if total != asked {
		t.Errorf("%d of %d answered: %v", total, asked, words)
	}
	if words["ACK"] == 0 || words["HTTP/1.1 200 OK"] == 0 {
		t.Errorf("a protocol was starved: %v", words)
	}
	for i := range asked {
		key := surgeKey(i)
		if n := rt.Runs(key) + server.Runs(key); n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// surgeKey asks for each booking twice by one protocol, and for every eighth by both: still it may run only once.
func surgeKey(i int) string {
	if i/4%8 == 0 {
		return fmt.Sprintf("both%d", i/4)
	}
	return fmt.Sprintf("k%d-%d", i/4, i%2)
}

// TestRetune: at SIGHUP classes are added and dropped while a request of a dropped class is in hand; it keeps its
// class and runs. A file that lacks a key or has a deadline below 0 is turned down whole, counted, and the settings
// in force stay. A class that the settings do not name costs its request, never the connection.
func TestRetune(t *testing.T) {
	hold := make(chan struct{})
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
		if string(j.Body) == "held" {
			<-hold
		}
		return "OK", "r"
	})
	s := serveNode(t, ample, rt)
	<-rt.Syncs
	b := standin.Dial(t, s.address)
	defer b.Close()
	for i := range 6 { // more than a connection may carry of bad messages
		b.Do(i+1, "fresh", standin.RequestID(i+1), time.Now(), "x", "")
		if got := b.Read(); len(got) < 2 || got[1] == "ACK" {
			t.Fatalf("a class not in the settings: %q", got)
		}
	}
	b.Do(10, "book", standin.RequestID(10), time.Now(), "held", ",opkey=k1")
	base := standin.Config(s.address, rt.Address, "", ample)
	from := strings.Index(base, `"classes":[`)
	to := strings.LastIndex(base[:strings.Index(base, `"counted-by"`)], "]")
	classes := func(list string) string { return base[:from] + `"classes":[` + list + base[to:] }
	const fresh, book = `{"name":"fresh","objective":400000,"hard-limit":600000,"credit":1,"semantics":"retryable","window":5000000}`,
		`{"name":"book","objective":400000,"hard-limit":60000000,"credit":3,"semantics":"dedup","window":90000000}`
	files := map[string]string{
		"dropped slot-search, added fresh": classes(fresh + "," + book),
		"no deadline":                      classes(strings.Replace(fresh, `"hard-limit":600000,`, ``, 1) + "," + book),
		"a deadline below 0":               classes(strings.Replace(fresh, `"hard-limit":600000`, `"hard-limit":-5`, 1) + "," + book),
		"cut short":                        classes(fresh + "," + book)[:len(base)/2],
	}
	for _, name := range []string{"dropped slot-search, added fresh", "no deadline", "a deadline below 0", "cut short"} {
		text := files[name]
		s.load = func() (*Config, error) {
			p, err := config.Parse([]byte(text))
			if err != nil {
				return nil, err
			}
			return &Config{Platform: p, Deploy: &config.Deploy{}}, nil
		}
		s.reload()
	}
	b.Do(11, "fresh", standin.RequestID(11), time.Now(), "y", "")
	b.Do(12, "slot-search", standin.RequestID(12), time.Now(), "z", "") // dropped: still taken from balancers that learn late
	close(hold)
	for range 3 {
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Errorf("after the retuning: %q", got)
		}
	}
	f := operatorCalls{s.Daemon}.Report()
	if f.ConfigApplied != 1 || f.ConfigRejected != 3 {
		t.Errorf("files taken %d, turned down %d; want 1 and 3", f.ConfigApplied, f.ConfigRejected)
	}
	want := map[string][2]int{"fresh": {1, 6}, "book": {1, 0}, "slot-search": {1, 0}} // ok, shed
	for _, c := range f.Classes {
		if w, ok := want[c.Name]; ok && (c.OK != w[0] || c.Attempts != w[0]) {
			t.Errorf("class %s: %+v, want %d served and run", c.Name, c, w[0])
		}
		delete(want, c.Name)
	}
	if len(want) > 0 {
		t.Errorf("figures lack the classes %v", want)
	}
}

// TestOpsCalls: on the operators' address the figures match what was served, evacuate turns health checks bad while
// requests are still served, and activate turns them good again.
func TestOpsCalls(t *testing.T) {
	operators := standin.Free(t)
	t.Setenv("GW_OPS", operators)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	s := serveNode(t, ample, rt)
	<-rt.Syncs
	call := func(line string) []string {
		t.Helper()
		c, err := net.Dial("tcp", operators)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(ample))
		fmt.Fprintf(c, "%s\n", line)
		text, err := io.ReadAll(c)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	}
	if got := call("readyz"); got[0] != "ACK ready" {
		t.Errorf("readyz: %q", got)
	}
	b := standin.Dial(t, s.address)
	defer b.Close()
	health := func(tag, want string) {
		t.Helper()
		if b.Send(standin.Array("PING", tag)); b.Read()[1] != want {
			t.Errorf("health check %s: want %s", tag, want)
		}
	}
	for i := range 3 {
		b.Do(i+1, "slot-search", standin.RequestID(i+1), time.Now(), "a", "")
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Fatalf("answer %q", got)
		}
		if i == 0 {
			if got := call("evacuate"); got[0] != "ACK evacuating" {
				t.Errorf("evacuate: %q", got)
			}
			health("7", "RED")
		}
	}
	b.Do(9, "fresh", standin.RequestID(9), time.Now(), "a", "")
	b.Read()
	figures := call("telemetry")
	for _, want := range []string{"ACK", "app.responses.slot-search.ok:3|c", "app.responses.slot-search.tries:3|c", "app.responses.slot-search.shed:0|c",
		"app.responses.book.ok:0|c", "app.responses.fresh.shed:1|c", "app.active:0|g", "app.config_applied:0|c", "--"} {
		if !slices.Contains(figures, want) {
			t.Errorf("telemetry lacks %q: %q", want, figures)
		}
	}
	if figures[len(figures)-1] != "--" {
		t.Errorf("telemetry does not end in --: %q", figures)
	}
	if got := call("activate"); got[0] != "ACK active" {
		t.Errorf("activate: %q", got)
	}
	health("8", "GREEN")
	if got := call("drain now"); !strings.HasPrefix(got[0], "NAK") {
		t.Errorf("a bad call: %q", got)
	}
	health("10", "GREEN")
}

// TestHandOver: two processes take clients from one inherited listener and share $TMPDIR, as while one replaces the
// other: the old one holds its connections and stops taking new ones, which go to the new one. Tries of one key
// reach both, and the key runs once; every try hears that run's result, whichever process it came to.
func TestHandOver(t *testing.T) {
	ln := standin.Listen(t)
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ln.Close() // the platform's copy stays open in f
	t.Setenv("TMPDIR", t.TempDir())
	// Each process has an address of the runtime of its own; here they are two stand-ins, one for each.
	work := func(*standin.Job) (string, string) { return "OK", "r" }
	runtimes := []*standin.Runtime{standin.NewRuntime(t, work), standin.NewRuntime(t, work)}
	var conns []*standin.Balancer
	var daemons []*Daemon
	var stops []chan os.Signal
	stopped := make(chan error, len(runtimes))
	for _, rt := range runtimes {
		p, err := config.Parse([]byte(standin.Config("127.0.0.1:1", rt.Address, "", ample)))
		if err != nil {
			t.Fatal(err)
		}
		inherited, err := syscall.Dup(int(f.Fd())) // each process has a descriptor of its own, and closes it
		if err != nil {
			t.Fatal(err)
		}
		t.Setenv("GW_ACCEPT_FD", fmt.Sprint(inherited))
		d, err := Start(&Config{Platform: p, Deploy: &config.Deploy{}}, Options{Limits: limits.For(64, 256), Log: standin.Quiet})
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan os.Signal, 1)
		daemons, stops = append(daemons, d), append(stops, stop)
		go func() { stopped <- d.Run(ReceivedAt(stop)) }()
		<-rt.Syncs
		for range 3 {
			b := standin.Dial(t, ln.Addr().String())
			b.Send(standin.Array("PING", "1"))
			b.Read()
			conns = append(conns, b)
		}
		if d.resp.OpenConnections() != 3 {
			t.Fatalf("the process holds %d connections, not its 3", d.resp.OpenConnections())
		}
		d.listeners.close() // it takes no more: the next process does
	}
	conns[0].Do(2, "book", standin.RequestID(2), time.Now(), "a", ",opkey=k1") // the old process runs it
	if got := conns[0].Read(); len(got) < 2 || got[1] != "ACK" {
		t.Fatalf("the first try: %q", got)
	}
	for i, b := range conns[1:] {
		b.Do(i+3, "book", standin.RequestID(i+3), time.Now(), "a", ",opkey=k1")
	}
	served := 1
	for _, b := range conns[1:] {
		got := b.Read()
		if len(got) < 2 {
			t.Fatalf("no answer: %q", got)
		}
		if got[1] == "ACK" {
			served++
		}
		if got[1] == "NAK" {
			t.Errorf("a try of a key that may have run was refused: %q", got)
		}
	}
	if n := runtimes[0].Runs("a") + runtimes[1].Runs("a"); n != 1 || served != len(conns) {
		t.Errorf("ran %d times, %d of %d tries served; want one run, heard by all", n, served, len(conns))
	}
	// The next process would take what this one has learned, and sees who holds what.
	daemons[0].saveSnapshot(false)
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(standin.Config("127.0.0.1:1", runtimes[0].Address, "", ample)), 0o600); err != nil {
		t.Fatal(err)
	}
	var shown strings.Builder
	if err := PrintHandover(&shown, file, os.TempDir()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"would be taken\n", "run time 1.0 ms of 1 runs", "lives: 1 segments", "1 keys, 0 of them run"} {
		if !strings.Contains(shown.String(), want) {
			t.Errorf("handover show lacks %q:\n%s", want, &shown)
		}
	}
	if l := daemons[1].loadSnapshot(time.Now()); l == nil || l.Classes["book"].RunTime.Samples != 1 {
		t.Errorf("a process that starts now learns %+v", l)
	}
	// Told to leave while the other lives, it asks its callers to close at once, and is well to the last: the node goes on.
	stops[0] <- syscall.SIGTERM
	for _, b := range conns[:3] {
		if got := b.Read(); len(got) < 2 || got[0] != "0" || got[1] != "FIN" {
			t.Errorf("a caller of the process that leaves hears %q first", got)
		}
	}
	conns[0].Send(standin.Array("PING", "99"))
	if got := conns[0].Read(); len(got) < 2 || got[1] != "GREEN" {
		t.Errorf("health while replaced: %q", got)
	}
	for _, b := range conns {
		b.Close()
	}
	if err := <-stopped; err != nil {
		t.Errorf("it left with %v", err)
	}
}

// TestOpsInACrowd: with memory and descriptors halved and the front full of connections that never finish a
// request, more than it has seats for, the operators' calls are answered, and a true request on a new connection
// is still served.
func TestOpsInACrowd(t *testing.T) {
	operators := standin.Free(t)
	t.Setenv("GW_OPS", operators)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	lim := limits.For(32, 192)
	s := serveWithin(t, lim, ample, rt)
	<-rt.Syncs
	var crowd []net.Conn
	for i := range lim.MaxConnections + 20 {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			c.Write([]byte("*3\r\n$2\r\nDO")) // half a message
		}
		crowd = append(crowd, c)
	}
	defer func() {
		for _, c := range crowd {
			c.Close()
		}
	}()
	for _, call := range []string{"readyz", "telemetry", "evacuate", "activate"} {
		if answer, err := operatorapi.Ask(operators, call, ample); err != nil || !strings.HasPrefix(answer, "ACK") {
			t.Errorf("%s in a crowd: %q, %v", call, answer, err)
		}
	}
	b := standin.Dial(t, s.address)
	defer b.Close()
	b.Do(1, "slot-search", standin.RequestID(1), time.Now(), "a", "")
	if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("a true request in a crowd: %q", got)
	}
}
