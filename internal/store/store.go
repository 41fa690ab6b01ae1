// Package store keeps the daemon's changeable configuration and the operators' state, the same on all members that
// a deployment names. With no members it is a map in memory. Reads are local and never wait; nothing that a request
// needs is written here.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
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
}

// ErrNotLeader says that a change must be asked of another member.
var ErrNotLeader = errors.New("this member is not the leader")

// Store is this member's copy.
type Store struct {
	opts Options
	raft *raft.Raft // nil without members
	ends []io.Closer

	mu       sync.Mutex
	values   map[string]string
	watchers []func(key, value string)
}

// Open returns this member's copy, in touch with the others.
func Open(o Options) (*Store, error) {
	s := &Store{opts: o, values: map[string]string{}}
	if len(o.Members) == 0 {
		return s, nil
	}
	if err := s.join(); err != nil {
		s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

func (s *Store) join() error {
	var self *Member
	var servers []raft.Server
	for i, m := range s.opts.Members {
		if m.Name == s.opts.Name {
			self = &s.opts.Members[i]
		}
		servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.Raft)})
	}
	if self == nil {
		return fmt.Errorf("%s is not among the members", s.opts.Name)
	}
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(s.opts.Name)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = s.opts.Beat, s.opts.Beat, s.opts.Beat/2
	cfg.LogLevel = "WARN"
	cfg.LogOutput = slog.NewLogLogger(s.opts.Log.Handler(), slog.LevelWarn).Writer()
	transport, err := raft.NewTCPTransport(self.Raft, nil, len(servers), s.opts.Timeout, cfg.LogOutput)
	if err != nil {
		return err
	}
	s.ends = append(s.ends, transport)
	logs, stable, snapshots, err := s.files(cfg.LogOutput)
	if err != nil {
		return err
	}
	held, err := raft.HasExistingState(logs, stable, snapshots)
	if err != nil {
		return err
	}
	if s.raft, err = raft.NewRaft(cfg, (*machine)(s), logs, stable, snapshots, transport); err != nil {
		return err
	}
	if held {
		return nil
	}
	// All members begin with the same list, so each may begin by itself.
	return s.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

func (s *Store) files(log io.Writer) (raft.LogStore, raft.StableStore, raft.SnapshotStore, error) {
	if s.opts.Dir == "" {
		memory := raft.NewInmemStore()
		return memory, memory, raft.NewInmemSnapshotStore(), nil
	}
	bolt, err := boltdb.NewBoltStore(filepath.Join(s.opts.Dir, "raft.db"))
	if err != nil {
		return nil, nil, nil, err
	}
	s.ends = append(s.ends, bolt)
	snapshots, err := raft.NewFileSnapshotStore(s.opts.Dir, 2, log)
	return bolt, bolt, snapshots, err
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

// change is one entry of the log.
type change struct{ Key, Value string }

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
	if s.raft == nil {
		s.put(change{key, value})
		return nil
	}
	entry, err := json.Marshal(change{key, value})
	if err != nil {
		return err
	}
	err = s.raft.Apply(entry, s.opts.Timeout).Error()
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
		return ErrNotLeader
	}
	return err
}

// Leader is the member that takes changes, if one is known.
func (s *Store) Leader() (Member, bool) {
	if s.raft == nil {
		return Member{Name: s.opts.Name}, true
	}
	_, id := s.raft.LeaderWithID()
	for _, m := range s.opts.Members {
		if raft.ServerID(m.Name) == id {
			return m, true
		}
	}
	return Member{}, false
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

// Close leaves the other members alone with the store.
func (s *Store) Close() error {
	var errs []error
	if s.raft != nil {
		errs = append(errs, s.raft.Shutdown().Error())
	}
	for _, end := range s.ends {
		errs = append(errs, end.Close())
	}
	return errors.Join(errs...)
}

// machine is the store as raft sees it.
type machine Store

// Apply takes a change that a majority has.
func (m *machine) Apply(entry *raft.Log) any {
	var c change
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return err
	}
	(*Store)(m).put(c)
	return nil
}

// Snapshot copies all values.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) { return snapshot((*Store)(m).All()), nil }

// Restore takes the place of all values.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	values := map[string]string{}
	if err := json.NewDecoder(from).Decode(&values); err != nil {
		return err
	}
	for key := range checks {
		(*Store)(m).put(change{key, values[key]})
	}
	return nil
}

type snapshot map[string]string

// Persist writes the values.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release has nothing to release.
func (snapshot) Release() {}
