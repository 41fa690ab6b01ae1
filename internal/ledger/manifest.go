package ledger

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

const (
	manifestName     = "MANIFEST"
	manifestTempName = "MANIFEST.new"

	maxManifestBytes = 64 << 20
)

// nextManifest returns the next generation of the manifest, with the given segments. The caller holds manifestMu.
func (s *Store) nextManifest(sealed []*segment, active *segment) format.Manifest {
	m := s.manifest
	m.Generation++
	s.mu.RLock()
	defer s.mu.RUnlock()
	m.ClockMark, m.Segments = max(m.ClockMark, s.clockMark), nil
	for _, g := range sealed {
		m.Segments = append(m.Segments, format.SegmentEntry{Number: g.number, Size: g.size, MinSequence: g.minSequence, Cold: g.cold})
		m.LastSequence = max(m.LastSequence, g.maxSequence)
	}
	if active != nil {
		entry := format.SegmentEntry{Number: active.number, Size: format.ActiveSegmentSize, MinSequence: active.minSequence}
		m.Segments = append(m.Segments, entry)
		m.LastSequence = max(m.LastSequence, active.maxSequence)
	}
	return m
}

// replaceManifest makes m the current manifest. The caller holds manifestMu. If an error occurs before the rename, the old
// manifest stays current. After a later error either manifest may be current, and the store rejects further writes.
func (s *Store) replaceManifest(m format.Manifest) error {
	if err := writeManifest(s.fs, m); err != nil {
		var unsure *manifestUncertainError
		if errors.As(err, &unsure) {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, s.markBroken(err))
		}
		return notWritten(err)
	}
	s.manifest = m
	return nil
}

// manifestUncertainError reports that it is unknown whether the manifest was replaced.
type manifestUncertainError struct{ error }

func (e *manifestUncertainError) Unwrap() error { return e.error }

// writeManifest replaces the manifest file atomically by writing, flushing and renaming a temporary file. The error is a
// manifestUncertainError if the rename may have taken effect.
func writeManifest(fs disk.FS, m format.Manifest) error {
	f, err := fs.Create(manifestTempName)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(m.Append(nil), 0)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = fs.Rename(manifestTempName, manifestName); err == nil {
		err = fs.SyncDir()
	}
	if err != nil {
		return &manifestUncertainError{err}
	}
	return nil
}

// loadManifest reads the manifest file. On an error, where is the offset of the fault in the file.
func loadManifest(fs disk.FS) (m *format.Manifest, where int64, err error) {
	f, err := fs.Open(manifestName)
	if err != nil {
		return nil, 0, err
	}
	defer closeRead(f)
	size, err := f.Size()
	if err != nil {
		return nil, 0, err
	}
	if size > maxManifestBytes {
		return nil, 0, fmt.Errorf("manifest of %d bytes is too large", size)
	}
	b := make([]byte, size)
	if _, err := f.ReadAt(b, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, 0, err
	}
	return format.DecodeManifest(b)
}

// readManifest loads the manifest of the store, or creates one if the folder is empty.
func (s *Store) readManifest(names []string) error {
	if !slices.Contains(names, manifestName) {
		for _, name := range names {
			if _, ok := segmentNumber(name); ok {
				return newDamageError(manifestName, 0, "manifest is missing, but there are segments such as %s", name)
			}
		}
		if s.opts.ReadOnly {
			return fmt.Errorf("%s: folder contains no ledger", s.fs)
		}
		// The manifest is created before the first segment, so a folder with segments always has one.
		s.recovery.Fresh = true
		s.id = newID()
		return s.replaceManifest(format.Manifest{Store: s.id, NextSegment: 1})
	}
	m, where, err := loadManifest(s.fs)
	switch v := (format.VersionError{}); {
	case errors.As(err, &v):
		return fmt.Errorf("%s: %w", manifestName, err)
	case err != nil && isNotExist(err):
		return err
	case err != nil:
		return newDamageError(manifestName, where, "%v", err)
	}
	s.manifest, s.id = *m, m.Store
	for _, e := range m.Segments {
		s.manifest.NextSegment = max(s.manifest.NextSegment, e.Number+1)
	}
	for _, name := range names { // the numbers of unlisted files must not be reused either
		if n, ok := segmentNumber(name); ok && n < math.MaxUint64 {
			s.manifest.NextSegment = max(s.manifest.NextSegment, n+1)
		}
	}
	return nil
}
