package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// ErrConflict means that the store rejected a transaction, a lease request, a restore or a change of the members.
// Nothing was changed.
var ErrConflict = errors.New("request rejected")

// errUnknownPath means that the version of the requested member does not support the path.
var errUnknownPath = errors.New("path not supported by the member's version")

// Client sends requests to one member, as an operator does. A request that only the leader can serve is redirected to it. It is
// safe for concurrent use.
type Client struct {
	Address string // the member's address for operators
	Timeout time.Duration
}

// All returns all values.
func (c Client) All() (map[string]string, error) {
	values := map[string]string{}
	return values, c.get("/state", &values)
}

// Set sets a value on all members.
func (c Client) Set(key, value string) error {
	return c.do(http.MethodPut, "/state/"+key, []byte(value), func(io.Reader) error { return nil })
}

// Commit commits a transaction. After an error other than ErrConflict the transaction may have been committed; the
// caller has to repeat it with the same id, through any member.
func (c Client) Commit(t document.Transaction) (r document.Result, err error) {
	err = c.post("/transactions", t, &r)
	return r, err
}

// RequestLease requests the lease of a task. It returns ErrConflict if another holder has it, or if it is no longer
// held under the given token.
func (c Client) RequestLease(task string, q LeaseRequest) (r lease.Record, err error) {
	err = c.post("/duties/"+url.PathEscape(task), q, &r)
	return r, err
}

// Leases returns the leases of all tasks, as the member sees them.
func (c Client) Leases() ([]LeaseStatus, ReadStatus, error) {
	var got readResponse
	err := c.get("/owners", &got)
	return got.Leases, got.ReadStatus, err
}

// Documents returns the documents whose keys begin with a prefix. The read is confirmed by a majority unless local is
// set; a local read returns the member's own copy.
func (c Client) Documents(prefix string, local bool) ([]document.Document, ReadStatus, error) {
	path := "/documents?prefix=" + url.QueryEscape(prefix)
	if local {
		path += "&local=1"
	}
	var got readResponse
	err := c.get(path, &got)
	return got.Documents, got.ReadStatus, err
}

// Document returns one document, read as by Documents. Its version is 0 if it does not exist.
func (c Client) Document(key string, local bool) (document.Document, ReadStatus, error) {
	documents, status, err := c.Documents(key, local)
	for _, d := range documents {
		if d.Key == key {
			return d, status, err
		}
	}
	return document.Document{Key: key}, status, err
}

// Changes waits for changes after a revision to the documents whose keys begin with a prefix. forgotten reports that
// some of the changes are no longer remembered.
func (c Client) Changes(prefix string, after uint64, wait time.Duration) (changes []document.Change, status ReadStatus, forgotten bool, err error) {
	var got readResponse
	err = c.get(fmt.Sprintf("/changes?prefix=%s&after=%d&wait_ms=%d", url.QueryEscape(prefix), after, wait.Milliseconds()), &got)
	return got.Changes, got.ReadStatus, got.Forgotten, err
}

// Backup writes the whole state, confirmed by a majority, to w. After an error, what was written is incomplete and
// can't be restored.
func (c Client) Backup(w io.Writer) error {
	return c.do(http.MethodGet, "/backup", nil, func(r io.Reader) error {
		_, err := io.Copy(w, r)
		return err
	})
}

// Restore replaces the state of all members with a backup. After an error other than ErrConflict it may have taken
// effect.
func (c Client) Restore(backup []byte, author, reason string) (status ReadStatus, err error) {
	path := "/restore?by=" + url.QueryEscape(author) + "&why=" + url.QueryEscape(reason)
	err = c.do(http.MethodPost, path, backup, decodeInto(&status))
	return status, err
}

// Members returns the membership as the leader sees it or, if local is set, as the requested member sees it.
func (c Client) Members(local bool) (m Membership, err error) {
	path := "/members"
	if local {
		path += "?local=1"
	}
	err = c.get(path, &m)
	return m, err
}

// ChangeMembers changes the members. ErrConflict means that the change was rejected and nothing was changed. After
// another error it may have taken effect; it is safe to repeat.
func (c Client) ChangeMembers(change MembershipChange) (m Membership, err error) {
	err = c.post("/members", change, &m)
	return m, err
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

// decodeInto returns a function that decodes a JSON response into a value.
func decodeInto(into any) func(io.Reader) error {
	return func(r io.Reader) error { return json.NewDecoder(r).Decode(into) }
}

// do sends a request and passes the body of its response to read.
func (c Client) do(method, path string, body []byte, read func(io.Reader) error) error {
	req, err := http.NewRequest(method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: c.Timeout}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // only read from
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(resp, method, path)
	}
	return read(resp.Body)
}

// responseError returns the error for a response with an error status.
func responseError(resp *http.Response, method, path string) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes)) // after a read error, the status is reported without a text
	switch resp.StatusCode {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s %s", errUnknownPath, method, path)
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, bytes.TrimSpace(text))
	}
	return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
}
