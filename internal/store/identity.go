package store

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// errWrongPeer means that what answers at a member's address is not that member.
var errWrongPeer = errors.New("not connected to the wrong peer")

func wrongPeerError(address raft.ServerAddress, format string, args ...any) error {
	return fmt.Errorf("%w at %s: %s", errWrongPeer, address, fmt.Sprintf(format, args...))
}

// Identity returns what this member answers to another that asks who it is: quorum.DecideRejoin decides by it there.
func (s *Store) Identity(asker string) quorum.PeerAnswer {
	if !s.clustered {
		return quorum.PeerAnswer{From: s.opts.Name}
	}
	a := quorum.PeerAnswer{From: s.opts.Name, StoreID: s.peers.localIdentity().StoreID, IsMember: true, Progress: s.peers.peer(asker).progress}
	r := s.raft.Load()
	if r == nil {
		return a
	}
	a.IsLeader, a.Term = r.State() == raft.Leader, r.CurrentTerm()
	if leader, known := s.Leader(); known && leader.Name != asker {
		a.LeaderAdminAddress = leader.AdminAddress
	}
	if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
		a.IsMember = false
		for _, m := range c.Configuration().Servers {
			if string(m.ID) == asker {
				a.IsMember, a.IsVoter = true, m.Suffrage == raft.Voter
			}
		}
	}
	return a
}

// identity asks a member who it is, and what it knows of the one that asks.
func (c Client) identity(asker string) (a quorum.PeerAnswer, err error) {
	err = c.get("/identity?of="+url.QueryEscape(asker), &a)
	if errors.Is(err, errUnknownPath) { // a version that does not know the question; the address tells several of them apart
		return quorum.PeerAnswer{From: c.Address, Unsupported: true}, nil
	}
	return a, err
}

// verifyPeer returns an error where what answers at a member's address is of another store or has another name. A member that
// can't be asked is connected to only if it was verified before.
func (s *Store) verifyPeer(address raft.ServerAddress, timeout time.Duration) error {
	m, known := s.memberAt(string(address))
	if !known || m.AdminAddress == "" {
		return nil // there is no way to ask it
	}
	a, err := Client{m.AdminAddress, min(timeout, s.opts.ElectionTimeout)}.identity(s.opts.Name)
	if err != nil {
		if s.peers.isVerified(m) {
			return nil
		}
		return wrongPeerError(address, "%s does not say who it is: %v", m.Name, err)
	}
	storeID := s.peers.localIdentity().StoreID
	switch {
	case a.Unsupported:
	case a.From != m.Name:
		return wrongPeerError(address, "it is %s, not %s", a.From, m.Name)
	case a.StoreID != "" && storeID != "" && a.StoreID != storeID:
		return wrongPeerError(address, "%s is of the store %s, not %s", a.From, a.StoreID, storeID)
	}
	s.peers.markVerified(m)
	return nil
}

// raftAddress returns where a member is reached: as this member's settings list it, since each may reach the others by a way of
// its own, else as it was added.
func (s *Store) raftAddress(id raft.ServerID) (raft.ServerAddress, error) {
	m, known := s.member(string(id))
	if !known {
		return "", fmt.Errorf("store: no member %s is known", id)
	}
	return raft.ServerAddress(m.RaftAddress), nil
}
