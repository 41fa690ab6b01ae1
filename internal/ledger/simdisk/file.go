package simdisk

import (
	"io"
	"io/fs"
	"slices"
	"syscall"
)

// file is an open file.
type file struct {
	fs   *FS
	node *inode
	name string
}

func (f *file) ReadAt(p []byte, off int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.poweredOff {
		return 0, ErrPowerLoss
	}
	if off >= int64(len(f.node.cached)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.cached[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// usedBytes returns the total size of all files. The caller holds mu.
func (d *FS) usedBytes() (n int64) {
	for _, node := range d.names {
		n += int64(len(node.cached))
	}
	return n
}

func (f *file) WriteAt(p []byte, off int64) (int, error) {
	d := f.fs
	d.mu.Lock()
	defer d.mu.Unlock()
	fault, err := d.startOperation(OpWrite, f.name)
	growth := off + int64(len(p)) - int64(len(f.node.cached))
	if err == nil && d.CapacityBytes > 0 && growth > 0 && d.usedBytes()+growth > d.CapacityBytes {
		fault, err = FaultShortWrite, &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	n := len(p)
	switch fault {
	case FaultIO, FaultNoSpace:
		return 0, err
	case FaultShortWrite:
		n /= 2
	}
	if err != nil && fault == FaultNone {
		return 0, err // the power was lost before this operation
	}
	data := slices.Clone(p[:n])
	f.node.cached = overwriteAt(f.node.cached, off, data)
	f.node.pending = append(f.node.pending, pendingWrite{offset: off, data: data})
	return n, err
}

// overwriteAt copies data to an offset of b, which it extends if necessary, and returns the result.
func overwriteAt(b []byte, off int64, data []byte) []byte {
	if need := off + int64(len(data)); need > int64(len(b)) {
		b = append(b, make([]byte, need-int64(len(b)))...)
	}
	copy(b[off:], data)
	return b
}

func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault, err := f.fs.startOperation(OpTruncate, f.name)
	if err != nil && fault != FaultPowerLoss {
		return err
	}
	f.node.cached = resize(f.node.cached, size)
	f.node.pending = append(f.node.pending, pendingWrite{offset: size, truncate: true})
	return err
}

// resize returns b truncated or extended with zeros to the given size.
func resize(b []byte, size int64) []byte {
	if size <= int64(len(b)) {
		return slices.Clone(b[:size])
	}
	return append(b, make([]byte, size-int64(len(b)))...)
}

func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.poweredOff {
		return 0, ErrPowerLoss
	}
	return int64(len(f.node.cached)), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault, err := f.fs.startOperation(OpSync, f.name)
	if fault == FaultIO || fault == FaultNoSpace {
		// As on Linux, a failed flush marks the pages as clean: they stay in the cache, only some of them reach the disk, and the
		// next flush succeeds.
		f.node.durable = f.fs.drawContent(f.node)
		f.node.pending, f.node.writebackFailed = nil, true
	}
	if err != nil {
		return err
	}
	if !f.node.writebackFailed {
		f.node.durable = slices.Clone(f.node.cached)
	} else { // only writes since the failed flush reach the disk
		for _, w := range f.node.pending {
			f.node.durable = apply(f.node.durable, w)
		}
	}
	f.node.pending = nil
	return nil
}

func (f *file) Close() error { return nil }

// apply returns b after a write or truncation.
func apply(b []byte, w pendingWrite) []byte {
	if w.truncate {
		return resize(b, w.offset)
	}
	return overwriteAt(b, w.offset, w.data)
}
