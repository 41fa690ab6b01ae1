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

func TestReportAppend(t *testing.T) {
	r := Report{Classes: []Class{{Name: "book", OK: 812, Shed: 3, Errors: 1, Attempts: 815}}, InFlight: 14, ConfigApplied: 2, ConfigRejected: 1}
	want := "app.responses.book.ok:812|c\napp.responses.book.shed:3|c\napp.responses.book.errors:1|c\napp.responses.book.tries:815|c\n" +
		"app.active:14|g\napp.config_applied:2|c\napp.config_rejected:1|c\n"
	if got := string(r.Append(nil)); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// fakeHandler is a Handler that records whether it was evacuated.
type fakeHandler struct {
	mu        sync.Mutex
	evacuated bool
}

func (h *fakeHandler) Ready() bool { return true }
func (h *fakeHandler) Report() Report {
	return Report{Classes: []Class{{Name: "search", OK: 1}}, InFlight: 2}
}
func (h *fakeHandler) Evacuate()         { h.mu.Lock(); h.evacuated = true; h.mu.Unlock() }
func (h *fakeHandler) Activate()         { h.mu.Lock(); h.evacuated = false; h.mu.Unlock() }
func (h *fakeHandler) isEvacuated() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.evacuated }

func serve(t *testing.T, lim limits.Limits) (*fakeHandler, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeHandler{}
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

// call sends a line and returns everything that the server sends until it closes the connection.
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
	if !h.isEvacuated() {
		t.Error("the call evacuate did not reach the handler")
	}
	if got := call(t, address, "activate\r\n"); got != "ACK active\n" || h.isEvacuated() {
		t.Errorf("activate: %q, evacuated %v", got, h.isEvacuated())
	}
}

// TestSilentCallersDelayNoOtherCall checks that connections without a call or with an incomplete one delay no other
// call, and that a connection beyond the slots is answered "NAK busy" at once.
func TestSilentCallersDelayNoOtherCall(t *testing.T) {
	lim := limits.For(64, 384)
	lim.OperatorConnections = 4
	lim.OperatorCallTimeout = time.Hour // longer than the test: the server closes no silent connection
	_, address := serve(t, lim)
	var silent []net.Conn
	for i := range lim.OperatorConnections - 1 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 1 {
			c.Write([]byte("telem")) // an incomplete call
		}
		silent = append(silent, c)
	}
	if got := call(t, address, "readyz\n"); got != "ACK ready\n" {
		t.Errorf("answer %q beside silent callers, want ACK ready", got)
	}
	// Take the last slot, so that the next connection is rejected at once. The slot of the call before may be released
	// only after its answer was read.
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
			t.Fatalf("answer %q with all slots taken, want NAK busy", got)
		}
	}
	for _, c := range silent {
		c.Close()
	}
}

// TestIncompleteCallIsClosedAfterTimeout checks that a connection whose call is not complete within
// OperatorCallTimeout is closed without an answer.
func TestIncompleteCallIsClosedAfterTimeout(t *testing.T) {
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
		t.Errorf("incomplete call after the timeout: read %d bytes, %v; want the connection closed", n, err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestExcessInputDoesNotResetTheAnswer checks that data after a call, or a call that is too long, does not lose the
// answer to a reset of the connection.
func TestExcessInputDoesNotResetTheAnswer(t *testing.T) {
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
