// Package format holds the bytes of the claims of keys that the processes of one node share: what a segment begins
// with, and the records in it (docs/format-claims.md). It does no I/O.
package format

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Version is of the bytes of a segment. A process can't share keys with one that writes another.
const Version = 1

// HeadSize is the bytes of a segment's head.
const HeadSize = 16

// frameHead is the bytes before a record: its length and its checksum.
const frameHead = 8

// MostRecord is the bytes of a record at most: the largest result that is kept, and what stands before it.
const MostRecord = 64 << 10

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// ErrShort says that the bytes end within a record: more may come.
	ErrShort = errors.New("claims: the record is not whole")
	// ErrDamaged says that the bytes are no record, whatever comes after them.
	ErrDamaged = errors.New("claims: the record is damaged")
	// ErrVersion says that a segment is of another version, or of another program.
	ErrVersion = errors.New("claims: a segment of another version")
)

// Kind says what a record tells of a key.
type Kind byte

const (
	Began     Kind = 1 + iota // its writer holds it, and is about to start its run
	Ended                     // the run is over
	Withdrawn                 // nothing ran: the key is free
)

// ID stands for a key and its class: the first half of their SHA-256.
type ID [16]byte

// Record is one thing told of a key.
type Record struct {
	Kind   Kind
	Seq    uint64 // the order of records over all processes
	ID     ID
	Ends   int64    // Unix nanoseconds after which the record counts no more
	Digest [32]byte // Began and Ended: of the request's class and content
	Served bool     // Ended: the run went well
	Kept   bool     // and Result is what came of it
	Front  string   // the protocol that understands it; 255 bytes at most
	Result []byte
}

// Salt is a segment's own number, drawn at random, that goes into its checksums: a result made to look like records is
// not taken for them where a reader has to look for the next whole one.
type Salt uint64

// Head is what a segment begins with.
func Head(s Salt) []byte {
	return binary.LittleEndian.AppendUint64(append([]byte("SLCL"), Version, 0, 0, 0), uint64(s))
}

// ReadHead errs with ErrShort or ErrVersion where b does not begin as a segment of this version does.
func ReadHead(b []byte) (Salt, error) {
	if len(b) < HeadSize {
		return 0, ErrShort
	}
	s := Salt(binary.LittleEndian.Uint64(b[8:]))
	if string(b[:8]) != string(Head(s)[:8]) {
		return 0, ErrVersion
	}
	return s, nil
}

const (
	fixed      = 1 + 8 + 16 + 8 // kind, seq, id, ends
	withDigest = fixed + 32
	withEnd    = withDigest + 2 // flags and the length of the front's name
)

const (
	flagServed = 1 << iota
	flagKept
)

// Append appends a record's frame to b.
func (s Salt) Append(b []byte, r Record) []byte {
	at := len(b)
	b = append(b, make([]byte, frameHead)...)
	b = append(b, byte(r.Kind))
	b = binary.LittleEndian.AppendUint64(b, r.Seq)
	b = append(b, r.ID[:]...)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Ends))
	if r.Kind != Withdrawn {
		b = append(b, r.Digest[:]...)
	}
	if r.Kind == Ended {
		flags := byte(0)
		if r.Served {
			flags |= flagServed
		}
		if r.Kept {
			flags |= flagKept
		}
		front := r.Front[:min(len(r.Front), 255)]
		b = append(b, flags, byte(len(front)))
		b = append(b, front...)
		b = append(b, r.Result...)
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-frameHead))
	binary.LittleEndian.PutUint32(b[at+4:], s.sum(b[at:]))
	return b
}

// sum is the checksum of a frame: over the salt, its length and its record.
func (s Salt) sum(frame []byte) uint32 {
	var salt [8]byte
	binary.LittleEndian.PutUint64(salt[:], uint64(s))
	c := crc32.Update(crc32.Checksum(salt[:], castagnoli), castagnoli, frame[:4])
	return crc32.Update(c, castagnoli, frame[frameHead:])
}

// Next reads the record at the beginning of b and says how many bytes it takes. Result shares b's memory. It errs with
// ErrShort where the record may go on beyond b, and with ErrDamaged where nothing that follows could make it whole.
func (s Salt) Next(b []byte) (r Record, n int, err error) {
	if len(b) < frameHead {
		return r, 0, ErrShort
	}
	size := int(binary.LittleEndian.Uint32(b))
	if size < fixed || size > MostRecord {
		return r, 0, ErrDamaged
	}
	if n = frameHead + size; len(b) < n {
		return r, 0, ErrShort
	}
	if s.sum(b[:n]) != binary.LittleEndian.Uint32(b[4:]) {
		return r, 0, ErrDamaged
	}
	p := b[frameHead:n]
	r.Kind, r.Seq, r.Ends = Kind(p[0]), binary.LittleEndian.Uint64(p[1:]), int64(binary.LittleEndian.Uint64(p[25:]))
	copy(r.ID[:], p[9:25])
	switch {
	case r.Kind == Withdrawn && size == fixed:
		return r, n, nil
	case r.Kind == Began && size == withDigest:
		copy(r.Digest[:], p[fixed:])
		return r, n, nil
	case r.Kind == Ended && size >= withEnd && size >= withEnd+int(p[withDigest+1]):
		copy(r.Digest[:], p[fixed:])
		r.Served, r.Kept = p[withDigest]&flagServed != 0, p[withDigest]&flagKept != 0
		rest := withEnd + int(p[withDigest+1])
		r.Front, r.Result = string(p[withEnd:rest]), p[rest:]
		return r, n, nil
	}
	return r, 0, ErrDamaged
}
