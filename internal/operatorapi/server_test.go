package operatorapi

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		line string
		call Call
		err  string
	}{
		{"readyz", Readyz, ""},
		{"telemetry\r", Telemetry, ""},
		{"  EVACUATE ", Evacuate, ""},
		{"activate", Activate, ""},
		{"", 0, "empty call"},
		{"   \r", 0, "empty call"},
		{"drain", 0, `unknown call "drain"`},
		{"readyz now", 0, `"readyz" takes no arguments`},
		{strings.Repeat("x", 40), 0, "..."},
	} {
		call, err := Parse(c.line)
		if call != c.call || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("Parse(%q) = %v, %v; want %v, %q", c.line, call, err, c.call, c.err)
		}
	}
}

func TestFiguresAppend(t *testing.T) {
	f := Report{Classes: []Class{{Name: "book", OK: 812, Shed: 3, Errors: 1, Attempts: 815}}, InFlight: 14, ConfigApplied: 2, ConfigRejected: 1}
	want := "app.responses.book.ok:812|c\napp.responses.book.shed:3|c\napp.responses.book.errors:1|c\napp.responses.book.tries:815|c\n" +
		"app.active:14|g\napp.config_applied:2|c\napp.config_rejected:1|c\n"
	if got := string(f.Append(nil)); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// node is a Handler that keeps what it was told.
type node struct {
	mu        sync.Mutex
	evacuated bool
}

func (n *node) Ready() bool { return true }
func (n *node) Report() Report {
	return Report{Classes: []Class{{Name: "search", OK: 1}}, InFlight: 2}
}
func (n *node) Evacuate() { n.mu.Lock(); n.evacuated = true; n.mu.Unlock() }
func (n *node) Activate() { n.mu.Lock(); n.evacuated = false; n.mu.Unlock() }
func (n *node) out() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.evacuated }

func serve(t *testing.T, lim limits.Limits) (*node, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &node{}
	s := New(h, lim, standin.DiscardLogger)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h, ln.Addr().String()
}

// call sends line and reads all that comes back until the server closes.
func call(t *testing.T, address, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte(line)); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	r := bufio.NewReader(c)
	for {
		l, err := r.ReadString('\n')
		b.WriteString(l)
		if err != nil {
			return b.String()
		}
	}
}

func TestCalls(t *testing.T) {
	h, address := serve(t, limits.For(64, 384))
	for _, c := range []struct{ line, want string }{
		{"readyz\n", "ACK ready\n"},
		{"telemetry\n", "ACK\napp.responses.search.ok:1|c\napp.responses.search.shed:0|c\napp.responses.search.errors:0|c\n" +
			"app.responses.search.tries:0|c\napp.active:2|g\napp.config_applied:0|c\napp.config_rejected:0|c\n--\n"},
		{"evacuate\n", "ACK evacuating\n"},
		{"nonsense\n", "NAK unknown call \"nonsense\": readyz, telemetry, evacuate or activate\n"},
		{strings.Repeat("a", 300) + "\n", "NAK call too long\n"},
	} {
		if got := call(t, address, c.line); got != c.want {
			t.Errorf("%.20q: got %q, want %q", c.line, got, c.want)
		}
	}
	if !h.out() {
		t.Error("evacuate did not reach the handler")
	}
	if got := call(t, address, "activate\r\n"); got != "ACK active\n" || h.out() {
		t.Errorf("activate: %q, evacuated %v", got, h.out())
	}
}

// Callers that say nothing or half a call hold up nobody; beyond the seats a caller hears NAK at once; a silent caller
// is let go when its time is up.
func TestSilentCallers(t *testing.T) {
	lim := limits.For(64, 384)
	lim.OperatorConnections = 4
	lim.OperatorCallTimeout = time.Hour // only the test ends them
	_, address := serve(t, lim)
	var silent []net.Conn
	for i := range lim.OperatorConnections - 1 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 1 {
			c.Write([]byte("telem")) // half a call
		}
		silent = append(silent, c)
	}
	if got := call(t, address, "readyz\n"); got != "ACK ready\n" {
		t.Errorf("with silent callers: %q", got)
	}
	// Fill the last seat; the next caller is turned away at once. The seat is held until its caller's call is answered.
	last, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	silent = append(silent, last)
	deadline := time.Now().Add(time.Minute)
	for {
		got := call(t, address, "readyz\n")
		if strings.HasPrefix(got, "NAK busy") {
			break
		}
		if got != "ACK ready\n" || time.Now().After(deadline) {
			t.Fatalf("with every seat taken: %q", got)
		}
	}
	for _, c := range silent {
		c.Close()
	}
}

// A caller that says nothing within its time is let go without a word.
func TestCallerLetGo(t *testing.T) {
	lim := limits.For(64, 384)
	lim.OperatorCallTimeout = 50 * time.Millisecond
	_, address := serve(t, lim)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("ready"))
	c.SetReadDeadline(time.Now().Add(time.Minute))
	n, err := c.Read(make([]byte, 16))
	if n != 0 || err == nil || isTimeout(err) {
		t.Errorf("a half call past its time: %d bytes, %v; want the connection closed", n, err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestACallThatGoesOn: what follows a call, or makes it too long, does not reset the connection that carries the answer.
func TestACallThatGoesOn(t *testing.T) {
	for _, call := range []string{"readyz\nand more\n" + strings.Repeat("x", 1000), strings.Repeat("x", 8000) + "\n"} {
		_, address := serve(t, limits.For(64, 256))
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte(call)); err != nil {
			t.Fatal(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(c)
		if err != nil || !strings.Contains(string(answer), "\n") {
			t.Errorf("%.20q: answer %q, %v", call, answer, err)
		}
	}
}
