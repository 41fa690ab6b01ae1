package raftlog

import (
	"encoding/binary"
	"time"

	"github.com/hashicorp/raft"
)

// Encoding of an entry: the version and the type, one byte each; the term, the time of appending (nanoseconds since
// 1970, zigzag-encoded; 0: none) and the length of the extensions as varints; the extensions; the data.
const (
	entryVersion     = 1
	entryHeaderBytes = 2
	entryOverhead    = 24 // capacity allocated for the header and the varints, in bytes; most entries need fewer
)

func encodeEntry(e *raft.Log) []byte {
	b := make([]byte, 0, entryOverhead+len(e.Extensions)+len(e.Data))
	b = append(b, entryVersion, byte(e.Type))
	b = binary.AppendUvarint(b, e.Term)
	appendedAt := int64(0)
	if !e.AppendedAt.IsZero() {
		appendedAt = e.AppendedAt.UnixNano()
	}
	b = binary.AppendVarint(b, appendedAt)
	b = binary.AppendUvarint(b, uint64(len(e.Extensions)))
	return append(append(b, e.Extensions...), e.Data...)
}

// decodeEntry decodes b into e, which shares its memory. It returns ErrMalformedEntry for any other format.
func decodeEntry(b []byte, index uint64, e *raft.Log) error {
	if len(b) < entryHeaderBytes || b[0] != entryVersion {
		return ErrMalformedEntry
	}
	*e = raft.Log{Index: index, Type: raft.LogType(b[1])}
	b = b[entryHeaderBytes:]
	term, n := binary.Uvarint(b)
	if n <= 0 {
		return ErrMalformedEntry
	}
	e.Term = term
	b = b[n:]
	appendedAt, n := binary.Varint(b)
	if n <= 0 {
		return ErrMalformedEntry
	}
	b = b[n:]
	if appendedAt != 0 {
		e.AppendedAt = time.Unix(0, appendedAt)
	}
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return ErrMalformedEntry
	}
	b = b[n:]
	if size > 0 {
		e.Extensions = b[:size:size]
	}
	e.Data = b[size:]
	return nil
}
