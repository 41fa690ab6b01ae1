package format

import "encoding/binary"

// Sizes and limits of encoded records in bytes.
const (
	RecordHeaderSize = 28
	GroupValueSize   = 16
	GroupRecordSize  = RecordHeaderSize + GroupValueSize
	MaxKeyBytes      = 1<<16 - 1
)

// Kind is the type of a record.
type Kind uint8

// Kinds of records. A group record precedes each group of batches that is written at once.
const (
	KindPut    Kind = 1
	KindDelete Kind = 2
	KindGroup  Kind = 3
)

const flagBatchContinues = 1

// Record is a decoded record. Key and Value may alias the bytes that it was decoded from.
type Record struct {
	Kind           Kind
	BatchContinues bool // the next record belongs to the same batch
	Sequence       uint64
	ExpiryMillis   int64 // Unix milliseconds; 0: never
	Key            []byte
	Value          []byte
}

// Size returns the encoded size in bytes.
func (r *Record) Size() int { return RecordHeaderSize + len(r.Key) + len(r.Value) }

// AppendRecord appends to b the record encoded for the given offset and segment salt.
func AppendRecord(b []byte, salt uint32, offset int64, r *Record) []byte {
	start := len(b)
	var h [RecordHeaderSize]byte
	binary.LittleEndian.PutUint32(h[4:], uint32(len(r.Value)))
	binary.LittleEndian.PutUint16(h[8:], uint16(len(r.Key)))
	h[10] = byte(r.Kind)
	if r.BatchContinues {
		h[11] = flagBatchContinues
	}
	binary.LittleEndian.PutUint64(h[12:], r.Sequence)
	binary.LittleEndian.PutUint64(h[20:], uint64(r.ExpiryMillis))
	b = append(b, h[:]...)
	b = append(b, r.Key...)
	b = append(b, r.Value...)
	binary.LittleEndian.PutUint32(b[start:], checksum(salt, offset, b[start+4:]))
	return b
}

// AppendGroup appends to b a group record. flushed is the offset up to which the segment is known to be flushed. clockMark is
// the store's clock in Unix milliseconds.
func AppendGroup(b []byte, salt uint32, offset, flushed, clockMark int64) []byte {
	var v [GroupValueSize]byte
	binary.LittleEndian.PutUint64(v[:], uint64(flushed))
	binary.LittleEndian.PutUint64(v[8:], uint64(clockMark))
	return AppendRecord(b, salt, offset, &Record{Kind: KindGroup, Value: v[:]})
}

// GroupFields returns the fields of a group record, as they were passed to AppendGroup.
func (r *Record) GroupFields() (flushed, clockMark int64) {
	return int64(binary.LittleEndian.Uint64(r.Value)), int64(binary.LittleEndian.Uint64(r.Value[8:]))
}

// DecodeRecord decodes the record at the start of b, which was read from the given offset of the segment with the given salt.
// The record's key and value alias b. The error is ErrShort or ErrInvalid.
func DecodeRecord(b []byte, salt uint32, offset int64) (Record, error) {
	if len(b) < RecordHeaderSize {
		return Record{}, ErrShort
	}
	r := Record{Kind: Kind(b[10]), BatchContinues: b[11] == flagBatchContinues, Sequence: binary.LittleEndian.Uint64(b[12:]),
		ExpiryMillis: int64(binary.LittleEndian.Uint64(b[20:]))}
	key, value := int(binary.LittleEndian.Uint16(b[8:])), int64(binary.LittleEndian.Uint32(b[4:]))
	switch {
	case b[11] > flagBatchContinues:
		return Record{}, ErrInvalid
	case r.Kind == KindPut && key > 0:
	case r.Kind == KindDelete && key > 0 && value == 0 && r.ExpiryMillis == 0:
	case r.Kind == KindGroup && key == 0 && value == GroupValueSize && !r.BatchContinues && r.Sequence == 0 && r.ExpiryMillis == 0:
	default:
		return Record{}, ErrInvalid
	}
	size := RecordHeaderSize + int64(key) + value
	if int64(len(b)) < size {
		return Record{}, ErrShort
	}
	if binary.LittleEndian.Uint32(b) != checksum(salt, offset, b[4:size]) {
		return Record{}, ErrInvalid
	}
	r.Key = b[RecordHeaderSize : RecordHeaderSize+key : RecordHeaderSize+key]
	r.Value = b[RecordHeaderSize+key : size : size]
	return r, nil
}

// FindFlushed searches b at every offset for valid group records and returns the highest flushed offset in them. b was read
// from the given offset of the segment with the given salt.
func FindFlushed(b []byte, salt uint32, offset int64) (flushed int64, found bool) {
	for i := 0; i+GroupRecordSize <= len(b); i++ {
		// The fields that are the same in all group records are compared first, because that is cheaper than the checksum.
		if b[i+10] != byte(KindGroup) || b[i+8]|b[i+9]|b[i+11] != 0 {
			continue
		}
		if r, err := DecodeRecord(b[i:], salt, offset+int64(i)); err == nil {
			f, _ := r.GroupFields()
			flushed, found = max(flushed, f), true
		}
	}
	return flushed, found
}
