// Package faulthooks lets a rig put faults into a process of the program from outside, and has the process tell what it believes and
// does. It is off unless the environment names a folder (SLOEHITCH_TRIAL), which no deployment does: with a nil *Trial every
// method hands on what it was given.
//
// Files in the folder, all optional: "clock" has an offset and a rate, such as "1h 1.05"; "disk" has "slow 30ms" or "full". The
// process looks at them several times a second, and appends what it tells to "events", a JSON object a line (Event).
package faulthooks

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger/disk"
)

// Variable names the folder in the environment.
const Variable = "SLOEHITCH_TRIAL"

// look is how often the folder is looked at.
const look = 10 * time.Millisecond

// Event is something that a process believes or does.
type Event struct {
	At    lease.Instant `json:"at"` // the machine's clock: the same one in all its processes
	What  string        `json:"what"`
	Duty  string        `json:"duty,omitempty"`
	ID    string        `json:"id,omitempty"`    // of a step
	N     uint64        `json:"n,omitempty"`     // a token, a version or a revision
	Until lease.Instant `json:"until,omitempty"` // to when what is believed holds; told on the process's own clock, written on the machine's
	Out   bool          `json:"out,omitempty"`   // of a state applied
}

// Hooks is one process's part in a trial. Its methods may be called from any goroutine.
type Hooks struct {
	dir  string
	slow atomic.Int64 // each flush takes this much longer
	full atomic.Bool

	mu      sync.Mutex
	offset  float64 // of the clock, nanoseconds
	drifted float64 // by rates of before
	rate    float64
	since   lease.Instant // when the rate was set
	events  *os.File
}

// FromEnv returns this process's part, nil where the environment names none.
func FromEnv() (*Hooks, error) {
	dir := os.Getenv(Variable)
	if dir == "" {
		return nil, nil
	}
	t := &Hooks{dir: dir, rate: 1, since: lease.Now()}
	var err error
	if t.events, err = os.OpenFile(filepath.Join(dir, "events"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if err := t.read(); err != nil {
		return nil, err
	}
	t.Record(Event{What: "starts"})
	go func() {
		for range time.Tick(look) {
			_ = t.read() // a file that is being written is read the next time
		}
	}()
	return t, nil
}

// read takes over what the folder says.
func (t *Hooks) read() error {
	offset, rate := time.Duration(0), 1.0
	if text, err := os.ReadFile(filepath.Join(t.dir, "clock")); err == nil {
		words := strings.Fields(string(text))
		if len(words) != 2 {
			return fmt.Errorf("trial: clock %q: an offset and a rate are wanted, such as \"1h 1.05\"", text)
		}
		var err2 error
		offset, err = time.ParseDuration(words[0])
		rate, err2 = strconv.ParseFloat(words[1], 64)
		if err != nil || err2 != nil || rate <= 0 {
			return fmt.Errorf("trial: clock %q: an offset and a rate are wanted, such as \"1h 1.05\"", text)
		}
	}
	slow, full := time.Duration(0), false
	if text, err := os.ReadFile(filepath.Join(t.dir, "disk")); err == nil {
		switch words := strings.Fields(string(text)); {
		case len(words) == 1 && words[0] == "full":
			full = true
		case len(words) == 2 && words[0] == "slow":
			if slow, err = time.ParseDuration(words[1]); err != nil {
				return fmt.Errorf("trial: disk: %w", err)
			}
		default:
			return fmt.Errorf("trial: disk %q: \"slow 30ms\" or \"full\" is wanted", text)
		}
	}
	t.slow.Store(int64(slow))
	t.full.Store(full)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offset = float64(offset)
	if now := lease.Now(); rate != t.rate { // what has gone wrong so far stays: a clock that is right again is not set back
		t.drifted += float64(now-t.since) * (t.rate - 1)
		t.rate, t.since = rate, now
	}
	return nil
}

// Clock is the machine's clock as this process is made to see it.
func (t *Hooks) Clock(machine lease.Clock) lease.Clock {
	if t == nil {
		return machine
	}
	return func() lease.Instant {
		now := machine()
		return now + lease.Instant(t.clockError(now))
	}
}

// clockError is by how much the clock is off, in nanoseconds.
func (t *Hooks) clockError(now lease.Instant) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offset + t.drifted + float64(now-t.since)*(t.rate-1)
}

// Now is the wall clock as this process is made to see it.
func (t *Hooks) Now() time.Time {
	if t == nil {
		return time.Now()
	}
	return time.Now().Add(time.Duration(t.clockError(lease.Now())))
}

// Offset is by how much the wall clock of this process is wrong.
func (t *Hooks) Offset() time.Duration {
	if t == nil {
		return 0
	}
	return time.Duration(t.clockError(lease.Now()))
}

// Record appends an event. What can't be written is lost: a trial must not change what it looks at.
func (t *Hooks) Record(e Event) {
	if t == nil {
		return
	}
	e.At = lease.Now()
	if e.Until != 0 { // a clock that runs fast comes there sooner; this is the latest that it can be
		e.Until -= lease.Instant(t.clockError(e.At))
	}
	if line, err := json.Marshal(e); err == nil {
		_, _ = t.events.Write(append(line, '\n')) // one write: lines of one process never mix
	}
}

// Disk is a folder as this process is made to see it.
func (t *Hooks) Disk(fs disk.FS) disk.FS {
	if t == nil {
		return fs
	}
	return &faultyFolder{fs, t}
}

type faultyFolder struct {
	disk.FS
	t *Hooks
}

func (f *faultyFolder) diskFull(op, name string) error {
	if f.t.full.Load() {
		return &os.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	}
	return nil
}

// Create implements disk.FS.
func (f *faultyFolder) Create(name string) (disk.File, error) {
	if err := f.diskFull("create", name); err != nil {
		return nil, err
	}
	return f.wrap(name)(f.FS.Create(name))
}

// Open implements disk.FS.
func (f *faultyFolder) Open(name string) (disk.File, error) { return f.wrap(name)(f.FS.Open(name)) }

func (f *faultyFolder) wrap(name string) func(disk.File, error) (disk.File, error) {
	return func(below disk.File, err error) (disk.File, error) {
		if err != nil {
			return nil, err
		}
		return &faultyFile{below, name, f}, nil
	}
}

type faultyFile struct {
	disk.File
	name string
	f    *faultyFolder
}

// WriteAt implements disk.File.
func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if err := f.f.diskFull("write", f.name); err != nil {
		return 0, err
	}
	return f.File.WriteAt(p, off)
}

// Sync implements disk.File.
func (f *faultyFile) Sync() error {
	time.Sleep(time.Duration(f.f.t.slow.Load()))
	return f.File.Sync()
}
