package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// Bounds of what a request may ask.
const (
	maxTransactionBytes = 1 << 20 // bytes
	maxChangesWait      = 30 * time.Second
)

// readResponse is what a read answers.
type readResponse struct {
	ReadStatus
	Documents []document.Document `json:"documents,omitempty"`
	Changes   []document.Change   `json:"changes,omitempty"`
	Leases    []LeaseStatus       `json:"owners,omitempty"`
	Forgotten bool                `json:"forgotten,omitempty"` // not all changes are remembered: read the documents anew
}

// registerDocumentRoutes adds the paths of documents, transactions, changes and leases.
//
//	GET  /documents?prefix=P            confirmed by a majority; &local=1: of this member, with its age
//	POST /transactions                  a document.Transaction; answers its Result
//	GET  /changes?after=N&wait_ms=M     as soon as there are any; &prefix=P: of documents whose keys begin so
//	GET  /backup                        all that is kept, confirmed by a majority
//	POST /restore?by=B&why=W            a backup, to which all go back
//	GET  /owners                        the leases of all duties
//	POST /duties/{duty}                 a Question; answers the lease.Record
//
// What only the leader can do is redirected to it (307). 409: it was not made, the body says why; 503: no leader, or not
// known whether it was made, with Retry-After.
func (s *Store) registerDocumentRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /documents", func(w http.ResponseWriter, r *http.Request) {
		local := r.URL.Query().Get("local") == "1"
		docs, seen, err := s.Documents(r.URL.Query().Get("prefix"), !local)
		s.respond(w, r, readResponse{ReadStatus: seen, Documents: docs}, err)
	})
	mux.HandleFunc("POST /transactions", func(w http.ResponseWriter, r *http.Request) {
		var t document.Transaction
		if !decodeBody(w, r, &t) {
			return
		}
		result, err := s.Commit(t)
		if err == nil && !result.Committed {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusConflict)
		}
		s.respond(w, r, result, err)
	})
	mux.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		wait, err2 := strconv.ParseUint(r.URL.Query().Get("wait_ms"), 10, 32)
		if err != nil || err2 != nil && r.URL.Query().Has("wait_ms") {
			http.Error(w, "after: a revision is wanted; wait_ms: milliseconds", http.StatusBadRequest)
			return
		}
		changes, seen, ok := s.Changes(r.URL.Query().Get("prefix"), after, min(time.Duration(wait)*time.Millisecond, maxChangesWait, s.opts.CommitTimeout))
		s.respond(w, r, readResponse{ReadStatus: seen, Changes: changes, Forgotten: !ok}, nil)
	})
	mux.HandleFunc("GET /backup", func(w http.ResponseWriter, r *http.Request) {
		var all bytes.Buffer
		err := s.Backup(&all)
		s.respond(w, r, json.RawMessage(all.Bytes()), err)
	})
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		revision, err := s.Restore(http.MaxBytesReader(w, r.Body, maxBackupBytes), q.Get("by"), q.Get("why"))
		if err == nil {
			s.opts.Logger.Warn("the store was restored from a backup", "revision", revision, "by", q.Get("by"), "why", q.Get("why"))
		}
		s.respond(w, r, ReadStatus{Revision: revision, Confirmed: true}, err)
	})
	mux.HandleFunc("GET /owners", func(w http.ResponseWriter, r *http.Request) {
		owners, seen := s.Leases()
		s.respond(w, r, readResponse{ReadStatus: seen, Leases: owners}, nil)
	})
	mux.HandleFunc("POST /duties/{duty}", func(w http.ResponseWriter, r *http.Request) {
		var q LeaseRequest
		if !decodeBody(w, r, &q) {
			return
		}
		record, err := s.RequestLease(r.PathValue("duty"), q)
		if err == nil {
			s.opts.Logger.Info("lease", "ask", q.Action, "duty", record.Task, "holder", record.Holder, "token", record.Token, "next", record.Successor)
		}
		s.respond(w, r, record, err)
	})
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// respond writes what was asked for, or what went wrong; a question for the leader is sent on to it.
func (s *Store) respond(w http.ResponseWriter, r *http.Request, v any, err error) {
	leader, known := s.Leader()
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(v); err != nil {
			s.opts.Logger.Debug("answer not written", "error", err)
		}
	case errors.Is(err, ErrNotLeader) && known && leader.AdminAddress != "" && leader.Name != s.opts.Name:
		http.Redirect(w, r, "http://"+leader.AdminAddress+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrOutcomeUnknown):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, lease.ErrHeld), errors.Is(err, lease.ErrLost), errors.Is(err, ErrChangeRejected):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// ErrConflict says that a transaction was not made, or a lease not granted; nothing has changed.
var ErrConflict = errors.New("not made")

// Commit asks for a transaction. With an error that is not ErrConflict it may have been made, and is to be asked again under
// its id, of any member.
func (c Client) Commit(t document.Transaction) (r document.Result, err error) {
	err = c.post("/transactions", t, &r)
	return r, err
}

// RequestLease asks about a duty. ErrConflict: another has it, or it is no longer held under this token.
func (c Client) RequestLease(duty string, q LeaseRequest) (r lease.Record, err error) {
	err = c.post("/duties/"+url.PathEscape(duty), q, &r)
	return r, err
}

// Documents reads the documents whose keys begin so; local: as the member asked has them.
func (c Client) Documents(prefix string, local bool) ([]document.Document, ReadStatus, error) {
	path := "/documents?prefix=" + url.QueryEscape(prefix)
	if local {
		path += "&local=1"
	}
	var got readResponse
	err := c.get(path, &got)
	return got.Documents, got.ReadStatus, err
}

// Document reads one document, as Documents does; its version is 0 if there is none.
func (c Client) Document(key string, local bool) (document.Document, ReadStatus, error) {
	docs, seen, err := c.Documents(key, local)
	for _, d := range docs {
		if d.Key == key {
			return d, seen, err
		}
	}
	return document.Document{Key: key}, seen, err
}

// Changes waits for what changes after a revision, of documents whose keys begin so. forgotten: not all of it is remembered.
func (c Client) Changes(prefix string, after uint64, wait time.Duration) (changes []document.Change, seen ReadStatus, forgotten bool, err error) {
	var got readResponse
	err = c.get(fmt.Sprintf("/changes?prefix=%s&after=%d&wait_ms=%d", url.QueryEscape(prefix), after, wait.Milliseconds()), &got)
	return got.Changes, got.ReadStatus, got.Forgotten, err
}

// Backup writes all that the store keeps, confirmed by a majority. What was written before an error is of no use.
func (c Client) Backup(w io.Writer) error {
	return c.do(http.MethodGet, "/backup", nil, func(r io.Reader) error {
		_, err := io.Copy(w, r)
		return err
	})
}

// Restore has all members go back to a backup. With an error that is not ErrConflict it may have happened.
func (c Client) Restore(backup []byte, by, why string) (seen ReadStatus, err error) {
	err = c.do(http.MethodPost, "/restore?by="+url.QueryEscape(by)+"&why="+url.QueryEscape(why), backup, decodeInto(&seen))
	return seen, err
}

// Leases reads who holds which duty, as the member asked has it.
func (c Client) Leases() ([]LeaseStatus, ReadStatus, error) {
	var got readResponse
	err := c.get("/owners", &got)
	return got.Leases, got.ReadStatus, err
}

func (c Client) get(path string, into any) error {
	return c.do(http.MethodGet, path, nil, decodeInto(into))
}

func (c Client) post(path string, v, into any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.do(http.MethodPost, path, body, decodeInto(into))
}

// decodeInto reads an answer's JSON.
func decodeInto(into any) func(io.Reader) error {
	return func(r io.Reader) error { return json.NewDecoder(r).Decode(into) }
}
