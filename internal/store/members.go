package store

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// Membership is who keeps the store, as one member sees it.
type Membership struct {
	StoreID         string          `json:"store"` // its id
	ReportedBy      string          `json:"self"`  // the member that says so
	Leader          string          `json:"leader"`
	ExclusionReason string          `json:"out,omitempty"` // why the member that says so takes no part
	Members         []quorum.Member `json:"members"`       // when they were heard, and how far behind they are, only the leader knows
}

// MembershipChange is a change of the members.
type MembershipChange struct {
	Action       string `json:"do"`              // add (to learn), promote (to vote), remove or lead
	Name         string `json:"name"`            // of the member
	RaftAddress  string `json:"raft,omitempty"`  // of add: its addresses
	AdminAddress string `json:"admin,omitempty"` // and for operators
	Author       string `json:"by"`
	Reason       string `json:"why"`
}

// ErrChangeRejected says that a change of the members was turned down, and why; nothing has changed.
var ErrChangeRejected = errors.New("not done")

// configuredMember is a member as this one's own settings have it.
func (s *Store) configuredMember(name string) (Member, bool) {
	i := slices.IndexFunc(s.opts.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return s.opts.Members[i], true
}

// member is one by the settings, or as it was added in service.
func (s *Store) member(name string) (Member, bool) {
	if m, known := s.configuredMember(name); known {
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

// memberAt is the member that other members reach at an address.
func (s *Store) memberAt(address string) (Member, bool) {
	for _, m := range s.opts.Members {
		if m.RaftAddress == address {
			return m, true
		}
	}
	s.mu.Lock()
	docs := s.documents.List(memberPrefix)
	s.mu.Unlock()
	for _, d := range docs {
		var m Member
		if json.Unmarshal([]byte(d.Value), &m) == nil && m.RaftAddress == address {
			m.Name = strings.TrimPrefix(d.Key, memberPrefix)
			return m, true
		}
	}
	return Member{}, false
}

// Members is who keeps the store, as this member sees it. It does not wait.
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
	m.Members, _, _ = s.memberStatuses(r)
	return m
}

// memberStatuses are the members as raft has them, and the entry that says so.
func (s *Store) memberStatuses(r *raft.Raft) (list []quorum.Member, index uint64, err error) {
	c := r.GetConfiguration()
	if err := c.Error(); err != nil {
		return nil, 0, err
	}
	leads, last := r.State() == raft.Leader, r.LastIndex()
	for _, server := range c.Configuration().Servers {
		name := string(server.ID)
		m := quorum.Member{Name: name, RaftAddress: string(server.Address), Voter: server.Suffrage == raft.Voter, SinceContact: -1}
		if at, known := s.member(name); known {
			m.RaftAddress, m.AdminAddress = at.RaftAddress, at.AdminAddress
		}
		if leads {
			if name == s.opts.Name {
				m.Leader, m.SinceContact = true, 0
			} else if p := s.peers.peer(name); !p.lastContact.IsZero() {
				m.SinceContact, m.Lag = time.Since(p.lastContact), last-min(last, p.acknowledged)
			} else {
				m.Lag = last
			}
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b quorum.Member) int { return cmp.Compare(a.Name, b.Name) })
	return list, c.Index(), nil
}

// awaitAnswers waits until all members have answered since an instant, for two beats at the most: one that answered shortly before may
// have died since.
func (s *Store) awaitAnswers(r *raft.Raft, since time.Time) (list []quorum.Member, index uint64, err error) {
	for {
		if list, index, err = s.memberStatuses(r); err != nil {
			return nil, 0, err
		}
		waited := time.Since(since)
		late := func(m quorum.Member) bool { return !m.Leader && (m.SinceContact < 0 || m.SinceContact > waited) }
		if waited > 2*s.opts.ElectionTimeout || !slices.ContainsFunc(list, late) {
			return list, index, nil
		}
		select {
		case <-time.After(s.opts.ElectionTimeout / 20):
		case <-s.done:
			return nil, 0, ErrNotLeader
		}
	}
}

// fetchExclusionReasons has members that do not answer the leader say themselves why they are kept out, if they are. Each is waited for a beat at the
// most.
func (s *Store) fetchExclusionReasons(list []quorum.Member, fresh time.Duration) {
	var wg sync.WaitGroup
	for i := range list {
		m := &list[i]
		if m.Leader || m.AdminAddress == "" || m.SinceContact >= 0 && m.SinceContact <= fresh {
			continue
		}
		wg.Go(func() {
			if own, err := (Client{m.AdminAddress, s.opts.ElectionTimeout}).Members(true); err == nil && own.ReportedBy == m.Name {
				m.ExclusionReason = own.ExclusionReason
			}
		})
	}
	wg.Wait()
}

// ChangeMembers changes the members, one at a time, and returns once it is agreed on. It errs with ErrNotLeader on any other member than
// the leader, with ErrUnsafe where the change could lose the majority or makes no sense, and with ErrUnsure where it may yet be
// made; asked again it is made once. What it did stands in the history.
func (s *Store) ChangeMembers(a MembershipChange) error {
	if !s.clustered {
		return fmt.Errorf("%w: this store is one process's alone; its settings name no members", ErrChangeRejected)
	}
	r, err := s.raftNode()
	if err != nil {
		return err
	}
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	if err := s.Barrier(); err != nil {
		return err
	}
	begun := time.Now()
	list, index, err := s.awaitAnswers(r, begun)
	if err != nil {
		return err
	}
	fresh := time.Since(begun)
	s.fetchExclusionReasons(list, fresh)
	g := quorum.Group{Members: list, MaxSilence: fresh, MaxLag: cmp.Or(s.opts.MaxLag, defaultMaxLag)}
	id, address := raft.ServerID(a.Name), raft.ServerAddress(a.RaftAddress)
	was := slices.IndexFunc(list, func(m quorum.Member) bool { return m.Name == a.Name })
	if a.Action != "add" && was >= 0 {
		address = raft.ServerAddress(list[was].RaftAddress)
	}
	var done raft.Future
	note := document.Operation{Key: memberPrefix + a.Name}
	switch a.Action {
	case "add":
		if err := g.CheckAdd(quorum.Member{Name: a.Name, RaftAddress: a.RaftAddress, AdminAddress: a.AdminAddress}); err != nil {
			return fmt.Errorf("%w: %w", ErrChangeRejected, err)
		}
		if was >= 0 {
			return nil
		}
		text, err := json.Marshal(Member{RaftAddress: a.RaftAddress, AdminAddress: a.AdminAddress})
		if err != nil { // strings always marshal
			panic(err)
		}
		note.Value = string(text)
		if err := s.recordChange(a, note); err != nil { // first, so that all know where it is reached
			return err
		}
		done = r.AddNonvoter(id, address, index, s.opts.CommitTimeout)
	case "promote":
		if err := g.CheckPromote(a.Name); err != nil {
			return fmt.Errorf("%w: %w", ErrChangeRejected, err)
		}
		if list[was].Voter {
			return nil
		}
		done = r.AddVoter(id, address, index, s.opts.CommitTimeout)
	case "remove":
		if err := g.CheckRemove(a.Name); err != nil {
			return fmt.Errorf("%w: %w", ErrChangeRejected, err)
		}
		note.Delete = true
		if was < 0 {
			return s.recordChange(a, note) // what an earlier try may have left
		}
		done = r.RemoveServer(id, index, s.opts.CommitTimeout)
	case "lead":
		if err := g.CheckLeadershipTransfer(a.Name); err != nil {
			return fmt.Errorf("%w: %w", ErrChangeRejected, err)
		}
		if list[was].Leader {
			return nil
		}
		if err := s.recordChange(a, document.Operation{Key: internalPrefix + "lead", Value: a.Name}); err != nil {
			return err
		}
		if err := r.LeadershipTransferToServer(id, address).Error(); err != nil {
			return fmt.Errorf("%w: %s did not take the lead: %w", ErrChangeRejected, a.Name, err)
		}
		return nil
	default:
		return fmt.Errorf("do: %q: add, promote, remove or lead is wanted", a.Action)
	}
	if err := done.Error(); errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader
	} else if err != nil {
		return fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	s.opts.Logger.Info("the store's members have changed", "do", a.Action, "member", a.Name, "by", a.Author, "why", a.Reason)
	switch a.Action {
	case "remove":
		return s.recordChange(a, note)
	case "promote":
		return s.recordChange(a, document.Operation{Key: internalPrefix + "voters/" + a.Name, Value: "promoted"})
	}
	return nil
}

// recordChange puts a change of the members into the history.
func (s *Store) recordChange(a MembershipChange, o document.Operation) error {
	r, err := s.propose(document.Transaction{ID: rand.Text(), Author: a.Author, Reason: strings.TrimSpace(a.Action + " " + a.Name + ": " + a.Reason), Operations: []document.Operation{o}})
	if err == nil && !r.Committed {
		err = fmt.Errorf("%w: %s", ErrChangeRejected, r.Reason)
	}
	return err
}

// registerMemberRoutes adds the paths of the members.
//
//	GET  /members?local=1     Membership, as this member sees it; without local as the leader does
//	POST /members             an Ask; answers the Membership after it
//	GET  /identity?of=NAME    a quorum.Answer to member NAME, which is about to take part
func (s *Store) registerMemberRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		m := s.Members()
		var err error
		if r.URL.Query().Get("local") != "1" && m.Leader != m.ReportedBy {
			err = ErrNotLeader
		}
		s.respond(w, r, m, err)
	})
	mux.HandleFunc("POST /members", func(w http.ResponseWriter, r *http.Request) {
		var a MembershipChange
		if !decodeBody(w, r, &a) {
			return
		}
		err := s.ChangeMembers(a)
		s.respond(w, r, s.Members(), err)
	})
	mux.HandleFunc("GET /identity", func(w http.ResponseWriter, r *http.Request) {
		s.respond(w, r, s.Identity(r.URL.Query().Get("of")), nil)
	})
}

// Members reads who keeps the store: as the leader sees it, or local, as the member asked does.
func (c Client) Members(local bool) (m Membership, err error) {
	path := "/members"
	if local {
		path += "?local=1"
	}
	err = c.get(path, &m)
	return m, err
}

// ChangeMembers asks for a change of the members. ErrConflict: it was turned down, and nothing has changed. With another error it may
// have been made; it may be asked for again.
func (c Client) ChangeMembers(a MembershipChange) (m Membership, err error) {
	err = c.post("/members", a, &m)
	return m, err
}
