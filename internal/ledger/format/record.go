// Package format reads and writes the bytes of the ledger's files, as docs/format-ledger.md has them. It does no I/O.
package format

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Version is the version of the files that are written, and the latest that can be read.
const Version = 1

// Sizes in bytes.
const (
	SegmentHeader = 36
	RecordHeader  = 28
	GroupValue    = 16
	GroupSize     = RecordHeader + GroupValue
	BlockHeader   = 24
	MaxKey        = 1<<16 - 1
)

// Kind says what a record is.
type Kind uint8

// The kinds.
const (
	Put    Kind = 1
	Delete Kind = 2
	Group  Kind = 3
)

const flagMore = 1

var (
	// ErrShort says that the bytes end before the record does.
	ErrShort = errors.New("the record is cut short")
	// ErrInvalid says that there is no record here: a wrong checksum, or fields that no record has.
	ErrInvalid = errors.New("not a valid record")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Record is one record. Key and Value may point into the bytes that it was read from.
type Record struct {
	Kind   Kind
	More   bool // the batch goes on
	Seq    uint64
	Expiry int64 // Unix milliseconds; 0: never
	Key    []byte
	Value  []byte
}

// Size is how many bytes the record takes.
func (r *Record) Size() int { return RecordHeader + len(r.Key) + len(r.Value) }

// sum is the checksum of what stands at an offset of the segment with this salt.
func sum(salt uint32, offset int64, b []byte) uint32 {
	var place [12]byte
	binary.LittleEndian.PutUint32(place[:], salt)
	binary.LittleEndian.PutUint64(place[4:], uint64(offset))
	return crc32.Update(crc32.Update(0, table, place[:]), table, b)
}

// AppendRecord adds the record as it stands at this offset of the segment with this salt.
func AppendRecord(b []byte, salt uint32, offset int64, r *Record) []byte {
	start := len(b)
	var h [RecordHeader]byte
	binary.LittleEndian.PutUint32(h[4:], uint32(len(r.Value)))
	binary.LittleEndian.PutUint16(h[8:], uint16(len(r.Key)))
	h[10] = byte(r.Kind)
	if r.More {
		h[11] = flagMore
	}
	binary.LittleEndian.PutUint64(h[12:], r.Seq)
	binary.LittleEndian.PutUint64(h[20:], uint64(r.Expiry))
	b = append(b, h[:]...)
	b = append(b, r.Key...)
	b = append(b, r.Value...)
	binary.LittleEndian.PutUint32(b[start:], sum(salt, offset, b[start+4:]))
	return b
}

// AppendGroup adds a group record: the segment is known to be flushed up to the given offset, and the clock's mark.
func AppendGroup(b []byte, salt uint32, offset, flushed, mark int64) []byte {
	var v [GroupValue]byte
	binary.LittleEndian.PutUint64(v[:], uint64(flushed))
	binary.LittleEndian.PutUint64(v[8:], uint64(mark))
	return AppendRecord(b, salt, offset, &Record{Kind: Group, Value: v[:]})
}

// GroupFields are the two figures of a group record.
func (r *Record) GroupFields() (flushed, mark int64) {
	return int64(binary.LittleEndian.Uint64(r.Value)), int64(binary.LittleEndian.Uint64(r.Value[8:]))
}

// ReadRecord reads the record at the start of b, which stands at this offset of the segment with this salt. Its key and
// value point into b.
func ReadRecord(b []byte, salt uint32, offset int64) (Record, error) {
	if len(b) < RecordHeader {
		return Record{}, ErrShort
	}
	r := Record{Kind: Kind(b[10]), More: b[11] == flagMore, Seq: binary.LittleEndian.Uint64(b[12:]),
		Expiry: int64(binary.LittleEndian.Uint64(b[20:]))}
	key, value := int(binary.LittleEndian.Uint16(b[8:])), int64(binary.LittleEndian.Uint32(b[4:]))
	switch {
	case b[11] > flagMore:
		return Record{}, ErrInvalid
	case r.Kind == Put && key > 0:
	case r.Kind == Delete && key > 0 && value == 0 && r.Expiry == 0:
	case r.Kind == Group && key == 0 && value == GroupValue && !r.More && r.Seq == 0 && r.Expiry == 0:
	default:
		return Record{}, ErrInvalid
	}
	size := RecordHeader + int64(key) + value
	if int64(len(b)) < size {
		return Record{}, ErrShort
	}
	if binary.LittleEndian.Uint32(b) != sum(salt, offset, b[4:size]) {
		return Record{}, ErrInvalid
	}
	r.Key = b[RecordHeader : RecordHeader+key : RecordHeader+key]
	r.Value = b[RecordHeader+key : size : size]
	return r, nil
}

// FindFlushed looks at every offset of b for group records, and returns the highest "flushed" of those that are
// valid. b stands at this offset of the segment with this salt.
func FindFlushed(b []byte, salt uint32, offset int64) (flushed int64, found bool) {
	for i := 0; i+GroupSize <= len(b); i++ {
		// The fields that all groups share are looked at before the checksum: key length 0, kind, flags.
		if b[i+10] != byte(Group) || b[i+8]|b[i+9]|b[i+11] != 0 {
			continue
		}
		if r, err := ReadRecord(b[i:], salt, offset+int64(i)); err == nil {
			f, _ := r.GroupFields()
			flushed, found = max(flushed, f), true
		}
	}
	return flushed, found
}
