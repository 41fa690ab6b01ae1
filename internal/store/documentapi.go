package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sloehitch/internal/store/document"
)

// maxChangesWait is the longest that a request waits for changes.
const maxChangesWait = 30 * time.Second

// readResponse is the response to a read.
type readResponse struct {
	ReadStatus
	Documents []document.Document `json:"documents,omitempty"`
	Changes   []document.Change   `json:"changes,omitempty"`
	Leases    []LeaseStatus       `json:"owners,omitempty"`
	Forgotten bool                `json:"forgotten,omitempty"` // some changes are no longer remembered: the documents have to be read again
}

// registerDocumentRoutes adds the paths of documents, transactions, changes and leases.
//
//	GET  /documents?prefix=P            reads documents, confirmed by a majority; &local=1: this member's copy, with its age
//	POST /transactions                  commits a document.Transaction; responds with its Result
//	GET  /changes?after=N&wait_ms=M     waits for changes; &prefix=P: of documents whose keys begin with P
//	GET  /backup                        returns the whole state, confirmed by a majority
//	POST /restore?by=B&why=W            replaces the state of all members with a backup
//	GET  /owners                        returns the leases of all tasks
//	POST /duties/{duty}                 decides on a LeaseRequest; responds with the lease.Record
//
// Status 409 means that the request was rejected, for the reason in the body. Status 503, with Retry-After, means that
// there is no leader or that the outcome is unknown.
func (s *Store) registerDocumentRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /documents", s.serveDocuments)
	mux.HandleFunc("POST /transactions", s.serveTransaction)
	mux.HandleFunc("GET /changes", s.serveChanges)
	mux.HandleFunc("GET /backup", s.serveBackup)
	mux.HandleFunc("POST /restore", s.serveRestore)
	mux.HandleFunc("GET /owners", s.serveLeases)
	mux.HandleFunc("POST /duties/{duty}", s.serveLeaseRequest)
}

func (s *Store) serveDocuments(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	documents, status, err := s.Documents(q.Get("prefix"), q.Get("local") != "1")
	s.respond(w, r, readResponse{ReadStatus: status, Documents: documents}, err)
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
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
}

func (s *Store) serveChanges(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, waitErr := strconv.ParseUint(q.Get("wait_ms"), 10, 32)
	if err != nil || waitErr != nil && q.Has("wait_ms") {
		http.Error(w, "after must be a revision, and wait_ms a number of milliseconds", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxChangesWait, s.opts.CommitTimeout)
	changes, status, ok := s.Changes(q.Get("prefix"), after, wait)
	s.respond(w, r, readResponse{ReadStatus: status, Changes: changes, Forgotten: !ok}, nil)
}

func (s *Store) serveBackup(w http.ResponseWriter, r *http.Request) {
	var backup bytes.Buffer
	err := s.Backup(&backup)
	s.respond(w, r, json.RawMessage(backup.Bytes()), err)
}

func (s *Store) serveRestore(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	revision, err := s.Restore(http.MaxBytesReader(w, r.Body, maxBackupBytes), q.Get("by"), q.Get("why"))
	if err == nil {
		s.opts.Logger.Warn("store restored from a backup", "revision", revision, "by", q.Get("by"), "reason", q.Get("why"))
	}
	s.respond(w, r, ReadStatus{Revision: revision, Confirmed: true}, err)
}

func (s *Store) serveLeases(w http.ResponseWriter, r *http.Request) {
	leases, status := s.Leases()
	s.respond(w, r, readResponse{ReadStatus: status, Leases: leases}, nil)
}

func (s *Store) serveLeaseRequest(w http.ResponseWriter, r *http.Request) {
	var q LeaseRequest
	if !decodeBody(w, r, &q) {
		return
	}
	record, err := s.RequestLease(r.PathValue("duty"), q)
	if err == nil {
		s.opts.Logger.Info("lease request granted", "action", q.Action, "task", record.Task, "holder", record.Holder, "token", record.Token, "successor", record.Successor)
	}
	s.respond(w, r, record, err)
}
