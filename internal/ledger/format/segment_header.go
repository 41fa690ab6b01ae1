package format

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// SegmentHeaderSize is the encoded size of a SegmentHeader in bytes.
const SegmentHeaderSize = 36

const (
	segmentMagic = "SLSG"
	flagCold     = 1
)

// SegmentHeader is the header at the start of a segment file.
type SegmentHeader struct {
	Store  ID
	Number uint64
	Cold   bool // written by a compaction, in compressed blocks
}

// Append appends the encoded header to b and returns the segment's salt.
func (h SegmentHeader) Append(b []byte) ([]byte, uint32) {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	var flags uint16
	if h.Cold {
		flags = flagCold
	}
	b = binary.LittleEndian.AppendUint16(b, flags)
	b = append(b, h.Store[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.Number)
	salt := crc32.Checksum(b[start:], castagnoli)
	return binary.LittleEndian.AppendUint32(b, salt), salt
}

// DecodeSegmentHeader decodes a segment header and returns it with the segment's salt. The error may be ErrShort or a
// VersionError.
func DecodeSegmentHeader(b []byte) (SegmentHeader, uint32, error) {
	if len(b) < SegmentHeaderSize {
		return SegmentHeader{}, 0, ErrShort
	}
	if string(b[:4]) != segmentMagic {
		return SegmentHeader{}, 0, errors.New("not a ledger segment: wrong magic number")
	}
	if v := binary.LittleEndian.Uint16(b[4:]); v > Version {
		return SegmentHeader{}, 0, VersionError{v}
	}
	salt := binary.LittleEndian.Uint32(b[32:])
	if crc32.Checksum(b[:32], castagnoli) != salt {
		return SegmentHeader{}, 0, errors.New("segment header checksum mismatch")
	}
	flags := binary.LittleEndian.Uint16(b[6:])
	return SegmentHeader{ID(b[8:24]), binary.LittleEndian.Uint64(b[24:]), flags&flagCold != 0}, salt, nil
}
