package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/klauspost/compress/zstd"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

// blockLocation is the start of a block of a cold segment, as offsets in the decompressed segment and in the file.
type blockLocation struct{ rawOffset, fileOffset int64 }

// decodedBlock is a decompressed block, cached for the next read.
type decodedBlock struct {
	rawOffset int64
	bytes     []byte
}

// maxBlockBytes returns the largest size of a block of records whose values have at most maxValueBytes. A header with a larger
// size is invalid.
func maxBlockBytes(maxValueBytes int) int { return 4*maxValueBytes + format.MaxKeyBytes + 1<<20 }

// readCold returns the bytes of the record at an offset of the decompressed segment.
func (g *segment) readCold(offset int64, size int) ([]byte, error) {
	i, found := slices.BinarySearchFunc(g.blocks, offset, func(b blockLocation, offset int64) int { return int(b.rawOffset - offset) })
	if !found {
		i--
	}
	if i < 0 {
		return nil, newDamageError(g.name, offset, "no block contains the record")
	}
	block := g.cache.Load()
	if block == nil || block.rawOffset != g.blocks[i].rawOffset {
		var err error
		if block, err = g.readBlock(i); err != nil {
			return nil, err
		}
		g.cache.Store(block)
	}
	from := int(offset - block.rawOffset)
	if from < 0 || from+size > len(block.bytes) {
		return nil, newDamageError(g.name, g.blocks[i].fileOffset, "record is outside the bounds of its block")
	}
	return bytes.Clone(block.bytes[from : from+size]), nil
}

// readBlock reads and decompresses the block with index i in g.blocks.
func (g *segment) readBlock(i int) (*decodedBlock, error) {
	at, end := g.blocks[i].fileOffset, g.size
	if i+1 < len(g.blocks) {
		end = g.blocks[i+1].fileOffset
	}
	encoded := make([]byte, end-at)
	if _, err := g.file.ReadAt(encoded, at); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: %w", g.name, err)
	}
	raw, err := decodeBlock(encoded, g.salt, at)
	if err != nil {
		return nil, newDamageError(g.name, at, "%v", err)
	}
	return &decodedBlock{g.blocks[i].rawOffset, raw}, nil
}

// decodeBlock verifies a block and returns its decompressed content.
func decodeBlock(b []byte, salt uint32, off int64) ([]byte, error) {
	head, stored, err := format.DecodeBlock(b, salt, off)
	if err != nil {
		return nil, err
	}
	if !head.Compressed {
		return bytes.Clone(stored), nil
	}
	d, err := decoder()
	if err != nil {
		return nil, err
	}
	raw, err := d.DecodeAll(stored, make([]byte, 0, head.RawBytes))
	if err != nil || len(raw) != head.RawBytes {
		return nil, fmt.Errorf("%w: block decompression failed (%w)", format.ErrInvalid, err)
	}
	return raw, nil
}

// zstdWindowBytes limits the memory that compression uses.
const zstdWindowBytes = 128 << 10

// coldWriter writes a cold segment. It is not safe for concurrent use.
type coldWriter struct {
	*segment
	blockBytes int // target size of a block before compression
	afterBlock func() error
	enc        *zstd.Encoder
	block      []byte
	compressed []byte // buffer reused for all blocks
	out        []byte
	rawOffset  int64 // offset of the next record in the decompressed segment
}

// newColdWriter creates a cold segment. afterBlock is called each time a block has been written.
func newColdWriter(fs disk.FS, store format.ID, number uint64, blockBytes int, afterBlock func() error) (*coldWriter, error) {
	enc, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(zstdWindowBytes))
	if err != nil {
		return nil, err
	}
	g, err := createSegment(fs, store, number, true)
	if err != nil {
		return nil, err
	}
	return &coldWriter{segment: g, blockBytes: blockBytes, afterBlock: afterBlock, enc: enc, rawOffset: format.SegmentHeaderSize}, nil
}

// add appends a record and returns its offset. It writes the current block once that is full.
func (w *coldWriter) add(r *format.Record) (off int64, err error) {
	off = w.rawOffset
	w.block = format.AppendRecord(w.block, w.salt, off, r)
	w.rawOffset += int64(r.Size())
	w.countRecord(r.Sequence, r.Size())
	if len(w.block) >= w.blockBytes {
		err = w.flushBlock()
	}
	return off, err
}

// minSavedFraction controls compression: a block is stored compressed if that saves more than 1/minSavedFraction of its size.
const minSavedFraction = 8

// flushBlock writes the current block.
func (w *coldWriter) flushBlock() error {
	if len(w.block) == 0 {
		return nil
	}
	w.compressed = w.enc.EncodeAll(w.block, w.compressed[:0])
	stored := w.compressed
	smaller := len(stored) < len(w.block)-len(w.block)/minSavedFraction
	if !smaller {
		stored = w.block
	}
	first := w.rawOffset - int64(len(w.block))
	header := format.BlockHeader{RawBytes: len(w.block), Compressed: smaller, RawOffset: first}
	b := format.AppendBlock(w.out[:0], w.salt, w.size, header, stored)
	if _, err := w.file.WriteAt(b, w.size); err != nil {
		return err
	}
	w.out = b
	w.blocks = append(w.blocks, blockLocation{first, w.size})
	w.size += int64(len(b))
	w.block = w.block[:0]
	return w.afterBlock()
}

// decoder returns the shared decoder, whose DecodeAll may be called concurrently.
var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
})
