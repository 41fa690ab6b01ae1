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
	Store   string          `json:"store"` // its id
	Self    string          `json:"self"`  // the member that says so
	Leader  string          `json:"leader"`
	Out     string          `json:"out,omitempty"` // why the member that says so takes no part
	Members []quorum.Member `json:"members"`       // when they were heard, and how far behind they are, only the leader knows
}

// Ask is a change of the members.
type Ask struct {
	Do    string `json:"do"`              // add (to learn), promote (to vote), remove or lead
	Name  string `json:"name"`            // of the member
	Raft  string `json:"raft,omitempty"`  // of add: its addresses
	Admin string `json:"admin,omitempty"` // and for operators
	By    string `json:"by"`
	Why   string `json:"why"`
}

// ErrUnsafe says that a change of the members was turned down, and why; nothing has changed.
var ErrUnsafe = errors.New("not done")

// listed is a member as this one's own settings have it.
func (s *Store) listed(name string) (Member, bool) {
	i := slices.IndexFunc(s.opts.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return s.opts.Members[i], true
}

// member is one by the settings, or as it was added in service.
func (s *Store) member(name string) (Member, bool) {
	if m, known := s.listed(name); known {
		return m, true
	}
	s.mu.Lock()
	d := s.docs.Get(memberPrefix + name)
	s.mu.Unlock()
	var m Member
	if d.Version == 0 || json.Unmarshal([]byte(d.Value), &m) != nil {
		return Member{}, false
	}
	m.Name = name
	return m, true
}

// at is the member that other members reach at an address.
func (s *Store) at(address string) (Member, bool) {
	for _, m := range s.opts.Members {
		if m.Raft == address {
			return m, true
		}
	}
	s.mu.Lock()
	docs := s.docs.List(memberPrefix)
	s.mu.Unlock()
	for _, d := range docs {
		var m Member
		if json.Unmarshal([]byte(d.Value), &m) == nil && m.Raft == address {
			m.Name = strings.TrimPrefix(d.Key, memberPrefix)
			return m, true
		}
	}
	return Member{}, false
}

// Members is who keeps the store, as this member sees it. It does not wait.
func (s *Store) Members() Membership {
	m := Membership{Self: s.opts.Name}
	if !s.grouped {
		m.Leader = m.Self
		return m
	}
	m.Store = s.known.self().Store
	r := s.part.Load()
	if r == nil {
		s.mu.Lock()
		m.Out = s.out
		s.mu.Unlock()
		return m
	}
	if leader, known := s.Leader(); known {
		m.Leader = leader.Name
	}
	m.Members, _, _ = s.seenMembers(r)
	return m
}

// seenMembers are the members as raft has them, and the entry that says so.
func (s *Store) seenMembers(r *raft.Raft) (list []quorum.Member, index uint64, err error) {
	c := r.GetConfiguration()
	if err := c.Error(); err != nil {
		return nil, 0, err
	}
	leads, last := r.State() == raft.Leader, r.LastIndex()
	for _, server := range c.Configuration().Servers {
		name := string(server.ID)
		m := quorum.Member{Name: name, Raft: string(server.Address), Voter: server.Suffrage == raft.Voter, Heard: -1}
		if at, known := s.member(name); known {
			m.Raft, m.Admin = at.Raft, at.Admin
		}
		if leads {
			if name == s.opts.Name {
				m.Leader, m.Heard = true, 0
			} else if p := s.known.of(name); !p.at.IsZero() {
				m.Heard, m.Behind = time.Since(p.at), last-min(last, p.last)
			} else {
				m.Behind = last
			}
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b quorum.Member) int { return cmp.Compare(a.Name, b.Name) })
	return list, c.Index(), nil
}

// allAnswer waits until all members have answered since an instant, for two beats at the most: one that answered shortly before may
// have died since.
func (s *Store) allAnswer(r *raft.Raft, since time.Time) (list []quorum.Member, index uint64, err error) {
	for {
		if list, index, err = s.seenMembers(r); err != nil {
			return nil, 0, err
		}
		waited := time.Since(since)
		late := func(m quorum.Member) bool { return !m.Leader && (m.Heard < 0 || m.Heard > waited) }
		if waited > 2*s.opts.Beat || !slices.ContainsFunc(list, late) {
			return list, index, nil
		}
		select {
		case <-time.After(s.opts.Beat / 20):
		case <-s.done:
			return nil, 0, ErrNotLeader
		}
	}
}

// words has members that do not answer the leader say themselves why they are kept out, if they are. Each is waited for a beat at the
// most.
func (s *Store) words(list []quorum.Member, fresh time.Duration) {
	var wg sync.WaitGroup
	for i := range list {
		m := &list[i]
		if m.Leader || m.Admin == "" || m.Heard >= 0 && m.Heard <= fresh {
			continue
		}
		wg.Go(func() {
			if own, err := (Client{m.Admin, s.opts.Beat}).Members(true); err == nil && own.Self == m.Name {
				m.Out = own.Out
			}
		})
	}
	wg.Wait()
}

// Change changes the members, one at a time, and returns once it is agreed on. It errs with ErrNotLeader on any other member than
// the leader, with ErrUnsafe where the change could lose the majority or makes no sense, and with ErrUnsure where it may yet be
// made; asked again it is made once. What it did stands in the history.
func (s *Store) Change(a Ask) error {
	if !s.grouped {
		return fmt.Errorf("%w: this store is one process's alone; its settings name no members", ErrUnsafe)
	}
	r, err := s.group()
	if err != nil {
		return err
	}
	s.members.Lock()
	defer s.members.Unlock()
	if err := s.Confirm(); err != nil {
		return err
	}
	begun := time.Now()
	list, index, err := s.allAnswer(r, begun)
	if err != nil {
		return err
	}
	fresh := time.Since(begun)
	s.words(list, fresh)
	g := quorum.Group{Members: list, Fresh: fresh, Near: cmp.Or(s.opts.Near, near)}
	id, address := raft.ServerID(a.Name), raft.ServerAddress(a.Raft)
	was := slices.IndexFunc(list, func(m quorum.Member) bool { return m.Name == a.Name })
	if a.Do != "add" && was >= 0 {
		address = raft.ServerAddress(list[was].Raft)
	}
	var done raft.Future
	note := document.Operation{Key: memberPrefix + a.Name}
	switch a.Do {
	case "add":
		if err := g.Add(quorum.Member{Name: a.Name, Raft: a.Raft, Admin: a.Admin}); err != nil {
			return fmt.Errorf("%w: %w", ErrUnsafe, err)
		}
		if was >= 0 {
			return nil
		}
		text, err := json.Marshal(Member{Raft: a.Raft, Admin: a.Admin})
		if err != nil { // strings always marshal
			panic(err)
		}
		note.Value = string(text)
		if err := s.note(a, note); err != nil { // first, so that all know where it is reached
			return err
		}
		done = r.AddNonvoter(id, address, index, s.opts.Timeout)
	case "promote":
		if err := g.Promote(a.Name); err != nil {
			return fmt.Errorf("%w: %w", ErrUnsafe, err)
		}
		if list[was].Voter {
			return nil
		}
		done = r.AddVoter(id, address, index, s.opts.Timeout)
	case "remove":
		if err := g.Remove(a.Name); err != nil {
			return fmt.Errorf("%w: %w", ErrUnsafe, err)
		}
		note.Delete = true
		if was < 0 {
			return s.note(a, note) // what an earlier try may have left
		}
		done = r.RemoveServer(id, index, s.opts.Timeout)
	case "lead":
		if err := g.Lead(a.Name); err != nil {
			return fmt.Errorf("%w: %w", ErrUnsafe, err)
		}
		if list[was].Leader {
			return nil
		}
		if err := s.note(a, document.Operation{Key: ownPrefix + "lead", Value: a.Name}); err != nil {
			return err
		}
		if err := r.LeadershipTransferToServer(id, address).Error(); err != nil {
			return fmt.Errorf("%w: %s did not take the lead: %w", ErrUnsafe, a.Name, err)
		}
		return nil
	default:
		return fmt.Errorf("do: %q: add, promote, remove or lead is wanted", a.Do)
	}
	if err := done.Error(); errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader
	} else if err != nil {
		return fmt.Errorf("%w (%w)", ErrUnsure, err)
	}
	s.opts.Log.Info("the store's members have changed", "do", a.Do, "member", a.Name, "by", a.By, "why", a.Why)
	switch a.Do {
	case "remove":
		return s.note(a, note)
	case "promote":
		return s.note(a, document.Operation{Key: ownPrefix + "voters/" + a.Name, Value: "promoted"})
	}
	return nil
}

// note puts a change of the members into the history.
func (s *Store) note(a Ask, o document.Operation) error {
	r, err := s.propose(document.Transaction{ID: rand.Text(), By: a.By, Why: strings.TrimSpace(a.Do + " " + a.Name + ": " + a.Why), Do: []document.Operation{o}})
	if err == nil && !r.Made {
		err = fmt.Errorf("%w: %s", ErrUnsafe, r.Reason)
	}
	return err
}

// memberPaths adds the paths of the members.
//
//	GET  /members?local=1     Membership, as this member sees it; without local as the leader does
//	POST /members             an Ask; answers the Membership after it
//	GET  /identity?of=NAME    a quorum.Answer to member NAME, which is about to take part
func (s *Store) memberPaths(mux *http.ServeMux) {
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		m := s.Members()
		var err error
		if r.URL.Query().Get("local") != "1" && m.Leader != m.Self {
			err = ErrNotLeader
		}
		s.answer(w, r, m, err)
	})
	mux.HandleFunc("POST /members", func(w http.ResponseWriter, r *http.Request) {
		var a Ask
		if !decode(w, r, &a) {
			return
		}
		err := s.Change(a)
		s.answer(w, r, s.Members(), err)
	})
	mux.HandleFunc("GET /identity", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, s.Identity(r.URL.Query().Get("of")), nil)
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

// Change asks for a change of the members. ErrConflict: it was turned down, and nothing has changed. With another error it may
// have been made; it may be asked for again.
func (c Client) Change(a Ask) (m Membership, err error) {
	err = c.post("/members", a, &m)
	return m, err
}
