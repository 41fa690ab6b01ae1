package ledger

import (
	"slices"
	"time"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

// recover reads the folder and makes it ready for writing. The manifest is replaced once: a crash before that leaves the
// folder's old state, a crash after it the new state.
func (s *Store) recover() error {
	began := time.Now()
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	if err := s.readManifest(names); err != nil {
		return err
	}
	tail, err := s.loadSegments()
	if err != nil {
		return err
	}
	if tail.seg != nil {
		s.retired = []*segment{tail.seg} // so that it is released with the store until it is sealed
	}
	if err := s.startActive(tail); err != nil {
		return err
	}
	s.removeUnlistedFiles()
	s.recovery.Duration = time.Since(began)
	return nil
}

// maxReadAttempts is how often a read-only recovery is attempted if a writer replaces the manifest during each attempt.
const maxReadAttempts = 5

// recoverReadOnly reads the folder without changing it. If a writer replaces segments meanwhile, it starts again.
func (s *Store) recoverReadOnly() (err error) {
	began := time.Now()
	for range maxReadAttempts {
		var names []string
		if names, err = s.fs.List(); err != nil {
			return err
		}
		if err = s.readManifest(names); err != nil {
			return err
		}
		generation := s.manifest.Generation
		var tail *activeTail
		if tail, err = s.loadSegments(); err == nil {
			s.active = tail.seg
			s.recovery.Duration = time.Since(began)
			return nil
		}
		s.releaseSegments()
		if m, _, reloadErr := loadManifest(s.fs); reloadErr != nil || m.Generation == generation {
			return err
		}
	}
	return err
}

// closeRead closes a file that was only read. The error is ignored because no writes are pending.
func closeRead(f disk.File) { _ = f.Close() }

// startActive starts a new active segment with the records that are not known to be flushed, and seals the old active segment
// in front of them. A process never appends to a file that another process wrote, because data that can be read from it is
// not necessarily durable.
func (s *Store) startActive(t *activeTail) error {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	g, err := s.newSegment()
	if err != nil {
		return notWritten(err)
	}
	b := format.AppendGroup(nil, g.salt, g.size, g.size, s.clockMark)
	offsets := make([]int64, len(t.records))
	for i := range t.records {
		offsets[i] = g.size + int64(len(b))
		b = format.AppendRecord(b, g.salt, offsets[i], &t.records[i])
	}
	_, err = g.file.WriteAt(b, g.size)
	if err == nil {
		err = g.file.Sync()
	}
	if err != nil {
		g.release()
		return notWritten(err)
	}
	g.size += int64(len(b))
	sealed := s.sealed
	if old := t.seg; old != nil {
		if old.size = t.flushed; old.totalBytes > 0 {
			sealed = append(sealed[:len(sealed):len(sealed)], old)
		} else {
			old.release()
		}
	}
	s.mu.Lock()
	for i := range t.records {
		s.indexRecord(g, offsets[i], &t.records[i])
	}
	s.counts = counters{}
	s.mu.Unlock()
	s.retired = nil
	s.sealed, s.active, s.writer.flushedOffset, s.writer.activeRecords = sealed, g, g.size, len(t.records)
	s.recovery.Keys = s.index.Len()
	return s.replaceManifest(s.nextManifest(sealed, g))
}

// removeUnlistedFiles removes the segments that the current manifest does not list, and a temporary manifest. A file that
// reappears after a crash is never read, and is removed by the next recovery.
func (s *Store) removeUnlistedFiles() {
	names, err := s.fs.List()
	if err != nil {
		return
	}
	for _, name := range names {
		n, ok := segmentNumber(name)
		listed := slices.ContainsFunc(s.manifest.Segments, func(e format.SegmentEntry) bool { return e.Number == n })
		if name != manifestTempName && (!ok || listed) {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			s.opts.Log.Warn("could not remove unlisted ledger file", "file", name, "error", err)
			continue
		}
		s.recovery.StrayFiles++
	}
}
