// Package faulthooks lets a test rig inject clock and disk faults into a process of the program, and makes the process record events such
// as the leases that it believes it holds. It is off unless the environment variable SLOEHITCH_TRIAL names a folder, which no deployment
// sets: a nil *Hooks passes everything through.
//
// Files in the folder, all optional: "clock" has an offset and a rate, such as "1h 1.05"; "disk" has "slow 30ms" or "full". The process
// polls these files, and appends its events to "events", one JSON object per line (Event).
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

// Variable is the environment variable that names the folder.
const Variable = "SLOEHITCH_TRIAL"

// pollInterval is how often the files are read.
const pollInterval = 10 * time.Millisecond

// Event is an action of a process, or a change of what it believes. The test rigs read its encoded names.
type Event struct {
	At    lease.Instant `json:"at"` // on the machine's clock, which all processes on the machine share
	What  string        `json:"what"`
	Duty  string        `json:"duty,omitempty"`
	ID    string        `json:"id,omitempty"`    // such as that of a step
	N     uint64        `json:"n,omitempty"`     // a token, a version or a revision
	Until lease.Instant `json:"until,omitempty"` // when a belief expires; passed on the process's clock, written on the machine's
	Out   bool          `json:"out,omitempty"`   // whether the applied state takes the node out of service
}

// Hooks injects faults into one process. Its methods may be called from any goroutine.
type Hooks struct {
	dir            string
	extraFlushTime atomic.Int64 // nanoseconds added to each flush
	diskIsFull     atomic.Bool

	mu           sync.Mutex
	offset       float64 // of the clock, in nanoseconds
	earlierDrift float64 // drift accumulated under earlier rates, in nanoseconds
	rate         float64
	rateSetAt    lease.Instant // on the machine's clock
	events       *os.File
}

// FromEnv returns the hooks of this process, or nil if the environment names no folder.
func FromEnv() (*Hooks, error) {
	dir := os.Getenv(Variable)
	if dir == "" {
		return nil, nil
	}
	h := &Hooks{dir: dir, rate: 1, rateSetAt: lease.Now()}
	var err error
	if h.events, err = os.OpenFile(filepath.Join(dir, "events"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600); err != nil {
		return nil, fmt.Errorf("fault hooks: %w", err)
	}
	if err := h.read(); err != nil {
		return nil, err
	}
	h.Record(Event{What: "starts"})
	go func() {
		for range time.Tick(pollInterval) {
			_ = h.read() // a file that is not completely written is read again at the next poll
		}
	}()
	return h, nil
}

// read applies the contents of the files.
func (h *Hooks) read() error {
	offset, rate := time.Duration(0), 1.0
	if text, err := os.ReadFile(filepath.Join(h.dir, "clock")); err == nil {
		words := strings.Fields(string(text))
		if len(words) != 2 {
			return fmt.Errorf("fault hooks: clock file has %q, expected an offset and a rate such as \"1h 1.05\"", text)
		}
		var err2 error
		offset, err = time.ParseDuration(words[0])
		rate, err2 = strconv.ParseFloat(words[1], 64)
		if err != nil || err2 != nil || rate <= 0 {
			return fmt.Errorf("fault hooks: clock file has %q, expected a duration and a rate above 0 such as \"1h 1.05\"", text)
		}
	}
	slow, full := time.Duration(0), false
	if text, err := os.ReadFile(filepath.Join(h.dir, "disk")); err == nil {
		switch words := strings.Fields(string(text)); {
		case len(words) == 1 && words[0] == "full":
			full = true
		case len(words) == 2 && words[0] == "slow":
			if slow, err = time.ParseDuration(words[1]); err != nil {
				return fmt.Errorf("fault hooks: disk file: %w", err)
			}
		default:
			return fmt.Errorf("fault hooks: disk file has %q, expected \"slow 30ms\" or \"full\"", text)
		}
	}
	h.extraFlushTime.Store(int64(slow))
	h.diskIsFull.Store(full)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offset = float64(offset)
	if now := lease.Now(); rate != h.rate { // the accumulated drift stays: a clock whose rate returns to 1 is not set back
		h.earlierDrift += float64(now-h.rateSetAt) * (h.rate - 1)
		h.rate, h.rateSetAt = rate, now
	}
	return nil
}

// Clock returns the machine's clock with the injected error.
func (h *Hooks) Clock(machine lease.Clock) lease.Clock {
	if h == nil {
		return machine
	}
	return func() lease.Instant {
		now := machine()
		return now + lease.Instant(h.clockError(now))
	}
}

// clockError returns the error of the clock at an instant, in nanoseconds.
func (h *Hooks) clockError(now lease.Instant) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offset + h.earlierDrift + float64(now-h.rateSetAt)*(h.rate-1)
}

// Now returns the wall clock with the injected error.
func (h *Hooks) Now() time.Time {
	if h == nil {
		return time.Now()
	}
	return time.Now().Add(time.Duration(h.clockError(lease.Now())))
}

// Offset returns the injected error of the wall clock.
func (h *Hooks) Offset() time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.clockError(lease.Now()))
}

// Record appends an event. An event that cannot be written is dropped, because recording must not change the behavior that it observes.
func (h *Hooks) Record(e Event) {
	if h == nil {
		return
	}
	e.At = lease.Now()
	if e.Until != 0 { // convert to the machine's clock: a clock that is ahead reaches the time sooner
		e.Until -= lease.Instant(h.clockError(e.At))
	}
	if line, err := json.Marshal(e); err == nil {
		_, _ = h.events.Write(append(line, '\n')) // a single write, so that lines do not interleave
	}
}

// Disk returns fs with the injected faults.
func (h *Hooks) Disk(fs disk.FS) disk.FS {
	if h == nil {
		return fs
	}
	return &faultyFS{fs, h}
}

type faultyFS struct {
	disk.FS
	hooks *Hooks
}

func (f *faultyFS) diskFull(op, name string) error {
	if f.hooks.diskIsFull.Load() {
		return &os.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	}
	return nil
}

// Create implements disk.FS.
func (f *faultyFS) Create(name string) (disk.File, error) {
	if err := f.diskFull("create", name); err != nil {
		return nil, err
	}
	return f.wrap(name)(f.FS.Create(name))
}

// Open implements disk.FS.
func (f *faultyFS) Open(name string) (disk.File, error) { return f.wrap(name)(f.FS.Open(name)) }

func (f *faultyFS) wrap(name string) func(disk.File, error) (disk.File, error) {
	return func(file disk.File, err error) (disk.File, error) {
		if err != nil {
			return nil, err
		}
		return &faultyFile{file, name, f}, nil
	}
}

type faultyFile struct {
	disk.File
	name string
	fs   *faultyFS
}

// WriteAt implements disk.File.
func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if err := f.fs.diskFull("write", f.name); err != nil {
		return 0, err
	}
	return f.File.WriteAt(p, off)
}

// Sync implements disk.File.
func (f *faultyFile) Sync() error {
	time.Sleep(time.Duration(f.fs.hooks.extraFlushTime.Load()))
	return f.File.Sync()
}
