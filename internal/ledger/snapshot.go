package ledger

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"

	"sloehitch/internal/ledger/format"
)

// Snapshot is the state of the store at one moment. It must be closed, because it keeps the files that it reads open. Its methods
// may be called from any goroutine until it is closed.
type Snapshot struct {
	index *btree.Map[string, location]
	mark  int64
	segs  []*segment
	once  sync.Once
}

// Snapshot takes a snapshot in constant time. After that, writers copy the parts of the index that they change. The error is
// ErrClosed.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.manifestMu.Lock() // so that no segment is released meanwhile
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
	s.mu.Lock() // needs the write lock, because Copy marks the nodes of the tree as shared
	n.index, n.mark = s.index.Copy(), s.clockMark
	s.mu.Unlock()
	return n, nil
}

// Close releases the files. It may be called more than once.
func (n *Snapshot) Close() {
	n.once.Do(func() {
		for _, g := range n.segs {
			g.release()
		}
	})
}

// Get returns the value of a key, or ErrNotFound. It reads one record from disk.
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
	Expiry     time.Time // zero: never expires
}

// Scan calls fn with each pair whose key begins with prefix, in key order. If fn returns an error, Scan stops and returns it.
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
		err = fn(Pair{r.Key, r.Value, timeFromUnixMillis(r.ExpiryMillis)})
		return err == nil
	})
	return err
}

// Scan takes a snapshot and calls Snapshot.Scan on it.
func (s *Store) Scan(prefix []byte, fn func(Pair) error) error {
	n, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer n.Close()
	return n.Scan(prefix, fn)
}
