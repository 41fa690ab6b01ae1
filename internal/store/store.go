// Package store keeps the daemon's changeable configuration and the operators' state, equal on all members that a deployment
// names. Without members it is a map in memory. Reads are local and never wait; nothing that a request needs is written here.
//
// The parts:
//
//   - Store (this file): one member's copy. values.go, documents.go, leases.go and backup.go are what it keeps.
//   - propose.go, statemachine.go: how a change is replicated by raft, and applied on each member.
//   - leadership.go: what a member does as it becomes the leader, and hands the leadership over.
//   - raftstorage.go, peertracker.go: what a member must not forget; transport.go, streamlayer.go: its links to the others.
//   - start.go, identity.go: how a member asks the others whether it may take part; membershipwatch.go: how it finds out that
//     it was removed.
//   - members.go, memberchange.go: the members, and changes of them while the store runs.
//   - recover.go: how one member goes on alone after the majority was lost for good.
//   - api.go, documentapi.go, memberapi.go: HTTP for operators and for the other members; client.go: its client.
//
// The rules by which members are changed, and may take part again, are in package quorum; those of leases in package
// internal/control/lease; those of transactions in package document.
package store

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Errors of requests to the store.
var (
	// ErrNotLeader means that another member must be asked; nothing has changed.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrOutcomeUnknown means that the change may or may not be made. Requested again under its id, it is made once.
	ErrOutcomeUnknown = errors.New("not known whether the change was made: ask again under the same id")
	// ErrChangeRejected means that a change of the members, or a restore, was rejected; nothing has changed.
	ErrChangeRejected = errors.New("not done")
)

// defaultMaxLag is the default of Options.MaxLag: what a member catches up with while a few changes are made.
const defaultMaxLag = 128 // log entries

// DefaultLeaseTerms are the default of Options.LeaseTerms.
var DefaultLeaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// Member is one daemon that holds a copy. Its JSON is the form of the documents of members that were added in service.
type Member struct {
	Name         string `toml:"name" json:"Name"`
	RaftAddress  string `toml:"raft" json:"Raft"`   // for the other members
	AdminAddress string `toml:"admin" json:"Admin"` // for operators
}

// Options configure a member of the store.
type Options struct {
	Name            string
	Members         []Member // all of them, this one included; none: the store is this process's alone
	Dir             string   // the data directory; empty: everything is kept in memory
	Join            bool     // with an empty data directory: wait to be added to an existing store, do not bootstrap one
	Logger          *slog.Logger
	CommitTimeout   time.Duration // for one change to be committed
	ElectionTimeout time.Duration // of silence after which members elect a new leader
	LeaseTerms      lease.Terms   // zero: DefaultLeaseTerms
	MaxLag          uint64        // log entries that a member may lag behind to be given a vote or the leadership; 0: defaultMaxLag

	Clock   lease.Clock            // nil: lease.Now
	WrapFS  func(disk.FS) disk.FS  // wraps the data directory's file system; nil: it is used as it is
	OnEvent func(faulthooks.Event) // is called when this member begins and ends to lead; must not block; nil: nothing is called
}

// Store is this member's copy. It is safe for concurrent use.
type Store struct {
	opts      Options
	clustered bool // there are members; without any, this process agrees with itself
	clock     lease.Clock

	storage   raftStorage
	transport *transport
	raft      atomic.Pointer[raft.Raft] // nil while this member takes no part
	peers     *peerTracker

	done      chan struct{} // closed by Close
	closeOnce sync.Once
	loops     sync.WaitGroup

	membershipMu sync.Mutex // one change of the members at a time

	mu               sync.Mutex // guards what follows
	values           map[string]string
	watchers         []func(key, value string)
	documents        *document.State
	documentsChanged chan struct{}  // closed at the next change of documents
	leading          bool           // this member leads and has restarted the count of leases
	stagedBackup     *partialBackup // a backup that is being restored; nil: none
	exclusionReason  string         // why this member takes no part, or not yet
}

// Open returns this member's copy. It may return before the member takes part; Members tells whether it does. It returns an error
// where the options, the data directory or the address for the other members can't be used.
func Open(o Options) (*Store, error) {
	s := &Store{
		opts:             o.withDefaults(),
		values:           map[string]string{},
		clock:            o.Clock,
		done:             make(chan struct{}),
		documentsChanged: make(chan struct{}),
	}
	if o.Clock == nil {
		s.clock = lease.Now
	}
	var err error
	if s.documents, err = document.New(document.DefaultLimits, s.opts.LeaseTerms); err != nil {
		return nil, err
	}
	if len(o.Members) == 0 {
		return s, nil
	}
	s.clustered = true
	if err := s.openMember(); err != nil {
		return nil, errors.Join(fmt.Errorf("store: %w", err), s.Close())
	}
	return s, nil
}

func (o Options) withDefaults() Options {
	if o.WrapFS == nil {
		o.WrapFS = unwrappedFS
	}
	if o.OnEvent == nil {
		o.OnEvent = func(faulthooks.Event) {}
	}
	if o.LeaseTerms == (lease.Terms{}) {
		o.LeaseTerms = DefaultLeaseTerms
	}
	return o
}

// unwrappedFS returns a file system as it is.
func unwrappedFS(fs disk.FS) disk.FS { return fs }

// raftNode returns this member's raft, or an error of kind ErrNotLeader where the member takes no part, or not yet.
func (s *Store) raftNode() (*raft.Raft, error) {
	if r := s.raft.Load(); r != nil {
		return r, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, fmt.Errorf("%w, and takes no part in the store: %s", ErrNotLeader, s.exclusionReason)
}

func (s *Store) setExclusionReason(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exclusionReason = reason
}

// Close stops this member; the other members go on. A leader first transfers its leadership, which takes up to an election
// timeout.
func (s *Store) Close() error {
	var errs []error
	s.closeOnce.Do(func() { close(s.done) })
	s.loops.Wait()
	if r := s.raft.Load(); r != nil && r.State() == raft.Leader && s.peers.localIdentity().Voters > 1 {
		s.transferLeadership(r)
	}
	if s.storage.log != nil {
		s.storage.log.StopWaiting()
	}
	if s.transport != nil {
		s.transport.StopWaiting()
	}
	if r := s.raft.Load(); r != nil {
		errs = append(errs, r.Shutdown().Error())
	}
	if s.transport != nil {
		errs = append(errs, s.transport.Close())
	}
	if s.peers != nil {
		if err := s.peers.save(); err != nil { // loses an election timeout's worth at most: no reason to fail
			s.opts.Logger.Warn("progress of the other members not stored", "error", err)
		}
	}
	if s.storage.log != nil {
		errs = append(errs, s.storage.log.Close())
	}
	return errors.Join(errs...)
}
