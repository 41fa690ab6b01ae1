package keystore

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"

	"sloehitch/internal/idempotency/keystore/format"
)

// segment is a file of records. Its owner appends to the newest of its own; older ones never change.
type segment struct {
	number         int    // this process's name for it
	owner          string // the process that writes it
	order          int    // its place among that process's segments
	path           string
	file           *os.File // nil once it is read to its end
	size           int64    // bytes read, or written if it is this process's own
	expiresAt      int64    // of its longest-lived record, in Unix nanoseconds
	salt           format.Salt
	foreignVersion bool  // it can't be read: its header is of another version
	skippedBytes   int64 // that were no records
}

// readBufferSize is enough for the longest record and then some, in bytes.
const readBufferSize = format.MaxRecord + 4<<10

// read reads on in another process's segment, and calls take with each complete record. A partial record is left for
// the next time, unless last says that nothing will be added to it. Bytes that are no record are skipped: complete
// records follow them.
func (s *segment) read(buffer []byte, last bool, take func(r format.Record, at, size int64)) error {
	if s.foreignVersion {
		return nil
	}
	if s.file == nil {
		file, err := os.Open(s.path)
		if errors.Is(err, fs.ErrNotExist) {
			return nil // it had expired
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

// decode takes complete records from b, which begins at s.size, and returns the bytes that they and what was skipped
// take. last says that nothing comes after b.
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

// append writes text at the end of an own segment. It returns how many of its bytes were written: complete records
// among them count, whatever the error.
func (s *segment) append(text []byte) (int, error) {
	n, err := s.file.Write(text) // not WriteAt, which does not say how much stands where it fails midway
	s.size += int64(n)
	if err != nil {
		s.closeFile() // the part of a record that was cut must stay the last in its segment
		return n, fmt.Errorf("keystore: %w", err)
	}
	return n, nil
}

// readRecord reads one record again.
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

// exists reports whether a segment's file is still there.
func (s *segment) exists() bool {
	_, err := os.Stat(s.path)
	return err == nil
}

// closeFile closes a segment that is read or written to its end.
func (s *segment) closeFile() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}
