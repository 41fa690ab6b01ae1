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

var table = crc64.MakeTable(crc64.ECMA)

// Snapshots is the store of snapshots that lies beside a log.
type Snapshots struct{ log *Log }

// Snapshots returns the snapshots of a log's folder.
func (l *Log) Snapshots() Snapshots { return Snapshots{l} }

func metaKey(id string) []byte { return append([]byte{described}, id...) }

func partKey(id string, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(append([]byte{parts}, id...), 0), n)
}

// list reads the descriptions, the newest first.
func (l *Log) list() (all []description, err error) {
	err = l.ledger.Scan([]byte{described}, func(p ledger.Pair) error {
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

// sweep removes all but the newest snapshots, and parts of those that never became whole.
func (l *Log) sweep() error {
	all, err := l.list()
	if err != nil {
		return err
	}
	whole := map[string]bool{}
	l.mu.RLock()
	for id := range l.open {
		whole[id] = true
	}
	l.mu.RUnlock()
	var b ledger.Batch
	for i, d := range all {
		if i < l.limits.Snapshots {
			whole[d.ID] = true
		} else {
			b.Delete(metaKey(d.ID))
		}
	}
	err = l.ledger.Scan([]byte{parts}, func(p ledger.Pair) error {
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
	s.log.open[id] = true
	s.log.mu.Unlock()
	return &sink{log: s.log, of: description{SnapshotMeta: raft.SnapshotMeta{Version: version, ID: id, Index: index, Term: term, Configuration: c, ConfigurationIndex: cIndex}}}, nil
}

// List returns the whole snapshots, the newest first.
func (s Snapshots) List() ([]*raft.SnapshotMeta, error) {
	all, err := s.log.list()
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
	return &d.SnapshotMeta, &source{at: at, of: d}, nil
}

// ended has a sink's parts count no longer for themselves.
func (s *sink) ended() {
	s.over = true
	s.log.mu.Lock()
	delete(s.log.open, s.of.ID)
	s.log.mu.Unlock()
}

// sink takes a snapshot's bytes.
type sink struct {
	log  *Log
	of   description
	part []byte
	over bool
}

// ID is the snapshot's.
func (s *sink) ID() string { return s.of.ID }

// Write keeps bytes, flushing a part whenever there is one.
func (s *sink) Write(p []byte) (int, error) {
	if s.over {
		return 0, errors.New("raftlog: the snapshot has ended")
	}
	s.of.Sum = crc64.Update(s.of.Sum, table, p)
	s.of.Size += int64(len(p))
	for rest := p; len(rest) > 0; {
		n := min(len(rest), s.log.limits.Part-len(s.part))
		s.part, rest = append(s.part, rest[:n]...), rest[n:]
		if len(s.part) == s.log.limits.Part {
			if err := s.put(); err != nil {
				return 0, err
			}
		}
	}
	return len(p), nil
}

func (s *sink) put() error {
	err := s.log.ledger.Put(partKey(s.of.ID, s.of.Parts), s.part, time.Time{})
	s.of.Parts++
	s.part = nil
	return err
}

// Close makes the snapshot whole, and lets go of those that it replaces.
func (s *sink) Close() error {
	if s.over {
		return nil
	}
	defer s.ended() // also where it fails: the next sweep takes its parts
	if len(s.part) > 0 {
		if err := s.put(); err != nil {
			return err
		}
	}
	text, err := json.Marshal(s.of)
	if err != nil {
		return err
	}
	if err := s.log.ledger.Put(metaKey(s.of.ID), text, time.Time{}); err != nil {
		return err
	}
	s.ended()
	return s.log.sweep()
}

// Cancel drops what was written.
func (s *sink) Cancel() error {
	s.ended()
	return s.log.sweep()
}

// source reads a snapshot.
type source struct {
	at   *ledger.Snapshot
	of   description
	next uint32
	sum  uint64
	part []byte
}

// Read reads on.
func (s *source) Read(p []byte) (int, error) {
	for len(s.part) == 0 {
		if s.next == s.of.Parts {
			if s.sum != s.of.Sum {
				return 0, fmt.Errorf("raftlog: snapshot %s is not as it was written", s.of.ID)
			}
			return 0, io.EOF
		}
		part, err := s.at.Get(partKey(s.of.ID, s.next))
		if err != nil {
			return 0, fmt.Errorf("raftlog: part %d of snapshot %s: %w", s.next, s.of.ID, err)
		}
		s.next++
		s.sum = crc64.Update(s.sum, table, part)
		s.part = part
	}
	n := copy(p, s.part)
	s.part = s.part[n:]
	return n, nil
}

// Close lets go of the files.
func (s *source) Close() error {
	s.at.Close()
	return nil
}
