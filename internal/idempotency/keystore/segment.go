package keystore

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"

	"sloehitch/internal/idempotency/keystore/format"
)

// segment is a file of records. A process appends only to its newest segment; older ones never change.
type segment struct {
	number         int    // number by which this process refers to it
	owner          string // name of the process that writes it
	order          int    // its position among the owner's segments
	path           string
	file           *os.File // nil once the segment has been read to its end
	size           int64    // bytes read, or bytes written to an own segment
	expiresAt      int64    // latest expiry of its records, in Unix nanoseconds
	salt           format.Salt
	foreignVersion bool  // the segment can't be read, since its header has another version
	skippedBytes   int64 // bytes skipped because they are not part of a record
}

// readBufferSize is the size of the read buffer in bytes, more than the longest record.
const readBufferSize = format.MaxRecord + 4<<10

// read reads what was added to another process's segment, and calls take with each complete record. A partial record
// is left for the next call, unless last reports that nothing will be added to the segment. Bytes that are not a
// record are skipped, since complete records may follow them.
func (s *segment) read(buffer []byte, last bool, take func(r format.Record, at, size int64)) error {
	if s.foreignVersion {
		return nil
	}
	if s.file == nil {
		file, err := os.Open(s.path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // the segment had expired and was removed
		} else if err != nil {
			return err
		}
		s.file = file
	}
	for {
		n, err := s.file.ReadAt(buffer, s.size)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		used, err := s.decode(buffer[:n], last && n < len(buffer), take)
		if err != nil {
			s.foreignVersion = true
			return err
		}
		s.size += used
		if n < len(buffer) || used == 0 {
			return nil
		}
	}
}

// decode calls take with each complete record in b, which begins at offset s.size, and returns the number of bytes
// decoded or skipped. last reports that nothing follows b.
func (s *segment) decode(b []byte, last bool, take func(r format.Record, at, size int64)) (used int64, err error) {
	if s.size == 0 {
		if s.salt, err = format.ParseHeader(b); errors.Is(err, format.ErrIncomplete) {
			return 0, nil
		} else if err != nil {
			return 0, fmt.Errorf("%s: %w", s.path, err)
		}
		used = format.HeaderSize
	}
	for int(used) < len(b) {
		r, n, err := s.salt.DecodeRecord(b[used:])
		switch {
		case err == nil:
			take(r, s.size+used, int64(n))
			used += int64(n)
		case errors.Is(err, format.ErrIncomplete) && !last:
			return used, nil
		default:
			used++
			s.skippedBytes++
		}
	}
	return used, nil
}

// append appends text to an own segment. It returns how many of its bytes were written. Complete records among them
// take effect, even if there was an error.
func (s *segment) append(text []byte) (int, error) {
	n, err := s.file.Write(text) // not WriteAt, which does not report how much was written before an error
	s.size += int64(n)
	if err != nil {
		s.closeFile() // nothing may follow a truncated record in its segment
		return n, fmt.Errorf("keystore: %w", err)
	}
	return n, nil
}

// readRecord reads the record at a known offset.
func (s *segment) readRecord(at, size int64) (format.Record, error) {
	file := s.file
	if file == nil {
		var err error
		if file, err = os.Open(s.path); err != nil {
			return format.Record{}, err
		}
		defer func() { _ = file.Close() }()
	}
	b := make([]byte, size)
	if _, err := file.ReadAt(b, at); err != nil {
		return format.Record{}, err
	}
	r, _, err := s.salt.DecodeRecord(b)
	return r, err
}

// exists reports whether a segment's file still exists.
func (s *segment) exists() bool {
	_, err := os.Stat(s.path)
	return err == nil
}

// closeFile closes a segment's file once nothing more is read from or written to it.
func (s *segment) closeFile() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
