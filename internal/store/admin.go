package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const maxValueBytes = 4 << 10 // bytes of a value that an operator may set

// SplitList splits a list with commas between its items.
func SplitList(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
}

// Handler serves operators: GET /state tells all values, PUT /state/KEY sets one from the body. A member that is
// not the leader sends them on to it.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.All()); err != nil {
			s.opts.Logger.Debug("state not written", "error", err)
		}
	})
	mux.HandleFunc("PUT /state/{key}", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		err = s.Set(r.PathValue("key"), string(value))
		leader, known := s.Leader()
		switch {
		case err == nil:
			s.opts.Logger.Info("state set", "key", r.PathValue("key"), "value", string(value))
			w.WriteHeader(http.StatusNoContent)
		case errors.Is(err, ErrNotLeader) && known && leader.AdminAddress != "" && leader.Name != s.opts.Name:
			http.Redirect(w, r, "http://"+leader.AdminAddress+r.URL.Path, http.StatusTemporaryRedirect)
		case errors.Is(err, ErrNotLeader):
			w.Header().Set("Retry-After", "1")
			http.Error(w, "no leader yet", http.StatusServiceUnavailable)
		default:
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	s.registerDocumentRoutes(mux)
	s.registerMemberRoutes(mux)
	return mux
}

// Client asks a member as an operator does.
type Client struct {
	Address string
	Timeout time.Duration
}

// All fetches all values.
func (c Client) All() (map[string]string, error) {
	values := map[string]string{}
	return values, c.get("/state", &values)
}

// Set sets a value on all members.
func (c Client) Set(key, value string) error {
	return c.do(http.MethodPut, "/state/"+key, []byte(value), func(io.Reader) error { return nil })
}

// errUnknownPath says that the member that was asked knows nothing of what it was asked.
var errUnknownPath = errors.New("not known to the version of the member that was asked")

func (c Client) do(method, path string, body []byte, read func(io.Reader) error) error {
	req, err := http.NewRequest(method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: c.Timeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes)) // the status says enough without it
		switch resp.StatusCode {
		case http.StatusNotFound:
			return fmt.Errorf("%w: %s %s", errUnknownPath, method, path)
		case http.StatusConflict:
			return fmt.Errorf("%w: %s", ErrConflict, bytes.TrimSpace(text))
		}
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return read(resp.Body)
}
