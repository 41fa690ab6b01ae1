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
	Closed       = "closed"        // names of the nodes that are out of service, with commas between them
	UwsgiServers = "uwsgi-servers" // addresses in place of the deployment file's, with commas between them
)

// checks say whether a value is valid for its key; "" always is, and clears the key.
var checks = map[string]func(value string) error{
	Closed: func(value string) error {
		if len(Items(value)) == 0 {
			return errors.New("names no node")
		}
		return nil
	},
	UwsgiServers: func(value string) error {
		for _, address := range Items(value) {
			if _, _, err := net.SplitHostPort(address); err != nil {
				return err
			}
		}
		return nil
	},
}

// Member is one daemon that holds a copy.
type Member struct {
	Name  string `toml:"name"`
	Raft  string `toml:"raft"`  // address for the other members
	Admin string `toml:"admin"` // address for operators
}

// Options say who holds the store. Without members it is this daemon alone.
type Options struct {
	Name    string
	Members []Member
	Dir     string        // where it outlives a restart; empty: in memory
	Timeout time.Duration // for one change to be agreed on
	Beat    time.Duration // of silence after which members elect a new leader
	Log     *slog.Logger
	Terms   lease.Terms            // of the leases of duties; zero: Terms of this package
	Join    bool                   // with an empty folder: wait to be added to a store that is there, do not begin one
	Clock   lease.Clock            // nil: lease.Now
	Disk    func(disk.FS) disk.FS  // what the folder is looked at through; nil: nothing
	Tell    func(faulthooks.Event) // is told when this member begins and ends to lead; nil: nobody
	Near    uint64                 // entries that a member may be behind to be given a vote or the lead; 0: near
}

// Terms are the ordinary terms of leases.
var Terms = lease.Terms{Length: 10 * time.Second, Drift: 0.02, Margin: time.Second}

// ErrNotLeader says that a change must be asked of another member.
var ErrNotLeader = errors.New("this member is not the leader")

// Store is this member's copy.
type Store struct {
	opts    Options
	grouped bool // there are members: without, this one agrees with itself
	own     own
	net     *transport
	part    atomic.Pointer[raft.Raft] // nil until this member takes part
	known   *known                    // what is known of the others

	clock lease.Clock
	done  chan struct{}
	loops sync.WaitGroup

	closing sync.Once

	mu       sync.Mutex
	values   map[string]string
	watchers []func(key, value string)
	docs     *document.State
	changed  chan struct{} // closed at the next change of documents
	leads    bool          // and has counted leases anew
	staged   *staged       // a backup that is being restored, as far as it has come
	out      string        // why this member does not take part, or not yet

	members sync.Mutex // one change of the members at a time
}

// Open returns this member's copy, in touch with the others.
func Open(o Options) (*Store, error) {
	s := &Store{opts: o, values: map[string]string{}, clock: o.Clock, done: make(chan struct{}), changed: make(chan struct{})}
	if o.Clock == nil {
		s.clock = lease.Now
	}
	if o.Disk == nil {
		s.opts.Disk = plain
	}
	if o.Tell == nil {
		s.opts.Tell = func(faulthooks.Event) {}
	}
	if o.Terms == (lease.Terms{}) {
		s.opts.Terms = Terms
	}
	var err error
	if s.docs, err = document.New(document.Ordinary, s.opts.Terms); err != nil {
		return nil, err
	}
	if len(o.Members) == 0 {
		return s, nil
	}
	s.grouped = true
	if err := s.join(); err != nil {
		return nil, errors.Join(fmt.Errorf("store: %w", err), s.Close())
	}
	return s, nil
}

// near is the ordinary Near: what a member catches up with while a few changes are made.
const near = 128

// group is this member's part in raft; an error of kind ErrNotLeader where it takes none, or none yet.
func (s *Store) group() (*raft.Raft, error) {
	if r := s.part.Load(); r != nil {
		return r, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, fmt.Errorf("%w, and takes no part in the store: %s", ErrNotLeader, s.out)
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
	Restore    *piece                `json:",omitempty"`
}

// Set changes a key on all members; an empty value clears it. It returns once a majority has it.
func (s *Store) Set(key, value string) error {
	check, known := checks[key]
	if !known {
		return fmt.Errorf("unknown key %q", key)
	}
	if value != "" {
		if err := check(value); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	if !s.grouped {
		s.put(change{Key: key, Value: value})
		return nil
	}
	r, err := s.group()
	if err != nil {
		return err
	}
	entry, err := json.Marshal(change{Key: key, Value: value})
	if err != nil {
		return err
	}
	err = r.Apply(entry, s.opts.Timeout).Error()
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
		return ErrNotLeader
	}
	return err
}

// Leader is the member that takes changes, if one is known.
func (s *Store) Leader() (Member, bool) {
	if !s.grouped {
		return Member{Name: s.opts.Name}, true
	}
	r := s.part.Load()
	if r == nil {
		return Member{}, false
	}
	_, id := r.LeaderWithID()
	if id == "" {
		return Member{}, false
	}
	return s.member(string(id))
}

func (s *Store) put(c change) {
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

// giveLead has another member lead before this one ends, for a beat at the most: without it nothing could be changed until an
// election, a beat or two later.
func (s *Store) giveLead(r *raft.Raft) {
	done := make(chan error, 1)
	go func() { done <- r.LeadershipTransfer().Error() }()
	select {
	case err := <-done:
		s.opts.Log.Info("the lead was given to another member", "error", err)
	case <-time.After(s.opts.Beat):
	}
}

// Close leaves the other members alone with the store.
func (s *Store) Close() error {
	var errs []error
	s.closing.Do(func() { close(s.done) })
	s.loops.Wait()
	if r := s.part.Load(); r != nil && r.State() == raft.Leader && s.known.self().Voters > 1 {
		s.giveLead(r)
	}
	if s.own.log != nil {
		s.own.log.Leave()
	}
	if s.net != nil {
		s.net.Leave()
	}
	if r := s.part.Load(); r != nil {
		errs = append(errs, r.Shutdown().Error())
	}
	if s.net != nil {
		errs = append(errs, s.net.Close())
	}
	if s.known != nil {
		if err := s.known.save(); err != nil { // a beat's worth of it, at the most: no reason to have ended badly
			s.opts.Log.Warn("what is known of the other members is not kept", "error", err)
		}
	}
	if s.own.log != nil {
		errs = append(errs, s.own.log.Close())
	}
	return errors.Join(errs...)
}
