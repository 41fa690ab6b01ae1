package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	manifestMagic      = "SLMF"
	manifestHeaderSize = 60 // bytes
	segmentEntrySize   = 32 // bytes
	checksumSize       = 4  // bytes
)

// ActiveSegmentSize is the size that a manifest records for the active segment, whose end is found by reading it.
const ActiveSegmentSize = -1

// SegmentEntry describes a segment in a manifest.
type SegmentEntry struct {
	Number      uint64
	Size        int64 // durable bytes; ActiveSegmentSize for the active segment
	MinSequence uint64
	Cold        bool
}

// Manifest lists the segments of a store.
type Manifest struct {
	Store        ID
	Generation   uint64 // incremented with each replacement of the manifest
	NextSegment  uint64 // number of the next segment to be created
	LastSequence uint64 // sequence numbers assigned later are higher
	ClockMark    int64  // the store's clock in Unix milliseconds
	Segments     []SegmentEntry
}

// Append appends the encoded manifest to b.
func (m *Manifest) Append(b []byte) []byte {
	start := len(b)
	le := binary.LittleEndian
	b = append(b, manifestMagic...)
	b = le.AppendUint16(b, Version)
	b = le.AppendUint16(b, 0)
	b = append(b, m.Store[:]...)
	for _, v := range []uint64{m.Generation, m.NextSegment, m.LastSequence, uint64(m.ClockMark)} {
		b = le.AppendUint64(b, v)
	}
	b = le.AppendUint32(b, uint32(len(m.Segments)))
	for _, s := range m.Segments {
		var flags uint64
		if s.Cold {
			flags = flagCold
		}
		for _, v := range []uint64{s.Number, uint64(s.Size), s.MinSequence, flags} {
			b = le.AppendUint64(b, v)
		}
	}
	return le.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

// DecodeManifest decodes a complete manifest. On an error, which may be a VersionError, offset is the position of the fault
// in b.
func DecodeManifest(b []byte) (m *Manifest, offset int64, err error) {
	le := binary.LittleEndian
	if len(b) < manifestHeaderSize+checksumSize {
		return nil, int64(len(b)), errors.New("truncated manifest")
	}
	if string(b[:4]) != manifestMagic {
		return nil, 0, errors.New("not a ledger manifest: wrong magic number")
	}
	if v := le.Uint16(b[4:]); v > Version {
		return nil, 4, VersionError{v}
	}
	n := int64(le.Uint32(b[56:]))
	if size := manifestHeaderSize + n*segmentEntrySize + checksumSize; int64(len(b)) != size {
		return nil, min(size, int64(len(b))), fmt.Errorf("manifest is %d bytes long, want %d", len(b), size)
	}
	end := len(b) - checksumSize
	if crc32.Checksum(b[:end], castagnoli) != le.Uint32(b[end:]) {
		return nil, 0, errors.New("manifest checksum mismatch")
	}
	m = &Manifest{Store: ID(b[8:24]), Generation: le.Uint64(b[24:]), NextSegment: le.Uint64(b[32:]), LastSequence: le.Uint64(b[40:]),
		ClockMark: int64(le.Uint64(b[48:]))}
	for e := b[manifestHeaderSize:end]; len(e) > 0; e = e[segmentEntrySize:] {
		m.Segments = append(m.Segments, SegmentEntry{
			Number:      le.Uint64(e),
			Size:        int64(le.Uint64(e[8:])),
			MinSequence: le.Uint64(e[16:]),
			Cold:        le.Uint64(e[24:])&flagCold != 0,
		})
	}
	return m, 0, nil
}
