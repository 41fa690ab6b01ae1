package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger/disk"
)

// A store without members but with a data directory is standalone: raft, with this daemon as the only member, writes each
// change to the directory before it is acknowledged. The directory has the same content as a member's, so members can be
// listed later.

const (
	// standaloneAddress is the raft address of the only member. Nothing listens on it.
	standaloneAddress = "local"
	// standaloneElectionTimeout is short because no other member can lead.
	standaloneElectionTimeout = 20 * time.Millisecond
)

// errOtherVoters means that a data directory belongs to a store of several members.
var errOtherVoters = errors.New("the data directory belongs to a store with other members")

// openStandalone opens the data directory and takes over its content. It blocks until this copy is up to date, but at
// most for an election timeout; after that it continues in the background.
func (s *Store) openStandalone() error {
	s.setExclusionReason("the data directory is being read")
	ready := make(chan error, 1)
	s.loops.Go(func() { s.runStandalone(ready) })
	timeout := time.NewTimer(s.opts.ElectionTimeout)
	defer timeout.Stop()
	select {
	case err := <-ready:
		return err
	case <-timeout.C:
		s.opts.Logger.Warn("the store's data directory is slow; changes are rejected until it is read", "folder", s.opts.Dir)
		return nil
	}
}

// runStandalone opens the data directory and starts raft. It sends to ready, whose buffer has room, once this copy can be
// read, or the error for which the directory can't be used.
func (s *Store) runStandalone(ready chan<- error) {
	if err := s.openStandaloneDir(ready); err != nil {
		s.failStandalone(err, ready)
		return
	}
	r, machine, err := s.startStandaloneRaft()
	if err != nil {
		s.failStandalone(err, ready)
		return
	}
	if !s.awaitStandaloneLeadership(r) {
		s.shutDownUnused(r)
		return
	}
	machine.publish()
	s.raft.Store(r)
	s.startLeading(r)
	go s.watchLeadership(r)
	s.loops.Go(func() { s.watchMembership(r) })
	notify(ready, nil)
}

// notify sends to ready unless it was sent to before.
func notify(ready chan<- error, err error) {
	select {
	case ready <- err:
	default:
	}
}

// failStandalone reports why the data directory can't be used. A directory of a store with other members is no reason to
// stop serving: only changes are rejected.
func (s *Store) failStandalone(err error, ready chan<- error) {
	s.setExclusionReason(err.Error())
	select {
	case <-s.done:
		return
	default:
	}
	s.opts.Logger.Error("the store can't use its data directory and rejects changes", "folder", s.opts.Dir, "error", err)
	if errors.Is(err, errOtherVoters) {
		err = nil
	}
	notify(ready, err)
}

// openStandaloneDir opens the data directory. While the replaced process holds it, this copy follows the changes in it.
func (s *Store) openStandaloneDir(ready chan<- error) error {
	var nextRead time.Time
	for {
		storage, err := openRaftStorage(s.opts.Dir, s.opts.WrapFS, s.opts.Logger)
		if err == nil {
			return s.useStandaloneStorage(storage)
		}
		if !s.opts.AwaitDir || !errors.Is(err, disk.ErrLocked) {
			return err
		}
		if nextRead.IsZero() {
			s.setExclusionReason("the process that this one replaces still holds the data directory: " + err.Error())
			s.opts.Logger.Info("the replaced process still holds the store's data directory; changes are rejected until it is released", "folder", s.opts.Dir)
		}
		if now := time.Now(); !now.Before(nextRead) {
			s.followDir()
			notify(ready, nil)
			nextRead = now.Add(s.opts.ElectionTimeout)
		}
		select {
		case <-time.After(s.opts.ElectionTimeout / 4):
		case <-s.done:
			return err
		}
	}
}

// useStandaloneStorage checks that an opened data directory is that of this member alone, and uses it.
func (s *Store) useStandaloneStorage(storage raftStorage) (err error) {
	s.storage = storage
	if s.peers, err = openPeerTracker(storage.ledger(), s.opts.Name, 1); err != nil {
		return err
	}
	return checkOnlyVoter(storage, s.opts.Name)
}

// followDir replaces this copy with the content of a data directory that another process holds. If it can't be read, the copy
// stays as it is.
func (s *Store) followDir() {
	replayed, err := readDir(s.opts)
	if err != nil {
		s.opts.Logger.Warn("the store's data directory could not be read while the replaced process holds it", "error", err)
		return
	}
	s.adopt(replayed)
}

// readDir returns a copy of the content of a data directory that another process holds.
func readDir(o Options) (*Store, error) {
	storage, err := openRaftStorageReadOnly(o.Dir, o.Logger)
	if err != nil {
		return nil, err
	}
	defer func() { _ = storage.log.Close() }() // only read from
	if err := checkOnlyVoter(storage, o.Name); err != nil {
		return nil, err
	}
	replayed, err := newStore(o)
	if err != nil {
		return nil, err
	}
	return replayed, storage.replay((*stateMachine)(replayed))
}

// checkOnlyVoter returns errOtherVoters if the members recorded in a data directory are others than this one alone.
func checkOnlyVoter(storage raftStorage, name string) error {
	configuration, err := storage.configuration()
	if err != nil {
		return err
	}
	var voters []string
	for _, server := range configuration.Servers {
		if server.Suffrage == raft.Voter {
			voters = append(voters, string(server.ID))
		}
	}
	if len(voters) == 0 || slices.Equal(voters, []string{name}) {
		return nil
	}
	return fmt.Errorf("%w: its voters are %s, and the settings list no members: "+
		"list them in [[store.members]], or recover the store from this directory (docs/operators/fleet.md)",
		errOtherVoters, strings.Join(voters, ", "))
}

// startStandaloneRaft starts raft with this daemon as the only member.
func (s *Store) startStandaloneRaft() (*raft.Raft, *replayMachine, error) {
	_, empty, err := s.storage.progress()
	if err != nil {
		return nil, nil, err
	}
	machine, err := newReplayMachine(s)
	if err != nil {
		return nil, nil, err
	}
	cfg := raftConfig(s.opts.Name, s.opts.Logger)
	cfg.LogLevel = "ERROR" // each start would log warnings of its election
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout =
		standaloneElectionTimeout, standaloneElectionTimeout, standaloneElectionTimeout
	address, transport := raft.NewInmemTransport(standaloneAddress)
	r, err := raft.NewRaft(cfg, machine, s.storage.logs, s.storage.stable, s.storage.snapshots, transport)
	if err != nil || !empty {
		return r, machine, err
	}
	only := raft.Server{ID: raft.ServerID(s.opts.Name), Address: address}
	if err := r.BootstrapCluster(raft.Configuration{Servers: []raft.Server{only}}).Error(); err != nil {
		s.shutDownUnused(r)
		return nil, nil, err
	}
	return r, machine, nil
}

// shutDownUnused shuts raft down before anything was proposed to it.
func (s *Store) shutDownUnused(r *raft.Raft) {
	s.storage.log.StopWaiting()
	_ = r.Shutdown().Error() // it never returns one
}

// awaitStandaloneLeadership blocks until raft leads and has applied all entries of the log. It returns false if the store
// is closed before.
func (s *Store) awaitStandaloneLeadership(r *raft.Raft) bool {
	for {
		select {
		case leads := <-r.LeaderCh():
			if leads && r.Barrier(0).Error() == nil {
				return true
			}
		case <-s.done:
			return false
		}
	}
}
