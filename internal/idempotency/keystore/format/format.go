// Package format defines the binary format of the key records shared by the processes of one node: the header of a
// segment and the records in it (docs/format-claims.md). It does no I/O.
package format

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Version is the version of the segment format. A process can't share keys with one that writes another version.
const Version = 1

// HeaderSize is the size of a segment's header in bytes.
const HeaderSize = 16

// frameHeaderSize is the size of the header before each record: its length and its checksum, 4 bytes each,
// little-endian.
const frameHeaderSize = 8

// MaxRecord is the maximum size of a record in bytes, enough for the largest stored result and the fields before it.
const MaxRecord = 64 << 10

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// ErrIncomplete means that the bytes end within a record, which may still be completed.
	ErrIncomplete = errors.New("keystore: record is incomplete")
	// ErrCorrupt means that the bytes are not a record, whatever follows them.
	ErrCorrupt = errors.New("keystore: record is corrupt")
	// ErrVersion means that a segment has another version, or was written by another program.
	ErrVersion = errors.New("keystore: segment has another version")
)

// Kind is the event that a record reports for a key.
type Kind byte

// The kinds of records, with their encoded values.
const (
	KindStarted   Kind = 1 + iota // the writing process holds the key and is about to start its run
	KindEnded                     // the run has ended
	KindWithdrawn                 // the run was not started: the key is free
)

// ID identifies a key and its class: the first half of their SHA-256.
type ID [16]byte

// Record reports one event of a key.
type Record struct {
	Kind         Kind
	Seq          uint64 // sequence number over the records of all processes
	ID           ID
	ExpiresAt    int64    // Unix nanoseconds after which the record has no effect
	Fingerprint  [32]byte // KindStarted and KindEnded: of the request's class and content
	Succeeded    bool     // KindEnded: the run succeeded
	ResultStored bool     // KindEnded: Result is the result of the run
	Protocol     string   // protocol that can read Result; at most 255 bytes
	Result       []byte
}

// Salt is a random number of a segment that is included in its checksums. Without it, a result whose bytes imitate
// records could be taken for records when a reader searches for the next intact one.
type Salt uint64

// Header returns the header of a segment.
func Header(s Salt) []byte {
	return binary.LittleEndian.AppendUint64(append([]byte("SLCL"), Version, 0, 0, 0), uint64(s))
}

// ParseHeader returns the salt of a segment that begins with b. It returns ErrIncomplete if b is too short for a
// header, and ErrVersion if it is not the header of this version.
func ParseHeader(b []byte) (Salt, error) {
	if len(b) < HeaderSize {
		return 0, ErrIncomplete
	}
	s := Salt(binary.LittleEndian.Uint64(b[8:]))
	if string(b[:8]) != string(Header(s)[:8]) {
		return 0, ErrVersion
	}
	return s, nil
}

// Sizes of records in bytes, without the frame headers.
const (
	fixedSize      = 1 + 8 + 16 + 8  // kind, seq, id, expiry; the size of a withdrawal
	startedSize    = fixedSize + 32  // the fingerprint is added
	endedFixedSize = startedSize + 2 // the flags and the length of the protocol's name are added; the name and the result follow
)

const (
	flagSucceeded = 1 << iota
	flagResultStored
)

// AppendRecord appends the frame of a record to b.
func (s Salt) AppendRecord(b []byte, r Record) []byte {
	at := len(b)
	b = append(b, make([]byte, frameHeaderSize)...)
	b = append(b, byte(r.Kind))
	b = binary.LittleEndian.AppendUint64(b, r.Seq)
	b = append(b, r.ID[:]...)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.ExpiresAt))
	if r.Kind != KindWithdrawn {
		b = append(b, r.Fingerprint[:]...)
	}
	if r.Kind == KindEnded {
		flags := byte(0)
		if r.Succeeded {
			flags |= flagSucceeded
		}
		if r.ResultStored {
			flags |= flagResultStored
		}
		protocol := r.Protocol[:min(len(r.Protocol), 255)]
		b = append(b, flags, byte(len(protocol)))
		b = append(b, protocol...)
		b = append(b, r.Result...)
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-frameHeaderSize))
	binary.LittleEndian.PutUint32(b[at+4:], s.checksum(b[at:]))
	return b
}

// checksum returns the CRC-32C of a frame, computed over the salt, the record's length and the record.
func (s Salt) checksum(frame []byte) uint32 {
	var salt [8]byte
	binary.LittleEndian.PutUint64(salt[:], uint64(s))
	c := crc32.Update(crc32.Checksum(salt[:], castagnoli), castagnoli, frame[:4])
	return crc32.Update(c, castagnoli, frame[frameHeaderSize:])
}

// DecodeRecord decodes the record at the beginning of b, and returns the size of its frame. Result shares b's
// memory. It returns ErrIncomplete if the record may continue after b, and ErrCorrupt if no further bytes could
// complete it.
func (s Salt) DecodeRecord(b []byte) (r Record, n int, err error) {
	if len(b) < frameHeaderSize {
		return r, 0, ErrIncomplete
	}
	size := int(binary.LittleEndian.Uint32(b))
	if size < fixedSize || size > MaxRecord {
		return r, 0, ErrCorrupt
	}
	if n = frameHeaderSize + size; len(b) < n {
		return r, 0, ErrIncomplete
	}
	if s.checksum(b[:n]) != binary.LittleEndian.Uint32(b[4:]) {
		return r, 0, ErrCorrupt
	}
	p := b[frameHeaderSize:n]
	r.Kind = Kind(p[0])
	r.Seq = binary.LittleEndian.Uint64(p[1:])
	copy(r.ID[:], p[9:25])
	r.ExpiresAt = int64(binary.LittleEndian.Uint64(p[25:]))
	switch {
	case r.Kind == KindWithdrawn && size == fixedSize:
		return r, n, nil
	case r.Kind == KindStarted && size == startedSize:
		copy(r.Fingerprint[:], p[fixedSize:])
		return r, n, nil
	case r.Kind == KindEnded && size >= endedFixedSize && size >= endedFixedSize+int(p[startedSize+1]):
		copy(r.Fingerprint[:], p[fixedSize:])
		r.Succeeded, r.ResultStored = p[startedSize]&flagSucceeded != 0, p[startedSize]&flagResultStored != 0
		rest := endedFixedSize + int(p[startedSize+1])
		r.Protocol, r.Result = string(p[endedFixedSize:rest]), p[rest:]
		return r, n, nil
	}
	return r, 0, ErrCorrupt
}
