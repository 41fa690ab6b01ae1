package daemon

import (
	"sloehitch/internal/testing/standin"
	"strings"
	"testing"
)

// The statuses of the tests' responses.
const (
	served     = "200 OK"
	mayHaveRun = "502 Bad Gateway"
)

// TestRequestOfClassMadeFragileIsNotRetried guards against a booking that runs on two uwsgi servers: the pool asked the classes as
// they were at the start, so a class that SIGHUP had made fragile was still retried after a server broke off.
func TestRequestOfClassMadeFragileIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		want           string // of requests that are out during the reload
		runs           int
		wantLater      string // of requests read after it
		runsLater      int
	}{
		{"retryable to fragile", "retryable", "fragile", mayHaveRun, 1, mayHaveRun, 1},
		{"fragile to retryable", "fragile", "retryable", mayHaveRun, 1, served, 2},
		{"retryable stays", "retryable", "retryable", served, 2, served, 2},
		{"fragile stays", "fragile", "fragile", mayHaveRun, 1, mayHaveRun, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := newBreakingServers(t)
			r := serveFiles(t, oneClass(c.from, ""), "", servers.addresses...)
			out := r.post("/book", "break out")
			servers.waitReceived(t, "break out")
			if !r.reload(oneClass(c.to, "")) {
				t.Fatal("the files were rejected")
			}
			close(servers.release)
			servers.expect(t, "break out", out, c.want, c.runs)
			servers.expect(t, "break later", r.post("/book", "break later"), c.wantLater, c.runsLater)
			if t.Failed() {
				t.Log(r.log.String())
			}
		})
	}
}

// TestRetryThatWaitsForServerIsNotSentOnceFragile guards against the second run of a request whose retry was allowed, and then waited
// for a server while SIGHUP made its class fragile.
func TestRetryThatWaitsForServerIsNotSentOnceFragile(t *testing.T) {
	servers := newBreakingServers(t)
	r := serveFiles(t, rigFiles{classes: rigClass("book", "retryable"), operations: rigOperation("/book", "book", "retryable", ""), uwsgi: "server_most = 1\n"}, "", servers.addresses...)
	held := r.post("/book", "hold")
	servers.waitReceived(t, "hold")
	out := r.post("/book", "break out")
	servers.waitReceived(t, "break out")
	close(servers.release)
	standin.WaitFor(t, "the retry waits for the server of the other request", func() bool {
		return strings.Contains(r.log.String(), "uwsgi attempt failed, retrying on another server")
	})
	if !r.reload(oneClass("fragile", "")) {
		t.Fatal("the files were rejected")
	}
	close(servers.releaseHeld)
	servers.expect(t, "hold", held, served, 1)
	servers.expect(t, "break out", out, mayHaveRun, 1)
}

// TestLogTellsWhyFailedAttemptWasRetried checks that the log says of a failed attempt what decided about its retry, and of a reload
// whose classes' semantics it changed, so that a request that ran twice can be explained.
func TestLogTellsWhyFailedAttemptWasRetried(t *testing.T) {
	servers := newBreakingServers(t)
	close(servers.release)
	r := serveFiles(t, oneClass("retryable", ""), "", servers.addresses...)
	servers.expect(t, "break 1", r.post("/book", "break 1"), served, 2)
	r.reload(oneClass("fragile", ""))
	for _, want := range []string{"uwsgi attempt failed, retrying on another server", "sent true", "semantics=\"[book: retryable to fragile]\""} {
		if !strings.Contains(r.log.String(), want) {
			t.Errorf("the log lacks %q:\n%s", want, r.log.String())
		}
	}
}
