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
	listener *os.File // inherited by all processes; nil: each process listens itself

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
	resets           []time.Duration // times at which a fault reset the clients' connections
	pauses           []pause
	schedulingDelays []pause        // periods in which the machine did not schedule the rig
	attempts         map[string]int // by idempotency key
	unexpected       []string
	counts           map[string]int // injected faults, by kind
}

// pause is a period in which the process did not run.
type pause struct{ from, to time.Duration }

// Run executes a plan with files in dir, checks the records and returns the report. It blocks for longer than the plan's length. An error
// means that the rig itself failed; violations of rules are in the report.
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

// open starts the stand-ins and the proxies in front of them.
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

// sharedListener opens a listener for processes to inherit. It retries, because the address may be in use for a moment: a process that is
// being forked keeps descriptors that were just closed here open until its exec.
func sharedListener(address string) (*os.File, error) {
	ln, err := net.Listen("tcp", address)
	for attempt := 0; err != nil && attempt < 100; attempt++ {
		time.Sleep(stallCheckInterval)
		ln, err = net.Listen("tcp", address)
	}
	if err != nil {
		return nil, err
	}
	defer ln.Close() // File returns a duplicate of the descriptor
	return ln.(*net.TCPListener).File()
}

func (run *testRun) newProxy(name, server string) (*linkproxy.Proxy, error) {
	proxy, err := linkproxy.New(server, run.plan.Seed)
	if err != nil {
		return nil, err
	}
	proxy.Set(linkproxy.ToServer, run.plan.Links[name].ToServer)
	proxy.Set(linkproxy.ToClient, run.plan.Links[name].ToClient)
	return proxy, nil
}

// close kills the processes that are still running, and closes proxies and stand-ins.
func (run *testRun) close() {
	run.stopped.Store(true)
	run.mu.Lock()
	processes := run.processes
	run.mu.Unlock()
	for _, proc := range processes {
		run.signal(proc, syscall.SIGCONT)
		run.signal(proc, syscall.SIGKILL)
		<-proc.done
	}
	for _, proxy := range append(run.runtimeProxies(), run.clientProxy, run.catalogueProxy) {
		if proxy != nil {
			proxy.Close()
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
	for _, proc := range run.processes {
		all = append(all, proc.proxies...)
	}
	return all
}

// configure replaces a process's configuration file atomically.
func (run *testRun) configure(proc *process) error {
	run.mu.Lock()
	proxy := proc.proxies[proc.activeProxy]
	run.mu.Unlock()
	config := map[string]any{"name": "n1", "listen": run.listen, "runtime": proxy.Address(), "catalog": run.catalogueProxy.Address(),
		"lookup": run.directory.address(),
		"seed":   fmt.Sprint(run.plan.Seed), "stop_ms": run.plan.Site.Stop().Milliseconds(),
		"limits": map[string]any{"cores": 1, "memory_mb": run.plan.Site.MemoryMB, "sockets": run.plan.Site.Sockets}, "settings": json.RawMessage(run.plan.Site.settings())}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(proc.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(proc.config+".new", proc.config)
}

// readyTimeout bounds the time from a process's start until it is ready.
const readyTimeout = 10 * time.Second

func (run *testRun) untilReady(proc *process) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		run.mu.Lock()
		ready, ended := proc.readyAt > 0, proc.endedAt > 0
		run.mu.Unlock()
		if ready {
			return nil
		}
		if ended {
			break
		}
	}
	return fmt.Errorf("process %d did not become ready:\n%s", proc.number, proc.log.String())
}

func (run *testRun) sleepUntil(at time.Duration) { time.Sleep(at - run.record.now()) }

// trafficOn reports whether clients still send.
func (run *testRun) trafficOn() bool { return !run.stopped.Load() }

func (run *testRun) clientAddress() string { return run.clientProxy.Address() }

func (run *testRun) nextConnection() int { return int(run.connections.Add(1)) }

// runningProcess returns the process that was started last, or nil if it has ended.
func (run *testRun) runningProcess() *process {
	run.mu.Lock()
	defer run.mu.Unlock()
	if proc := run.processes[len(run.processes)-1]; proc.endedAt == 0 {
		return proc
	}
	return nil
}

// latestProcess returns the number of the process that was started last.
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

// resetByFault reports whether a fault reset the clients' connections within 200 ms before the given time.
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
