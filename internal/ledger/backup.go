package ledger

import (
	"errors"
	"fmt"
	"io"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

// Backup copies the state of the store at one moment into another, empty folder, and returns the number of bytes copied. It blocks
// until the copy is complete; reads and writes continue meanwhile. The copy is an independent store with the same id. Its
// manifest is written last, so the copy is complete if the manifest exists.
func (s *Store) Backup(to disk.FS) (bytes int64, err error) {
	names, err := to.List()
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		if _, ok := segmentNumber(name); ok || name == manifestName {
			return 0, fmt.Errorf("%s: backup folder is not empty: it contains %s", to, name)
		}
	}
	if !s.opts.ReadOnly {
		if err := s.Sync(); err != nil {
			return 0, err
		}
	}
	s.manifestMu.Lock()
	all := append(s.sealed[:len(s.sealed):len(s.sealed)], s.active)
	if s.active == nil {
		all = all[:len(all)-1]
	}
	m := s.nextManifest(all, nil) // the sizes at this moment, each at the end of a complete group
	for _, g := range all {
		g.acquire()
	}
	s.manifestMu.Unlock()
	defer func() {
		for _, g := range all {
			g.release()
		}
	}()
	var total int64
	for _, e := range m.Segments {
		total += e.Size
	}
	var copied []format.SegmentEntry
	for i, g := range all {
		e := m.Segments[i]
		if e.MinSequence == 0 {
			continue // the segment has no records
		}
		if err := copySegment(to, g, e.Size); err != nil {
			return bytes, fmt.Errorf("%s: %w", g.name, err)
		}
		bytes += e.Size
		s.opts.Progress("backup", bytes, total)
		copied = append(copied, e)
	}
	m.Segments = copied
	if err := to.SyncDir(); err != nil {
		return bytes, err
	}
	return bytes, writeManifest(to, m)
}

const copyBufferBytes = 1 << 20

// copySegment copies the first size bytes of a segment and flushes them.
func copySegment(to disk.FS, g *segment, size int64) (err error) {
	f, err := to.Create(g.name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	buf := make([]byte, min(size, copyBufferBytes))
	for off := int64(0); off < size; {
		b := buf[:min(size-off, int64(len(buf)))]
		if _, err := io.ReadFull(io.NewSectionReader(g.file, off, size-off), b); err != nil {
			return err
		}
		if _, err := f.WriteAt(b, off); err != nil {
			return err
		}
		off += int64(len(b))
	}
	return f.Sync()
}
