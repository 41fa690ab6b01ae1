package store

import "net/http"

// registerMemberRoutes adds the paths for the membership.
//
//	GET  /members?local=1     returns the Membership as this member sees it; without local, as the leader does
//	POST /members             makes a MembershipChange; responds with the resulting Membership
//	GET  /identity?of=NAME    returns a quorum.PeerAnswer for the member NAME; &store=ID&admin=A: its store, and its address for operators
func (s *Store) registerMemberRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /members", s.serveMembers)
	mux.HandleFunc("POST /members", s.serveMembershipChange)
	mux.HandleFunc("GET /identity", s.serveIdentity)
}

func (s *Store) serveMembers(w http.ResponseWriter, r *http.Request) {
	m := s.Members()
	var err error
	if r.URL.Query().Get("local") != "1" && m.Leader != m.ReportedBy {
		err = ErrNotLeader
	}
	s.respond(w, r, m, err)
}

func (s *Store) serveMembershipChange(w http.ResponseWriter, r *http.Request) {
	var c MembershipChange
	if !decodeBody(w, r, &c) {
		return
	}
	err := s.ChangeMembers(c)
	s.respond(w, r, s.Members(), err)
}

func (s *Store) serveIdentity(w http.ResponseWriter, r *http.Request) {
	requester := decodeRequesterIdentity(r.URL.Query())
	s.recordContact(requester)
	s.respond(w, r, s.Identity(requester.Name), nil)
}
