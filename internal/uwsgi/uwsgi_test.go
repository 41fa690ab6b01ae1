package uwsgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"sloehitch/internal/gate"
	"sloehitch/internal/limits"
	"sloehitch/internal/node"
	"sloehitch/internal/standin"
	"sloehitch/logic"
)

func packetOf(t testing.TB, body string, vars ...[2]string) string {
	t.Helper()
	b, err := AppendPacket(nil, vars, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestReadPacket(t *testing.T) {
	lim := limits.For(64, 256)
	length := func(n string) [2]string { return [2]string{"CONTENT_LENGTH", n} }
	var many [][2]string
	for i := range lim.VarCount + 1 {
		many = append(many, [2]string{fmt.Sprint("V", i), "x"})
	}
	for _, c := range []struct {
		name, in, body string
		err            error
	}{
		{"no body", packetOf(t, "", [2]string{"PATH_INFO", "/a"}), "", nil},
		{"body", packetOf(t, "hello", length("5")), "hello", nil},
		{"no variables", packetOf(t, ""), "", nil},
		{"bytes after the body", packetOf(t, "hello", length("2")), "he", nil},
		{"empty length", packetOf(t, "", length("")), "", nil},
		{"nothing", "", "", io.EOF},
		{"half a header", "\x00\x05", "", io.ErrUnexpectedEOF},
		{"half the variables", packetOf(t, "", length("0"))[:9], "", io.ErrUnexpectedEOF},
		{"half the body", packetOf(t, "he", length("5")), "", io.ErrUnexpectedEOF},
		{"modifier 1", "\x05\x00\x00\x00", "", errMalformed},
		{"modifier 2", "\x00\x00\x00\x01", "", errMalformed},
		{"big-endian size", "\x00\x00\x05\x00" + strings.Repeat("\x00", 0x500), "", errMalformed},
		{"name past the block", "\x00\x03\x00\x00\x05\x00A", "", errMalformed},
		{"value past the block", "\x00\x05\x00\x00\x01\x00A\x09\x00", "", errMalformed},
		{"no value", "\x00\x03\x00\x00\x01\x00A", "", errMalformed},
		{"nameless", "\x00\x04\x00\x00\x00\x00\x00\x00", "", errMalformed},
		{"the same name twice", packetOf(t, "", length("0"), length("1")), "", errMalformed},
		{"length not a number", packetOf(t, "", length("5x")), "", errMalformed},
		{"negative length", packetOf(t, "", length("-1")), "", errMalformed},
		{"length past 63 bits", packetOf(t, "", length("9223372036854775808")), "", errMalformed},
		{"huge body", packetOf(t, "", length("9223372036854775807")), "", errOversize},
		{"huge variables", "\x00\xff\xff\x00", "", errOversize},
		{"too many variables", packetOf(t, "", many...), "", errOversize},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, in := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
				p, err := readPacket(in, lim)
				if !errors.Is(err, c.err) {
					t.Fatalf("error %v, want %v", err, c.err)
				}
				if err == nil && !bytes.HasSuffix(p.raw, []byte(c.body)) {
					t.Errorf("raw %q, want body %q", p.raw, c.body)
				}
			}
		})
	}
}

func FuzzReadPacket(f *testing.F) {
	f.Add([]byte(packetOf(f, "hello", [2]string{"CONTENT_LENGTH", "5"})))
	f.Add([]byte("\x00\xff\xff\x00"))
	lim := limits.For(64, 256)
	f.Fuzz(func(t *testing.T, in []byte) {
		p, err := readPacket(bytes.NewReader(in), lim)
		if err == nil && (!bytes.HasPrefix(in, p.raw) || len(p.raw) > headerSize+lim.Vars+lim.Content) {
			t.Errorf("read %d bytes that did not come", len(p.raw))
		}
	})
}

func TestCheckResponse(t *testing.T) {
	for _, c := range []struct {
		in       string
		headOnly bool
		ok       bool
	}{
		{"HTTP/1.1 200 OK\r\n\r\nbody until the end", false, true},
		{"HTTP/1.0 500 Oops\r\nContent-Length: 2\r\n\r\nhi", false, true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", true, true},
		{"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nhi", false, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nhi", false, false},
		{"HTTP/1.1 200 OK\r\n", false, false},
		{"HTTP/1.1\r\n\r\n", false, false},
		{"HTTP/1.1 99 Low\r\n\r\n", false, false},
		{"garbage\r\n\r\n", false, false},
		{"", false, false},
	} {
		if err := checkResponse([]byte(c.in), c.headOnly, 1<<10); (err == nil) != c.ok {
			t.Errorf("%q: %v, want ok %v", c.in, err, c.ok)
		}
	}
}

func TestRender(t *testing.T) {
	for _, c := range []struct {
		a    node.Answer
		want string
	}{
		{node.Answer{Kind: node.Served, Result: []byte("as it came")}, "as it came"},
		{node.Answer{Kind: node.Failed, Taken: true}, "HTTP/1.1 422 "},
		{node.Answer{Kind: node.Refused, Holdoff: 1200 * time.Millisecond}, "Retry-After: 2\r\n"},
		{node.Answer{Kind: node.Refused}, "HTTP/1.1 503 Service Unavailable\r\n"},
		{node.Answer{Kind: node.Refused}, "Retry-After: 1\r\n"},
		{node.Answer{Kind: node.Failed}, "HTTP/1.1 502 Bad Gateway\r\n"},
		{node.Answer{Kind: node.Failed, Late: true}, "HTTP/1.1 504 Gateway Timeout\r\n"},
	} {
		if got := string(render(c.a)); !strings.Contains(got, c.want) {
			t.Errorf("%+v: %q lacks %q", c.a, got, c.want)
		}
	}
}

// core answers by body, and notes who has gone.
type core struct {
	answer map[string]node.Answer
	read   chan string // ids
	gone   chan string
}

func (c *core) Submit(q node.Request, reply func(node.Answer)) {
	c.read <- q.ID
	for body, a := range c.answer {
		if bytes.HasSuffix(q.Body, []byte(body)) {
			reply(a)
		}
	}
}

func (c *core) Gone(id string) { c.gone <- id }

type mapper struct{}

func (mapper) Map(vars map[string]string, _ *node.Request) int {
	if vars["PATH_INFO"] != "/" {
		return http.StatusNotFound
	}
	return 0
}

func front(t *testing.T, c *core, change func(l *limits.Limits)) (*Front, net.Conn) {
	t.Helper()
	lim := limits.For(64, 256)
	if change != nil {
		change(&lim)
	}
	ln := standin.Listen(t)
	f := New(Options{Core: c, Mapper: mapper{}, Limits: lim, Log: standin.Quiet})
	go f.Serve(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return f, conn
}

func TestFrontAnswers(t *testing.T) {
	at := [2]string{"PATH_INFO", "/"}
	for _, c := range []struct {
		name, in, status string
		count            func(c Counts) int
	}{
		{"served", packetOf(t, "fine", at, [2]string{"CONTENT_LENGTH", "4"}), "HTTP/1.1 200 ", func(c Counts) int { return c.Read }},
		{"refused", packetOf(t, "full", at, [2]string{"CONTENT_LENGTH", "4"}), "HTTP/1.1 503 ", func(c Counts) int { return c.Read }},
		{"not described", packetOf(t, "", [2]string{"PATH_INFO", "/x"}), "HTTP/1.1 404 ", func(c Counts) int { return c.Read }},
		{"malformed", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400 ", func(c Counts) int { return c.Malformed }},
		{"oversize", packetOf(t, "", at, [2]string{"CONTENT_LENGTH", "1000000000"}), "HTTP/1.1 413 ", func(c Counts) int { return c.Oversize }},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &core{read: make(chan string, 1), gone: make(chan string, 1), answer: map[string]node.Answer{
				"fine": {Result: []byte("HTTP/1.1 200 OK\r\n\r\n")}, "full": {Kind: node.Refused}}}
			f, conn := front(t, k, nil)
			if _, err := io.WriteString(conn, c.in); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			if err != nil && len(got) == 0 || !strings.HasPrefix(string(got), c.status) {
				t.Errorf("got %q, %v; want %s", got, err, c.status)
			}
			if n := c.count(f.Totals()); n != 1 {
				t.Errorf("counted %d of 1", n)
			}
		})
	}
}

// TestCallerLeaves covers a caller that gives up in the middle of its request, and one that does after it.
func TestCallerLeaves(t *testing.T) {
	whole := packetOf(t, "wait", [2]string{"PATH_INFO", "/"}, [2]string{"CONTENT_LENGTH", "4"})
	for _, sent := range []int{1, 6, len(whole) - 1, len(whole)} {
		k := &core{read: make(chan string, 1), gone: make(chan string, 1)}
		f, conn := front(t, k, nil)
		if _, err := io.WriteString(conn, whole[:sent]); err != nil {
			t.Fatal(err)
		}
		if sent < len(whole) {
			conn.Close()
			waitFor(t, func() bool { return f.Totals().Left == 1 })
			if len(k.read) != 0 {
				t.Errorf("%d bytes reached the core", sent)
			}
			continue
		}
		id := <-k.read
		conn.Close()
		if gone := <-k.gone; gone != id {
			t.Errorf("%s gone, want %s", gone, id)
		}
	}
}

func TestSlowRequestIsTimedOut(t *testing.T) {
	k := &core{read: make(chan string, 1)}
	_, conn := front(t, k, func(l *limits.Limits) { l.Message = 20 * time.Millisecond })
	if _, err := io.WriteString(conn, "\x00\x05"); err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(conn); !strings.HasPrefix(string(got), "HTTP/1.1 408 ") {
		t.Errorf("got %q", got)
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(standin.Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come")
		}
	}
}

// ends notes how runs ended.
type ends struct {
	got chan gate.Outcome
}

func (e *ends) Ended(_ string, o gate.Outcome, _ time.Duration, _ []byte) { e.got <- o }

func TestRunOutcomes(t *testing.T) {
	down := standin.Listen(t)
	down.Close()
	hold := make(chan struct{})
	up := standin.NewServer(t, func(body string) string {
		if body == "hold" {
			<-hold
		}
		return map[string]string{"fine": "HTTP/1.1 200 OK\r\n\r\nok"}[body]
	})
	defer close(hold)
	for _, c := range []struct {
		name, body string
		servers    []string
		stop       bool
		want       gate.Outcome
	}{
		{"served", "fine", []string{up.Address}, false, logic.OK},
		{"the first server is down", "fine", []string{down.Addr().String(), up.Address}, false, logic.OK},
		{"all are down: it never ran", "fine", []string{down.Addr().String()}, false, logic.Moot},
		{"no answer: it may have run", "none", []string{up.Address, up.Address}, false, logic.Failed},
		{"stopped", "hold", []string{up.Address}, true, logic.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &ends{got: make(chan gate.Outcome, 1)}
			s := NewServers(nil, limits.For(64, 256), standin.Quiet)
			s.Use(c.servers)
			s.Serve(e)
			before := up.Runs(c.body)
			s.Start("1", "", []byte(packetOf(t, c.body, [2]string{"CONTENT_LENGTH", "4"})))
			if c.stop {
				waitFor(t, func() bool { return up.Runs(c.body) > before })
				s.Stop("1")
			}
			if got := <-e.got; got != c.want {
				t.Errorf("outcome %v, want %v", got, c.want)
			}
			if ran := up.Runs(c.body) - before; ran > 1 {
				t.Errorf("sent to servers %d times", ran)
			}
		})
	}
}
