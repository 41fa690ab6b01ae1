package daemon

import (
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/testing/standin"
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

// TestStartThatMayBeLostIsNotSentAgainOnceFragile guards against a second run in the runtime: the link to it sends a start again that
// a broken connection may have lost, and kept what the class allowed when the run was started.
func TestStartThatMayBeLostIsNotSentAgainOnceFragile(t *testing.T) {
	for _, c := range []struct {
		semantics, want string
		starts          int
	}{{"retryable", "ACK", 1}, {"fragile", "FAIL", 0}} {
		t.Run(c.semantics, func(t *testing.T) {
			shortDeadline := func(semantics string) rigFiles {
				return rigFiles{withoutUwsgi: true, classes: strings.Replace(rigClass("search", semantics), "60000000", "2000000", 1)}
			}
			rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
			r := serveFiles(t, shortDeadline("retryable"), rt.Address)
			<-rt.Syncs
			b := standin.Dial(t, r.address)
			defer b.Close()
			dropped := rt.DropCommands() // the runtime reads the start, and the node can't know that it is not carried out
			b.Do(1, "search", standin.RequestID(1), time.Now(), "body", "")
			standin.WaitFor(t, "the start is written", func() bool { return rt.DroppedCommands() > dropped })
			if !r.reload(shortDeadline(c.semantics)) {
				t.Fatal("the files were rejected")
			}
			rt.Disconnect()
			if got := b.Read(); len(got) < 2 || got[1] != c.want || rt.Runs("body") != c.starts {
				t.Errorf("answer %q after %d starts, want %s after %d", got, rt.Runs("body"), c.want, c.starts)
			}
		})
	}
}

// TestDescriptionIsAppliedAtReload guards against a front that goes on with the OpenAPI document of the start: after SIGHUP an operation
// moved to a fragile class was still retried and ran twice, each keyed request of a class that had become dedup was answered 503 as
// its key was not read, and a new operation was answered 404.
func TestDescriptionIsAppliedAtReload(t *testing.T) {
	two := rigClass("search", "retryable") + "," + rigClass("move", "fragile")
	find := func(class, semantics string) rigFiles {
		return rigFiles{classes: two, operations: rigOperation("/find", class, semantics, "")}
	}
	dedup := oneClass("dedup", `, key: "header:Idempotency-Key"`)
	added := rigFiles{classes: rigClass("book", "retryable") + "," + rigClass("move", "fragile"),
		operations: rigOperation("/book", "book", "retryable", "") + rigOperation("/move", "move", "fragile", "")}
	replaced := rigFiles{classes: rigClass("reserve", "fragile"), operations: rigOperation("/book", "reserve", "fragile", "")}
	for _, c := range []struct {
		name      string
		from, to  rigFiles
		pathOut   string // of a request that is out during the reload, and whose server then breaks off; empty: none
		wantOut   string
		runsOut   int
		path      string // of a request read afterwards
		wantLater string
		runsLater int
	}{
		{"moved to a fragile class", find("search", "retryable"), find("move", "fragile"), "/find", mayHaveRun, 1, "/find", mayHaveRun, 1},
		{"moved to a retryable class", find("move", "fragile"), find("search", "retryable"), "/find", mayHaveRun, 1, "/find", served, 2},
		{"class made dedup, with a key", oneClass("retryable", ""), dedup, "/book", mayHaveRun, 1, "/book", mayHaveRun, 1},
		{"class and operation added", oneClass("retryable", ""), added, "/book", served, 2, "/move", mayHaveRun, 1},
		{"class replaced", oneClass("fragile", ""), replaced, "/book", mayHaveRun, 1, "/book", mayHaveRun, 1},
		{"retryable class replaced by a fragile one", oneClass("retryable", ""), replaced, "/book", mayHaveRun, 1, "/book", mayHaveRun, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := newBreakingServers(t)
			r := serveFiles(t, c.from, "", servers.addresses...)
			out := r.post(c.pathOut, "break out")
			servers.waitReceived(t, "break out")
			if !r.reload(c.to) {
				t.Fatal("the files were rejected")
			}
			close(servers.release)
			servers.expect(t, "break out", out, c.wantOut, c.runsOut)
			servers.expect(t, "break later", r.post(c.path, "break later", rigKey("k1")), c.wantLater, c.runsLater)
			if t.Failed() {
				t.Log(r.log.String())
			}
		})
	}
}

// TestKeysOfClassMadeDedupAreKept guards against a reload after which each keyed request of a class is answered 503: the class needs
// keys from then on, and the front still read none.
func TestKeysOfClassMadeDedupAreKept(t *testing.T) {
	servers := newBreakingServers(t)
	r := serveFiles(t, oneClass("retryable", ""), "", servers.addresses...)
	if !r.reload(oneClass("dedup", `, key: "header:Idempotency-Key"`)) {
		t.Fatal("the files were rejected")
	}
	for range 2 { // the second is answered with the result of the first
		servers.expect(t, "booking", r.post("/book", "booking", rigKey("k1")), served, 1)
	}
	servers.expect(t, "without", r.post("/book", "without"), "400 Bad Request", 0)
}

// TestKeyThatRanIsKeptWhileDescriptionNamesIt guards against a second run of a key within its window after a reload that made its class
// fragile or retryable. If the description no longer names the key, the node can't know it, and the log says so.
func TestKeyThatRanIsKeptWhileDescriptionNamesIt(t *testing.T) {
	const key = `, key: "header:Idempotency-Key"`
	const warning = `msg="operations no longer read the idempotency key that they did; a repeat of a request from before is taken for a new one" operations="[POST /book]"`
	for _, semantics := range []string{"retryable", "fragile"} {
		t.Run(semantics, func(t *testing.T) {
			servers := newBreakingServers(t)
			r := serveFiles(t, oneClass("dedup", key), "", servers.addresses...)
			servers.expect(t, "booking", r.post("/book", "booking", rigKey("k1")), served, 1)
			if !r.reload(oneClass(semantics, key)) {
				t.Fatal("the files were rejected")
			}
			servers.expect(t, "booking", r.post("/book", "booking", rigKey("k1")), served, 1)
			if strings.Contains(r.log.String(), warning) {
				t.Error("warned although the key is still read")
			}
			if !r.reload(oneClass(semantics, "")) {
				t.Fatal("the files were rejected")
			}
			if !strings.Contains(r.log.String(), warning) {
				t.Errorf("no warning about the key in the log:\n%s", r.log.String())
			}
		})
	}
}

// TestDescriptionWithoutChangeOfSettingsIsApplied guards against a reload that compares only the text of the settings, so that changed
// weights and estimates of the OpenAPI document had no effect.
func TestDescriptionWithoutChangeOfSettingsIsApplied(t *testing.T) {
	servers := newBreakingServers(t)
	r := serveFiles(t, oneClass("retryable", ", work-ms: 10, kb: 5, worth: 2"), "", servers.addresses...)
	if !r.reload(oneClass("retryable", `, work-ms: 20, kb: 7, worth: 3, tenant: "header:Project"`)) {
		t.Fatal("the files were rejected")
	}
	q := node.Request{Tenant: -1}
	get := func(name string) string {
		return map[string]string{"REQUEST_METHOD": "POST", "PATH_INFO": "/book", "HTTP_PROJECT": "acme"}[name]
	}
	if status := r.operations.Map(get, &q); status != 0 || q.WorkHint != 20*time.Millisecond || q.MemoryKB != 7 || q.Tenant != 0 {
		t.Errorf("mapped to status %d, %+v", status, q)
	}
	if weight := r.platform.Logic.Classes[0].PriorityWeight; weight != 3 {
		t.Errorf("weight %v in the settings in force, want 3", weight)
	}
	servers.expect(t, "one", r.post("/book", "one"), served, 1)
}

// TestReloadWithoutUwsgiSectionThatChangesItsClassIsRejected guards against a front that serves an OpenAPI document whose semantics
// differ from those of the settings: without the section the document is not read again, and the front serves until a restart.
func TestReloadWithoutUwsgiSectionThatChangesItsClassIsRejected(t *testing.T) {
	servers := newBreakingServers(t)
	close(servers.release)
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	r := serveFiles(t, oneClass("retryable", ""), rt.Address, servers.addresses...)
	files := oneClass("dedup", "")
	files.withoutUwsgi = true
	if r.reload(files) {
		t.Error("the files were applied")
	}
	if want := `semantics \"retryable\" differs from that of class book`; !strings.Contains(r.log.String(), want) {
		t.Errorf("the log lacks %s:\n%s", want, r.log.String())
	}
	servers.expect(t, "break 1", r.post("/book", "break 1"), served, 2)
	files = oneClass("retryable", "")
	if files.withoutUwsgi = true; !r.reload(files) {
		t.Errorf("the files without the section and with the same class were rejected:\n%s", r.log.String())
	}
	servers.expect(t, "break 2", r.post("/book", "break 2"), served, 2)
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
