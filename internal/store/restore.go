package store

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// mostBackup is how many bytes of a backup are taken: of documents at their bounds, with what is remembered beside them.
const mostBackup = 64 << 20

// piece is a part of a backup on its way to all members. The last one brings it into force.
type piece struct {
	ID    string   `json:"id"`
	Part  int      `json:"part"`
	Of    int      `json:"of"`
	Data  []byte   `json:"data"`
	Sum   [32]byte `json:"sum"`   // of the whole, SHA-256
	Floor uint64   `json:"floor"` // above all tokens that may have been granted, by the clock; each member puts it above those it knows
}

// staged is what has come of a backup.
type staged struct {
	ID   string `json:"id"`
	Next int    `json:"next"`
	Data []byte `json:"data"`
}

// restoredResult is what came of a piece.
type restoredResult struct {
	Revision uint64
	Reason   string
}

// floorAt is a floor for tokens that is above all that were granted before, and none that will be for long: 65,536 a second since
// 1970, below 2^53 so that every reader of JSON has it whole.
func floorAt(now time.Time) uint64 { return uint64(max(0, now.Unix())) << 16 }

// Restore has all members go back to a backup. What was changed since is gone; members, the store's id and the order of tokens
// stay: no token is granted again, and nobody holds a duty. It goes the way of every change, in parts, and takes hold on all members
// with the last. It returns the revision from which the store goes on. It errs with ErrNotLeader on any other member, and with
// ErrUnsure where it may yet take hold.
func (s *Store) Restore(from io.Reader, by, why string) (revision uint64, err error) {
	text, err := io.ReadAll(io.LimitReader(from, mostBackup+1))
	if err != nil {
		return 0, err
	}
	if len(text) > mostBackup {
		return 0, fmt.Errorf("a backup of more than %d bytes is none of this store's", mostBackup)
	}
	if _, err := s.backup(text); err != nil {
		return 0, err
	}
	p := piece{ID: rand.Text(), Sum: sha256.Sum256(text), Floor: floorAt(time.Now())}
	const part = 1 << 20
	parts := slices.Collect(slices.Chunk(text, part))
	p.Of = len(parts)
	for i, data := range parts {
		p.Part, p.Data = i, data
		var got any
		if s.grouped {
			if got, err = s.agree(change{Restore: &p}); err != nil {
				return 0, err
			}
		} else {
			got = s.restored(p)
		}
		r, ok := got.(restoredResult)
		if !ok {
			return 0, fmt.Errorf("%w (%v)", ErrUnsure, got)
		}
		if r.Reason != "" {
			return 0, fmt.Errorf("%w: %s", ErrUnsafe, r.Reason)
		}
		revision = r.Revision
	}
	_, err = s.propose(document.Transaction{ID: p.ID, By: by, Why: strings.TrimSpace("restore: " + why), Do: []document.Operation{{Key: ownPrefix + "restored", Value: fmt.Sprintf("by %s at %s, to revision %d", by, time.Now().UTC().Format(time.RFC3339), revision)}}})
	if err != nil {
		s.opts.Log.Warn("a restore is not in the history", "error", err)
	}
	return revision, nil
}

// backup reads one, whole, and errs where it is none.
func (s *Store) backup(text []byte) (snapshot, error) {
	in, err := readSnapshot(bytes.NewReader(text))
	if err == nil && in.Documents == nil {
		err = errors.New("it holds no documents")
	}
	if err == nil {
		var docs *document.State
		if docs, err = document.New(document.Ordinary, s.opts.Terms); err == nil {
			err = docs.Load(bytes.NewReader(in.Documents), 0)
		}
	}
	if err != nil {
		return in, fmt.Errorf("this is no backup of a store: %w", err)
	}
	return in, nil
}

// restored takes a piece, on every member in the same order.
func (s *Store) restored(p piece) any {
	s.mu.Lock()
	if p.Part == 0 {
		s.staged = &staged{ID: p.ID}
	}
	if s.staged == nil || s.staged.ID != p.ID || s.staged.Next != p.Part || len(s.staged.Data)+len(p.Data) > mostBackup {
		s.mu.Unlock()
		return restoredResult{Reason: "another restore has come between"}
	}
	s.staged.Data = append(s.staged.Data, p.Data...)
	if s.staged.Next++; s.staged.Next < p.Of {
		s.mu.Unlock()
		return restoredResult{}
	}
	text := s.staged.Data
	s.staged = nil
	keep := s.docs.List(ownPrefix)
	keep = append(keep, s.docs.List(memberPrefix)...)
	revision, highest := s.docs.Revision(), s.docs.Leases().Highest()
	s.mu.Unlock()
	if sha256.Sum256(text) != p.Sum {
		return restoredResult{Reason: "what arrived is not what was sent"}
	}
	in, err := s.backup(text)
	if err != nil {
		return restoredResult{Reason: err.Error()}
	}
	in.Staged = nil
	if err := s.take(in); err != nil {
		return restoredResult{Reason: err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range slices.Concat(s.docs.List(ownPrefix), s.docs.List(memberPrefix)) { // the backup's own go
		if !slices.ContainsFunc(keep, func(k document.Document) bool { return k.Key == d.Key }) {
			keep = append(keep, document.Document{Key: d.Key})
		}
	}
	s.docs.Recover(revision, max(p.Floor, highest, s.docs.Leases().Highest()), keep, s.clock())
	s.wake()
	return restoredResult{Revision: s.docs.Revision()}
}

// Folder is what a member's folder holds, for people who have to choose between several.
type Folder struct {
	Name   string      `json:"name"`
	Store  string      `json:"store"`
	Voters int         `json:"voters"`
	Mark   quorum.Mark `json:"mark"`
	Out    string      `json:"out,omitempty"` // why it was never to take part again: an older copy than others are
}

// plain looks at a folder as it is.
func plain(fs disk.FS) disk.FS { return fs }

// Inspect reads the folder of a member that does not run.
func Inspect(dir, name string, log *slog.Logger) (Folder, error) {
	if _, err := os.Stat(filepath.Join(dir, "log")); err != nil {
		return Folder{}, fmt.Errorf("no member's folder: %w", err)
	}
	o, err := openOwn(dir, plain, log)
	if err != nil {
		return Folder{}, err
	}
	defer o.log.Close()
	return inspect(o, name)
}

func inspect(o own, name string) (Folder, error) {
	k, err := openKnown(o.ledger(), name, 0)
	if err != nil {
		return Folder{}, err
	}
	m, blank, err := o.mark()
	if err == nil && blank {
		err = errors.New("the folder is empty: there is nothing to go on from")
	}
	id := k.self()
	return Folder{id.Name, id.Store, id.Voters, m, id.Out}, err
}

// Recover has a member that does not run go on alone from its folder, after the majority was lost for good. What only the lost ones
// had is lost with them: changes that were acknowledged, too, if this member had not them yet. The store gets a new id, so that the
// lost ones are kept out should they come back; revisions and tokens go on far above all that may have been, and nobody holds a
// duty. It is to be done on one folder only: the furthest, by Inspect's mark.
func Recover(dir string, self Member, log *slog.Logger) (was Folder, err error) {
	o, err := openOwn(dir, plain, log)
	if err != nil {
		return was, err
	}
	defer func() { err = errors.Join(err, o.log.Close()) }()
	if was, err = inspect(o, self.Name); err != nil {
		return was, err
	}
	s := &Store{opts: Options{Name: self.Name, Terms: Terms, Log: log}, values: map[string]string{}, clock: lease.Now, changed: make(chan struct{})}
	if s.docs, err = document.New(document.Ordinary, Terms); err != nil {
		return was, err
	}
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(self.Name)
	cfg.LogOutput = slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer()
	cfg.LogLevel = "WARN"
	address, link := raft.NewInmemTransport(raft.ServerAddress(self.Raft))
	alone := raft.Configuration{Servers: []raft.Server{{ID: cfg.LocalID, Address: address}}}
	id := rand.Text()
	if err := raft.RecoverCluster(cfg, &recovering{(*machine)(s), id}, o.logs, o.stable, o.snapshots, link, alone); err != nil {
		return was, err
	}
	text, err := json.Marshal(identity{Name: self.Name, Store: id, Voters: 1})
	if err != nil { // strings always marshal
		panic(err)
	}
	var b ledger.Batch
	b.Put([]byte(identityKey), text, time.Time{})
	err = o.ledger().Scan([]byte(markPrefix), func(p ledger.Pair) error {
		b.Delete(bytes.Clone(p.Key))
		return nil
	})
	return was, errors.Join(err, o.ledger().Apply(&b))
}

// recovering is the store as it is while a majority is written off.
type recovering struct {
	*machine
	id string
}

// Snapshot has the state go on from where nothing can have been.
func (m *recovering) Snapshot() (raft.FSMSnapshot, error) {
	s := (*Store)(m.machine)
	s.mu.Lock()
	keep := []document.Document{{Key: idKey, Value: m.id}}
	for _, d := range s.docs.List(memberPrefix) {
		keep = append(keep, document.Document{Key: d.Key})
	}
	s.docs.Recover(s.docs.Revision()+limits.Lost, max(s.docs.Leases().Highest()+limits.Lost, floorAt(time.Now())), keep, s.clock())
	s.staged = nil
	s.mu.Unlock()
	return m.machine.Snapshot()
}
