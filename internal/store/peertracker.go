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

// Keys in a member's data directory in addition to raft's own.
const (
	identityKey    = "identity"
	progressPrefix = "k/" // followed by a member's name: that member's progress
)

// identity identifies the owner of a data directory, and is stored in it.
type identity struct {
	Name            string `json:"name"`
	StoreID         string `json:"store"`
	Voters          int    `json:"voters"`
	ExclusionReason string `json:"out,omitempty"`     // why this data directory may never be used again; empty: it may
	ReadmissionID   string `json:"readmit,omitempty"` // id of the readmission in progress after the loss of an earlier directory; empty: none
}

// peerState is what is known about another member.
type peerState struct {
	progress     quorum.Progress
	acknowledged uint64    // index of the last entry that it acknowledged
	lastContact  time.Time // last message from it to this member's raft; zero: none
}

// peerTracker keeps this member's identity and what it knows about the others, in addition to the replicated state. It
// is safe for concurrent use.
type peerTracker struct {
	ledger *ledger.Store // nil: everything is kept in memory

	mu            sync.Mutex
	local         identity
	peers         map[string]*peerState      // by name
	verified      map[Member]bool            // members whose identity was verified at these addresses
	savedLocal    identity                   // local, as last saved to the data directory
	savedProgress map[string]quorum.Progress // progress of the peers, as last saved to the data directory
	removed       []string                   // members whose progress is still to be deleted from the data directory
}

// openPeerTracker loads the identity and the members' progress from a data directory. It returns an error if the
// directory belongs to another member.
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
		return nil, fmt.Errorf("no readable identity in the data directory: %w", err)
	}
	if t.local.Name != name {
		return nil, fmt.Errorf("the data directory belongs to member %s, but this is member %s: "+
			"set dir to this member's own directory, or the name in the configuration to %s", t.local.Name, name, t.local.Name)
	}
	t.savedLocal = t.local
	return t, l.Scan([]byte(progressPrefix), t.loadProgress)
}

// loadProgress loads another member's progress from the data directory.
func (t *peerTracker) loadProgress(p ledger.Pair) error {
	var progress quorum.Progress
	if err := json.Unmarshal(p.Value, &progress); err != nil {
		return fmt.Errorf("decode the progress under key %s: %w", p.Key, err)
	}
	name := string(p.Key[len(progressPrefix):])
	t.peers[name], t.savedProgress[name] = &peerState{progress: progress}, progress
	return nil
}

// save writes the changes since the last save to the data directory.
func (t *peerTracker) save() error {
	if t.ledger == nil {
		return nil
	}
	t.mu.Lock()
	batch := t.unsavedBatch()
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

// unsavedBatch returns a batch of the changes since the last save. The caller holds mu.
func (t *peerTracker) unsavedBatch() *ledger.Batch {
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

// setStoreID sets and saves the store's id. An empty id is ignored.
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

// excludePermanently saves the reason why this data directory may never be used again.
func (t *peerTracker) excludePermanently(reason string) error {
	t.mu.Lock()
	t.local.ExclusionReason = reason
	t.mu.Unlock()
	return t.save()
}

// setReadmissionID saves the id of this member's readmission; "" ends it.
func (t *peerTracker) setReadmissionID(id string) error {
	t.mu.Lock()
	t.local.ReadmissionID = id
	t.mu.Unlock()
	return t.save()
}

// recordProgress records the progress that a request or response of another member's raft implies.
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

// peer returns what is known about another member.
func (t *peerTracker) peer(name string) peerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		return *p
	}
	return peerState{}
}

// markVerified records that a member's identity was verified at its addresses.
func (t *peerTracker) markVerified(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verified[m] = true
}

// isVerified reports whether a member's identity was verified at its addresses.
func (t *peerTracker) isVerified(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verified[m]
}

// resetContacts clears the times of the others' last answers, since a new leader must count only answers to itself.
func (t *peerTracker) resetContacts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.lastContact, p.acknowledged = time.Time{}, 0
	}
}

// setConfiguration takes over a committed configuration, and drops peers that are not in it.
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
