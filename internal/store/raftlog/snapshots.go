package raftlog

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc64"
	"io"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
)

// snapshotVersion is the only supported version of raft's snapshots.
const snapshotVersion = 1

// partNumberBytes is the length of the suffix after the id in the key of a part: a zero byte and the number.
const partNumberBytes = 1 + 4

var crcTable = crc64.MakeTable(crc64.ECMA)

// description is the stored metadata of a complete snapshot. It is written after the last part, so that a power cut
// never leaves an incomplete snapshot.
type description struct {
	raft.SnapshotMeta
	Parts    uint32
	Checksum uint64 `json:"Sum"` // CRC-64 (ECMA) of the content
}

// Snapshots gives access to the snapshots in a log's data directory. It implements raft.SnapshotStore.
type Snapshots struct{ log *Log }

// Snapshots returns the snapshots in the log's data directory.
func (l *Log) Snapshots() Snapshots { return Snapshots{l} }

func descriptionKey(id string) []byte { return append([]byte{snapshotPrefix}, id...) }

func partKey(id string, n uint32) []byte {
	key := append([]byte{partPrefix}, id...)
	return binary.BigEndian.AppendUint32(append(key, 0), n)
}

// Create begins a snapshot. It takes effect when its sink is closed.
func (s Snapshots) Create(version raft.SnapshotVersion, index, term uint64, c raft.Configuration, cIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	if version != snapshotVersion {
		return nil, fmt.Errorf("raftlog: snapshot version %d is not supported", version)
	}
	id := fmt.Sprintf("%020d-%020d-%d", term, index, time.Now().UnixNano())
	s.log.mu.Lock()
	s.log.openSnapshots[id] = true
	s.log.mu.Unlock()
	meta := raft.SnapshotMeta{Version: version, ID: id, Index: index, Term: term, Configuration: c, ConfigurationIndex: cIndex}
	return &sink{log: s.log, description: description{SnapshotMeta: meta}}, nil
}

// List returns the complete snapshots, the newest first.
func (s Snapshots) List() ([]*raft.SnapshotMeta, error) {
	all, err := s.log.descriptions()
	var metas []*raft.SnapshotMeta
	for i := range all {
		metas = append(metas, &all[i].SnapshotMeta)
	}
	return metas, err
}

// Open opens a snapshot for reading. At the end of the content, the reader returns ErrCorruptSnapshot if the checksum
// does not match.
func (s Snapshots) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	text, err := s.log.ledger.Get(descriptionKey(id))
	if err != nil {
		return nil, nil, fmt.Errorf("raftlog: open snapshot %s: %w", id, err)
	}
	var d description
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, nil, fmt.Errorf("raftlog: open snapshot %s: %w", id, err)
	}
	view, err := s.log.ledger.Snapshot() // reads stay consistent if a newer snapshot replaces this one meanwhile
	if err != nil {
		return nil, nil, err
	}
	return &d.SnapshotMeta, &source{view: view, description: d}, nil
}

// descriptions returns the descriptions of the complete snapshots, the newest first.
func (l *Log) descriptions() (all []description, err error) {
	err = l.ledger.Scan([]byte{snapshotPrefix}, func(p ledger.Pair) error {
		var d description
		if err := json.Unmarshal(p.Value, &d); err != nil {
			return fmt.Errorf("raftlog: decode description of snapshot %s: %w", p.Key[1:], err)
		}
		all = append(all, d)
		return nil
	})
	slices.SortFunc(all, func(a, b description) int {
		return cmp.Or(cmp.Compare(b.Term, a.Term), cmp.Compare(b.Index, a.Index), cmp.Compare(b.ID, a.ID))
	})
	return all, err
}

// removeStaleSnapshots removes all but the newest complete snapshots, and the parts of incomplete snapshots that are
// not being written.
func (l *Log) removeStaleSnapshots() error {
	all, err := l.descriptions()
	if err != nil {
		return err
	}
	retained := map[string]bool{}
	l.mu.RLock()
	for id := range l.openSnapshots {
		retained[id] = true
	}
	l.mu.RUnlock()
	var b ledger.Batch
	for i, d := range all {
		if i < l.limits.SnapshotsKept {
			retained[d.ID] = true
		} else {
			b.Delete(descriptionKey(d.ID))
		}
	}
	err = l.ledger.Scan([]byte{partPrefix}, func(p ledger.Pair) error {
		if !retained[string(p.Key[1:max(1, len(p.Key)-partNumberBytes)])] {
			b.Delete(bytes.Clone(p.Key))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return l.ledger.Apply(&b)
}
