// Package store keeps the daemon's changeable configuration and the operators' state, replicated to all members that a
// deployment names. Without members the store is this daemon's own: durable in its data directory or, if there is none,
// in memory only. Reads are local and never wait. No request depends on a write to the store.
//
// The parts:
//
//   - Store (this file): one member's copy. Its contents are in values.go, documents.go, leases.go and backup.go.
//   - propose.go, statemachine.go: how a change is replicated by raft and applied on each member.
//   - leadership.go: what a member does when it becomes the leader, and the transfer of the leadership.
//   - raftstorage.go, peertracker.go: a member's persistent state; transport.go, streamlayer.go: its connections to the
//     others.
//   - standalone.go, replay.go: a store without members on a data directory.
//   - start.go, identity.go: how a member asks the others whether it may participate; founding.go: when it founds a store;
//     readmission.go: how it gets its vote back after the loss of its data directory; membershipwatch.go: how it detects
//     that it was removed.
//   - members.go, memberchange.go: the members, and changes of them while the store runs.
//   - recover.go: how one member continues alone after the permanent loss of the majority.
//   - api.go, documentapi.go, memberapi.go: HTTP for operators and for the other members; client.go: its client.
//
// The rules by which members are changed and may rejoin are in package quorum, those of leases in package
// internal/control/lease, those of transactions in package document.
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
	// ErrNotLeader means that the request must be sent to another member. Nothing was changed.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrOutcomeUnknown means that the change may or may not take effect. Repeating the request with the same id applies
	// it at most once.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown: repeat the request with the same id")
	// ErrChangeRejected means that a change of the members, a restore or an invalid document was rejected. Nothing was
	// changed.
	ErrChangeRejected = errors.New("change rejected")
)

// defaultMaxLag is the default of Options.MaxLag: a lag that a member makes up for while a few changes are committed.
const defaultMaxLag = 128 // log entries

// DefaultLeaseTerms is the default of Options.LeaseTerms.
var DefaultLeaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// Member is one daemon with a copy of the store. Its JSON form is stored in the documents of members that were added
// while the store runs.
type Member struct {
	Name         string `toml:"name" json:"Name"`
	RaftAddress  string `toml:"raft" json:"Raft"`   // for the other members
	AdminAddress string `toml:"admin" json:"Admin"` // for operators
}

// Options configure a member of the store.
type Options struct {
	Name            string
	Members         []Member // all members, this one included; none: this daemon alone
	Dir             string   // the data directory; empty: everything is kept in memory
	AwaitDir        bool     // without members: the process that this one replaces may hold the data directory until it ends
	Join            bool     // with an empty data directory: wait to be added to an existing store instead of bootstrapping one
	Logger          *slog.Logger
	CommitTimeout   time.Duration // timeout for committing one change
	ElectionTimeout time.Duration // time without contact from the leader after which members elect a new one
	LeaseTerms      lease.Terms   // zero: DefaultLeaseTerms
	MaxLag          uint64        // most log entries by which a member to be given a vote or the leadership may lag; 0: defaultMaxLag

	// CheckDocument returns an error if a document must not be stored under its key; nil: all are accepted. It must depend
	// on nothing but its arguments.
	CheckDocument func(key, value string) error

	Clock   lease.Clock            // nil: lease.Now
	WrapFS  func(disk.FS) disk.FS  // wraps the data directory's file system; nil: not wrapped
	OnEvent func(faulthooks.Event) // called when this member starts or stops leading; must not block; nil: not called
}

// Store is this member's copy of the store. It is safe for concurrent use.
type Store struct {
	opts       Options
	memoryOnly bool // there are neither members nor a data directory: changes are applied to this copy only, without raft
	clock      lease.Clock

	// In a standalone store, storage and peers are set in the background, before raft: others use them only after it.
	storage   raftStorage
	transport *transport                // nil in a standalone store
	raft      atomic.Pointer[raft.Raft] // nil while this member does not participate
	peers     *peerTracker

	contacts          contacts    // before raft is started (founding.go)
	awaitsReadmission atomic.Bool // its data directory was lost (readmission.go)

	done      chan struct{} // closed by Close
	closeOnce sync.Once
	loops     sync.WaitGroup

	membershipMu sync.Mutex // serializes changes of the members

	mu               sync.Mutex // guards the fields below
	values           map[string]string
	watchers         []func(key, value string)
	documents        *document.State
	documentsChanged chan struct{}  // closed and replaced at each change of documents
	leading          bool           // this member leads and has restarted the timing of leases
	stagedBackup     *partialBackup // the backup being restored; nil: none
	exclusionReason  string         // why this member does not participate, or not yet
}

// Open returns this member's copy of the store. It may return before the member participates; Members reports whether
// it does. It returns an error if the options, the data directory or the address for the other members can't be used.
func Open(o Options) (*Store, error) {
	s, err := newStore(o.withDefaults())
	if err != nil {
		return nil, err
	}
	switch {
	case len(o.Members) > 0:
		err = s.openMember()
	case o.Dir != "":
		err = s.openStandalone()
	default:
		s.memoryOnly = true
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store: %w", err), s.Close())
	}
	return s, nil
}

// newStore returns an empty copy that neither reads a data directory nor participates.
func newStore(o Options) (*Store, error) {
	documents, err := document.New(document.DefaultLimits, o.LeaseTerms)
	if err != nil {
		return nil, err
	}
	return &Store{
		opts:             o,
		values:           map[string]string{},
		clock:            o.Clock,
		documents:        documents,
		done:             make(chan struct{}),
		documentsChanged: make(chan struct{}),
	}, nil
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = lease.Now
	}
	if o.WrapFS == nil {
		o.WrapFS = unwrappedFS
	}
	if o.CheckDocument == nil {
		o.CheckDocument = func(string, string) error { return nil }
	}
	if o.OnEvent == nil {
		o.OnEvent = func(faulthooks.Event) {}
	}
	if o.LeaseTerms == (lease.Terms{}) {
		o.LeaseTerms = DefaultLeaseTerms
	}
	return o
}

// unwrappedFS is the default of Options.WrapFS. It returns fs itself.
func unwrappedFS(fs disk.FS) disk.FS { return fs }

// Durable reports whether changes are written to a data directory before they are acknowledged.
func (s *Store) Durable() bool { return s.opts.Dir != "" }

// Dir returns the data directory; empty: everything is kept in memory.
func (s *Store) Dir() string { return s.opts.Dir }

// standalone reports whether the store has a data directory and no members.
func (s *Store) standalone() bool { return len(s.opts.Members) == 0 && !s.memoryOnly }

// raftNode returns this member's raft node, or an error that wraps ErrNotLeader if the member does not participate, or
// not yet.
func (s *Store) raftNode() (*raft.Raft, error) {
	if r := s.raft.Load(); r != nil {
		return r, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, fmt.Errorf("%w and does not participate in the store: %s", ErrNotLeader, s.exclusionReason)
}

func (s *Store) setExclusionReason(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exclusionReason = reason
}

// Close stops this member; the other members continue. A leader first transfers its leadership, which takes up to an
// election timeout.
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
		if err := s.peers.save(); err != nil { // loses at most one election timeout of progress, which is no reason to fail
			s.opts.Logger.Warn("progress of the other members not stored", "error", err)
		}
	}
	if s.storage.log != nil {
		errs = append(errs, s.storage.log.Close())
	}
	return errors.Join(errs...)
}
