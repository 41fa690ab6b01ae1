package ledger

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

// segment is a file of records. Its statistics are guarded by Store.mu. Cold segments are written by compactions in compressed
// blocks (cold_segment.go). An offset of a cold segment is one of its decompressed form unless stated otherwise.
type segment struct {
	number uint64
	name   string
	store  format.ID
	file   disk.File
	salt   uint32
	cold   bool
	size   int64           // durable bytes of the file
	blocks []blockLocation // blocks of a cold segment in order

	totalBytes, deadBytes, tombstoneBytes int64  // bytes of all records, of superseded records, and of deletions and expired records
	minSequence, maxSequence              uint64 // 0: no records

	refs  atomic.Int32 // references: one of the store and one of each reader
	cache atomic.Pointer[decodedBlock]
}

// segmentFileName returns the file name of a segment.
func segmentFileName(number uint64) string { return fmt.Sprintf("%016x.seg", number) }

// segmentNumber parses the number of a segment from its file name.
func segmentNumber(name string) (n uint64, ok bool) {
	_, err := fmt.Sscanf(name, "%016x.seg", &n)
	return n, err == nil && name == segmentFileName(n)
}

// acquire adds a reference, which keeps the file open until release.
func (g *segment) acquire() { g.refs.Add(1) }

// release drops a reference. The file is closed with the last one.
func (g *segment) release() {
	if g.refs.Add(-1) == 0 {
		_ = g.file.Close() // no writes are pending, so the error is irrelevant
	}
}

// countRecord adds a record to the statistics of the segment.
func (g *segment) countRecord(seq uint64, size int) {
	g.totalBytes += int64(size)
	g.maxSequence = max(g.maxSequence, seq)
	if g.minSequence == 0 || seq < g.minSequence {
		g.minSequence = seq
	}
}

// openSegment opens a segment that the manifest lists.
func openSegment(fs disk.FS, store format.ID, e format.SegmentEntry) (*segment, error) {
	name := segmentFileName(e.Number)
	f, err := fs.Open(name)
	if err != nil {
		if isNotExist(err) {
			return nil, newDamageError(name, 0, "segment listed in the manifest does not exist")
		}
		return nil, err
	}
	g := &segment{number: e.Number, name: name, store: store, file: f, cold: e.Cold, size: e.Size}
	g.refs.Store(1)
	if err := g.readHeader(); err != nil {
		closeRead(f)
		return nil, err
	}
	return g, nil
}

// readHeader reads and verifies the header, and sets the size of an active segment.
func (g *segment) readHeader() error {
	size, err := g.file.Size()
	if err != nil {
		return err
	}
	switch {
	case g.size == format.ActiveSegmentSize:
		if g.size = size; size < format.SegmentHeaderSize {
			return nil // a crash truncated the segment within its header, before any record
		}
	case size < g.size:
		return newDamageError(g.name, size, "file is truncated, want %d bytes", g.size)
	}
	b := make([]byte, format.SegmentHeaderSize)
	if _, err := g.file.ReadAt(b, 0); err != nil {
		return err
	}
	h, salt, err := format.DecodeSegmentHeader(b)
	switch v := (format.VersionError{}); {
	case errors.As(err, &v):
		return fmt.Errorf("%s: %w", g.name, err)
	case err != nil:
		return newDamageError(g.name, 0, "%v", err)
	case h.Store != g.store || h.Number != g.number || h.Cold != g.cold:
		return newDamageError(g.name, 8, "header belongs to another segment (number %x, cold %v)", h.Number, h.Cold)
	}
	g.salt = salt
	return nil
}

// createSegment creates a segment file and writes its header without flushing it.
func createSegment(fs disk.FS, store format.ID, number uint64, cold bool) (*segment, error) {
	g := &segment{number: number, name: segmentFileName(number), store: store, cold: cold, size: format.SegmentHeaderSize}
	g.refs.Store(1)
	f, err := fs.Create(g.name)
	if err != nil {
		return nil, err
	}
	var b []byte
	b, g.salt = format.SegmentHeader{Store: store, Number: number, Cold: cold}.Append(nil)
	if _, err := f.WriteAt(b, 0); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	g.file = f
	return g, nil
}

// read returns the record at an offset of the decompressed segment. The caller may retain its bytes.
func (g *segment) read(offset int64, size int) (format.Record, error) {
	var b []byte
	var err error
	if g.cold {
		b, err = g.readCold(offset, size)
	} else {
		b = make([]byte, size)
		if _, err = g.file.ReadAt(b, offset); errors.Is(err, io.EOF) {
			err = nil // missing bytes make the checksum fail
		}
		if err != nil {
			err = fmt.Errorf("%s: %w", g.name, err)
		}
	}
	if err != nil {
		return format.Record{}, err
	}
	r, err := format.DecodeRecord(b, g.salt, offset)
	if err != nil {
		return r, newDamageError(g.name, offset, "%v", err)
	}
	return r, nil
}
