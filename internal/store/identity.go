package store

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// errWrongPeer means that the process at a member's address was not verified to be that member.
var errWrongPeer = errors.New("not connected: peer verification failed")

func wrongPeerError(address raft.ServerAddress, format string, args ...any) error {
	return fmt.Errorf("%w at %s: %s", errWrongPeer, address, fmt.Sprintf(format, args...))
}

// Identity returns this member's answer to another member, requester, that asks for its identity. The requester passes
// it to quorum.DecideRejoin.
func (s *Store) Identity(requester string) quorum.PeerAnswer {
	if s.memoryOnly || s.standalone() && s.raft.Load() == nil {
		return quorum.PeerAnswer{From: s.opts.Name}
	}
	a := quorum.PeerAnswer{From: s.opts.Name, StoreID: s.peers.localIdentity().StoreID, IsMember: true, Progress: s.peers.peer(requester).progress}
	a.Readmission, a.ReadmissionID = s.readmission()
	r := s.raft.Load()
	if r == nil {
		return a
	}
	a.IsLeader, a.Term = r.State() == raft.Leader, r.CurrentTerm()
	if leader, known := s.Leader(); known && leader.Name != requester {
		a.LeaderAdminAddress = leader.AdminAddress
	}
	if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
		a.IsMember = false
		for _, m := range c.Configuration().Servers {
			if string(m.ID) == requester {
				a.IsMember, a.IsVoter = true, m.Suffrage == raft.Voter
			}
		}
		if a.IsLeader && c.Index() > r.CommitIndex() {
			a.IsVoter = true // until a change that takes a vote away is committed, it may be undone
		}
	}
	return a
}

// requesterIdentity is what a member tells about itself when it asks another one for its identity.
type requesterIdentity struct {
	Name         string
	StoreID      string // empty: it does not belong to a store yet
	AdminAddress string
}

// query returns the encoded form, as the query of GET /identity.
func (q requesterIdentity) query() string {
	return url.Values{"of": {q.Name}, "store": {q.StoreID}, "admin": {q.AdminAddress}}.Encode()
}

func decodeRequesterIdentity(values url.Values) requesterIdentity {
	return requesterIdentity{Name: values.Get("of"), StoreID: values.Get("store"), AdminAddress: values.Get("admin")}
}

// askIdentity asks the member with the given address for operators for its identity, and what it knows about this one.
func (s *Store) askIdentity(adminAddress string, timeout time.Duration) (quorum.PeerAnswer, error) {
	q := requesterIdentity{Name: s.opts.Name, StoreID: s.peers.localIdentity().StoreID}
	if self, known := s.member(s.opts.Name); known {
		q.AdminAddress = self.AdminAddress
	}
	return Client{adminAddress, timeout}.identity(q)
}

// recordContact records that another member has asked for this one's identity, if it belongs to a store.
func (s *Store) recordContact(q requesterIdentity) {
	if q.StoreID != "" && q.Name != s.opts.Name && s.raft.Load() == nil {
		s.contacts.add(q.Name, q.AdminAddress)
	}
}

// recordPeerProgress records the progress that a message of another member's raft implies. Only members of a store send any.
func (s *Store) recordPeerProgress(name string, progress quorum.Progress) {
	s.peers.recordProgress(name, progress)
	if s.raft.Load() == nil {
		s.contacts.add(name, "")
	}
}

// identity requests the identity of a member, and what it knows about requester.
func (c Client) identity(requester requesterIdentity) (a quorum.PeerAnswer, err error) {
	err = c.get("/identity?"+requester.query(), &a)
	if errors.Is(err, errUnknownPath) { // the member's version does not support the request; the address distinguishes several such members
		return quorum.PeerAnswer{From: c.Address, Unsupported: true}, nil
	}
	return a, err
}

// verifyPeer returns an error if the process at a member's address belongs to another store or has another name. If the
// member does not answer, it is connected to only if it was verified before.
func (s *Store) verifyPeer(address raft.ServerAddress, timeout time.Duration) error {
	m, known := s.memberAt(string(address))
	if !known || m.AdminAddress == "" {
		return nil // it can't be asked
	}
	a, err := s.askIdentity(m.AdminAddress, min(timeout, s.opts.ElectionTimeout))
	if err != nil {
		if s.peers.isVerified(m) {
			return nil
		}
		return wrongPeerError(address, "%s did not answer the identity request: %v", m.Name, err)
	}
	storeID := s.peers.localIdentity().StoreID
	switch {
	case a.Unsupported:
	case a.From != m.Name:
		return wrongPeerError(address, "the peer is %s, not %s", a.From, m.Name)
	case a.StoreID != "" && storeID != "" && a.StoreID != storeID:
		return wrongPeerError(address, "%s belongs to store %s, not %s", a.From, a.StoreID, storeID)
	}
	s.peers.markVerified(m)
	return nil
}

// raftAddress returns a member's address for the other members. An address in this member's settings takes precedence
// over the one with which the member was added, since each member may reach the others by a different route.
func (s *Store) raftAddress(id raft.ServerID) (raft.ServerAddress, error) {
	m, known := s.member(string(id))
	if !known {
		return "", fmt.Errorf("store: unknown member %s", id)
	}
	return raft.ServerAddress(m.RaftAddress), nil
}
