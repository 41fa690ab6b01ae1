package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
	"sloehitch/internal/store/quorum"
)

// storeIDKey is the document that names the store: whoever is of another is kept out. The first leader writes it.
const storeIDKey = "store/id"

// Keys of the documents that the store keeps for itself.
const (
	internalPrefix = "store/"
	memberPrefix   = "member/" // and the name: where a member that was added in service is reached
)

// identity is whose folder it is, in the folder.
type identity struct {
	Name            string `json:"name"`
	StoreID         string `json:"store"`
	Voters          int    `json:"voters"`
	ExclusionReason string `json:"out,omitempty"` // why this folder is never to take part again
}

// Keys beside raft's own in a member's folder.
const (
	identityKey    = "identity"
	progressPrefix = "k/" // and a member's name: its mark
)

// peerState is what is known of another member.
type peerState struct {
	progress     quorum.Progress
	acknowledged uint64    // entry that it acknowledged last
	lastContact  time.Time // of its last answer to this member's raft; zero: none
}

// peerTracker is what this member remembers of itself and of the others, apart from what was agreed on. It is safe for concurrent use.
type peerTracker struct {
	ledger *ledger.Store // nil: it forgets with the process

	mu            sync.Mutex
	local         identity
	savedLocal    identity // as it is in the folder
	peers         map[string]*peerState
	savedProgress map[string]quorum.Progress
	removed       []string // marks to be forgotten in the folder too
	verified      map[Member]bool
}

// openPeerTracker reads what a folder remembers. It errs where it is another member's.
func openPeerTracker(l *ledger.Store, name string, voters int) (*peerTracker, error) {
	k := &peerTracker{ledger: l, local: identity{Name: name, Voters: voters}, peers: map[string]*peerState{}, savedProgress: map[string]quorum.Progress{}, verified: map[Member]bool{}}
	if l == nil {
		return k, nil
	}
	text, err := l.Get([]byte(identityKey))
	if errors.Is(err, ledger.ErrNotFound) {
		return k, k.save()
	}
	if err == nil {
		err = json.Unmarshal(text, &k.local)
	}
	if err != nil {
		return nil, fmt.Errorf("the folder does not say whose it is: %w", err)
	}
	if k.local.Name != name {
		return nil, fmt.Errorf("the folder is member %s's, and this is member %s: set dir to its own folder, or the name in the configuration to %s", k.local.Name, name, k.local.Name)
	}
	k.savedLocal = k.local
	return k, l.Scan([]byte(progressPrefix), func(p ledger.Pair) error {
		var m quorum.Progress
		if err := json.Unmarshal(p.Value, &m); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
		name := string(p.Key[len(progressPrefix):])
		k.peers[name], k.savedProgress[name] = &peerState{progress: m}, m
		return nil
	})
}

// save writes what has changed.
func (k *peerTracker) save() error {
	if k.ledger == nil {
		return nil
	}
	k.mu.Lock()
	var b ledger.Batch
	put := func(key string, v any) {
		text, err := json.Marshal(v)
		if err != nil { // strings and numbers always marshal
			panic(err)
		}
		b.Put([]byte(key), text, time.Time{})
	}
	if k.local != k.savedLocal {
		put(identityKey, k.local)
	}
	for _, name := range k.removed {
		b.Delete([]byte(progressPrefix + name))
		delete(k.savedProgress, name)
	}
	for name, p := range k.peers {
		if k.savedProgress[name] != p.progress {
			put(progressPrefix+name, p.progress)
		}
	}
	id, marks := k.local, map[string]quorum.Progress{}
	for name, p := range k.peers {
		marks[name] = p.progress
	}
	k.removed = nil
	k.mu.Unlock()
	if err := k.ledger.Apply(&b); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.savedLocal = id
	maps.Copy(k.savedProgress, marks)
	return nil
}

// localIdentity is this member's identity.
func (k *peerTracker) localIdentity() identity {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.local
}

// setStoreID takes the store's id, once there is one, and keeps it.
func (k *peerTracker) setStoreID(store string) error {
	k.mu.Lock()
	learned := store != "" && k.local.StoreID != store
	if learned {
		k.local.StoreID = store
	}
	k.mu.Unlock()
	if !learned {
		return nil
	}
	return k.save()
}

// excludePermanently keeps why this folder is not to take part again.
func (k *peerTracker) excludePermanently(why string) error {
	k.mu.Lock()
	k.local.ExclusionReason = why
	k.mu.Unlock()
	return k.save()
}

// recordProgress takes an answer of another member's raft: how far it has answered for.
func (k *peerTracker) recordProgress(name string, m quorum.Progress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peers[name]
	if p == nil {
		p = &peerState{}
		k.peers[name] = p
	}
	p.progress, p.lastContact = p.progress.Max(m), time.Now()
	if m.Index > 0 {
		p.acknowledged = m.Index
	}
}

// peer is what is known of a member.
func (k *peerTracker) peer(name string) peerState {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.peers[name]; p != nil {
		return *p
	}
	return peerState{}
}

// markVerified notes that a member has said who it is, at this address; met says whether one has.
func (k *peerTracker) markVerified(m Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.verified[m] = true
}

func (k *peerTracker) isVerified(m Member) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.verified[m]
}

// resetContacts forgets when others were heard: a new lead counts from its own answers.
func (k *peerTracker) resetContacts() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.peers {
		p.lastContact, p.acknowledged = time.Time{}, 0
	}
}

// setConfiguration takes the members that were agreed on.
func (k *peerTracker) setConfiguration(c raft.Configuration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.local.Voters = 0
	for _, s := range c.Servers {
		if s.Suffrage == raft.Voter {
			k.local.Voters++
		}
	}
	for name := range k.peers {
		if !slices.ContainsFunc(c.Servers, func(s raft.Server) bool { return string(s.ID) == name }) {
			delete(k.peers, name)
			k.removed = append(k.removed, name)
		}
	}
}

// checkNotReserved errs on keys that the store keeps for itself.
func checkNotReserved(key string) error {
	if strings.HasPrefix(key, internalPrefix) || strings.HasPrefix(key, memberPrefix) {
		return fmt.Errorf("%s: the store keeps documents of %s and %s for itself", key, internalPrefix, memberPrefix)
	}
	return nil
}
