package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// ID is a store's identity.
type ID [16]byte

// VersionError says that a file was written by a later program.
type VersionError struct{ Has uint16 }

func (e VersionError) Error() string {
	return fmt.Sprintf("format version %d; this program reads up to %d: use a later one", e.Has, Version)
}

const (
	segmentMagic  = "SLSG"
	manifestMagic = "SLMF"
	flagCold      = 1
	entrySize     = 32
	manifestHead  = 60
)

// Header is what a segment begins with.
type Header struct {
	Store  ID
	Number uint64
	Cold   bool
}

// Append adds the header to b and returns the segment's salt.
func (h Header) Append(b []byte) ([]byte, uint32) {
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
	salt := crc32.Checksum(b[start:], table)
	return binary.LittleEndian.AppendUint32(b, salt), salt
}

// ReadHeader reads a segment's header and salt.
func ReadHeader(b []byte) (Header, uint32, error) {
	if len(b) < SegmentHeader {
		return Header{}, 0, ErrShort
	}
	if string(b[:4]) != segmentMagic {
		return Header{}, 0, errors.New("not a segment of a ledger")
	}
	if v := binary.LittleEndian.Uint16(b[4:]); v > Version {
		return Header{}, 0, VersionError{v}
	}
	salt := binary.LittleEndian.Uint32(b[32:])
	if crc32.Checksum(b[:32], table) != salt {
		return Header{}, 0, errors.New("the segment's header is damaged")
	}
	flags := binary.LittleEndian.Uint16(b[6:])
	return Header{ID(b[8:24]), binary.LittleEndian.Uint64(b[24:]), flags&flagCold != 0}, salt, nil
}

// Active is the size of the active segment in a manifest: its end is found by reading.
const Active = -1

// Entry is a segment in a manifest.
type Entry struct {
	Number uint64
	Size   int64 // bytes that count; Active for the one being written
	Least  uint64
	Cold   bool
}

// Manifest says what a store is made of.
type Manifest struct {
	Store    ID
	Edition  uint64
	Next     uint64 // the next segment's number
	Seq      uint64 // no lower sequence number is given again
	Mark     int64  // Unix milliseconds
	Segments []Entry
}

// Append adds the manifest to b.
func (m *Manifest) Append(b []byte) []byte {
	start := len(b)
	le := binary.LittleEndian
	b = append(b, manifestMagic...)
	b = le.AppendUint16(b, Version)
	b = le.AppendUint16(b, 0)
	b = append(b, m.Store[:]...)
	for _, v := range []uint64{m.Edition, m.Next, m.Seq, uint64(m.Mark)} {
		b = le.AppendUint64(b, v)
	}
	b = le.AppendUint32(b, uint32(len(m.Segments)))
	for _, s := range m.Segments {
		var flags uint64
		if s.Cold {
			flags = flagCold
		}
		for _, v := range []uint64{s.Number, uint64(s.Size), s.Least, flags} {
			b = le.AppendUint64(b, v)
		}
	}
	return le.AppendUint32(b, crc32.Checksum(b[start:], table))
}

// ReadManifest reads a whole manifest. The offset is where the bytes go wrong.
func ReadManifest(b []byte) (m *Manifest, offset int64, err error) {
	le := binary.LittleEndian
	if len(b) < manifestHead+4 {
		return nil, int64(len(b)), errors.New("the manifest is cut short")
	}
	if string(b[:4]) != manifestMagic {
		return nil, 0, errors.New("not a ledger's manifest")
	}
	if v := le.Uint16(b[4:]); v > Version {
		return nil, 4, VersionError{v}
	}
	n := int64(le.Uint32(b[56:]))
	if size := manifestHead + n*entrySize + 4; int64(len(b)) != size {
		return nil, min(size, int64(len(b))), fmt.Errorf("the manifest has %d bytes instead of %d", len(b), size)
	}
	end := len(b) - 4
	if crc32.Checksum(b[:end], table) != le.Uint32(b[end:]) {
		return nil, 0, errors.New("the manifest's checksum is wrong")
	}
	m = &Manifest{Store: ID(b[8:24]), Edition: le.Uint64(b[24:]), Next: le.Uint64(b[32:]), Seq: le.Uint64(b[40:]),
		Mark: int64(le.Uint64(b[48:]))}
	for e := b[manifestHead:end]; len(e) > 0; e = e[entrySize:] {
		m.Segments = append(m.Segments, Entry{le.Uint64(e), int64(le.Uint64(e[8:])), le.Uint64(e[16:]), le.Uint64(e[24:])&flagCold != 0})
	}
	return m, 0, nil
}

// Block is the head of a block in a cold segment.
type Block struct {
	Packed, Raw int // bytes
	Zstd        bool
	Offset      int64 // of its first record in the unpacked segment
}

// AppendBlock adds a block as it stands at this offset of the file with this salt.
func AppendBlock(b []byte, salt uint32, offset int64, h Block, packed []byte) []byte {
	start := len(b)
	le := binary.LittleEndian
	b = le.AppendUint32(b, 0)
	b = le.AppendUint32(b, uint32(len(packed)))
	b = le.AppendUint32(b, uint32(h.Raw))
	var method uint32
	if h.Zstd {
		method = 1
	}
	b = le.AppendUint32(b, method)
	b = le.AppendUint64(b, uint64(h.Offset))
	b = append(b, packed...)
	le.PutUint32(b[start:], sum(salt, offset, b[start+4:]))
	return b
}

// ReadBlock reads the block at the start of b, and its packed bytes, which point into b.
func ReadBlock(b []byte, salt uint32, offset int64) (Block, []byte, error) {
	head, err := ReadBlockHead(b)
	if err != nil {
		return head, nil, err
	}
	end := BlockHeader + head.Packed
	if len(b) < end {
		return head, nil, ErrShort
	}
	if binary.LittleEndian.Uint32(b) != sum(salt, offset, b[4:end]) {
		return head, nil, ErrInvalid
	}
	return head, b[BlockHeader:end], nil
}

// ReadBlockHead reads a block's head without a check of what is behind it.
func ReadBlockHead(b []byte) (Block, error) {
	if len(b) < BlockHeader {
		return Block{}, ErrShort
	}
	le := binary.LittleEndian
	head := Block{int(le.Uint32(b[4:])), int(le.Uint32(b[8:])), le.Uint32(b[12:]) == 1, int64(le.Uint64(b[16:]))}
	if le.Uint32(b[12:]) > 1 || !head.Zstd && head.Packed != head.Raw || head.Raw == 0 || head.Offset < SegmentHeader {
		return Block{}, ErrInvalid
	}
	return head, nil
}
