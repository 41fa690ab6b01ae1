// Package keystore keeps the idempotency keys whose runs were started, and the results of those runs, in a folder
// shared by the processes of one node. While one process replaces another, both accept clients from the listener
// that the platform holds. The package ensures that no key runs in both processes, and that an attempt whose key is
// held by the other process is answered from that process's run.
//
// Each process appends records to its own segment files (package format) and reads those of the others. A file lock
// orders the records of all processes, so that the first process to record a start holds the key (package keystate;
// claim.go has the rules). A Store is a node.SharedJournal for the time of a hand-over. Its records do not survive
// a failure of the machine: nothing is flushed to disk, and the folder is meant to be in $TMPDIR, which the platform
// shares between the processes and does not empty.
package keystore

import (
	"crypto/sha256"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"sloehitch/internal/idempotency/keystore/format"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Options configure a Store.
type Options struct {
	Dir             string        // folder shared by the processes of one node
	RetentionMargin time.Duration // time for which a key is held beyond its window, since attempts may be read late
	Now             func() time.Time
	Limits          limits.KeyStore
	Log             *slog.Logger
}

// Store tracks the keys held by this process and by the other processes of its node. It implements
// node.SharedJournal. It is safe for concurrent use. A background goroutine writes the records in batches.
type Store struct {
	opts       Options
	log        *lograte.Logger
	folder     *folder
	wake       chan struct{}
	stop       chan struct{}
	writerDone chan struct{}      // closed when writeLoop returns
	sweeps     chan chan struct{} // sweep requests; each channel is closed when its sweep is done

	mu               sync.Mutex
	queue            []pendingWrite
	closed           bool
	peers            peers
	ownSegments      []*segment // records are appended to the last one
	lastOrder        int        // order of the last own segment
	runningKeys      map[format.ID]bool
	longestRetention time.Duration // longest time between the writing and the expiry of any record
	newestCreatedAt  time.Time     // creation time of the last own segment
	watchers         map[format.ID][]func()
	readBuffer       []byte
}

// Open joins the processes that share the folder, and reads their records. It waits for the folder's lock. It
// returns an error if records can't be read, since a key could then run twice.
func Open(o Options) (*Store, error) {
	name := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	s := &Store{
		opts:        o,
		log:         lograte.New(o.Log, o.Limits.LogInterval),
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		writerDone:  make(chan struct{}),
		sweeps:      make(chan chan struct{}, 1),
		peers:       newPeers(),
		runningKeys: map[format.ID]bool{},
		watchers:    map[format.ID][]func(){},
	}
	var err error
	if s.folder, err = openFolder(o.Dir, name); err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	if err = s.folder.acquireLock(); err == nil {
		s.folder.generationChanged()
		if err = s.readPeers(true); err == nil {
			s.sweep()
		}
		s.folder.releaseLock()
	}
	if err != nil {
		s.folder.close()
		return nil, fmt.Errorf("keystore: %w", err)
	}
	go s.writeLoop()
	return s, nil
}

// Close writes the queued records and leaves the folder: the other processes then treat this one as exited. Its
// records stay.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	<-s.writerDone
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.watchers {
		s.notifyWatchers(key)
	}
	for _, seg := range s.ownSegments {
		seg.closeFile()
	}
	for _, seg := range s.peers.segments {
		seg.closeFile()
	}
	s.folder.removeAliveFile(s.folder.owner)
	s.folder.close()
	return nil
}

// Stats are statistics of a Store.
type Stats struct {
	OwnSegments, PeerSegments int
	PeerKeys                  int   // known keys of other processes
	RunningKeys               int   // keys held by this process whose runs have not ended
	Bytes                     int64 // size of all segments
	WatchedKeys               int   // keys of other processes that callers wait for
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		OwnSegments:  len(s.ownSegments),
		PeerSegments: len(s.peers.segments),
		PeerKeys:     s.peers.table.Len(),
		RunningKeys:  len(s.runningKeys),
		Bytes:        s.totalBytes(),
		WatchedKeys:  len(s.watchers),
	}
}

// totalBytes returns the size of all segments.
func (s *Store) totalBytes() (sum int64) {
	for _, seg := range s.ownSegments {
		sum += seg.size
	}
	for _, seg := range s.peers.segments {
		sum += seg.size
	}
	return sum
}

// keyID returns the ID of a record's key and class.
func keyID(record node.RunRecord) (out format.ID) {
	h := sha256.New()
	h.Write([]byte(record.Class))
	h.Write([]byte{0})
	h.Write([]byte(record.Key))
	copy(out[:], h.Sum(nil))
	return out
}

// expiresAt returns the time at which a record's key is free again, in Unix nanoseconds.
func (s *Store) expiresAt(record node.RunRecord) int64 {
	return record.ArrivedAt.Add(record.Window).Add(s.opts.RetentionMargin).UnixNano()
}
