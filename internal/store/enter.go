package store

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/quorum"
	"sloehitch/internal/store/raftlog"
)

// legacyLogFile is the file that earlier versions kept their log in.
const legacyLogFile = "raft.db"

// raftStorage is what a member must not forget.
type raftStorage struct {
	log       *raftlog.Log // nil in memory
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
}

// openRaftStorage opens a member's folder; without one all is in memory.
func openRaftStorage(dir string, through func(disk.FS) disk.FS, log *slog.Logger) (raftStorage, error) {
	if dir == "" {
		memory := raft.NewInmemStore()
		return raftStorage{logs: memory, stable: memory, snapshots: raft.NewInmemSnapshotStore()}, nil
	}
	if _, err := os.Stat(filepath.Join(dir, legacyLogFile)); err == nil {
		return raftStorage{}, fmt.Errorf("%s has %s, the log of an earlier version, which this one does not read: keep a copy of the folder, empty it, set join = true and have this member added anew while the others serve (docs/operators/fleet.md)", dir, legacyLogFile)
	}
	folder := filepath.Join(dir, "log")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return raftStorage{}, err
	}
	l, err := raftlog.Open(through(disk.Dir(folder)), limits.ForRaftLog, ledger.Options{Limits: limits.ForRaftLog.Ledger(), Log: log})
	if err != nil {
		return raftStorage{}, err
	}
	return raftStorage{l, l, l, l.Snapshots()}, nil // and no cache of entries: they may be large, and the system has one of files
}

// ledger is what lies below; nil in memory.
func (o raftStorage) ledger() *ledger.Store {
	if o.log == nil {
		return nil
	}
	return o.log.Ledger()
}

// progress is how far the folder goes, and whether it is a new one.
func (o raftStorage) progress() (m quorum.Progress, blank bool, err error) {
	held, err := raft.HasExistingState(o.logs, o.stable, o.snapshots)
	if err != nil || !held {
		return m, true, err
	}
	if m.Term, err = o.stable.GetUint64([]byte("CurrentTerm")); err != nil && err.Error() != "not found" {
		return m, false, err
	}
	last, err := o.logs.LastIndex()
	if err != nil {
		return m, false, err
	}
	if last > 0 {
		var e raft.Log
		if err := o.logs.GetLog(last, &e); err != nil {
			return m, false, err
		}
		m = m.Max(quorum.Progress{EntryTerm: e.Term, Index: e.Index})
	}
	kept, err := o.snapshots.List()
	if len(kept) > 0 {
		m = m.Max(quorum.Progress{EntryTerm: kept[0].Term, Index: kept[0].Index})
	}
	return m, false, err
}

// openMember opens this member's folder and link. It takes part at once where nobody is to be asked first, else as soon as enough
// have answered.
func (s *Store) openMember() error {
	self, known := s.configuredMember(s.opts.Name)
	if !known {
		return fmt.Errorf("%s is not among the members", s.opts.Name)
	}
	var err error
	if s.storage, err = openRaftStorage(s.opts.Dir, s.opts.WrapFS, s.opts.Logger); err != nil {
		return err
	}
	if s.peers, err = openPeerTracker(s.storage.ledger(), s.opts.Name, len(s.opts.Members)); err != nil {
		return err
	}
	if s.transport, err = listen(self.RaftAddress, s.opts.CommitTimeout, len(s.opts.Members), s.opts.Logger, s.raftAddress, s.verifyPeer, s.peers.recordProgress); err != nil {
		return err
	}
	mark, blank, err := s.storage.progress()
	if err != nil {
		return err
	}
	if len(s.opts.Members) == 1 {
		return s.startRaft(blank && !s.opts.Join)
	}
	s.setExclusionReason("it has not asked the others yet")
	s.loops.Go(s.newStartCheck(mark, blank).run)
	return nil
}

// newStartCheck is this member before the others, with a folder that goes so far.
func (s *Store) newStartCheck(mark quorum.Progress, blank bool) *startCheck {
	id := s.peers.localIdentity()
	e := &startCheck{s: s, self: quorum.LocalState{Name: id.Name, StoreID: id.StoreID, Progress: mark, Empty: blank, Joining: s.opts.Join, Voters: id.Voters, PeerCount: len(s.opts.Members) - 1, PermanentExclusion: id.ExclusionReason,
		InMemory: s.opts.Dir == ""},
		answers: map[string]quorum.PeerAnswer{}}
	for _, m := range s.opts.Members {
		if m.Name != id.Name && m.AdminAddress == "" { // there is no way to ask it
			e.answers[m.Name] = quorum.PeerAnswer{From: m.Name, Unsupported: true}
		}
	}
	return e
}

func (s *Store) setExclusionReason(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exclusionReason = why
}

// startCheck is a member that asks the others before it takes part.
type startCheck struct {
	s       *Store
	self    quorum.LocalState
	answers map[string]quorum.PeerAnswer
}

func (e *startCheck) decide() (quorum.Decision, string) {
	return quorum.DecideRejoin(e.self, slices.Collect(maps.Values(e.answers)))
}

// excludePermanently has the folder remember that it is not to take part again.
func (e *startCheck) excludePermanently(why string) {
	if err := e.s.peers.excludePermanently(why); err != nil {
		e.s.opts.Logger.Warn("why this member is kept out is not kept: after a restart it asks again", "error", err)
	}
}

// run asks until it is known whether this member may take part.
func (e *startCheck) run() {
	s := e.s
	tick := time.NewTicker(s.opts.ElectionTimeout / 4)
	defer tick.Stop()
	for {
		e.askPeers()
		verdict, why := e.decide()
		s.setExclusionReason(why)
		switch verdict {
		case quorum.DecisionExclude, quorum.DecisionExcludePermanently:
			if verdict == quorum.DecisionExcludePermanently {
				e.excludePermanently(why)
			}
			s.opts.Logger.Error("this member is kept out of the store; the node serves on", "reason", why)
			s.transport.Close()
			return
		case quorum.DecisionStart:
			if err := s.startRaft(e.self.Empty && !e.self.Joining); err != nil {
				s.setExclusionReason(err.Error())
				s.opts.Logger.Error("this member can't take part in the store; the node serves on", "error", err)
				s.transport.Close()
			}
			return
		}
		select {
		case <-tick.C:
		case <-s.done:
			return
		}
	}
}

// askPeers asks all others at once, and waits for each for a beat at the most. Who leads is asked too, also where this member's settings
// know nothing of it.
func (e *startCheck) askPeers() {
	asked := map[string]bool{}
	var at []string
	for _, m := range e.s.opts.Members {
		if m.Name != e.s.opts.Name && m.AdminAddress != "" {
			at = append(at, m.AdminAddress)
		}
	}
	for len(at) > 0 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		var next []string
		for _, admin := range at {
			asked[admin] = true
			wg.Go(func() {
				a, err := Client{admin, e.s.opts.ElectionTimeout}.identity(e.s.opts.Name)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				e.answers[a.From] = a
				next = append(next, a.LeaderAdminAddress)
			})
		}
		wg.Wait()
		at = nil
		for _, admin := range next {
			if admin != "" && !asked[admin] && !slices.Contains(at, admin) {
				at = append(at, admin)
			}
		}
	}
}

// startRaft takes part. begin: with a list of members that all begin with, so that each may begin by itself.
func (s *Store) startRaft(begin bool) error {
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(s.opts.Name)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = s.opts.ElectionTimeout, s.opts.ElectionTimeout, s.opts.ElectionTimeout/2
	cfg.LogLevel = "WARN"
	cfg.LogOutput = slog.NewLogLogger(s.opts.Logger.Handler(), slog.LevelWarn).Writer()
	if s.opts.Join {
		s.transport.withholdVotesWhile(func() bool {
			_, blank, err := s.storage.progress()
			return blank || err != nil
		})
	}
	r, err := raft.NewRaft(cfg, (*stateMachine)(s), s.storage.logs, s.storage.stable, s.storage.snapshots, s.transport)
	if err != nil {
		return err
	}
	s.raft.Store(r)
	go s.watchLeadership(r)
	s.loops.Go(func() { s.watchMembership(r) })
	if !begin {
		return nil
	}
	var servers []raft.Server
	for _, m := range s.opts.Members {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.RaftAddress)})
	}
	return r.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

// watchMembership keeps what is known of the others in the folder, a beat late at the most.
func (s *Store) watchMembership(r *raft.Raft) {
	tick := time.NewTicker(s.opts.ElectionTimeout)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
			s.peers.setConfiguration(c.Configuration())
		}
		if err := s.peers.save(); err != nil {
			s.opts.Logger.Warn("what is known of the other members is not kept", "error", err)
		}
		if _, leader := r.LeaderWithID(); leader != "" || len(s.opts.Members) == 1 {
			continue
		}
		// Nobody tells a member that it was removed: one that has no leader asks. It looks into its folder after the answers: it goes on
		// answering others meanwhile, and they remember that.
		e := s.newStartCheck(quorum.Progress{}, false)
		e.askPeers()
		var err error
		if e.self.Progress, e.self.Empty, err = s.storage.progress(); err != nil {
			s.opts.Logger.Warn("the folder can't be read", "error", err)
			continue
		}
		if verdict, why := e.decide(); verdict >= quorum.DecisionExclude {
			if verdict == quorum.DecisionExcludePermanently {
				e.excludePermanently(why)
			}
			s.opts.Logger.Error("this member is out of the store; the node serves on", "reason", why)
			s.setExclusionReason(why)
			s.raft.Store(nil)
			if s.storage.log != nil {
				s.storage.log.StopWaiting()
			}
			if err := errors.Join(r.Shutdown().Error(), s.transport.Close()); err != nil {
				s.opts.Logger.Warn("a member that is out did not end well", "error", err)
			}
			return
		}
	}
}

// raftAddress tells where a member is reached: as this one's own settings have it, since each may reach the others by a way of its
// own, else as it was added.
func (s *Store) raftAddress(id raft.ServerID) (raft.ServerAddress, error) {
	m, known := s.member(string(id))
	if !known {
		return "", fmt.Errorf("store: no member %s is known", id)
	}
	return raft.ServerAddress(m.RaftAddress), nil
}

// verifyPeer errs where what answers at a member's address is another store's or goes by another name. One that can't be asked is
// connected to only if it was asked before.
func (s *Store) verifyPeer(address raft.ServerAddress, timeout time.Duration) error {
	m, known := s.memberAt(string(address))
	if !known || m.AdminAddress == "" {
		return nil // there is no way to ask it
	}
	a, err := Client{m.AdminAddress, min(timeout, s.opts.ElectionTimeout)}.identity(s.opts.Name)
	if err != nil {
		if s.peers.isVerified(m) {
			return nil
		}
		return wrongPeerError(address, "%s does not say who it is: %v", m.Name, err)
	}
	own := s.peers.localIdentity().StoreID
	switch {
	case a.Unsupported:
	case a.From != m.Name:
		return wrongPeerError(address, "it is %s, not %s", a.From, m.Name)
	case a.StoreID != "" && own != "" && a.StoreID != own:
		return wrongPeerError(address, "%s is of the store %s, not %s", a.From, a.StoreID, own)
	}
	s.peers.markVerified(m)
	return nil
}

// identity asks a member who it is, and what it knows of the one that asks.
func (c Client) identity(asker string) (a quorum.PeerAnswer, err error) {
	err = c.get("/identity?of="+url.QueryEscape(asker), &a)
	if errors.Is(err, errUnknownPath) { // a version that knows nothing of this
		return quorum.PeerAnswer{From: c.Address, Unsupported: true}, nil // several of them are several answers
	}
	return a, err
}

// Identity is what this member answers to one that asks who it is.
func (s *Store) Identity(asker string) quorum.PeerAnswer {
	if !s.clustered {
		return quorum.PeerAnswer{From: s.opts.Name}
	}
	a := quorum.PeerAnswer{From: s.opts.Name, StoreID: s.peers.localIdentity().StoreID, IsMember: true, Progress: s.peers.peer(asker).progress}
	r := s.raft.Load()
	if r == nil {
		return a
	}
	a.IsLeader, a.Term = r.State() == raft.Leader, r.CurrentTerm()
	if leader, known := s.Leader(); known && leader.Name != asker {
		a.LeaderAdminAddress = leader.AdminAddress
	}
	if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
		a.IsMember = false
		for _, m := range c.Configuration().Servers {
			if string(m.ID) == asker {
				a.IsMember, a.IsVoter = true, m.Suffrage == raft.Voter
			}
		}
	}
	return a
}
