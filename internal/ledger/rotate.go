package ledger

// rotate seals the active segment and starts a new one. The new segment is used once the manifest lists it.
func (s *Store) rotate() error {
	if err := s.flush(); err != nil {
		return err
	}
	s.writer.unindexed.Wait() // the manifest contains statistics of the segment's records
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	g, err := s.newSegment()
	if err != nil {
		return notWritten(err)
	}
	old := s.active
	next := s.nextManifest(append(s.sealed[:len(s.sealed):len(s.sealed)], old), g)
	if err := s.replaceManifest(next); err != nil {
		g.release()
		return err
	}
	s.sealed = append(s.sealed, old)
	s.active, s.writer.flushedOffset, s.writer.activeRecords = g, g.size, 0
	signal(s.compactionDue)
	return nil
}

// newSegment creates a segment file and makes it durable. It does not add it to the manifest. The caller holds manifestMu.
func (s *Store) newSegment() (*segment, error) {
	n := s.manifest.NextSegment
	s.manifest.NextSegment++ // the number is not reused even if the creation fails
	g, err := createSegment(s.fs, s.id, n, false)
	if err != nil {
		return nil, err
	}
	if err = g.file.Sync(); err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		g.release()
		return nil, err
	}
	return g, nil
}
