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

// Options say what is played.
type Options struct {
	Command  func(config, deploy string) *exec.Cmd // starts a daemon
	Dir      string                                // for folders of its processes; empty at first
	Nodes    int
	Members  int  // of them, the first, that keep the store: 3 or 5; 0: all
	Drains   bool // nodes go out by permit and are replaced, as drawn by Seed, while the faults come
	Seed     uint64
	Lease    time.Duration
	Schedule Schedule
	Length   time.Duration // of the writes, during which the faults come
	Recovery time.Duration // after the last fault, by the end of which the fleet has to work again
	Log      io.Writer     // what the daemons say
	Say      io.Writer     // progress
	Careless bool          // reads are local, as if the store did not confirm its lead: a mutant that the checks have to see
}

// processes is those of one run and the links between them.
type processes struct {
	Options
	begun  time.Time
	admins []string  // the operators' addresses, without a link
	rafts  []string  // and the members'
	links  [][]*link // by who connects and to whom: two each, raft and admin

	mu     sync.Mutex
	procs  []*process
	still  []bool // stands still
	full   []int  // faults that have its disk full
	clocks []clock
	write  []func(join bool) error // a node's settings
	wrong  []string
	calls  []called // faults, as they happened
	kept   int      // times that an older copy was kept out
	ended  bool     // processes that end to be replaced are no longer started again
	mends  sync.WaitGroup
}

// clock is how a node's clocks are wrong.
type clock struct {
	ahead time.Duration
	fast  int // faults that have it run fast
}

// called is a fault as it happened, on the machine's clock since its boot.
type called struct {
	Fault
	from, to lease.Instant
}

// linked is the links from one node to another.
func (f *processes) linked(from, to int) []*link { return f.links[from*f.Nodes+to] }

// open makes addresses, links and folders, and starts all processes. What it has started is ended by close, also after an error.
func (f *processes) open() error {
	if f.Members == 0 {
		f.Members = f.Nodes
	}
	own, err := loopback.Addresses(3 * f.Nodes)
	if err != nil {
		return err
	}
	rafts, listens := own[f.Nodes:2*f.Nodes], own[2*f.Nodes:]
	f.admins, f.rafts = own[:f.Nodes], rafts
	f.full = make([]int, f.Nodes)
	f.links, f.procs, f.still, f.clocks = make([][]*link, f.Nodes*f.Nodes), make([]*process, f.Nodes), make([]bool, f.Nodes), make([]clock, f.Nodes)
	f.write = make([]func(bool) error, f.Nodes)
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

func (f *processes) folder(i int) string { return filepath.Join(f.Dir, fmt.Sprint("n", i)) }

// trial is the folder by which a process is put to trial.
func (f *processes) trial(i int) string { return filepath.Join(f.folder(i), "trial") }

// tellDisk has a process's disk be as the word says; "" takes that back.
func (f *processes) tellDisk(i int, word string) {
	if err := f.put(i, "disk", word); err != nil {
		f.blame("%v", err)
	}
}

func (f *processes) put(i int, file, word string) error {
	name := filepath.Join(f.trial(i), file)
	if word == "" {
		_ = os.Remove(name) // it may not be there
		return nil
	}
	return errors.Join(os.WriteFile(name+".new", []byte(word), 0o600), os.Rename(name+".new", name))
}

// blame notes what went wrong with the rig itself.
func (f *processes) blame(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrong = append(f.wrong, fmt.Sprintf(format, args...))
}

// prepare writes a node's files: settings of the least that there is, the store, and its part in the fleet.
func (f *processes) prepare(i int, listen, members, admins string) error {
	config, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", i), "listen": listen, "runtime": "127.0.0.1:9", "stop_ms": 1000,
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": map[string]any{"domain": map[string]any{"cores": 1, "memory-kb": 1000},
			"classes": []any{map[string]any{"name": "a", "objective": 1e6, "hard-limit": 3e6, "semantics": "retryable"}}}})
	if err != nil {
		return err
	}
	own := f.folder(i)
	f.write[i] = func(join bool) error {
		deploy := ""
		if i < f.Members {
			deploy = fmt.Sprintf("[store]\nadmin = %q\ndir = %q\njoin = %v\nlease = %q\n%s", f.admins[i], f.store(i), join, f.Lease.String(), members)
		}
		deploy += fmt.Sprintf("[fleet]\nmembers = [%s]\ndir = %q\nreport = \"200ms\"\nsilent = \"1s\"\nlease = %q\nbackups = %q\nbackup_each = \"400ms\"\nbackup_keep = 2\n",
			admins, filepath.Join(own, "wishes"), f.Lease.String(), filepath.Join(own, "backups"))
		if f.Drains {
			deploy += fmt.Sprintf("zone = %q\nsettle = %q\nrelease_file = %q\nreplace = [\"/bin/sh\", \"-c\", \"test $SLOEHITCH_RELEASE != broken && echo $SLOEHITCH_RELEASE > $0\", %q]\n", zoneOf(i), settle.String(), f.release(i), f.release(i))
		}
		return os.WriteFile(filepath.Join(own, "deploy.toml"), []byte(deploy), 0o600)
	}
	return errors.Join(os.MkdirAll(f.trial(i), 0o700), os.WriteFile(f.release(i), []byte("v0\n"), 0o600), os.WriteFile(filepath.Join(own, "config.json"), config, 0o600), f.write[i](false))
}

// store is the folder of a node's part in the store.
func (f *processes) store(i int) string { return filepath.Join(f.folder(i), "store") }

// release is the file that says what is deployed on a node.
func (f *processes) release(i int) string { return filepath.Join(f.folder(i), "release") }

func (f *processes) start(i int) error {
	c := f.Command(filepath.Join(f.folder(i), "config.json"), filepath.Join(f.folder(i), "deploy.toml"))
	if c.Env == nil {
		c.Env = os.Environ()
	}
	c.Env = append(c.Env, faulthooks.Variable+"="+f.trial(i))
	p, err := begin(c, f.Log)
	if err != nil {
		return err
	}
	f.procs[i] = p
	return nil
}

// end kills a process and waits for it.
func (f *processes) end(i int) {
	if p := f.procs[i]; p != nil {
		p.kill()
		f.procs[i] = nil
	}
}

// fell says which processes ended though nobody ended them, with their last words.
func (f *processes) fell() (wrong []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, p := range f.procs {
		if p != nil && p.over() && p.code() != replaced {
			wrong = append(wrong, fmt.Sprintf("n%d ended by itself: %v; its last words: %s", i, p.err, p.words))
		}
	}
	return wrong
}

// close ends all that was started.
func (f *processes) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for i := range f.procs {
		f.end(i)
	}
	for _, pair := range f.links {
		for _, l := range pair {
			l.close()
		}
	}
}

// leave tells a process to leave and waits until it has; one that does not by itself is ended, and that is wrong.
func (f *processes) leave(i int) {
	p := f.procs[i]
	// One that was started on a full disk has said so and ended; what starts it again is this fault's end.
	full := f.full[i] > 0 && p.over() && strings.Contains(p.words.String(), syscall.ENOSPC.Error())
	if err := p.leave(f.Recovery); err != nil && p.code() != replaced && !p.unborn() && !full {
		f.wrong = append(f.wrong, fmt.Sprintf("n%d was told to leave: %v; its last words: %s", i, err, p.words))
	}
	f.procs[i] = nil
}

func (f *processes) say(format string, args ...any) {
	if f.Say != nil {
		fmt.Fprintf(f.Say, "%6.2fs  %s\n", time.Since(f.begun).Seconds(), fmt.Sprintf(format, args...))
	}
}

// client asks one member, not through a link: it stands for an operator beside it.
func (f *processes) client(i int) store.Client {
	return store.Client{Address: f.admins[i%f.Members], Timeout: f.Lease}
}
