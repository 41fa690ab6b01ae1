package daemon

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/logbuffer"
	"sloehitch/internal/testing/standin"
)

// reloadRig is a node that runs from files, which a test replaces before SIGHUP.
type reloadRig struct {
	*testNode
	t       *testing.T
	dir     string
	servers []string // of the uwsgi front
	runtime string   // address; empty: none
	reloads chan os.Signal
	log     *logbuffer.Buffer
}

// rigFiles is what a test varies in the files of a node. The uwsgi front serves the operations.
type rigFiles struct {
	classes       string // JSON objects, as rigClass returns them
	operations    string // lines of YAML, as rigOperation returns them
	deploy        string // further lines of the deployment file
	uwsgi         string // further lines of its section [uwsgi]
	withoutUwsgi  bool
	replace, with string // of a text in the platform's file
}

// rigClass returns a class of the settings.
func rigClass(name, semantics string) string {
	return fmt.Sprintf(`{"name":%q,"objective":40000000,"hard-limit":60000000,"credit":1,"semantics":%q,"window":5000000}`, name, semantics)
}

// rigOperation returns the operation POST path of the OpenAPI document; more are further fields of its extension.
func rigOperation(path, class, semantics, more string) string {
	return fmt.Sprintf("  %s:\n    post:\n      responses: {\"200\": {description: done}}\n      x-sloehitch: {class: %s, semantics: %s%s}\n", path, class, semantics, more)
}

// oneClass returns files whose only class, book, has the given semantics and serves POST /book.
func oneClass(semantics, more string) rigFiles {
	return rigFiles{classes: rigClass("book", semantics), operations: rigOperation("/book", "book", semantics, more)}
}

// serveFiles starts a node from files. It is stopped at the end of the test.
func serveFiles(t *testing.T, files rigFiles, runtime string, servers ...string) *reloadRig {
	t.Helper()
	s := &testNode{address: standin.FreeAddress(t), uwsgi: standin.FreeAddress(t), stop: make(chan os.Signal, 1), stopped: make(chan error, 1)}
	r := &reloadRig{testNode: s, t: t, dir: t.TempDir(), servers: servers, runtime: runtime, reloads: make(chan os.Signal, 1), log: &logbuffer.Buffer{}}
	r.write(files)
	load := func() (*Config, error) {
		return Load(filepath.Join(r.dir, "config.json"), filepath.Join(r.dir, "deploy.toml"))
	}
	c, err := load()
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(r.log, nil))
	if s.Daemon, err = Start(c, Options{Limits: limits.For(64, 256), Log: log, Reload: r.reloads, Load: load}); err != nil {
		t.Fatal(err)
	}
	go func() { s.stopped <- s.Run(ReceivedAt(s.stop)) }()
	t.Cleanup(func() {
		s.stop <- syscall.SIGTERM
		if err := <-s.stopped; err != nil {
			t.Error(err)
		}
	})
	return r
}

// write replaces the files.
func (r *reloadRig) write(files rigFiles) {
	r.t.Helper()
	uwsgi := ""
	if !files.withoutUwsgi {
		uwsgi = fmt.Sprintf("[uwsgi]\nlisten = %q\nservers = [\"%s\"]\nopenapi = \"openapi.yaml\"\n%s", r.uwsgi, strings.Join(r.servers, `", "`), files.uwsgi)
	}
	base := standin.Config(r.address, r.runtime, "", longDeadline)
	from := strings.Index(base, `"classes":[`)
	to := strings.LastIndex(base[:strings.Index(base, `"counted-by"`)], "]")
	base = base[:from] + `"classes":[` + files.classes + base[to:]
	base = strings.Replace(base, `"class-calls":[true,true],`, ``, 1)
	base = strings.Replace(base, `"degraded-worth":[0.6,0],`, ``, 1)
	if files.replace != "" && !strings.Contains(base, files.replace) {
		r.t.Fatalf("the platform's file lacks %s", files.replace)
	}
	base = strings.Replace(base, files.replace, files.with, 1)
	for name, text := range map[string]string{
		"config.json":  strings.Replace(base, `"stop_ms":3000`, `"stop_ms":600`, 1),
		"deploy.toml":  files.deploy + uwsgi,
		"openapi.yaml": "openapi: 3.0.3\ninfo: {title: booking, version: \"1\"}\npaths:\n" + files.operations,
	} {
		if err := os.WriteFile(filepath.Join(r.dir, name), []byte(text), 0o600); err != nil {
			r.t.Fatal(err)
		}
	}
}

// reload replaces the files, sends SIGHUP and reports whether they were applied.
func (r *reloadRig) reload(files rigFiles) (applied bool) {
	r.t.Helper()
	before, rejected := r.counts.applied.Load(), r.counts.rejected.Load()
	r.write(files)
	r.reloads <- syscall.SIGHUP
	standin.WaitFor(r.t, "the files are applied or rejected", func() bool {
		return r.counts.applied.Load()+r.counts.rejected.Load() > before+rejected
	})
	return r.counts.applied.Load() > before
}

// post sends POST path with a body and variables, and returns the channel of the response's status.
func (r *reloadRig) post(path, body string, vars ...[2]string) <-chan string {
	status := make(chan string, 1)
	go func() {
		response := sendUwsgi(r.t, r.uwsgi, body, append([][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", path}}, vars...)...)
		line, _, _ := strings.Cut(strings.TrimPrefix(response, "HTTP/1.1 "), "\r\n")
		status <- line
	}()
	return status
}

// rigKey is the variable with an idempotency key.
func rigKey(key string) [2]string { return [2]string{"HTTP_IDEMPOTENCY_KEY", key} }

// breakingServers are two uwsgi servers. The one that reads a request first whose body starts with "break" ends the connection without a
// response once release is closed; the other one responds. So each such request fails at its first attempt, however the pool chooses
// its servers. A request whose body starts with "hold" is answered once releaseHeld is closed.
type breakingServers struct {
	addresses   []string
	release     chan struct{}
	releaseHeld chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// newBreakingServers starts the servers.
func newBreakingServers(t *testing.T) *breakingServers {
	b := &breakingServers{release: make(chan struct{}), releaseHeld: make(chan struct{}), runs: map[string]int{}}
	for range 2 {
		server := standin.NewServer(t, func(body string) string {
			b.mu.Lock()
			b.runs[body]++
			first := b.runs[body] == 1
			b.mu.Unlock()
			if first && strings.HasPrefix(body, "break") {
				<-b.release
				return ""
			}
			if strings.HasPrefix(body, "hold") {
				<-b.releaseHeld
			}
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		})
		b.addresses = append(b.addresses, server.Address)
	}
	return b
}

// received returns how often a request with this body was read by a server.
func (b *breakingServers) received(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// waitReceived waits until a request with this body was read by a server.
func (b *breakingServers) waitReceived(t *testing.T, body string) {
	t.Helper()
	standin.WaitFor(t, "a server has read "+body, func() bool { return b.received(body) > 0 })
}

// expect waits for a response and checks its status and how often the request ran.
func (b *breakingServers) expect(t *testing.T, body string, status <-chan string, want string, runs int) {
	t.Helper()
	select {
	case got := <-status:
		if got != want || b.received(body) != runs {
			t.Errorf("%s: %s, %d runs; want %s, %d runs", body, got, b.received(body), want, runs)
		}
	case <-time.After(standin.WaitTimeout):
		t.Errorf("%s: no response", body)
	}
}
