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

// blockLocation is where a block of a cold segment starts, decompressed and in the file.
type blockLocation struct{ rawOffset, fileOffset int64 }

// decodedBlock is a decompressed block, kept for the next read.
type decodedBlock struct {
	rawOffset int64
	bytes     []byte
}

// maxBlockBytes bounds a block of records with values up to so many bytes: a larger size in a header is not valid.
func maxBlockBytes(maxValueBytes int) int { return 4*maxValueBytes + format.MaxKeyBytes + 1<<20 }

// readCold returns the bytes of a record of a cold segment.
func (g *segment) readCold(offset int64, size int) ([]byte, error) {
	i, found := slices.BinarySearchFunc(g.blocks, offset, func(b blockLocation, offset int64) int { return int(b.rawOffset - offset) })
	if !found {
		i--
	}
	if i < 0 {
		return nil, damage(g.name, offset, "no block has this record")
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
		return nil, damage(g.name, g.blocks[i].fileOffset, "a record is not where it was")
	}
	return bytes.Clone(block.bytes[from : from+size]), nil
}

// readBlock reads and decompresses the block with this index.
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
		return nil, damage(g.name, at, "%v", err)
	}
	return &decodedBlock{g.blocks[i].rawOffset, raw}, nil
}

// decodeBlock verifies a block and returns its records, decompressed.
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
		return nil, fmt.Errorf("%w: it does not unpack (%w)", format.ErrInvalid, err)
	}
	return raw, nil
}

// zstdWindowBytes bounds the memory of compression.
const zstdWindowBytes = 128 << 10

// coldWriter writes a cold segment. It belongs to one goroutine.
type coldWriter struct {
	*segment
	blockBytes int // of a block before compression
	afterBlock func() error
	enc        *zstd.Encoder
	block      []byte
	compressed []byte // reused from block to block
	out        []byte
	rawOffset  int64 // of the next record, decompressed
}

// newColdWriter creates a segment. afterBlock is called after each block was written.
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

// add appends a record and returns its offset. It writes a block once that is full.
func (p *coldWriter) add(r *format.Record) (off int64, err error) {
	off = p.rawOffset
	p.block = format.AppendRecord(p.block, p.salt, off, r)
	p.rawOffset += int64(r.Size())
	p.countRecord(r.Sequence, r.Size())
	if len(p.block) >= p.blockBytes {
		err = p.flushBlock()
	}
	return off, err
}

// minSavedFraction: a block is stored compressed if that saves more than one byte in so many.
const minSavedFraction = 8

// flushBlock writes the current block.
func (p *coldWriter) flushBlock() error {
	if len(p.block) == 0 {
		return nil
	}
	p.compressed = p.enc.EncodeAll(p.block, p.compressed[:0])
	stored := p.compressed
	smaller := len(stored) < len(p.block)-len(p.block)/minSavedFraction
	if !smaller {
		stored = p.block
	}
	first := p.rawOffset - int64(len(p.block))
	header := format.BlockHeader{RawBytes: len(p.block), Compressed: smaller, RawOffset: first}
	b := format.AppendBlock(p.out[:0], p.salt, p.size, header, stored)
	if _, err := p.file.WriteAt(b, p.size); err != nil {
		return err
	}
	p.out = b
	p.blocks = append(p.blocks, blockLocation{first, p.size})
	p.size += int64(len(b))
	p.block = p.block[:0]
	return p.afterBlock()
}

// decoder is shared: its DecodeAll may be called from several goroutines.
var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
})
