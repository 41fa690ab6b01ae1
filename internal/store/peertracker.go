package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
	"sloehitch/internal/store/quorum"
)

// Keys beside raft's own in a member's data directory.
const (
	identityKey    = "identity"
	progressPrefix = "k/" // and a member's name: its progress
)

// identity is whose data directory it is, as the directory holds it.
type identity struct {
	Name            string `json:"name"`
	StoreID         string `json:"store"`
	Voters          int    `json:"voters"`
	ExclusionReason string `json:"out,omitempty"` // why this data directory may never take part again
}

// peerState is what is known of another member.
type peerState struct {
	progress     quorum.Progress
	acknowledged uint64    // index of the entry that it acknowledged last
	lastContact  time.Time // its last answer to this member's raft; zero: none
}

// peerTracker is what this member remembers of itself and of the others, apart from what was committed. It is safe for
// concurrent use.
type peerTracker struct {
	ledger *ledger.Store // nil: everything is kept in memory

	mu            sync.Mutex
	local         identity
	peers         map[string]*peerState      // by name
	verified      map[Member]bool            // members that have said who they are, with their addresses
	savedLocal    identity                   // as it is in the data directory
	savedProgress map[string]quorum.Progress // the same
	removed       []string                   // members to be forgotten in the data directory too
}

// openPeerTracker reads what a data directory remembers. It returns an error where the directory is another member's.
func openPeerTracker(l *ledger.Store, name string, voters int) (*peerTracker, error) {
	t := &peerTracker{
		ledger:        l,
		local:         identity{Name: name, Voters: voters},
		peers:         map[string]*peerState{},
		verified:      map[Member]bool{},
		savedProgress: map[string]quorum.Progress{},
	}
	if l == nil {
		return t, nil
	}
	text, err := l.Get([]byte(identityKey))
	if errors.Is(err, ledger.ErrNotFound) {
		return t, t.save()
	}
	if err == nil {
		err = json.Unmarshal(text, &t.local)
	}
	if err != nil {
		return nil, fmt.Errorf("the folder does not say whose it is: %w", err)
	}
	if t.local.Name != name {
		return nil, fmt.Errorf("the folder is member %s's, and this is member %s: set dir to its own folder, or the name in the configuration to %s", t.local.Name, name, t.local.Name)
	}
	t.savedLocal = t.local
	return t, l.Scan([]byte(progressPrefix), t.loadProgress)
}

// loadProgress takes another member's progress from the data directory.
func (t *peerTracker) loadProgress(p ledger.Pair) error {
	var progress quorum.Progress
	if err := json.Unmarshal(p.Value, &progress); err != nil {
		return fmt.Errorf("%s: %w", p.Key, err)
	}
	name := string(p.Key[len(progressPrefix):])
	t.peers[name], t.savedProgress[name] = &peerState{progress: progress}, progress
	return nil
}

// save writes what has changed to the data directory.
func (t *peerTracker) save() error {
	if t.ledger == nil {
		return nil
	}
	t.mu.Lock()
	batch := t.unsaved()
	local, progress := t.local, map[string]quorum.Progress{}
	for name, p := range t.peers {
		progress[name] = p.progress
	}
	t.removed = nil
	t.mu.Unlock()
	if err := t.ledger.Apply(batch); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.savedLocal = local
	maps.Copy(t.savedProgress, progress)
	return nil
}

// unsaved returns what has changed since the last save; the caller holds mu.
func (t *peerTracker) unsaved() *ledger.Batch {
	var b ledger.Batch
	put := func(key string, v any) {
		text, err := json.Marshal(v)
		if err != nil { // strings and numbers always marshal
			panic(err)
		}
		b.Put([]byte(key), text, time.Time{})
	}
	if t.local != t.savedLocal {
		put(identityKey, t.local)
	}
	for _, name := range t.removed {
		b.Delete([]byte(progressPrefix + name))
		delete(t.savedProgress, name)
	}
	for name, p := range t.peers {
		if t.savedProgress[name] != p.progress {
			put(progressPrefix+name, p.progress)
		}
	}
	return &b
}

// localIdentity returns this member's identity.
func (t *peerTracker) localIdentity() identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local
}

// setStoreID takes the store's id, once there is one, and saves it.
func (t *peerTracker) setStoreID(id string) error {
	t.mu.Lock()
	learned := id != "" && t.local.StoreID != id
	if learned {
		t.local.StoreID = id
	}
	t.mu.Unlock()
	if !learned {
		return nil
	}
	return t.save()
}

// excludePermanently saves why this data directory may never take part again.
func (t *peerTracker) excludePermanently(reason string) error {
	t.mu.Lock()
	t.local.ExclusionReason = reason
	t.mu.Unlock()
	return t.save()
}

// recordProgress takes an answer or a request of another member's raft: how far it has answered for.
func (t *peerTracker) recordProgress(name string, progress quorum.Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	if p == nil {
		p = &peerState{}
		t.peers[name] = p
	}
	p.progress, p.lastContact = p.progress.Max(progress), time.Now()
	if progress.Index > 0 {
		p.acknowledged = progress.Index
	}
}

// peer returns what is known of another member.
func (t *peerTracker) peer(name string) peerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		return *p
	}
	return peerState{}
}

// markVerified notes that a member has said who it is, at its addresses.
func (t *peerTracker) markVerified(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verified[m] = true
}

// isVerified reports whether a member has said who it is, at its addresses.
func (t *peerTracker) isVerified(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verified[m]
}

// resetContacts forgets when the others last answered: a new leader counts from the answers to itself.
func (t *peerTracker) resetContacts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.lastContact, p.acknowledged = time.Time{}, 0
	}
}

// setConfiguration takes the members as committed, and forgets all others.
func (t *peerTracker) setConfiguration(c raft.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local.Voters = 0
	for _, s := range c.Servers {
		if s.Suffrage == raft.Voter {
			t.local.Voters++
		}
	}
	for name := range t.peers {
		if !slices.ContainsFunc(c.Servers, func(s raft.Server) bool { return string(s.ID) == name }) {
			delete(t.peers, name)
			t.removed = append(t.removed, name)
		}
	}
}
