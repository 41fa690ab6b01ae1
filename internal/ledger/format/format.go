// Package format encodes and decodes the ledger's files: segments of records, compressed blocks and the manifest. The byte
// layouts are in docs/format-ledger.md. It does no I/O. Its functions may be called from any goroutine.
//
// The checksum of a record or block covers its offset and the segment's salt (the checksum of the segment header), so a record
// or block that was copied to another offset or another segment is invalid.
package format

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Version is the format version of written files and the latest version that can be read.
const Version = 1

// ID identifies a store.
type ID [16]byte

// VersionError reports that a file has a later format version than this program supports.
type VersionError struct{ Found uint16 }

func (e VersionError) Error() string {
	return fmt.Sprintf("unsupported format version %d: this program reads versions up to %d; use a newer version of it", e.Found, Version)
}

var (
	// ErrShort reports that the bytes end before the record, block or header is complete.
	ErrShort = errors.New("truncated record")
	// ErrInvalid reports that the bytes are not a valid record or block: the checksum does not match, or a field has an impossible
	// value.
	ErrInvalid = errors.New("invalid record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of the salt, the offset and b.
func checksum(salt uint32, offset int64, b []byte) uint32 {
	var prefix [12]byte
	binary.LittleEndian.PutUint32(prefix[:], salt)
	binary.LittleEndian.PutUint64(prefix[4:], uint64(offset))
	return crc32.Update(crc32.Update(0, castagnoli, prefix[:]), castagnoli, b)
}
