package raftlog

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc64"
	"io"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
)

// description is what is kept of a whole snapshot. It is written after the last part, so that a cut leaves no half one.
type description struct {
	raft.SnapshotMeta
	Parts uint32
	Sum   uint64 // CRC-64 (ECMA) of all bytes
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// Snapshots is the store of snapshots that lies beside a log.
type Snapshots struct{ log *Log }

// Snapshots returns the snapshots of a log's folder.
func (l *Log) Snapshots() Snapshots { return Snapshots{l} }

func metaKey(id string) []byte { return append([]byte{snapshotPrefix}, id...) }

func partKey(id string, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(append([]byte{partPrefix}, id...), 0), n)
}

// descriptions reads the descriptions, the newest first.
func (l *Log) descriptions() (all []description, err error) {
	err = l.ledger.Scan([]byte{snapshotPrefix}, func(p ledger.Pair) error {
		var d description
		if err := json.Unmarshal(p.Value, &d); err != nil {
			return fmt.Errorf("raftlog: snapshot %s: %w", p.Key[1:], err)
		}
		all = append(all, d)
		return nil
	})
	slices.SortFunc(all, func(a, b description) int {
		return cmp.Or(cmp.Compare(b.Term, a.Term), cmp.Compare(b.Index, a.Index), cmp.Compare(b.ID, a.ID))
	})
	return all, err
}

// removeStaleSnapshots removes all but the newest snapshots, and parts of those that never became whole.
func (l *Log) removeStaleSnapshots() error {
	all, err := l.descriptions()
	if err != nil {
		return err
	}
	whole := map[string]bool{}
	l.mu.RLock()
	for id := range l.openSnapshots {
		whole[id] = true
	}
	l.mu.RUnlock()
	var b ledger.Batch
	for i, d := range all {
		if i < l.limits.SnapshotsKept {
			whole[d.ID] = true
		} else {
			b.Delete(metaKey(d.ID))
		}
	}
	err = l.ledger.Scan([]byte{partPrefix}, func(p ledger.Pair) error {
		if id := string(p.Key[1:max(1, len(p.Key)-5)]); !whole[id] {
			b.Delete(bytes.Clone(p.Key))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return l.ledger.Apply(&b)
}

// Create begins a snapshot. Nothing of it counts before its sink is closed.
func (s Snapshots) Create(version raft.SnapshotVersion, index, term uint64, c raft.Configuration, cIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	if version != 1 {
		return nil, fmt.Errorf("raftlog: snapshots of version %d are not known", version)
	}
	id := fmt.Sprintf("%020d-%020d-%d", term, index, time.Now().UnixNano())
	s.log.mu.Lock()
	s.log.openSnapshots[id] = true
	s.log.mu.Unlock()
	return &sink{log: s.log, description: description{SnapshotMeta: raft.SnapshotMeta{Version: version, ID: id, Index: index, Term: term, Configuration: c, ConfigurationIndex: cIndex}}}, nil
}

// List returns the whole snapshots, the newest first.
func (s Snapshots) List() ([]*raft.SnapshotMeta, error) {
	all, err := s.log.descriptions()
	var metas []*raft.SnapshotMeta
	for i := range all {
		metas = append(metas, &all[i].SnapshotMeta)
	}
	return metas, err
}

// Open reads a snapshot. The reader errs at the end where the bytes are not those that were written.
func (s Snapshots) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	text, err := s.log.ledger.Get(metaKey(id))
	if err != nil {
		return nil, nil, fmt.Errorf("raftlog: snapshot %s: %w", id, err)
	}
	var d description
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, nil, fmt.Errorf("raftlog: snapshot %s: %w", id, err)
	}
	at, err := s.log.ledger.Snapshot() // so that a newer one may take its place meanwhile
	if err != nil {
		return nil, nil, err
	}
	return &d.SnapshotMeta, &source{snapshot: at, description: d}, nil
}

// finish has a sink's parts count no longer for themselves.
func (s *sink) finish() {
	s.finished = true
	s.log.mu.Lock()
	delete(s.log.openSnapshots, s.description.ID)
	s.log.mu.Unlock()
}

// sink takes a snapshot's bytes.
type sink struct {
	log         *Log
	description description
	part        []byte
	finished    bool
}

// ID is the snapshot's.
func (s *sink) ID() string { return s.description.ID }

// Write keeps bytes, flushing a part whenever there is one.
func (s *sink) Write(p []byte) (int, error) {
	if s.finished {
		return 0, errors.New("raftlog: the snapshot has ended")
	}
	s.description.Sum = crc64.Update(s.description.Sum, crcTable, p)
	s.description.Size += int64(len(p))
	for rest := p; len(rest) > 0; {
		n := min(len(rest), s.log.limits.SnapshotPartBytes-len(s.part))
		s.part, rest = append(s.part, rest[:n]...), rest[n:]
		if len(s.part) == s.log.limits.SnapshotPartBytes {
			if err := s.writePart(); err != nil {
				return 0, err
			}
		}
	}
	return len(p), nil
}

func (s *sink) writePart() error {
	err := s.log.ledger.Put(partKey(s.description.ID, s.description.Parts), s.part, time.Time{})
	s.description.Parts++
	s.part = nil
	return err
}

// Close makes the snapshot whole, and lets go of those that it replaces.
func (s *sink) Close() error {
	if s.finished {
		return nil
	}
	defer s.finish() // also where it fails: the next sweep takes its parts
	if len(s.part) > 0 {
		if err := s.writePart(); err != nil {
			return err
		}
	}
	text, err := json.Marshal(s.description)
	if err != nil {
		return err
	}
	if err := s.log.ledger.Put(metaKey(s.description.ID), text, time.Time{}); err != nil {
		return err
	}
	s.finish()
	return s.log.removeStaleSnapshots()
}

// Cancel drops what was written.
func (s *sink) Cancel() error {
	s.finish()
	return s.log.removeStaleSnapshots()
}

// source reads a snapshot.
type source struct {
	snapshot    *ledger.Snapshot
	description description
	nextPart    uint32
	sum         uint64
	part        []byte
}

// Read reads on.
func (s *source) Read(p []byte) (int, error) {
	for len(s.part) == 0 {
		if s.nextPart == s.description.Parts {
			if s.sum != s.description.Sum {
				return 0, fmt.Errorf("raftlog: snapshot %s is not as it was written", s.description.ID)
			}
			return 0, io.EOF
		}
		part, err := s.snapshot.Get(partKey(s.description.ID, s.nextPart))
		if err != nil {
			return 0, fmt.Errorf("raftlog: part %d of snapshot %s: %w", s.nextPart, s.description.ID, err)
		}
		s.nextPart++
		s.sum = crc64.Update(s.sum, crcTable, part)
		s.part = part
	}
	n := copy(p, s.part)
	s.part = s.part[n:]
	return n, nil
}

// Close lets go of the files.
func (s *source) Close() error {
	s.snapshot.Close()
	return nil
}
