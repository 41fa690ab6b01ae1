// Package simdisk is a disk for tests that can be cut. It keeps apart what was written, what was flushed and which names of
// the folder are durable, and after a cut yields any state that POSIX permits: writes since the last flush are there, are not, or
// are there in part, sector by sector and in any order; changes of the folder since its last flush are done or undone one by one.
// It also fails operations, by plan or by seed.
package simdisk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"sloehitch/internal/ledger/disk"
)

// Sector is how many bytes a disk writes whole or not at all.
const Sector = 512

// ErrCut is what every operation returns once the power is cut.
var ErrCut = errors.New("the power is cut")

// Op names an operation that changes something.
type Op string

// The operations.
const (
	Create   Op = "create"
	Write    Op = "write"
	Truncate Op = "truncate"
	Sync     Op = "sync"
	Rename   Op = "rename"
	Remove   Op = "remove"
	SyncDir  Op = "syncdir"
)

// Fault is what befalls one operation.
type Fault int

// The faults.
const (
	None      Fault = iota
	Cut             // the power goes while it is under way
	EIO             // it fails and does nothing; a flush that fails loses what it should have flushed, as Linux does
	ENOSPC          // no space left
	ShortHalf       // half of it is done, then no space is left
)

// write is a change of a file since its last flush.
type write struct {
	off   int64
	data  []byte
	trunc bool // to off
}

// inode is a file apart from its names.
type inode struct {
	view    []byte // what a reader sees
	durable []byte // what a cut leaves for certain
	pending []write
	lost    bool // a flush failed: the view is in the cache only, and later flushes claim success
}

// change is a change of the folder since its last flush.
type change struct {
	op       Op
	name, to string
	node     *inode
}

// FS is a folder on such a disk.
type FS struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	changes []change
	locked  *bool
	cut     bool
	rng     *rand.Rand

	// Decide is asked before each operation that changes something; n counts them from 1. nil: all goes well.
	Decide func(n int, op Op, name string) Fault
	Ops    int // how many there were
	Log    []string
	Trace  bool  // keep Log
	Room   int64 // bytes that fit; 0: no end
}

// New is an empty folder. The seed decides what a cut leaves.
func New(seed uint64) *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, locked: new(bool), rng: rand.New(rand.NewPCG(seed, 1))}
}

func (d *FS) String() string { return "simulated disk" }

// begin counts an operation and says what befalls it; the caller holds mu.
func (d *FS) begin(op Op, name string) (Fault, error) {
	if d.cut {
		return None, ErrCut
	}
	d.Ops++
	if d.Trace {
		d.Log = append(d.Log, fmt.Sprintf("%d %s %s", d.Ops, op, name))
	}
	f := None
	if d.Decide != nil {
		f = d.Decide(d.Ops, op, name)
	}
	switch f {
	case Cut:
		d.cut = true
		return f, ErrCut
	case EIO:
		return f, &fs.PathError{Op: string(op), Path: name, Err: syscall.EIO}
	case ENOSPC, ShortHalf:
		return f, &fs.PathError{Op: string(op), Path: name, Err: syscall.ENOSPC}
	}
	return f, nil
}

// Create makes a file anew, empty, for reading and writing.
func (d *FS) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.begin(Create, name)
	if err != nil && f != Cut {
		return nil, err
	}
	node := d.names[name]
	if node == nil {
		node = &inode{}
		d.names[name] = node
		d.changes = append(d.changes, change{Create, name, "", node})
	} else {
		node.view = nil
		node.pending = append(node.pending, write{trunc: true})
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
	if d.cut {
		return nil, ErrCut
	}
	node := d.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{d, node, name}, nil
}

// Rename gives a file another name, in place of a file of that name.
func (d *FS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.begin(Rename, from)
	if err != nil && f != Cut {
		return err
	}
	node := d.names[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.names, from)
	d.names[to] = node
	d.changes = append(d.changes, change{Rename, from, to, node})
	return err
}

// Remove deletes a file.
func (d *FS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.begin(Remove, name)
	if err != nil && f != Cut {
		return err
	}
	if d.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(d.names, name)
	d.changes = append(d.changes, change{Remove, name, "", nil})
	return err
}

// List names the regular files.
func (d *FS) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut {
		return nil, ErrCut
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// SyncDir makes created, renamed and removed names durable.
func (d *FS) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin(SyncDir, ""); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	d.changes = nil
	return nil
}

// Lock keeps the folder from other processes until the returned closer is closed.
func (d *FS) Lock(string, string) (func() error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *d.locked {
		return nil, fmt.Errorf("%w: held by this test", disk.ErrLocked)
	}
	held := d.locked
	*held = true
	return func() error { d.mu.Lock(); defer d.mu.Unlock(); *held = false; return nil }, nil
}

// file is an open file.
type file struct {
	fs   *FS
	node *inode
	name string
}

func (f *file) ReadAt(p []byte, off int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.cut {
		return 0, ErrCut
	}
	if off >= int64(len(f.node.view)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.view[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// used is how many bytes all files take; the caller holds mu.
func (d *FS) used() (n int64) {
	for _, node := range d.names {
		n += int64(len(node.view))
	}
	return n
}

func (f *file) WriteAt(p []byte, off int64) (int, error) {
	d := f.fs
	d.mu.Lock()
	defer d.mu.Unlock()
	fault, err := d.begin(Write, f.name)
	if grow := off + int64(len(p)) - int64(len(f.node.view)); err == nil && d.Room > 0 && grow > 0 && d.used()+grow > d.Room {
		fault, err = ShortHalf, &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	n := len(p)
	switch fault {
	case EIO, ENOSPC:
		return 0, err
	case ShortHalf:
		n /= 2
	}
	if err != nil && fault == None {
		return 0, err // cut before
	}
	data := slices.Clone(p[:n])
	f.node.view = overwrite(f.node.view, off, data)
	f.node.pending = append(f.node.pending, write{off: off, data: data})
	return n, err
}

func overwrite(b []byte, off int64, data []byte) []byte {
	if need := off + int64(len(data)); need > int64(len(b)) {
		b = append(b, make([]byte, need-int64(len(b)))...)
	}
	copy(b[off:], data)
	return b
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault, err := f.fs.begin(Truncate, f.name)
	if err != nil && fault != Cut {
		return err
	}
	f.node.view = resize(f.node.view, size)
	f.node.pending = append(f.node.pending, write{off: size, trunc: true})
	return err
}

func resize(b []byte, size int64) []byte {
	if size <= int64(len(b)) {
		return slices.Clone(b[:size])
	}
	return append(b, make([]byte, size-int64(len(b)))...)
}

func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.cut {
		return 0, ErrCut
	}
	return int64(len(f.node.view)), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault, err := f.fs.begin(Sync, f.name)
	if fault == EIO || fault == ENOSPC {
		// The pages are marked as clean: the cache shows them, the disk has some of them, and the next flush succeeds.
		f.node.durable = f.fs.after(f.node)
		f.node.pending, f.node.lost = nil, true
	}
	if err != nil {
		return err
	}
	if !f.node.lost {
		f.node.durable = slices.Clone(f.node.view)
	} else { // only what was written since reaches the disk
		for _, w := range f.node.pending {
			f.node.durable = apply(f.node.durable, w)
		}
	}
	f.node.pending = nil
	return nil
}

func (f *file) Close() error { return nil }

func apply(b []byte, w write) []byte {
	if w.trunc {
		return resize(b, w.off)
	}
	return overwrite(b, w.off, w.data)
}

// after draws what a cut leaves of a file; the caller holds mu.
func (d *FS) after(n *inode) []byte {
	b := slices.Clone(n.durable)
	mode := d.rng.IntN(4) // nothing, all, a prefix, any sectors
	stop := len(n.pending)
	if mode == 2 && stop > 0 {
		stop = d.rng.IntN(stop + 1)
	}
	for i, w := range n.pending {
		switch {
		case mode == 0:
			return b
		case mode == 1 || mode == 2 && i < stop:
			b = apply(b, w)
		case mode == 2 && i == stop && !w.trunc && len(w.data) > 0:
			return overwrite(b, w.off, w.data[:d.tear(w)])
		case mode == 2:
			return b
		case w.trunc:
			if d.rng.IntN(2) == 0 {
				b = apply(b, w)
			}
		default:
			for from := 0; from < len(w.data); {
				to := min(len(w.data), from+Sector-int((w.off+int64(from))%Sector))
				if d.rng.IntN(2) == 0 {
					b = overwrite(b, w.off+int64(from), w.data[from:to])
				}
				from = to
			}
		}
	}
	return b
}

// tear is how much of a write is there: up to a border of a sector, or to any byte, as a file system's length may have it.
func (d *FS) tear(w write) int {
	n := d.rng.IntN(len(w.data) + 1)
	if d.rng.IntN(2) == 0 {
		n -= int((w.off + int64(n)) % Sector)
	}
	return max(n, 0)
}

// Cut cuts the power, if that has not happened, and returns the disk as it is found afterwards. It may be called again for another
// legal state of the same cut.
func (d *FS) Cut(seed uint64) *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = true
	d.rng = rand.New(rand.NewPCG(seed, 2))
	names := maps.Clone(d.durable)
	for _, c := range d.changes { // in order, each done or not
		if d.rng.IntN(2) == 0 {
			continue
		}
		switch c.op {
		case Create:
			names[c.name] = c.node
		case Remove:
			delete(names, c.name)
		case Rename:
			if names[c.name] == c.node {
				delete(names, c.name)
			}
			names[c.to] = c.node
		}
	}
	next := New(seed)
	left := map[*inode]*inode{} // one file may have been left under two names
	for _, name := range slices.Sorted(maps.Keys(names)) {
		node := names[name]
		if left[node] == nil {
			b := d.after(node)
			left[node] = &inode{view: b, durable: slices.Clone(b)}
		}
		next.names[name] = left[node]
	}
	next.durable = maps.Clone(next.names)
	return next
}

// Kill ends the process but not the machine: what was written is there, flushed or not.
func (d *FS) Kill() *FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = true
	next := New(0)
	next.names, next.durable, next.changes = maps.Clone(d.names), maps.Clone(d.durable), slices.Clone(d.changes)
	return next
}

// Flip turns one bit of a file, by seed, in [from, to) of it, as a disk does that forgets; the file keeps it through flushes and cuts.
func (d *FS) Flip(name string, from, to int, seed uint64) (at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rng := rand.New(rand.NewPCG(seed, 5))
	at = from + rng.IntN(to-from)
	bit := byte(1) << rng.IntN(8)
	node := d.names[name]
	node.view[at] ^= bit
	if at < len(node.durable) {
		node.durable[at] ^= bit
	}
	return at
}

// Files are the contents of all files, for a test to look at and change.
func (d *FS) Files() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := map[string][]byte{}
	for name, node := range d.names {
		m[name] = slices.Clone(node.view)
	}
	return m
}

// Of is a disk with these files, all durable.
func Of(files map[string][]byte) *FS {
	d := New(0)
	for name, b := range files {
		d.names[name] = &inode{view: slices.Clone(b), durable: slices.Clone(b)}
	}
	d.durable = maps.Clone(d.names)
	return d
}
