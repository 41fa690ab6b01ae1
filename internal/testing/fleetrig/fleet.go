package fleetrig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
	"sloehitch/internal/testing/loopback"
)

// Options configure a run.
type Options struct {
	Command          func(config, deploy string) *exec.Cmd // starts a daemon
	Dir              string                                // for the processes' folders; must be empty
	Nodes            int
	Members          int  // number of nodes, from the first one, that are members of the store: 3 or 5; 0: all
	Drains           bool // whether drains and a release, drawn from Seed, take place during the faults
	Seed             uint64
	Lease            time.Duration
	Schedule         Schedule
	Length           time.Duration // of the clients' operations and the faults
	Recovery         time.Duration // time after the last fault within which the fleet must be healthy again
	Log              io.Writer     // receives the daemons' output
	Progress         io.Writer     // receives progress lines; may be nil
	UnconfirmedReads bool          // reads are local and not confirmed by a quorum: a mutant that the checks must detect
}

// testFleet is the processes of one run and the links between them.
type testFleet struct {
	Options
	startedAt time.Time
	admins    []string  // admin addresses of the nodes, without a link
	rafts     []string  // raft addresses of the nodes, without a link
	links     [][]*link // by from*Nodes+to: one to the raft address and one to the admin address

	mu          sync.Mutex
	procs       []*process
	faulted     []bool // by node: it has a process fault
	fullDisks   []int  // by node: active faults that fill its disk
	clocks      []clock
	writeDeploy []func(join bool) error // by node: writes its deploy file
	failures    []string
	injected    []injectedFault // faults that have ended
	exclusions  int             // number of restored members that the store excluded
	closed      bool            // replaced processes are no longer started again
	repairs     sync.WaitGroup
}

// clock is the state of the faults of a node's clocks.
type clock struct {
	offset     time.Duration
	fastFaults int // number of active faults that make it run fast
}

// injectedFault is a fault with its real start and end.
type injectedFault struct {
	Fault
	from, to lease.Instant
}

// linksBetween returns the links from one node to another.
func (f *testFleet) linksBetween(from, to int) []*link { return f.links[from*f.Nodes+to] }

// open creates addresses, links and folders, and starts all processes. The caller must call close, even after an error.
func (f *testFleet) open() error {
	if f.Members == 0 {
		f.Members = f.Nodes
	}
	addresses, err := loopback.Addresses(3 * f.Nodes)
	if err != nil {
		return err
	}
	rafts, listens := addresses[f.Nodes:2*f.Nodes], addresses[2*f.Nodes:]
	f.admins, f.rafts = addresses[:f.Nodes], rafts
	f.fullDisks = make([]int, f.Nodes)
	f.links, f.procs, f.faulted, f.clocks = make([][]*link, f.Nodes*f.Nodes), make([]*process, f.Nodes), make([]bool, f.Nodes), make([]clock, f.Nodes)
	f.writeDeploy = make([]func(bool) error, f.Nodes)
	for i := range f.Nodes {
		members, admins := "", []string{}
		for j := range f.Members {
			raft, admin := rafts[j], f.admins[j]
			if i != j {
				for _, to := range []*string{&raft, &admin} {
					l, err := newLink(*to)
					if err != nil {
						return err
					}
					f.links[i*f.Nodes+j] = append(f.links[i*f.Nodes+j], l)
					*to = l.address()
				}
			}
			members += fmt.Sprintf("[[store.members]]\nname = \"n%d\"\nraft = %q\nadmin = %q\n", j, raft, admin)
			admins = append(admins, fmt.Sprintf("%q", admin))
		}
		if err := f.prepare(i, listens[i], members, strings.Join(admins, ", ")); err != nil {
			return err
		}
		if err := f.start(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *testFleet) nodeDir(i int) string { return filepath.Join(f.Dir, fmt.Sprint("n", i)) }

// hookDir returns the folder of a process's fault hooks.
func (f *testFleet) hookDir(i int) string { return filepath.Join(f.nodeDir(i), "trial") }

// setDisk sets the fault of a process's disk; "" removes it.
func (f *testFleet) setDisk(i int, content string) {
	if err := f.writeHook(i, "disk", content); err != nil {
		f.addFailure("%v", err)
	}
}

func (f *testFleet) writeHook(i int, file, content string) error {
	name := filepath.Join(f.hookDir(i), file)
	if content == "" {
		_ = os.Remove(name) // it may not be there
		return nil
	}
	return errors.Join(os.WriteFile(name+".new", []byte(content), 0o600), os.Rename(name+".new", name))
}

// addFailure records a failure of the rig itself.
func (f *testFleet) addFailure(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

// prepare writes a node's files: a configuration with minimal settings, and a deploy file that describes its role in the store and the
// fleet.
func (f *testFleet) prepare(i int, listen, members, admins string) error {
	config, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", i), "listen": listen, "runtime": "127.0.0.1:9", "stop_ms": 1000,
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": map[string]any{"domain": map[string]any{"cores": 1, "memory-kb": 1000},
			"classes": []any{map[string]any{"name": "a", "objective": 1e6, "hard-limit": 3e6, "semantics": "retryable"}}}})
	if err != nil {
		return err
	}
	dir := f.nodeDir(i)
	f.writeDeploy[i] = func(join bool) error {
		deploy := ""
		if i < f.Members {
			deploy = fmt.Sprintf("[store]\nadmin = %q\ndir = %q\njoin = %v\nlease = %q\n%s", f.admins[i], f.storeDir(i), join, f.Lease.String(), members)
		}
		deploy += fmt.Sprintf("[fleet]\nmembers = [%s]\ndir = %q\nreport = \"200ms\"\nsilent = \"1s\"\nlease = %q\nbackups = %q\nbackup_each = \"400ms\"\nbackup_keep = 2\n",
			admins, filepath.Join(dir, "fleet"), f.Lease.String(), filepath.Join(dir, "backups"))
		if f.Drains {
			deploy += fmt.Sprintf("zone = %q\nsettle = %q\nrelease_file = %q\nreplace = [\"/bin/sh\", \"-c\", \"test $SLOEHITCH_RELEASE != broken && echo $SLOEHITCH_RELEASE > $0\", %q]\n", zoneOf(i), settleTime.String(), f.releaseFile(i), f.releaseFile(i))
		}
		return os.WriteFile(filepath.Join(dir, "deploy.toml"), []byte(deploy), 0o600)
	}
	return errors.Join(os.MkdirAll(f.hookDir(i), 0o700), os.WriteFile(f.releaseFile(i), []byte("v0\n"), 0o600),
		os.WriteFile(filepath.Join(dir, "config.json"), config, 0o600), f.writeDeploy[i](false))
}

// storeDir returns the folder of a node's store.
func (f *testFleet) storeDir(i int) string { return filepath.Join(f.nodeDir(i), "store") }

// releaseFile returns the file that has the version deployed on a node.
func (f *testFleet) releaseFile(i int) string { return filepath.Join(f.nodeDir(i), "release") }

func (f *testFleet) start(i int) error {
	c := f.Command(filepath.Join(f.nodeDir(i), "config.json"), filepath.Join(f.nodeDir(i), "deploy.toml"))
	if c.Env == nil {
		c.Env = os.Environ()
	}
	c.Env = append(c.Env, faulthooks.Variable+"="+f.hookDir(i))
	p, err := startProcess(c, f.Log)
	if err != nil {
		return err
	}
	f.procs[i] = p
	return nil
}

// kill kills a process and waits for its end; the caller holds mu.
func (f *testFleet) kill(i int) {
	if p := f.procs[i]; p != nil {
		p.kill()
		f.procs[i] = nil
	}
}

// unexpectedExits describes each process that exited without a signal from the rig, with its last output.
func (f *testFleet) unexpectedExits() (descriptions []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, p := range f.procs {
		if p != nil && p.ended() && p.exitCode() != exitReplaced {
			descriptions = append(descriptions, fmt.Sprintf("n%d exited unexpectedly: %v; its last output: %s", i, p.err, p.output))
		}
	}
	return descriptions
}

// close kills all processes and closes the links.
func (f *testFleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for i := range f.procs {
		f.kill(i)
	}
	for _, pair := range f.links {
		for _, l := range pair {
			l.close()
		}
	}
}

// shutDown sends a process SIGTERM and waits for its exit. A process that has not exited after the recovery time is killed, which is
// recorded as a failure. The caller holds mu.
func (f *testFleet) shutDown(i int) {
	p := f.procs[i]
	// A process that was started on a full disk has exited with ENOSPC. It is started again at the end of this fault.
	full := f.fullDisks[i] > 0 && p.ended() && strings.Contains(p.output.String(), syscall.ENOSPC.Error())
	if err := p.shutDown(f.Recovery); err != nil && p.exitCode() != exitReplaced && !p.terminatedBeforeOutput() && !full {
		f.failures = append(f.failures, fmt.Sprintf("n%d did not shut down: %v; its last output: %s", i, err, p.output))
	}
	f.procs[i] = nil
}

func (f *testFleet) logf(format string, args ...any) {
	if f.Progress != nil {
		fmt.Fprintf(f.Progress, "%6.2fs  %s\n", time.Since(f.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// client returns a client of one member that connects directly, without a link, as an operator on the member's machine would.
func (f *testFleet) client(i int) store.Client {
	return store.Client{Address: f.admins[i%f.Members], Timeout: f.Lease}
}
