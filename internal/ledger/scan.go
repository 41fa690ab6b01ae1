package ledger

import (
	"encoding/binary"
	"errors"

	"sloehitch/internal/ledger/format"
)

// recordFunc is called with each record and its offset in the decompressed segment. The key and value are valid only during the
// call.
type recordFunc func(offset int64, r *format.Record) error

// scan calls fn with all records in order. It returns the file offset at which the last valid record ended. The error is that of
// fn, or wraps format.ErrShort or format.ErrInvalid if the bytes after that offset are not a record.
func (g *segment) scan(maxValueBytes int, fn recordFunc) (end int64, err error) {
	return g.scanFrom(format.SegmentHeaderSize, maxValueBytes, fn)
}

// scanFrom is like scan, but begins at a file offset at which a record or block must start.
func (g *segment) scanFrom(from int64, maxValueBytes int, fn recordFunc) (end int64, err error) {
	if g.cold {
		return g.scanCold(from, maxValueBytes, fn)
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
			need := format.RecordHeaderSize + payloadBytes(b)
			if need > maxRecordBytes(maxValueBytes) || w.off+need > g.size {
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

// maxRecordBytes returns the largest size of a record whose value has at most maxValueBytes.
func maxRecordBytes(maxValueBytes int) int64 {
	return format.RecordHeaderSize + format.MaxKeyBytes + int64(maxValueBytes)
}

// payloadBytes returns how many bytes follow a record header according to its unverified fields.
func payloadBytes(b []byte) int64 {
	if len(b) < format.RecordHeaderSize {
		return 0
	}
	return int64(binary.LittleEndian.Uint32(b[4:])) + int64(binary.LittleEndian.Uint16(b[8:]))
}

// scanCold scans a cold segment block by block. It adds blocks that it finds for the first time to g.blocks.
func (g *segment) scanCold(from int64, maxValueBytes int, fn recordFunc) (end int64, err error) {
	w := fileWindow{file: g.file, off: from, end: g.size}
	for w.off < g.size {
		b, raw, at, err := g.block(&w, maxValueBytes)
		if err != nil {
			return at, err
		}
		// Readers use the list once the segment is open, so only the first scan may change it.
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

// block reads and decompresses the block at the position of the window and advances the window past it. It also returns the
// offsets of the block: raw in the decompressed segment and at in the file.
func (g *segment) block(w *fileWindow, maxValueBytes int) (b []byte, raw, at int64, err error) {
	at = w.off
	if b, err = w.peek(format.BlockHeaderSize); err != nil {
		return nil, 0, at, err
	}
	head, err := format.DecodeBlockHeader(b)
	if err != nil {
		return nil, 0, at, err
	}
	if limit := maxBlockBytes(maxValueBytes); head.RawBytes > limit || head.CompressedBytes > limit {
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

// findNextReadable returns the next file offset with a valid record, or with a valid block in a cold segment. If there is none,
// it returns the size of the file.
func (g *segment) findNextReadable(from int64, maxValueBytes int) (int64, error) {
	w := fileWindow{file: g.file, off: from, end: g.size}
	for ; w.off < g.size; w.off++ {
		b, err := w.peek(format.RecordHeaderSize)
		if err != nil {
			return 0, err
		}
		need := format.RecordHeaderSize + payloadBytes(b)
		if g.cold {
			head, err := format.DecodeBlockHeader(b)
			if err != nil {
				continue
			}
			need = int64(format.BlockHeaderSize + head.CompressedBytes)
		} else if _, err := format.DecodeRecord(b, g.salt, w.off); err == nil {
			return w.off, nil
		} else if !errors.Is(err, format.ErrShort) || need > maxRecordBytes(maxValueBytes) {
			continue // rejected by its fields or size without reading on, which keeps the search cheap
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

// flushedSearchBytes is how many bytes findFlushed reads at a time.
const flushedSearchBytes = 1 << 20

// findFlushed searches for group records after a file offset and returns the highest flushed offset in them.
func (g *segment) findFlushed(from int64) (flushed int64, err error) {
	w := fileWindow{file: g.file, off: from, end: g.size}
	for w.off+format.GroupRecordSize <= g.size {
		b, err := w.peek(flushedSearchBytes)
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
