package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"sloehitch/internal/control/lease"
)

// Upper bounds of request bodies.
const (
	maxValueBytes       = 4 << 10 // bytes of an operators' value
	maxTransactionBytes = 1 << 20 // bytes of a JSON request body
)

// retryAfterSeconds is the Retry-After header of a response if there is no leader or the outcome of the request is
// unknown.
const retryAfterSeconds = "1"

// Handler returns the HTTP interface for operators and for the other members.
//
//	GET /state        all values
//	PUT /state/{key}  sets a value from the body
//
// registerDocumentRoutes and registerMemberRoutes list the other paths. Requests that only the leader can serve are
// redirected to it (307).
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", s.serveValues)
	mux.HandleFunc("PUT /state/{key}", s.serveSetValue)
	s.registerDocumentRoutes(mux)
	s.registerMemberRoutes(mux)
	return mux
}

func (s *Store) serveValues(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, s.All())
}

func (s *Store) serveSetValue(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	err = s.Set(key, string(value))
	leader, elsewhere := s.otherLeader()
	switch {
	case err == nil:
		s.opts.Logger.Info("value set", "key", key, "value", string(value))
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, ErrNotLeader) && elsewhere:
		http.Redirect(w, r, "http://"+leader+r.URL.Path, http.StatusTemporaryRedirect)
	case errors.Is(err, ErrNotLeader):
		unavailable(w, "no leader is known: "+err.Error())
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// respond writes v, or the error if there is one. A request that only the leader can serve is redirected to it.
func (s *Store) respond(w http.ResponseWriter, r *http.Request, v any, err error) {
	leader, elsewhere := s.otherLeader()
	switch {
	case err == nil:
		s.writeJSON(w, v)
	case errors.Is(err, ErrNotLeader) && elsewhere:
		http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrOutcomeUnknown):
		unavailable(w, err.Error())
	case errors.Is(err, lease.ErrHeld), errors.Is(err, lease.ErrLost), errors.Is(err, ErrChangeRejected):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *Store) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.opts.Logger.Debug("response not written", "error", err)
	}
}

func unavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// otherLeader returns the leader's address for operators if the leader is known and is another member.
func (s *Store) otherLeader() (adminAddress string, ok bool) {
	leader, known := s.Leader()
	return leader.AdminAddress, known && leader.AdminAddress != "" && leader.Name != s.opts.Name
}

// decodeBody decodes a request's JSON body. If that fails, it sends the error response and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
