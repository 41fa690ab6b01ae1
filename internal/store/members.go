package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// Keys of the documents that the store keeps for itself.
const (
	internalPrefix = "store/"
	storeIDKey     = internalPrefix + "id" // the store's id: members of another are excluded
	memberPrefix   = "member/"             // and a name: where a member that was added in service is reached, a Member
)

// checkNotReserved returns an error for the keys that the store keeps for itself.
func checkNotReserved(key string) error {
	if strings.HasPrefix(key, internalPrefix) || strings.HasPrefix(key, memberPrefix) {
		return fmt.Errorf("%s: the store keeps documents of %s and %s for itself", key, internalPrefix, memberPrefix)
	}
	return nil
}

// Membership is who keeps the store, as one member sees it.
type Membership struct {
	StoreID         string          `json:"store"`
	ReportedBy      string          `json:"self"` // the member that answers
	Leader          string          `json:"leader"`
	ExclusionReason string          `json:"out,omitempty"` // why the member that answers takes no part
	Members         []quorum.Member `json:"members"`       // only the leader knows when they last answered, and how far they lag
}

// Members returns who keeps the store, as this member sees it. It does not wait.
func (s *Store) Members() Membership {
	m := Membership{ReportedBy: s.opts.Name}
	if !s.clustered {
		m.Leader = m.ReportedBy
		return m
	}
	m.StoreID = s.peers.localIdentity().StoreID
	r := s.raft.Load()
	if r == nil {
		s.mu.Lock()
		m.ExclusionReason = s.exclusionReason
		s.mu.Unlock()
		return m
	}
	if leader, known := s.Leader(); known {
		m.Leader = leader.Name
	}
	m.Members, _, _ = s.memberStatuses(r) // without a configuration no members are known
	return m
}

// configuredMember returns a member as this one's own settings list it.
func (s *Store) configuredMember(name string) (Member, bool) {
	i := slices.IndexFunc(s.opts.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return s.opts.Members[i], true
}

// member returns a member by the settings, or as it was added in service.
func (s *Store) member(name string) (Member, bool) {
	if m, listed := s.configuredMember(name); listed {
		return m, true
	}
	s.mu.Lock()
	d := s.documents.Get(memberPrefix + name)
	s.mu.Unlock()
	var m Member
	if d.Version == 0 || json.Unmarshal([]byte(d.Value), &m) != nil {
		return Member{}, false
	}
	m.Name = name
	return m, true
}

// memberAt returns the member that the others reach at an address.
func (s *Store) memberAt(raftAddress string) (Member, bool) {
	for _, m := range s.opts.Members {
		if m.RaftAddress == raftAddress {
			return m, true
		}
	}
	s.mu.Lock()
	documents := s.documents.List(memberPrefix)
	s.mu.Unlock()
	for _, d := range documents {
		var m Member
		if json.Unmarshal([]byte(d.Value), &m) == nil && m.RaftAddress == raftAddress {
			m.Name = strings.TrimPrefix(d.Key, memberPrefix)
			return m, true
		}
	}
	return Member{}, false
}

// memberStatuses returns the members as raft has them, sorted by name, and the index of the entry that says so.
func (s *Store) memberStatuses(r *raft.Raft) (members []quorum.Member, index uint64, err error) {
	c := r.GetConfiguration()
	if err := c.Error(); err != nil {
		return nil, 0, err
	}
	leads, last := r.State() == raft.Leader, r.LastIndex()
	for _, server := range c.Configuration().Servers {
		m := s.memberStatus(server)
		if leads {
			s.addContact(&m, last)
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members, c.Index(), nil
}

// memberStatus returns a member without what only the leader knows.
func (s *Store) memberStatus(server raft.Server) quorum.Member {
	m := quorum.Member{
		Name:         string(server.ID),
		RaftAddress:  string(server.Address),
		Voter:        server.Suffrage == raft.Voter,
		SinceContact: -1,
	}
	if known, ok := s.member(m.Name); ok {
		m.RaftAddress, m.AdminAddress = known.RaftAddress, known.AdminAddress
	}
	return m
}

// addContact adds what the leader, whose last entry is given, knows of a member.
func (s *Store) addContact(m *quorum.Member, last uint64) {
	if m.Name == s.opts.Name {
		m.Leader, m.SinceContact = true, 0
		return
	}
	p := s.peers.peer(m.Name)
	if p.lastContact.IsZero() {
		m.Lag = last
		return
	}
	m.SinceContact, m.Lag = time.Since(p.lastContact), last-min(last, p.acknowledged)
}

// awaitAnswers waits until all members have answered since an instant, for two election timeouts at most: one that answered
// shortly before may have died since.
func (s *Store) awaitAnswers(r *raft.Raft, since time.Time) (members []quorum.Member, index uint64, err error) {
	for {
		if members, index, err = s.memberStatuses(r); err != nil {
			return nil, 0, err
		}
		waited := time.Since(since)
		outstanding := func(m quorum.Member) bool { return !m.Leader && (m.SinceContact < 0 || m.SinceContact > waited) }
		if waited > 2*s.opts.ElectionTimeout || !slices.ContainsFunc(members, outstanding) {
			return members, index, nil
		}
		select {
		case <-time.After(s.opts.ElectionTimeout / 20):
		case <-s.done:
			return nil, 0, ErrNotLeader
		}
	}
}

// fetchExclusionReasons asks members that do not answer the leader why they are excluded, if they are, and waits up to an election
// timeout for each.
func (s *Store) fetchExclusionReasons(members []quorum.Member, maxSilence time.Duration) {
	var wg sync.WaitGroup
	for i := range members {
		m := &members[i]
		if m.Leader || m.AdminAddress == "" || m.SinceContact >= 0 && m.SinceContact <= maxSilence {
			continue
		}
		wg.Go(func() {
			own, err := Client{m.AdminAddress, s.opts.ElectionTimeout}.Members(true)
			if err == nil && own.ReportedBy == m.Name {
				m.ExclusionReason = own.ExclusionReason
			}
		})
	}
	wg.Wait()
}
