// Package ledger is a small embedded key-value store that is consistent after any crash. It consists of a log of segments, an
// ordered index in memory, group commit, compaction and recovery. Acknowledged writes are durable.
//
// Writers queue batches (batch.go, queue.go). One goroutine writes and flushes them in groups (commit.go) to the active
// segment, which is sealed when it is full (rotate.go). Written groups are then added to the index (index.go). A background
// goroutine removes expired keys (expire.go) and compacts sealed segments (compact.go, rewrite.go, install.go) by the policies
// of package plan. Opening a store recovers it from the manifest and the segments (recover.go, load.go, load_active.go).
//
// The design is described in docs/design/ledger.md, the file format in docs/format-ledger.md.
package ledger

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/btree"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
	"sloehitch/internal/platform/limits"
)

// Options configure a ledger.
type Options struct {
	Limits limits.Ledger
	// FlushInterval is how often writes are flushed. If it is 0, writes are flushed before they are acknowledged. Otherwise a
	// crash may lose the writes that were acknowledged within the last FlushInterval, newest first.
	FlushInterval time.Duration
	// ReadOnly opens the folder without a lock and changes nothing in it. Another process may have it open for writing.
	ReadOnly bool
	// Manual turns off background compactions and clock marks. The caller starts them.
	Manual   bool
	Now      func() time.Time                  // the Unix clock; nil: the system clock
	Log      *slog.Logger                      // nil: no logging
	Progress func(what string, done, of int64) // called with the progress of long operations in bytes; may be nil
}

// Recovery describes what Open found in the folder. Sizes are in bytes.
type Recovery struct {
	Fresh      bool          `json:"fresh"` // the folder was empty
	Segments   int           `json:"segments"`
	Records    int           `json:"records"` // records read
	Keys       int           `json:"keys"`
	Bytes      int64         `json:"bytes"`
	TornBytes  int64         `json:"torn_bytes"` // unacknowledged bytes truncated at the end of the active segment
	TornFile   string        `json:"torn_file,omitempty"`
	TornOffset int64         `json:"torn_at,omitempty"`
	StrayFiles int           `json:"stray_files"` // removed files that the manifest does not list
	Duration   time.Duration `json:"took_ns"`
}

// location is the position of the newest record of a key.
type location struct {
	seg          *segment
	sequence     uint64
	expiryMillis int64
	offset       uint32
	size         uint32
}

// Store is an open ledger. Its methods may be called from any goroutine.
type Store struct {
	fs   disk.FS
	opts Options

	mu          sync.RWMutex // guards the fields below up to counts, and the statistics of segments
	index       *btree.Map[string, location]
	indexBytes  int64 // memory used by the index
	recordBytes int64 // bytes of all records, uncompressed
	liveBytes   int64 // part of recordBytes that belongs to current records
	clockMark   int64 // last durable value of the store's clock, Unix milliseconds
	nextExpiry  int64 // lower bound of all expiries; 0: no key expires
	broken      error
	counts      counters

	id format.ID // identity of the store; set by Open

	manifestMu sync.Mutex // guards the fields below up to retired, and the manifest file
	manifest   format.Manifest
	sealed     []*segment
	active     *segment
	retired    []*segment // replaced by a compaction; the index may still point to them

	compactionMu sync.Mutex // held during a compaction

	compactionRunning atomic.Bool // read by the writing goroutine

	writer        writer
	unlock        func() error
	closing       chan struct{}
	closeOnce     sync.Once
	closeErr      error
	compactionDue chan struct{} // signals that a compaction may be due
	background    sync.WaitGroup
	recovery      Recovery
}

// counters are the totals since Open.
type counters struct {
	puts, deletes, batches, groups, flushes, compactions uint64
	writtenBytes, compactedBytes                         int64 // bytes written by writers and by compactions
	requestedBytes                                       int64 // bytes of the records in acknowledged batches
}

// isNotExist reports whether err means that a file does not exist.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// newID returns a random identity for a new store.
func newID() (id format.ID) {
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error
	return id
}

// Open opens the folder and recovers the store in it. Store.Recovery returns what was found. Open blocks while it reads all
// segments. The error is a *DamageError if the files are in a state that a crash cannot have left behind. It wraps
// disk.ErrLocked if another process has locked the folder.
func Open(fsys disk.FS, o Options) (*Store, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Progress == nil {
		o.Progress = func(string, int64, int64) {}
	}
	s := &Store{fs: fsys, opts: o, index: &btree.Map[string, location]{}, closing: make(chan struct{}), compactionDue: make(chan struct{}, 1)}
	s.writer.init()
	if o.ReadOnly {
		return s, s.recoverReadOnly()
	}
	unlock, err := fsys.Lock("LOCK", disk.Owner())
	if err != nil {
		return nil, err
	}
	s.unlock = unlock
	if err := s.recover(); err != nil {
		s.releaseSegments()
		return nil, errors.Join(err, unlock())
	}
	s.background.Go(s.writeLoop)
	if !o.Manual {
		s.background.Go(s.maintain)
	}
	return s, nil
}

// Recovery returns what Open found in the folder.
func (s *Store) Recovery() Recovery { return s.recovery }

// Close writes and flushes the queued batches, stops the background goroutines and unlocks the folder. It blocks until this is
// done. Later calls of other methods return ErrClosed. Close may be called more than once.
func (s *Store) Close() error {
	s.closeOnce.Do(func() {
		s.writer.close()
		close(s.closing)
		s.background.Wait()
		s.releaseSegments()
		if s.unlock != nil {
			s.closeErr = s.unlock()
		}
	})
	return s.closeErr
}

func (s *Store) releaseSegments() {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	for _, g := range slices.Concat(s.sealed, s.retired) {
		g.release()
	}
	if s.active != nil {
		s.active.release()
	}
	s.sealed, s.retired, s.active = nil, nil, nil
}

// Get returns the value of a key, or ErrNotFound. It reads one record from disk.
func (s *Store) Get(key []byte) ([]byte, error) {
	s.mu.RLock()
	p, ok := s.index.Get(string(key))
	if !ok || expired(p, s.clockMark) {
		s.mu.RUnlock()
		return nil, ErrNotFound
	}
	p.seg.acquire()
	s.mu.RUnlock()
	defer p.seg.release()
	r, err := p.seg.read(int64(p.offset), int(p.size))
	return r.Value, err
}

// Has reports whether a key exists. It does not read from disk.
func (s *Store) Has(key []byte) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index.Get(string(key))
	return ok && !expired(p, s.clockMark)
}

// Put writes a value and blocks until it is durable. With a zero expiry the key never expires. Otherwise it expires at some time
// in [expiry, expiry + ClockMarkInterval] by the Unix clock, to the millisecond.
func (s *Store) Put(key, value []byte, expiry time.Time) error {
	var b Batch
	b.Put(key, value, expiry)
	return s.Apply(&b)
}

// Delete deletes a key and blocks until the deletion is durable. It is not an error if the key does not exist.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	return s.Apply(&b)
}

func (s *Store) isClosed() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// unixMillis converts a time to Unix milliseconds. The zero time becomes 0.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(t.UnixMilli(), 1)
}

// timeFromUnixMillis is the inverse of unixMillis.
func timeFromUnixMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// markBroken makes all further writes fail with ErrBroken, because it is unknown what is durable after a failed flush.
func (s *Store) markBroken(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		s.opts.Log.Error("ledger rejects all writes until it is reopened", "folder", s.fs.String(), "error", err)
	}
	return s.broken
}

// Err returns the error for which the store rejects writes, or nil while it accepts them.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.broken
}
