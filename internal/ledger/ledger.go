// Package ledger is a small embedded key-value store that is consistent after any crash: a log of segments, an ordered index
// in memory, group commit, compaction and recovery. What it acknowledges is durable.
//
// Writers queue batches (batch.go, queue.go). One goroutine writes and flushes them in groups (commit.go) to the active
// segment, which is sealed when it is full (rotate.go). The index follows the log (index.go). A background goroutine removes
// expired keys (expire.go) and compacts sealed segments (compact.go, rewrite.go, install.go) by the rules of package plan.
// Opening a store recovers it from the manifest and the segments (recover.go, load.go, load_active.go).
//
// docs/design/ledger.md has the reasons, docs/format-ledger.md the bytes.
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
	// FlushInterval is how often writes are flushed. 0: before they are acknowledged. Above 0 a crash may lose the writes that were
	// acknowledged in the last FlushInterval; those that are left are the oldest.
	FlushInterval time.Duration
	// ReadOnly opens without a lock and changes nothing; the folder may be in use by another process.
	ReadOnly bool
	// Manual leaves compactions and clock marks to the caller.
	Manual   bool
	Now      func() time.Time                  // the Unix clock; nil: the system's
	Log      *slog.Logger                      // nil: none
	Progress func(what string, done, of int64) // is called with the progress of long work, in bytes; may be nil
}

// Recovery reports what Open found. Sizes are in bytes.
type Recovery struct {
	Fresh      bool          `json:"fresh"` // the folder was empty
	Segments   int           `json:"segments"`
	Records    int           `json:"records"` // read
	Keys       int           `json:"keys"`
	Bytes      int64         `json:"bytes"`
	TornBytes  int64         `json:"torn_bytes"` // cut off at the end of the active segment: never acknowledged
	TornFile   string        `json:"torn_file,omitempty"`
	TornOffset int64         `json:"torn_at,omitempty"`
	StrayFiles int           `json:"stray_files"` // removed files that no manifest lists
	Duration   time.Duration `json:"took_ns"`
}

// location is where the newest record of a key stands.
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

	mu          sync.RWMutex // guards the index, the figures of segments, mark and broken
	index       *btree.Map[string, location]
	indexBytes  int64 // memory of the index
	recordBytes int64 // bytes of all records, uncompressed
	liveBytes   int64 // of them, those of current records
	clockMark   int64 // the store's clock as last made durable, Unix milliseconds
	nextExpiry  int64 // no key expires before this
	broken      error
	counts      counters

	id format.ID // of the store; set by Open

	manifestMu sync.Mutex // guards the following fields and each replacement of the manifest file
	manifest   format.Manifest
	sealed     []*segment
	active     *segment
	retired    []*segment // replaced by a compaction, but the index may still point to them

	compactionMu sync.Mutex // one compaction at a time

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

// counters count from Open on.
type counters struct {
	puts, deletes, batches, groups, flushes, compactions uint64
	writtenBytes, compactedBytes                         int64 // bytes: by writers, by compactions
	requestedBytes                                       int64 // bytes of records that writers asked for
}

// isNotExist reports whether there is no such file.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// newID returns a random identity for a new store.
func newID() (id format.ID) {
	_, _ = rand.Read(id[:]) // crypto/rand documents that it never fails
	return id
}

// Open opens the folder and recovers what it holds; Recovery reports on that. It blocks while it reads all segments. The error
// is a *DamageError where the files are not as a crash could have left them; it wraps disk.ErrLocked where another process
// holds the folder.
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

// Recovery returns what Open found.
func (s *Store) Recovery() Recovery { return s.recovery }

// Close flushes what is queued, stops the background goroutines and unlocks the folder. It blocks until then. Later calls of
// other methods get ErrClosed. It may be called twice.
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

// releaseSegments releases all segments.
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

// Get returns the value of a key, or ErrNotFound. It reads one record from the disk.
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

// Has reports whether a key exists. It does not read the disk.
func (s *Store) Has(key []byte) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index.Get(string(key))
	return ok && !expired(p, s.clockMark)
}

// Put makes a value durable, and blocks until then. A zero expiry means never; else the key expires at some time in [expiry,
// expiry + ClockMarkInterval] by the Unix clock, to the millisecond.
func (s *Store) Put(key, value []byte, expiry time.Time) error {
	var b Batch
	b.Put(key, value, expiry)
	return s.Apply(&b)
}

// Delete makes the deletion of a key durable, and blocks until then. It is no error if there is no such key.
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

// millis is a time in Unix milliseconds; 0 for the zero time.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(t.UnixMilli(), 1)
}

// fromMillis undoes millis.
func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// fail rejects all further writes with ErrBroken: after a failed flush nobody knows what is durable.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		s.opts.Log.Error("the ledger takes no more writes until it is opened anew", "folder", s.fs.String(), "error", err)
	}
	return s.broken
}

// Err returns why the store takes no writes; nil while it does.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.broken
}
