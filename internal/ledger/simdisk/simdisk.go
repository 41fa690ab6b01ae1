// Package simdisk simulates a disk that loses power, for tests. It distinguishes written data, flushed data and durable names of
// the folder. After a power loss it returns one of the states that POSIX permits: each write since the last flush of a file may
// be complete, missing or partial, by sector and in any order, and each change of the folder since its last flush may be done
// or undone independently. It can also make operations fail, by plan or by seed.
package simdisk

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"sloehitch/internal/ledger/disk"
)

// SectorBytes is the number of bytes that the disk writes atomically.
const SectorBytes = 512

// ErrPowerLoss is returned by every operation after a power loss.
var ErrPowerLoss = errors.New("simulated disk has lost power")

// Op is the kind of an operation that changes the disk.
type Op string

// Operations that change the disk.
const (
	OpCreate   Op = "create"
	OpWrite    Op = "write"
	OpTruncate Op = "truncate"
	OpSync     Op = "sync"
	OpRename   Op = "rename"
	OpRemove   Op = "remove"
	OpSyncDir  Op = "syncdir"
)

// Fault is how an operation fails.
type Fault int

// Faults of an operation.
const (
	FaultNone       Fault = iota
	FaultPowerLoss        // the power is lost during the operation
	FaultIO               // EIO without any effect, except that a failed flush loses the data to be flushed, as on Linux
	FaultNoSpace          // ENOSPC without any effect
	FaultShortWrite       // ENOSPC after half of the data was written
)

// pendingWrite is a write to a file or a truncation of it since its last flush.
type pendingWrite struct {
	offset   int64
	data     []byte
	truncate bool // truncation to offset
}

// inode is the content of a file, independent of its names.
type inode struct {
	cached          []byte // content that reads return
	durable         []byte // content that certainly survives a power loss
	pending         []pendingWrite
	writebackFailed bool // a flush failed: the lost data is only in the cache, and later flushes report success
}

// pendingChange is a change of the folder since its last flush.
type pendingChange struct {
	op       Op
	name, to string
	node     *inode
}

// FS is a folder on a simulated disk. Its methods may be called from any goroutine. Its exported fields must not be
// set during a call.
type FS struct {
	mu         sync.Mutex
	names      map[string]*inode
	durable    map[string]*inode
	changes    []pendingChange
	locked     *bool
	poweredOff bool
	rng        *rand.Rand

	// InjectFault is called before each operation that changes the disk and returns its fault. n numbers the operations from 1.
	// nil: no faults.
	InjectFault    func(n int, op Op, name string) Fault
	OperationCount int // number of operations so far that change the disk
	OperationLog   []string
	LogOperations  bool  // append each operation to OperationLog
	CapacityBytes  int64 // 0: unlimited
}

// New returns an empty folder. The seed determines which data survives a failed flush.
func New(seed uint64) *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, locked: new(bool), rng: rand.New(rand.NewPCG(seed, 1))}
}

func (d *FS) String() string { return "simulated disk" }

// startOperation counts an operation and returns its fault and error. The caller holds mu.
func (d *FS) startOperation(op Op, name string) (Fault, error) {
	if d.poweredOff {
		return FaultNone, ErrPowerLoss
	}
	d.OperationCount++
	if d.LogOperations {
		d.OperationLog = append(d.OperationLog, fmt.Sprintf("%d %s %s", d.OperationCount, op, name))
	}
	f := FaultNone
	if d.InjectFault != nil {
		f = d.InjectFault(d.OperationCount, op, name)
	}
	switch f {
	case FaultPowerLoss:
		d.poweredOff = true
		return f, ErrPowerLoss
	case FaultIO:
		return f, &fs.PathError{Op: string(op), Path: name, Err: syscall.EIO}
	case FaultNoSpace, FaultShortWrite:
		return f, &fs.PathError{Op: string(op), Path: name, Err: syscall.ENOSPC}
	}
	return f, nil
}

// Create creates an empty file for reading and writing. It replaces an existing file of that name.
func (d *FS) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.startOperation(OpCreate, name)
	if err != nil && f != FaultPowerLoss {
		return nil, err
	}
	node := d.names[name]
	if node == nil {
		node = &inode{}
		d.names[name] = node
		d.changes = append(d.changes, pendingChange{OpCreate, name, "", node})
	} else {
		node.cached = nil
		node.pending = append(node.pending, pendingWrite{truncate: true})
	}
	if err != nil {
		return nil, err
	}
	return &file{d, node, name}, nil
}

// Open opens a file for reading.
func (d *FS) Open(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.poweredOff {
		return nil, ErrPowerLoss
	}
	node := d.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{d, node, name}, nil
}

// Rename renames a file. It replaces an existing file of the new name.
func (d *FS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.startOperation(OpRename, from)
	if err != nil && f != FaultPowerLoss {
		return err
	}
	node := d.names[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.names, from)
	d.names[to] = node
	d.changes = append(d.changes, pendingChange{OpRename, from, to, node})
	return err
}

// Remove removes the name of a file.
func (d *FS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.startOperation(OpRemove, name)
	if err != nil && f != FaultPowerLoss {
		return err
	}
	if d.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(d.names, name)
	d.changes = append(d.changes, pendingChange{OpRemove, name, "", nil})
	return err
}

// List returns the names of the files, sorted.
func (d *FS) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.poweredOff {
		return nil, ErrPowerLoss
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// SyncDir makes all previous creations, renames and removals durable.
func (d *FS) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.startOperation(OpSyncDir, ""); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	d.changes = nil
	return nil
}

// Lock locks the folder until the returned function is called.
func (d *FS) Lock(string, string) (func() error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *d.locked {
		return nil, fmt.Errorf("%w: locked by this test", disk.ErrLocked)
	}
	held := d.locked
	*held = true
	return func() error { d.mu.Lock(); defer d.mu.Unlock(); *held = false; return nil }, nil
}

// Files returns a copy of the content of each file by name.
func (d *FS) Files() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := map[string][]byte{}
	for name, node := range d.names {
		m[name] = slices.Clone(node.cached)
	}
	return m
}

// FromFiles returns a disk with durable copies of the given files.
func FromFiles(files map[string][]byte) *FS {
	d := New(0)
	for name, b := range files {
		d.names[name] = &inode{cached: slices.Clone(b), durable: slices.Clone(b)}
	}
	d.durable = maps.Clone(d.names)
	return d
}
