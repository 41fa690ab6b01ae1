package store

import (
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// replayMachine is raft's state machine for a store that reads its data directory at the start. Raft applies the earlier
// entries one after the other; they go to a copy of their own until publish, so that nobody reads or is notified of values
// that were replaced long ago.
type replayMachine struct {
	store *Store

	mu       sync.Mutex
	replayed *Store // receives the entries until publish; nil after it
}

func newReplayMachine(s *Store) (*replayMachine, error) {
	replayed, err := newStore(s.opts)
	return &replayMachine{store: s, replayed: replayed}, err
}

// publish replaces the store's content with what was applied so far. Entries that raft applies after the call go to the
// store itself.
func (m *replayMachine) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.adopt(m.replayed)
	m.replayed = nil
}

// target returns the state machine of the copy that receives the entries.
func (m *replayMachine) target() *stateMachine {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replayed != nil {
		return (*stateMachine)(m.replayed)
	}
	return (*stateMachine)(m.store)
}

// Apply implements raft.FSM.
func (m *replayMachine) Apply(entry *raft.Log) any { return m.target().Apply(entry) }

// Snapshot implements raft.FSM.
func (m *replayMachine) Snapshot() (raft.FSMSnapshot, error) { return m.target().Snapshot() }

// Restore implements raft.FSM.
func (m *replayMachine) Restore(from io.ReadCloser) error { return m.target().Restore(from) }

// StoreConfiguration implements raft.ConfigurationStore.
func (m *replayMachine) StoreConfiguration(index uint64, c raft.Configuration) {
	(*stateMachine)(m.store).StoreConfiguration(index, c)
}

// adopt replaces this copy's content with that of another one, which must not be used any more, and notifies the watchers
// of the values that differ.
func (s *Store) adopt(from *Store) {
	s.mu.Lock()
	s.documents, s.stagedBackup = from.documents, from.stagedBackup
	s.notifyDocumentWatchers()
	s.mu.Unlock()
	for key := range validators {
		s.applyValue(key, from.values[key])
	}
}

// replay applies the newest snapshot and the entries after it to a state machine. It must only be used on the data
// directory of a single member, whose entries are all committed.
func (s raftStorage) replay(machine *stateMachine) error {
	applied, err := s.restoreNewestSnapshot(machine)
	if err != nil {
		return err
	}
	return s.forEachEntry(applied+1, func(entry *raft.Log) {
		if entry.Type == raft.LogCommand {
			machine.Apply(entry)
		}
	})
}

// restoreNewestSnapshot restores the newest snapshot, and returns the index of the last entry in it; 0 if there is none.
func (s raftStorage) restoreNewestSnapshot(machine *stateMachine) (index uint64, err error) {
	all, err := s.snapshots.List()
	if err != nil || len(all) == 0 {
		return 0, err
	}
	newest, content, err := s.snapshots.Open(all[0].ID)
	if err != nil {
		return 0, err
	}
	return newest.Index, machine.Restore(content)
}

// configuration returns the last configuration of members in the snapshots and the log; empty if there is none.
func (s raftStorage) configuration() (last raft.Configuration, err error) {
	all, err := s.snapshots.List()
	if err != nil {
		return last, err
	}
	after := uint64(0)
	if len(all) > 0 {
		last, after = all[0].Configuration, all[0].ConfigurationIndex
	}
	err = s.forEachEntry(after+1, func(entry *raft.Log) {
		if entry.Type == raft.LogConfiguration {
			last = raft.DecodeConfiguration(entry.Data)
		}
	})
	return last, err
}

// forEachEntry calls do for each entry of the log from an index on, in order.
func (s raftStorage) forEachEntry(from uint64, do func(*raft.Log)) error {
	first, err := s.logs.FirstIndex()
	if err != nil {
		return err
	}
	last, err := s.logs.LastIndex()
	if err != nil || last == 0 {
		return err
	}
	for index := max(from, first); index <= last; index++ {
		var entry raft.Log
		if err := s.logs.GetLog(index, &entry); err != nil {
			return err
		}
		do(&entry)
	}
	return nil
}
