package raftlog

import (
	"fmt"
	"hash/crc64"
	"io"

	"sloehitch/internal/ledger"
)

// source reads a snapshot. It implements io.ReadCloser.
type source struct {
	view        *ledger.Snapshot
	description description
	nextPart    uint32
	checksum    uint64 // of the parts read so far
	part        []byte // not yet returned
}

// Read reads the snapshot's content. At the end it returns ErrCorruptSnapshot if the checksum does not match.
func (s *source) Read(p []byte) (int, error) {
	for len(s.part) == 0 {
		if s.nextPart == s.description.Parts {
			return 0, s.verifyChecksum()
		}
		part, err := s.view.Get(partKey(s.description.ID, s.nextPart))
		if err != nil {
			return 0, fmt.Errorf("raftlog: read part %d of snapshot %s: %w", s.nextPart, s.description.ID, err)
		}
		s.nextPart++
		s.checksum = crc64.Update(s.checksum, crcTable, part)
		s.part = part
	}
	n := copy(p, s.part)
	s.part = s.part[n:]
	return n, nil
}

// verifyChecksum returns io.EOF if the checksum matches, and ErrCorruptSnapshot otherwise.
func (s *source) verifyChecksum() error {
	if s.checksum != s.description.Checksum {
		return fmt.Errorf("raftlog: snapshot %s: %w", s.description.ID, ErrCorruptSnapshot)
	}
	return io.EOF
}

// Close releases the ledger's files.
func (s *source) Close() error {
	s.view.Close()
	return nil
}
