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

// Keys and key prefixes that are reserved for the store's own documents.
const (
	internalPrefix = "store/"
	storeIDKey     = internalPrefix + "id" // the store's id, by which members of another store are excluded
	memberPrefix   = "member/"             // followed by a name: a Member with the addresses of a member added while the store runs
)

// checkNotReserved returns an error for a key that is reserved for the store.
func checkNotReserved(key string) error {
	if strings.HasPrefix(key, internalPrefix) || strings.HasPrefix(key, memberPrefix) {
		return fmt.Errorf("%s: keys that begin with %s or %s are reserved for the store", key, internalPrefix, memberPrefix)
	}
	return nil
}

// Membership is the members of the store, as one of them sees them.
type Membership struct {
	StoreID         string          `json:"store"`
	ReportedBy      string          `json:"self"` // the member that responds
	Leader          string          `json:"leader"`
	ExclusionReason string          `json:"out,omitempty"` // why the responding member does not participate; empty: it does
	Members         []quorum.Member `json:"members"`       // only the leader knows the times of their last answers and their lags
}

// Members returns the membership as this member sees it. It does not wait.
func (s *Store) Members() Membership {
	m := Membership{ReportedBy: s.opts.Name}
	if s.memoryOnly {
		m.Leader = m.ReportedBy
		return m
	}
	r := s.raft.Load()
	if r != nil || !s.standalone() {
		m.StoreID = s.peers.localIdentity().StoreID
	}
	if r == nil {
		s.mu.Lock()
		m.ExclusionReason = s.exclusionReason
		s.mu.Unlock()
		return m
	}
	if leader, known := s.Leader(); known {
		m.Leader = leader.Name
	}
	m.Members, _, _ = s.memberStatuses(r) // without a configuration, no members are known
	return m
}

// configuredMember returns a member listed in this member's settings.
func (s *Store) configuredMember(name string) (Member, bool) {
	i := slices.IndexFunc(s.opts.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return s.opts.Members[i], true
}

// member returns a member as listed in the settings or, failing that, as added while the store runs.
func (s *Store) member(name string) (Member, bool) {
	if m, listed := s.configuredMember(name); listed {
		return m, true
	}
	if s.standalone() && name == s.opts.Name {
		return Member{Name: name, RaftAddress: standaloneAddress}, true
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

// memberAt returns the member with a given address for the other members.
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

// memberStatuses returns the members in raft's configuration, sorted by name, and the index of its log entry.
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

// memberStatus returns a member without the fields that only the leader knows.
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

// addContact adds the fields that only the leader knows. last is the index of the leader's last log entry.
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

// awaitAnswers waits until all members have answered after since, for at most two election timeouts. Earlier answers do
// not count, since a member may have died after them.
func (s *Store) awaitAnswers(r *raft.Raft, since time.Time) (members []quorum.Member, index uint64, err error) {
	for {
		if members, index, err = s.memberStatuses(r); err != nil {
			return nil, 0, err
		}
		waited := time.Since(since)
		unanswered := func(m quorum.Member) bool { return !m.Leader && (m.SinceContact < 0 || m.SinceContact > waited) }
		if waited > 2*s.opts.ElectionTimeout || !slices.ContainsFunc(members, unanswered) {
			return members, index, nil
		}
		select {
		case <-time.After(s.opts.ElectionTimeout / 20):
		case <-s.done:
			return nil, 0, ErrNotLeader
		}
	}
}

// fetchExclusionReasons asks members that do not answer the leader whether and why they are excluded. It waits for each
// up to an election timeout.
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
