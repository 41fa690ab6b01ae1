package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
	"sloehitch/internal/testing/loopback"
)

// testRun is the execution of a plan.
type testRun struct {
	plan     Plan
	command  Command
	dir      string
	hookDir  string
	listen   string
	listener *os.File // that processes inherit; nil: each listens itself

	record         *Record
	requests       *requestTable
	catalogue      *catalogue
	clientProxy    *linkproxy.Proxy
	catalogueProxy *linkproxy.Proxy
	directory      *directory
	connections    atomic.Int64
	stopped        atomic.Bool

	mu               sync.Mutex
	processes        []*process
	resets           []time.Duration // of clients' connections, by a fault
	pauses           []pause
	schedulingDelays []pause        // of the machine that the test run runs on
	attempts         map[string]int // of each key
	unexpected       []string
	counts           map[string]int // faults carried out, by kind
}

// pause is a period in which the process did not run.
type pause struct{ from, to time.Duration }

// Run carries out a plan with files in dir, checks it and returns the report. It blocks for the plan's length and more. An error means that
// the rig itself failed; violations of rules are in the report.
func Run(plan Plan, command Command, dir string) (*Report, error) {
	run := &testRun{plan: plan, command: command, dir: dir, hookDir: filepath.Join(dir, "trial"),
		record: newRecord(), requests: newRequests(), attempts: map[string]int{}, counts: map[string]int{}}
	if err := os.MkdirAll(run.hookDir, 0o700); err != nil {
		return nil, err
	}
	if err := run.open(); err != nil {
		return nil, err
	}
	defer run.close()
	first, err := run.startProcess()
	if err != nil {
		return nil, err
	}
	if err := run.untilReady(first); err != nil {
		return nil, err
	}
	run.runTraffic()
	return run.check(), nil
}

// open starts the stand-ins and the links to them.
func (run *testRun) open() (err error) {
	addresses, err := loopback.Addresses(1)
	if err != nil {
		return err
	}
	run.listen = addresses[0]
	if run.plan.Site.Shared {
		if run.listener, err = sharedListener(run.listen); err != nil {
			return err
		}
	}
	if run.catalogue, err = newCatalogue(run.record, run.plan.Seed); err != nil {
		return err
	}
	if run.directory, err = newDirectory(run.record); err != nil {
		return err
	}
	if run.clientProxy, err = run.newProxy("client", run.listen); err != nil {
		return err
	}
	run.catalogueProxy, err = run.newProxy("catalogue", run.catalogue.listener.Addr().String())
	return err
}

// sharedListener listens on an address for processes to inherit. A process that is being forked at the same moment holds descriptors that
// were just closed here until it execs, so the address may be busy for a moment: it is tried again.
func sharedListener(address string) (*os.File, error) {
	ln, err := net.Listen("tcp", address)
	for attempt := 0; err != nil && attempt < 100; attempt++ {
		time.Sleep(stallCheckInterval)
		ln, err = net.Listen("tcp", address)
	}
	if err != nil {
		return nil, err
	}
	defer ln.Close() // the file is another descriptor of it
	return ln.(*net.TCPListener).File()
}

func (run *testRun) newProxy(name, server string) (*linkproxy.Proxy, error) {
	l, err := linkproxy.New(server, run.plan.Seed)
	if err != nil {
		return nil, err
	}
	l.Set(linkproxy.ToServer, run.plan.Links[name].ToServer)
	l.Set(linkproxy.ToClient, run.plan.Links[name].ToClient)
	return l, nil
}

// close kills the processes that are left, and closes proxies and stand-ins.
func (run *testRun) close() {
	run.stopped.Store(true)
	run.mu.Lock()
	lives := run.processes
	run.mu.Unlock()
	for _, l := range lives {
		run.signal(l, syscall.SIGCONT)
		run.signal(l, syscall.SIGKILL)
		<-l.done
	}
	for _, l := range append(run.runtimeProxies(), run.clientProxy, run.catalogueProxy) {
		if l != nil {
			l.Close()
		}
	}
	if run.catalogue != nil {
		run.catalogue.listener.Close()
	}
	if run.directory != nil {
		run.directory.close()
	}
	if run.listener != nil {
		run.listener.Close()
	}
}

// runtimeProxies returns the proxies between all processes and their runtimes.
func (run *testRun) runtimeProxies() (all []*linkproxy.Proxy) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, l := range run.processes {
		all = append(all, l.proxies...)
	}
	return all
}

// configure replaces a process's configuration file atomically.
func (run *testRun) configure(l *process) error {
	run.mu.Lock()
	link := l.proxies[l.activeProxy]
	run.mu.Unlock()
	config := map[string]any{"name": "n1", "listen": run.listen, "runtime": link.Address(), "catalog": run.catalogueProxy.Address(), "lookup": run.directory.address(),
		"seed": fmt.Sprint(run.plan.Seed), "stop_ms": run.plan.Site.Stop().Milliseconds(),
		"limits": map[string]any{"cores": 1, "memory_mb": run.plan.Site.MemoryMB, "sockets": run.plan.Site.Sockets}, "settings": json.RawMessage(run.plan.Site.settings())}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(l.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(l.config+".new", l.config)
}

// readyTimeout is the longest that a process may take to serve.
const readyTimeout = 10 * time.Second

func (run *testRun) untilReady(l *process) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		run.mu.Lock()
		ready, ended := l.readyAt > 0, l.endedAt > 0
		run.mu.Unlock()
		if ready {
			return nil
		}
		if ended {
			break
		}
	}
	return fmt.Errorf("process %d does not serve:\n%s", l.number, l.log.String())
}

func (run *testRun) sleepUntil(at time.Duration) { time.Sleep(at - run.record.now()) }

// trafficOn reports whether clients still send.
func (run *testRun) trafficOn() bool { return !run.stopped.Load() }

func (run *testRun) clientAddress() string { return run.clientProxy.Address() }

func (run *testRun) nextConnection() int { return int(run.connections.Add(1)) }

// runningProcess returns the process started last, or nil where it has ended.
func (run *testRun) runningProcess() *process {
	run.mu.Lock()
	defer run.mu.Unlock()
	if l := run.processes[len(run.processes)-1]; l.endedAt == 0 {
		return l
	}
	return nil
}

// latestProcess returns the number of the process started last.
func (run *testRun) latestProcess() int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return len(run.processes)
}

// mayRetry counts an attempt with a key, and reports whether another one may be made.
func (run *testRun) mayRetry(key string) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.attempts[key]++
	return run.attempts[key] < maxAttempts
}

// addUnexpectedAnswer records an answer to a request that is not in flight.
func (run *testRun) addUnexpectedAnswer(conn int, tag string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.unexpected = append(run.unexpected, fmt.Sprintf("conn %d tag %s", conn, tag))
}

// resetByFault reports whether a fault reset the clients' connections just before a time.
func (run *testRun) resetByFault(at time.Duration) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, reset := range run.resets {
		if at >= reset && at-reset < 200*time.Millisecond {
			return true
		}
	}
	return false
}
