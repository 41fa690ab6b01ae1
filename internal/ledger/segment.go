package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"

	"github.com/klauspost/compress/zstd"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

// segment is one file of records. Its figures are guarded by the store's mu.
type segment struct {
	number uint64
	name   string
	store  format.ID
	file   disk.File
	salt   uint32
	cold   bool
	size   int64           // bytes on disk that count
	blocks []blockLocation // cold: where they are

	totalBytes, deadBytes, tombstoneBytes int64 // bytes: of all records; of those that no longer count; of deletions
	minSequence, maxSequence              uint64

	refs  atomic.Int32 // the store's own, and one for each reader
	cache atomic.Pointer[decodedBlock]
}

// blockLocation is where a block of a cold segment stands.
type blockLocation struct{ rawOffset, fileOffset int64 }

// decodedBlock is the block that was read last.
type decodedBlock struct {
	rawOffset int64
	bytes     []byte
}

func segmentFileName(number uint64) string { return fmt.Sprintf("%016x.seg", number) }

// segmentNumber reads a segment's number from its file name.
func segmentNumber(name string) (n uint64, ok bool) {
	_, err := fmt.Sscanf(name, "%016x.seg", &n)
	return n, err == nil && name == segmentFileName(n)
}

func (g *segment) acquire() { g.refs.Add(1) }

// release closes the file with the last reader.
func (g *segment) release() {
	if g.refs.Add(-1) == 0 {
		_ = g.file.Close() // only ever read from by now
	}
}

// countRecord notes a record in the segment's figures.
func (g *segment) countRecord(seq uint64, size int) {
	g.totalBytes += int64(size)
	g.maxSequence = max(g.maxSequence, seq)
	if g.minSequence == 0 || seq < g.minSequence {
		g.minSequence = seq
	}
}

// openSegment opens a file that the manifest lists.
func openSegment(fs disk.FS, store format.ID, e format.SegmentEntry) (*segment, error) {
	name := segmentFileName(e.Number)
	f, err := fs.Open(name)
	if err != nil {
		if isNotExist(err) {
			return nil, damage(name, 0, "the manifest lists this segment, and there is no such file")
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

// readHeader reads the header, and fills in the size of the active segment.
func (g *segment) readHeader() error {
	size, err := g.file.Size()
	if err != nil {
		return err
	}
	switch {
	case g.size == format.ActiveSegmentSize:
		if g.size = size; size < format.SegmentHeaderSize {
			return nil // cut off in its header, before any record
		}
	case size < g.size:
		return damage(g.name, size, "the file ends here, and should have %d bytes", g.size)
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
		return damage(g.name, 0, "%v", err)
	case h.Store != g.store || h.Number != g.number || h.Cold != g.cold:
		return damage(g.name, 8, "the header is that of another segment (number %x, cold %v)", h.Number, h.Cold)
	}
	g.salt = salt
	return nil
}

// scan hands all records to fn in order, with their offsets in the unpacked form, up to the size. It returns where the
// last good one ended; the error wraps ErrShort or ErrInvalid of package format where the bytes behind it are no record. Keys
// and values are valid during the call only.
func (g *segment) scan(most int, fn func(off int64, r *format.Record) error) (end int64, err error) {
	return g.scanFrom(format.SegmentHeaderSize, most, fn)
}

// scanFrom begins at an offset of the file, where a record or block must stand.
func (g *segment) scanFrom(from int64, most int, fn func(off int64, r *format.Record) error) (end int64, err error) {
	if g.cold {
		return g.scanCold(from, most, fn)
	}
	if g.size < format.SegmentHeaderSize {
		return g.size, nil
	}
	w := fileWindow{file: g.file, off: from, end: g.size}
	for w.off < g.size {
		b, err := w.peek(format.RecordHeaderSize)
		if err != nil {
			return w.off, err
		}
		r, err := format.DecodeRecord(b, g.salt, w.off)
		if errors.Is(err, format.ErrShort) {
			need := format.RecordHeaderSize + recordRest(b)
			if need > format.RecordHeaderSize+format.MaxKeyBytes+int64(most) || w.off+need > g.size {
				return w.off, err
			}
			if b, err = w.peek(int(need)); err != nil {
				return w.off, err
			}
			r, err = format.DecodeRecord(b, g.salt, w.off)
		}
		if err != nil {
			return w.off, err
		}
		if err := fn(w.off, &r); err != nil {
			return w.off, err
		}
		w.off += int64(r.Size())
	}
	return w.off, nil
}

// recordRest is how many bytes a header says are behind it; it may be wrong, as nothing has been checked.
func recordRest(b []byte) int64 {
	if len(b) < format.RecordHeaderSize {
		return 0
	}
	return int64(binary.LittleEndian.Uint32(b[4:])) + int64(binary.LittleEndian.Uint16(b[8:]))
}

// scanCold reads a cold segment block by block, and notes blocks that it sees for the first time.
func (g *segment) scanCold(from int64, most int, fn func(off int64, r *format.Record) error) (end int64, err error) {
	w := fileWindow{file: g.file, off: from, end: g.size}
	for w.off < g.size {
		b, raw, at, err := g.block(&w, most)
		if err != nil {
			return at, err
		}
		// Those already known are being read by others, so they are left alone.
		if n := len(g.blocks); n == 0 || g.blocks[n-1].rawOffset < raw {
			g.blocks = append(g.blocks, blockLocation{raw, at})
		}
		for rest := b; len(rest) > 0; {
			off := raw + int64(len(b)-len(rest))
			r, err := format.DecodeRecord(rest, g.salt, off)
			if err != nil {
				return at, err
			}
			if err := fn(off, &r); err != nil {
				return at, err
			}
			rest = rest[r.Size():]
		}
	}
	return w.off, nil
}

// block reads and unpacks the block at the window, moves behind it, and returns where it stood, unpacked and in the file.
func (g *segment) block(w *fileWindow, most int) (b []byte, raw, at int64, err error) {
	at = w.off
	if b, err = w.peek(format.BlockHeaderSize); err != nil {
		return nil, 0, at, err
	}
	head, err := format.DecodeBlockHeader(b)
	if err != nil {
		return nil, 0, at, err
	}
	if limit := 4*most + format.MaxKeyBytes + 1<<20; head.RawBytes > limit || head.CompressedBytes > limit {
		return nil, 0, at, format.ErrInvalid
	}
	if b, err = w.peek(format.BlockHeaderSize + head.CompressedBytes); err != nil {
		return nil, 0, at, err
	}
	if b, err = decodeBlock(b, g.salt, at); err != nil {
		return nil, 0, at, err
	}
	w.off += int64(format.BlockHeaderSize + head.CompressedBytes)
	return b, head.RawOffset, at, nil
}

// findNextReadable finds the next offset of the file from which there can be read again: a valid record, or in a cold segment a
// valid block; the size where there is none.
func (g *segment) findNextReadable(from int64, most int) (int64, error) {
	w := fileWindow{file: g.file, off: from, end: g.size}
	for ; w.off < g.size; w.off++ {
		b, err := w.peek(format.RecordHeaderSize)
		if err != nil {
			return 0, err
		}
		need := format.RecordHeaderSize + recordRest(b)
		if g.cold {
			head, err := format.DecodeBlockHeader(b)
			if err != nil {
				continue
			}
			need = int64(format.BlockHeaderSize + head.CompressedBytes)
		} else if _, err := format.DecodeRecord(b, g.salt, w.off); err == nil {
			return w.off, nil
		} else if !errors.Is(err, format.ErrShort) || need > format.RecordHeaderSize+format.MaxKeyBytes+int64(most) {
			continue // the fields are looked at before the checksum, so that most offsets cost little
		}
		if w.off+need > g.size {
			continue
		}
		if b, err = w.peek(int(need)); err != nil {
			return 0, err
		}
		if g.cold {
			_, err = decodeBlock(b, g.salt, w.off)
		} else {
			_, err = format.DecodeRecord(b, g.salt, w.off)
		}
		if err == nil {
			return w.off, nil
		}
	}
	return g.size, nil
}

// decodeBlock returns a block's records.
func decodeBlock(b []byte, salt uint32, off int64) ([]byte, error) {
	head, packed, err := format.DecodeBlock(b, salt, off)
	if err != nil {
		return nil, err
	}
	if !head.Compressed {
		return bytes.Clone(packed), nil
	}
	d, err := decoder()
	if err != nil {
		return nil, err
	}
	raw, err := d.DecodeAll(packed, make([]byte, 0, head.RawBytes))
	if err != nil || len(raw) != head.RawBytes {
		return nil, fmt.Errorf("%w: it does not unpack (%w)", format.ErrInvalid, err)
	}
	return raw, nil
}

// read returns the record at an offset. The bytes are the caller's.
func (g *segment) read(off int64, size int) (format.Record, error) {
	var b []byte
	if g.cold {
		i, found := slices.BinarySearchFunc(g.blocks, off, func(b blockLocation, off int64) int { return int(b.rawOffset - off) })
		if !found {
			i--
		}
		if i < 0 {
			return format.Record{}, damage(g.name, off, "no block has this record")
		}
		u := g.cache.Load()
		if u == nil || u.rawOffset != g.blocks[i].rawOffset {
			at, end := g.blocks[i].fileOffset, g.size
			if i+1 < len(g.blocks) {
				end = g.blocks[i+1].fileOffset
			}
			packed := make([]byte, end-at)
			if _, err := g.file.ReadAt(packed, at); err != nil && !errors.Is(err, io.EOF) {
				return format.Record{}, fmt.Errorf("%s: %w", g.name, err)
			}
			raw, err := decodeBlock(packed, g.salt, at)
			if err != nil {
				return format.Record{}, damage(g.name, at, "%v", err)
			}
			u = &decodedBlock{g.blocks[i].rawOffset, raw}
			g.cache.Store(u)
		}
		from := int(off - u.rawOffset)
		if from < 0 || from+size > len(u.bytes) {
			return format.Record{}, damage(g.name, g.blocks[i].fileOffset, "a record is not where it was")
		}
		b = bytes.Clone(u.bytes[from : from+size])
	} else {
		b = make([]byte, size)
		if _, err := g.file.ReadAt(b, off); err != nil && !errors.Is(err, io.EOF) {
			return format.Record{}, fmt.Errorf("%s: %w", g.name, err)
		}
	}
	r, err := format.DecodeRecord(b, g.salt, off)
	if err != nil {
		return r, damage(g.name, off, "%v", err)
	}
	return r, nil
}

// fileWindow reads a file forwards through a buffer.
type fileWindow struct {
	file     disk.File
	off, end int64 // what is peeked at next; where the file is taken to end
	buf      []byte
	from     int64 // of buf
}

// peek returns at least n bytes at off, fewer only where the file ends.
func (w *fileWindow) peek(n int) ([]byte, error) {
	have := w.from + int64(len(w.buf)) - w.off
	if want := min(int64(n), w.end-w.off); w.off < w.from || have < want {
		size := min(max(int64(n), 256<<10), w.end-w.off)
		if int64(cap(w.buf)) < size {
			w.buf = make([]byte, size)
		}
		w.buf = w.buf[:size]
		got, err := w.file.ReadAt(w.buf, w.off)
		if err != nil && !errors.Is(err, io.EOF) {
			w.buf = nil
			return nil, err
		}
		w.buf, w.from = w.buf[:got], w.off
	}
	return w.buf[w.off-w.from:], nil
}

// findFlushed looks behind an offset for groups, and returns the highest flushed offset that they tell of.
func (g *segment) findFlushed(from int64) (flushed int64, err error) {
	w := fileWindow{file: g.file, off: from, end: g.size}
	for w.off+format.GroupRecordSize <= g.size {
		b, err := w.peek(1 << 20)
		if err != nil {
			return 0, err
		}
		if f, found := format.FindFlushed(b, g.salt, w.off); found {
			flushed = max(flushed, f)
		}
		w.off += int64(len(b)) - format.GroupRecordSize + 1
		if len(b) < format.GroupRecordSize {
			break
		}
	}
	return flushed, nil
}

// coldWriter writes a cold segment.
type coldWriter struct {
	*segment
	limit      int // bytes of a block before it is packed
	afterBlock func() error
	enc        *zstd.Encoder
	block      []byte
	compressed []byte // used again from block to block
	out        []byte
	rawOffset  int64 // where the next record stands, unpacked
}

func newColdWriter(fs disk.FS, store format.ID, number uint64, limit int, paced func() error) (*coldWriter, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(128<<10))
	if err != nil {
		return nil, err
	}
	g, err := createSegment(fs, store, number, true)
	if err != nil {
		return nil, err
	}
	return &coldWriter{segment: g, limit: limit, afterBlock: paced, enc: enc, rawOffset: format.SegmentHeaderSize}, nil
}

// createSegment makes a segment's file with its header.
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

// add appends a record and returns its offset.
func (p *coldWriter) add(r *format.Record) (off int64, err error) {
	off = p.rawOffset
	p.block = format.AppendRecord(p.block, p.salt, off, r)
	p.rawOffset += int64(r.Size())
	p.countRecord(r.Sequence, r.Size())
	if len(p.block) >= p.limit {
		err = p.flushBlock()
	}
	return off, err
}

// flushBlock writes the block that has gathered, compressed where that saves an eighth.
func (p *coldWriter) flushBlock() error {
	if len(p.block) == 0 {
		return nil
	}
	p.compressed = p.enc.EncodeAll(p.block, p.compressed[:0])
	packed := p.compressed
	zst := len(packed) < len(p.block)-len(p.block)/8
	if !zst {
		packed = p.block
	}
	first := p.rawOffset - int64(len(p.block))
	b := format.AppendBlock(p.out[:0], p.salt, p.size, format.BlockHeader{RawBytes: len(p.block), Compressed: zst, RawOffset: first}, packed)
	if _, err := p.file.WriteAt(b, p.size); err != nil {
		return err
	}
	p.out = b
	p.blocks = append(p.blocks, blockLocation{first, p.size})
	p.size += int64(len(b))
	p.block = p.block[:0]
	return p.afterBlock()
}
