// Package ledger is a small embedded store that comes back consistent after any cut: a log of segments, an ordered index
// in memory, compaction, recovery. What it acknowledges is durable. docs/design/ledger.md has the reasons,
// docs/format-ledger.md the bytes.
package ledger

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/tidwall/btree"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
	"sloehitch/internal/platform/limits"
)

// Options say how a ledger is kept.
type Options struct {
	Limits limits.Ledger
	// Flush is how often what was written is flushed. 0: before it is acknowledged. Above 0 a cut may take what was
	// acknowledged in the last Flush with it, in the order of the writes.
	Flush time.Duration
	// ReadOnly opens without lock and changes nothing; the folder may be in use by another process.
	ReadOnly bool
	// Manual leaves compactions and marks of the clock to the caller.
	Manual   bool
	Now      func() time.Time                  // the Unix clock; nil: the system's
	Log      *slog.Logger                      // nil: none
	Progress func(what string, done, of int64) // is told of the progress of long work, in bytes; nil: nobody
}

// Recovery says what Open found.
type Recovery struct {
	Fresh      bool          `json:"fresh"` // the folder was empty
	Segments   int           `json:"segments"`
	Records    int           `json:"records"` // read
	Keys       int           `json:"keys"`
	Bytes      int64         `json:"bytes"`
	Torn  int64         `json:"torn_bytes"` // cut off at the end of the active segment: never acknowledged
	TornFile   string        `json:"torn_file,omitempty"`
	TornOffset int64         `json:"torn_at,omitempty"`
	StrayFiles int           `json:"stray_files"` // files swept away that no manifest lists
	Took   time.Duration `json:"took_ns"`
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
	indexBytes  int64 // bytes of memory that the index takes
	recordBytes int64 // bytes of all records, unpacked
	liveBytes   int64 // of them, those that count
	clockMark   int64 // the clock as last made durable
	nextExpiry  int64 // no key expires before this
	broken      error
	counts      counters

	id format.ID // of the store; set by Open

	manifestMu sync.Mutex // guards the manifest: what follows, and each replacement of the file
	manifest   format.Manifest
	sealed     []*segment
	active     *segment
	retired    []*segment // replaced by a compaction, and the index may still point to them

	compactionMu sync.Mutex // one compaction at a time

	compactionRunning atomic.Bool // a compaction is under way

	writer        writer
	unlock        func() error
	closing       chan struct{}
	closeOnce     sync.Once
	closeErr      error
	compactionDue chan struct{} // there may be something to compact
	background    sync.WaitGroup
	recovery      Recovery
}

type counters struct {
	puts, deletes, batches, groups, flushes, compactions uint64
	writtenBytes, compactedBytes                         int64 // bytes: by writers, by compactions
	requestedBytes                                       int64 // bytes of records that writers asked for
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// decoder is one for all: its DecodeAll may be called from several goroutines.
var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
})

func newID() (id format.ID) {
	_, _ = rand.Read(id[:]) // never fails: crypto/rand's word
	return id
}

// Open opens the folder, recovers what it holds and says how that went. It reads all segments. The error is a *Damage
// where the files are not as a cut could have left them; it wraps disk.ErrLocked where another process has the folder.
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

// Recovery is what Open found.
func (s *Store) Recovery() Recovery { return s.recovery }

// Close flushes what is queued, ends and lets others at the folder. Calls after it get ErrClosed. It may be called twice.
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

// releaseSegments lets go of all segments.
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

// Has says whether a key is there, without a look at the disk.
func (s *Store) Has(key []byte) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index.Get(string(key))
	return ok && !expired(p, s.clockMark)
}

// Put makes a value durable. A zero expiry means never; else the key is gone at some time in [expiry, expiry + limits.Mark] by
// the Unix clock, to the millisecond.
func (s *Store) Put(key, value []byte, expiry time.Time) error {
	var b Batch
	b.Put(key, value, expiry)
	return s.Apply(&b)
}

// Delete makes a key's removal durable. It is no error if the key isn't there.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	return s.Apply(&b)
}

// Snapshot is the store as it was at one moment. It must be closed: until then the files that it reads stay open.
type Snapshot struct {
	index *btree.Map[string, location]
	mark  int64
	segs  []*segment
	once  sync.Once
}

// Snapshot takes one; that costs the same however large the store is. Writers pay for copies of what they change while it is open.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.manifestMu.Lock() // so that no segment goes meanwhile
	defer s.manifestMu.Unlock()
	if s.active == nil && s.sealed == nil && s.isClosed() {
		return nil, ErrClosed
	}
	n := &Snapshot{}
	for _, g := range slices.Concat(s.sealed, s.retired) {
		g.acquire()
		n.segs = append(n.segs, g)
	}
	if s.active != nil {
		s.active.acquire()
		n.segs = append(n.segs, s.active)
	}
	s.mu.Lock() // Copy marks the tree's nodes as shared
	n.index, n.mark = s.index.Copy(), s.clockMark
	s.mu.Unlock()
	return n, nil
}

func (s *Store) isClosed() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// Close lets go of the files.
func (n *Snapshot) Close() {
	n.once.Do(func() {
		for _, g := range n.segs {
			g.release()
		}
	})
}

// Get returns the value of a key, or ErrNotFound.
func (n *Snapshot) Get(key []byte) ([]byte, error) {
	p, ok := n.index.Get(string(key))
	if !ok || expired(p, n.mark) {
		return nil, ErrNotFound
	}
	r, err := p.seg.read(int64(p.offset), int(p.size))
	return r.Value, err
}

// Pair is a key with its value.
type Pair struct {
	Key, Value []byte
	Expiry     time.Time // zero: never
}

// Scan hands all pairs whose key begins with prefix to fn in the order of the keys, until fn returns an error, which Scan
// returns.
func (n *Snapshot) Scan(prefix []byte, fn func(Pair) error) (err error) {
	from := string(prefix)
	n.index.Ascend(from, func(key string, p location) bool {
		if !strings.HasPrefix(key, from) {
			return false
		}
		if expired(p, n.mark) {
			return true
		}
		var r format.Record
		if r, err = p.seg.read(int64(p.offset), int(p.size)); err != nil {
			return false
		}
		err = fn(Pair{r.Key, r.Value, fromMillis(r.ExpiryMillis)})
		return err == nil
	})
	return err
}

// Scan is a snapshot's Scan.
func (s *Store) Scan(prefix []byte, fn func(Pair) error) error {
	n, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer n.Close()
	return n.Scan(prefix, fn)
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(t.UnixMilli(), 1)
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// fail notes that the disk can't be trusted with writes any more.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		s.opts.Log.Error("the ledger takes no more writes until it is opened anew", "folder", s.fs.String(), "error", err)
	}
	return s.broken
}

// Err says why the store takes no writes; nil while it does.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.broken
}
