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

// idKey is the document that names the store: whoever is of another is kept out. The first leader writes it.
const idKey = "store/id"

// Keys of the documents that the store keeps for itself.
const (
	ownPrefix    = "store/"
	memberPrefix = "member/" // and the name: where a member that was added in service is reached
)

// identity is whose folder it is, in the folder.
type identity struct {
	Name   string `json:"name"`
	Store  string `json:"store"`
	Voters int    `json:"voters"`
	Out    string `json:"out,omitempty"` // why this folder is never to take part again
}

// Keys beside raft's own in a member's folder.
const (
	identityKey = "identity"
	markPrefix  = "k/" // and a member's name: its mark
)

// peer is what is known of another member.
type peer struct {
	mark quorum.Mark
	last uint64    // entry that it acknowledged last
	at   time.Time // of its last answer to this member's raft; zero: none
}

// known is what this member remembers of itself and of the others, apart from what was agreed on. It is safe for concurrent use.
type known struct {
	ledger *ledger.Store // nil: it forgets with the process

	mu    sync.Mutex
	id    identity
	kept  identity // as it is in the folder
	peers map[string]*peer
	saved map[string]quorum.Mark
	gone  []string // marks to be forgotten in the folder too
	asked map[Member]bool
}

// openKnown reads what a folder remembers. It errs where it is another member's.
func openKnown(l *ledger.Store, name string, voters int) (*known, error) {
	k := &known{ledger: l, id: identity{Name: name, Voters: voters}, peers: map[string]*peer{}, saved: map[string]quorum.Mark{}, asked: map[Member]bool{}}
	if l == nil {
		return k, nil
	}
	text, err := l.Get([]byte(identityKey))
	if errors.Is(err, ledger.ErrNotFound) {
		return k, k.save()
	}
	if err == nil {
		err = json.Unmarshal(text, &k.id)
	}
	if err != nil {
		return nil, fmt.Errorf("the folder does not say whose it is: %w", err)
	}
	if k.id.Name != name {
		return nil, fmt.Errorf("the folder is member %s's, and this is member %s: set dir to its own folder, or the name in the configuration to %s", k.id.Name, name, k.id.Name)
	}
	k.kept = k.id
	return k, l.Scan([]byte(markPrefix), func(p ledger.Pair) error {
		var m quorum.Mark
		if err := json.Unmarshal(p.Value, &m); err != nil {
			return fmt.Errorf("%s: %w", p.Key, err)
		}
		name := string(p.Key[len(markPrefix):])
		k.peers[name], k.saved[name] = &peer{mark: m}, m
		return nil
	})
}

// save writes what has changed.
func (k *known) save() error {
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
	if k.id != k.kept {
		put(identityKey, k.id)
	}
	for _, name := range k.gone {
		b.Delete([]byte(markPrefix + name))
		delete(k.saved, name)
	}
	for name, p := range k.peers {
		if k.saved[name] != p.mark {
			put(markPrefix+name, p.mark)
		}
	}
	id, marks := k.id, map[string]quorum.Mark{}
	for name, p := range k.peers {
		marks[name] = p.mark
	}
	k.gone = nil
	k.mu.Unlock()
	if err := k.ledger.Apply(&b); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept = id
	maps.Copy(k.saved, marks)
	return nil
}

// self is this member's identity.
func (k *known) self() identity {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id
}

// belongs takes the store's id, once there is one, and keeps it.
func (k *known) belongs(store string) error {
	k.mu.Lock()
	learned := store != "" && k.id.Store != store
	if learned {
		k.id.Store = store
	}
	k.mu.Unlock()
	if !learned {
		return nil
	}
	return k.save()
}

// never keeps why this folder is not to take part again.
func (k *known) never(why string) error {
	k.mu.Lock()
	k.id.Out = why
	k.mu.Unlock()
	return k.save()
}

// heard takes an answer of another member's raft: how far it has answered for.
func (k *known) heard(name string, m quorum.Mark) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peers[name]
	if p == nil {
		p = &peer{}
		k.peers[name] = p
	}
	p.mark, p.at = p.mark.Later(m), time.Now()
	if m.Index > 0 {
		p.last = m.Index
	}
}

// of is what is known of a member.
func (k *known) of(name string) peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.peers[name]; p != nil {
		return *p
	}
	return peer{}
}

// meet notes that a member has said who it is, at this address; met says whether one has.
func (k *known) meet(m Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked[m] = true
}

func (k *known) met(m Member) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.asked[m]
}

// led forgets when others were heard: a new lead counts from its own answers.
func (k *known) led() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.peers {
		p.at, p.last = time.Time{}, 0
	}
}

// members takes the members that were agreed on.
func (k *known) members(c raft.Configuration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.id.Voters = 0
	for _, s := range c.Servers {
		if s.Suffrage == raft.Voter {
			k.id.Voters++
		}
	}
	for name := range k.peers {
		if !slices.ContainsFunc(c.Servers, func(s raft.Server) bool { return string(s.ID) == name }) {
			delete(k.peers, name)
			k.gone = append(k.gone, name)
		}
	}
}

// reserved errs on keys that the store keeps for itself.
func reserved(key string) error {
	if strings.HasPrefix(key, ownPrefix) || strings.HasPrefix(key, memberPrefix) {
		return fmt.Errorf("%s: the store keeps documents of %s and %s for itself", key, ownPrefix, memberPrefix)
	}
	return nil
}
