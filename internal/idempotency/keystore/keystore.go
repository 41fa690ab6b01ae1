// Package keystore keeps the idempotency keys whose runs were started, and the results of those runs, in a folder
// that the processes of one node share. While one process replaces another (both accept clients from the listener
// that the platform holds) no key runs in both, and an attempt whose key the other process holds is answered from
// that process's run.
//
// Each process appends records to segment files of its own (package format) and reads those of the others. A file
// lock orders the records of all processes, so the first to record a start holds the key (package keystate; claim.go
// has the rule). A Store is a node.SharedJournal for the time of a hand-over, not a record that outlives the machine:
// the folder is meant for $TMPDIR, which the platform shares between the processes and does not empty. Nothing is
// flushed to disk.
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

// Options are what a Store needs.
type Options struct {
	Dir             string        // shared by the processes of one node
	RetentionMargin time.Duration // for how long beyond its window a key is held: attempts may be read late
	Now             func() time.Time
	Limits          limits.KeyStore
	Log             *slog.Logger
}

// Store knows the keys held by this process and by the others of its node. It is the Node's node.SharedJournal. Its
// methods may be called from any goroutine. Records are written by a goroutine of its own, many at once.
type Store struct {
	opts       Options
	log        *lograte.Logger
	folder     *folder
	wake       chan struct{}
	stop       chan struct{}
	writerDone chan struct{}      // closed when writeLoop returns
	sweeps     chan chan struct{} // requests to sweep; each is closed when its sweep is done

	mu               sync.Mutex
	queue            []pendingWrite
	closed           bool
	peers            peers
	ownSegments      []*segment // the last one is written to
	lastOrder        int        // of the own segments
	runningKeys      map[format.ID]bool
	longestRetention time.Duration // of any record, when it was written
	newestCreatedAt  time.Time     // of the last own segment
	watchers         map[format.ID][]func()
	readBuffer       []byte
}

// Open joins the processes that share the folder, and reads what they have recorded. It waits for the folder's lock.
// Records that can't be read are an error: a key could run twice.
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

// Close writes what is queued and leaves the folder: the other processes take this one for exited. What it recorded
// stays.
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

// Stats are a Store's figures.
type Stats struct {
	OwnSegments, PeerSegments int
	PeerKeys                  int   // known keys of the other processes
	RunningKeys               int   // keys of this process whose runs have not ended
	Bytes                     int64 // of all segments
	WatchedKeys               int   // keys whose end in another process is waited for
}

// Stats returns the figures as of now.
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

// totalBytes is the size of all segments together.
func (s *Store) totalBytes() (sum int64) {
	for _, seg := range s.ownSegments {
		sum += seg.size
	}
	for _, seg := range s.peers.segments {
		sum += seg.size
	}
	return sum
}

// keyID stands for a record's key and class.
func keyID(record node.RunRecord) (out format.ID) {
	h := sha256.New()
	h.Write([]byte(record.Class))
	h.Write([]byte{0})
	h.Write([]byte(record.Key))
	copy(out[:], h.Sum(nil))
	return out
}

// expiresAt is when a record's key is free again, in Unix nanoseconds.
func (s *Store) expiresAt(record node.RunRecord) int64 {
	return record.ArrivedAt.Add(record.Window).Add(s.opts.RetentionMargin).UnixNano()
}
