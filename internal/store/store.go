// Package store keeps the daemon's changeable configuration and the operators' state, the same on all members that
// a deployment names. With no members it is a map in memory. Reads are local and never wait; nothing that a request
// needs is written here.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Keys of the store. There are no others, so its size is bounded.
const (
	KeyClosedNodes  = "closed"        // names of the nodes that are out of service, with commas between them
	KeyUwsgiServers = "uwsgi-servers" // addresses in place of the deployment file's, with commas between them
)

// validators say whether a value is valid for its key; "" always is, and clears the key.
var validators = map[string]func(value string) error{
	KeyClosedNodes: func(value string) error {
		if len(SplitList(value)) == 0 {
			return errors.New("names no node")
		}
		return nil
	},
	KeyUwsgiServers: func(value string) error {
		for _, address := range SplitList(value) {
			if _, _, err := net.SplitHostPort(address); err != nil {
				return err
			}
		}
		return nil
	},
}

// Member is one daemon that holds a copy.
type Member struct {
	Name         string `toml:"name" json:"Name"`
	RaftAddress  string `toml:"raft" json:"Raft"`   // address for the other members
	AdminAddress string `toml:"admin" json:"Admin"` // address for operators
}

// Options say who holds the store. Without members it is this daemon alone.
type Options struct {
	Name            string
	Members         []Member
	Dir             string        // where it outlives a restart; empty: in memory
	CommitTimeout   time.Duration // for one change to be agreed on
	ElectionTimeout time.Duration // of silence after which members elect a new leader
	Logger          *slog.Logger
	LeaseTerms      lease.Terms            // of the leases of duties; zero: Terms of this package
	Join            bool                   // with an empty folder: wait to be added to a store that is there, do not begin one
	Clock           lease.Clock            // nil: lease.Now
	WrapFS          func(disk.FS) disk.FS  // what the folder is looked at through; nil: nothing
	OnEvent         func(faulthooks.Event) // is told when this member begins and ends to lead; nil: nobody
	MaxLag          uint64                 // entries that a member may be behind to be given a vote or the lead; 0: near
}

// DefaultLeaseTerms are the ordinary terms of leases.
var DefaultLeaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// ErrNotLeader says that a change must be asked of another member.
var ErrNotLeader = errors.New("this member is not the leader")

// Store is this member's copy.
type Store struct {
	opts      Options
	clustered bool // there are members: without, this one agrees with itself
	storage   raftStorage
	transport *transport
	raft      atomic.Pointer[raft.Raft] // nil until this member takes part
	peers     *peerTracker              // what is known of the others

	clock lease.Clock
	done  chan struct{}
	loops sync.WaitGroup

	closing sync.Once

	mu               sync.Mutex
	values           map[string]string
	watchers         []func(key, value string)
	documents        *document.State
	documentsChanged chan struct{}  // closed at the next change of documents
	leading          bool           // and has counted leases anew
	stagedBackup     *partialBackup // a backup that is being restored, as far as it has come
	exclusionReason  string         // why this member does not take part, or not yet

	membershipMu sync.Mutex // one change of the members at a time
}

// Open returns this member's copy, in touch with the others.
func Open(o Options) (*Store, error) {
	s := &Store{opts: o, values: map[string]string{}, clock: o.Clock, done: make(chan struct{}), documentsChanged: make(chan struct{})}
	if o.Clock == nil {
		s.clock = lease.Now
	}
	if o.WrapFS == nil {
		s.opts.WrapFS = unwrappedFS
	}
	if o.OnEvent == nil {
		s.opts.OnEvent = func(faulthooks.Event) {}
	}
	if o.LeaseTerms == (lease.Terms{}) {
		s.opts.LeaseTerms = DefaultLeaseTerms
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

// defaultMaxLag is the ordinary Near: what a member catches up with while a few changes are made.
const defaultMaxLag = 128

// raftNode is this member's part in raft; an error of kind ErrNotLeader where it takes none, or none yet.
func (s *Store) raftNode() (*raft.Raft, error) {
	if r := s.raft.Load(); r != nil {
		return r, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, fmt.Errorf("%w, and takes no part in the store: %s", ErrNotLeader, s.exclusionReason)
}

// Get is the value of a key on this member, "" if it has none.
func (s *Store) Get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// All is a copy of all that is set on this member.
func (s *Store) All() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// Watch calls changed for what is set now and for each change to come. It must not block.
func (s *Store) Watch(changed func(key, value string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, changed)
	for key, value := range s.values {
		changed(key, value)
	}
}

// change is one entry of the log: a key of the operators' state, or a transaction on documents.
type change struct {
	Key, Value string
	Make       *document.Transaction `json:",omitempty"`
	Restore    *restorePart          `json:",omitempty"`
}

// Set changes a key on all members; an empty value clears it. It returns once a majority has it.
func (s *Store) Set(key, value string) error {
	check, known := validators[key]
	if !known {
		return fmt.Errorf("unknown key %q", key)
	}
	if value != "" {
		if err := check(value); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	if !s.clustered {
		s.applyValue(change{Key: key, Value: value})
		return nil
	}
	r, err := s.raftNode()
	if err != nil {
		return err
	}
	entry, err := json.Marshal(change{Key: key, Value: value})
	if err != nil {
		return err
	}
	err = r.Apply(entry, s.opts.CommitTimeout).Error()
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
		return ErrNotLeader
	}
	return err
}

// Leader is the member that takes changes, if one is known.
func (s *Store) Leader() (Member, bool) {
	if !s.clustered {
		return Member{Name: s.opts.Name}, true
	}
	r := s.raft.Load()
	if r == nil {
		return Member{}, false
	}
	_, id := r.LeaderWithID()
	if id == "" {
		return Member{}, false
	}
	return s.member(string(id))
}

func (s *Store) applyValue(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[c.Key] == c.Value {
		return
	}
	if s.values[c.Key] = c.Value; c.Value == "" {
		delete(s.values, c.Key)
	}
	for _, changed := range s.watchers {
		changed(c.Key, c.Value)
	}
}

// transferLeadership has another member lead before this one ends, for a beat at the most: without it nothing could be changed until an
// election, a beat or two later.
func (s *Store) transferLeadership(r *raft.Raft) {
	done := make(chan error, 1)
	go func() { done <- r.LeadershipTransfer().Error() }()
	select {
	case err := <-done:
		s.opts.Logger.Info("the lead was given to another member", "error", err)
	case <-time.After(s.opts.ElectionTimeout):
	}
}

// Close leaves the other members alone with the store.
func (s *Store) Close() error {
	var errs []error
	s.closing.Do(func() { close(s.done) })
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
		if err := s.peers.save(); err != nil { // a beat's worth of it, at the most: no reason to have ended badly
			s.opts.Logger.Warn("what is known of the other members is not kept", "error", err)
		}
	}
	if s.storage.log != nil {
		errs = append(errs, s.storage.log.Close())
	}
	return errors.Join(errs...)
}
