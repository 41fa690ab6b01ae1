// Package format encodes and decodes the ledger's files: segments of records, compressed blocks and the manifest. The byte
// layouts are in docs/format-ledger.md. It does no I/O. Its functions may be called from any goroutine.
//
// The checksum of a record or block covers its offset and the segment's salt (the checksum of the segment's header), so that
// bytes that stand elsewhere, or in another segment, are not valid here.
package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Version is the version of the files that are written, and the latest that can be read.
const Version = 1

// ID is a store's identity.
type ID [16]byte

// VersionError says that a file was written by a later program.
type VersionError struct{ Found uint16 }

func (e VersionError) Error() string {
	return fmt.Sprintf("format version %d; this program reads up to %d: use a later one", e.Found, Version)
}

var (
	// ErrShort says that the bytes end before the item does.
	ErrShort = errors.New("the record is cut short")
	// ErrInvalid says that there is no valid record or block here: a wrong checksum, or fields that none has.
	ErrInvalid = errors.New("not a valid record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum is the checksum of bytes that stand at an offset of the segment with this salt.
func checksum(salt uint32, offset int64, b []byte) uint32 {
	var place [12]byte
	binary.LittleEndian.PutUint32(place[:], salt)
	binary.LittleEndian.PutUint64(place[4:], uint64(offset))
	return crc32.Update(crc32.Update(0, castagnoli, place[:]), castagnoli, b)
}
