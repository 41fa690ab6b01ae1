package daemon

import (
	"strings"
	"testing"
)

// served is the status of a response that a server sent.
const served = "200 OK"

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
