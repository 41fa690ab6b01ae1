package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"strings"

	"github.com/hashicorp/raft"
)

// Keys of the operators' values. No others are allowed, so the total size is bounded.
const (
	KeyClosedNodes  = "closed"        // names of the nodes out of service, separated by commas
	KeyUwsgiServers = "uwsgi-servers" // addresses that replace those in the deployment file, separated by commas
)

// Errors of values.
var (
	errUnknownKey = errors.New("unknown key")
	errNoNode     = errors.New("no node named")
)

// validators check the values of each key. An empty value is always valid and clears the key.
var validators = map[string]func(value string) error{
	KeyClosedNodes:  validateNodes,
	KeyUwsgiServers: validateAddresses,
}

func validateNodes(value string) error {
	if len(SplitList(value)) == 0 {
		return errNoNode
	}
	return nil
}

func validateAddresses(value string) error {
	for _, address := range SplitList(value) {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return err
		}
	}
	return nil
}

// SplitList splits a list at commas and spaces.
func SplitList(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
}

// Get returns this member's value of a key, or "" if it has none. It does not wait.
func (s *Store) Get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// All returns a copy of this member's values. It does not wait.
func (s *Store) All() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// Watch calls changed for each value that is currently set and for each later change. The store is locked during the
// calls: changed must not block, and must not call the store.
func (s *Store) Watch(changed func(key, value string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, changed)
	for key, value := range s.values {
		changed(key, value)
	}
}

// Set sets a value on all members; an empty value clears the key. It blocks until a majority has the change. It returns
// ErrNotLeader on any member but the leader.
func (s *Store) Set(key, value string) error {
	if err := validateValue(key, value); err != nil {
		return err
	}
	if s.memoryOnly {
		s.applyValue(key, value)
		return nil
	}
	r, err := s.raftNode()
	if err != nil {
		return err
	}
	entry, err := json.Marshal(change{Key: key, Value: value})
	if err != nil {
		return err
	}
	err = r.Apply(entry, s.opts.CommitTimeout).Error()
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
		return ErrNotLeader
	}
	return err
}

func validateValue(key, value string) error {
	validate, known := validators[key]
	if !known {
		return fmt.Errorf("%w %q", errUnknownKey, key)
	}
	if value == "" {
		return nil
	}
	if err := validate(value); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// applyValue sets a value in this member's copy and calls the watchers.
func (s *Store) applyValue(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key] == value {
		return
	}
	if value == "" {
		delete(s.values, key)
	} else {
		s.values[key] = value
	}
	for _, changed := range s.watchers {
		changed(key, value)
	}
}
