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

// earlier is the file that earlier versions kept their log in.
const earlier = "raft.db"

// own is what a member must not forget.
type own struct {
	log       *raftlog.Log // nil in memory
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
}

// openOwn opens a member's folder; without one all is in memory.
func openOwn(dir string, through func(disk.FS) disk.FS, log *slog.Logger) (own, error) {
	if dir == "" {
		memory := raft.NewInmemStore()
		return own{logs: memory, stable: memory, snapshots: raft.NewInmemSnapshotStore()}, nil
	}
	if _, err := os.Stat(filepath.Join(dir, earlier)); err == nil {
		return own{}, fmt.Errorf("%s has %s, the log of an earlier version, which this one does not read: keep a copy of the folder, empty it, set join = true and have this member added anew while the others serve (docs/operators/fleet.md)", dir, earlier)
	}
	folder := filepath.Join(dir, "log")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return own{}, err
	}
	l, err := raftlog.Open(through(disk.Dir(folder)), limits.ForRaftLog, ledger.Options{Limits: limits.ForRaftLog.Ledger(), Log: log})
	if err != nil {
		return own{}, err
	}
	return own{l, l, l, l.Snapshots()}, nil // and no cache of entries: they may be large, and the system has one of files
}

// ledger is what lies below; nil in memory.
func (o own) ledger() *ledger.Store {
	if o.log == nil {
		return nil
	}
	return o.log.Ledger()
}

// mark is how far the folder goes, and whether it is a new one.
func (o own) mark() (m quorum.Mark, blank bool, err error) {
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
		m = m.Later(quorum.Mark{EntryTerm: e.Term, Index: e.Index})
	}
	kept, err := o.snapshots.List()
	if len(kept) > 0 {
		m = m.Later(quorum.Mark{EntryTerm: kept[0].Term, Index: kept[0].Index})
	}
	return m, false, err
}

// join opens this member's folder and link. It takes part at once where nobody is to be asked first, else as soon as enough
// have answered.
func (s *Store) join() error {
	self, known := s.listed(s.opts.Name)
	if !known {
		return fmt.Errorf("%s is not among the members", s.opts.Name)
	}
	var err error
	if s.own, err = openOwn(s.opts.Dir, s.opts.Disk, s.opts.Log); err != nil {
		return err
	}
	if s.known, err = openKnown(s.own.ledger(), s.opts.Name, len(s.opts.Members)); err != nil {
		return err
	}
	if s.net, err = listen(self.Raft, s.opts.Timeout, len(s.opts.Members), s.opts.Log, s.find, s.admit, s.known.heard); err != nil {
		return err
	}
	mark, blank, err := s.own.mark()
	if err != nil {
		return err
	}
	if len(s.opts.Members) == 1 {
		return s.enter(blank && !s.opts.Join)
	}
	s.setOut("it has not asked the others yet")
	s.loops.Go(s.asking(mark, blank).run)
	return nil
}

// asking is this member before the others, with a folder that goes so far.
func (s *Store) asking(mark quorum.Mark, blank bool) *entering {
	id := s.known.self()
	e := &entering{s: s, self: quorum.Self{Name: id.Name, Store: id.Store, Mark: mark, Blank: blank, Joins: s.opts.Join, Voters: id.Voters, Others: len(s.opts.Members) - 1, Found: id.Out,
		Memory: s.opts.Dir == ""},
		answers: map[string]quorum.Answer{}}
	for _, m := range s.opts.Members {
		if m.Name != id.Name && m.Admin == "" { // there is no way to ask it
			e.answers[m.Name] = quorum.Answer{From: m.Name, Silent: true}
		}
	}
	return e
}

func (s *Store) setOut(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = why
}

// entering is a member that asks the others before it takes part.
type entering struct {
	s       *Store
	self    quorum.Self
	answers map[string]quorum.Answer
}

func (e *entering) judge() (quorum.Verdict, string) {
	return quorum.Returns(e.self, slices.Collect(maps.Values(e.answers)))
}

// never has the folder remember that it is not to take part again.
func (e *entering) never(why string) {
	if err := e.s.known.never(why); err != nil {
		e.s.opts.Log.Warn("why this member is kept out is not kept: after a restart it asks again", "error", err)
	}
}

// run asks until it is known whether this member may take part.
func (e *entering) run() {
	s := e.s
	tick := time.NewTicker(s.opts.Beat / 4)
	defer tick.Stop()
	for {
		e.ask()
		verdict, why := e.judge()
		s.setOut(why)
		switch verdict {
		case quorum.Stay, quorum.Never:
			if verdict == quorum.Never {
				e.never(why)
			}
			s.opts.Log.Error("this member is kept out of the store; the node serves on", "reason", why)
			s.net.Close()
			return
		case quorum.Enter:
			if err := s.enter(e.self.Blank && !e.self.Joins); err != nil {
				s.setOut(err.Error())
				s.opts.Log.Error("this member can't take part in the store; the node serves on", "error", err)
				s.net.Close()
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

// ask asks all others at once, and waits for each for a beat at the most. Who leads is asked too, also where this member's settings
// know nothing of it.
func (e *entering) ask() {
	asked := map[string]bool{}
	var at []string
	for _, m := range e.s.opts.Members {
		if m.Name != e.s.opts.Name && m.Admin != "" {
			at = append(at, m.Admin)
		}
	}
	for len(at) > 0 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		var next []string
		for _, admin := range at {
			asked[admin] = true
			wg.Go(func() {
				a, err := Client{admin, e.s.opts.Beat}.identity(e.s.opts.Name)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				e.answers[a.From] = a
				next = append(next, a.Leader)
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

// enter takes part. begin: with a list of members that all begin with, so that each may begin by itself.
func (s *Store) enter(begin bool) error {
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(s.opts.Name)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = s.opts.Beat, s.opts.Beat, s.opts.Beat/2
	cfg.LogLevel = "WARN"
	cfg.LogOutput = slog.NewLogLogger(s.opts.Log.Handler(), slog.LevelWarn).Writer()
	if s.opts.Join {
		s.net.joins(func() bool {
			_, blank, err := s.own.mark()
			return blank || err != nil
		})
	}
	r, err := raft.NewRaft(cfg, (*machine)(s), s.own.logs, s.own.stable, s.own.snapshots, s.net)
	if err != nil {
		return err
	}
	s.part.Store(r)
	go s.lead(r)
	s.loops.Go(func() { s.remember(r) })
	if !begin {
		return nil
	}
	var servers []raft.Server
	for _, m := range s.opts.Members {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.Raft)})
	}
	return r.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

// remember keeps what is known of the others in the folder, a beat late at the most.
func (s *Store) remember(r *raft.Raft) {
	tick := time.NewTicker(s.opts.Beat)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
			s.known.members(c.Configuration())
		}
		if err := s.known.save(); err != nil {
			s.opts.Log.Warn("what is known of the other members is not kept", "error", err)
		}
		if _, leader := r.LeaderWithID(); leader != "" || len(s.opts.Members) == 1 {
			continue
		}
		// Nobody tells a member that it was removed: one that has no leader asks. It looks into its folder after the answers: it goes on
		// answering others meanwhile, and they remember that.
		e := s.asking(quorum.Mark{}, false)
		e.ask()
		var err error
		if e.self.Mark, e.self.Blank, err = s.own.mark(); err != nil {
			s.opts.Log.Warn("the folder can't be read", "error", err)
			continue
		}
		if verdict, why := e.judge(); verdict >= quorum.Stay {
			if verdict == quorum.Never {
				e.never(why)
			}
			s.opts.Log.Error("this member is out of the store; the node serves on", "reason", why)
			s.setOut(why)
			s.part.Store(nil)
			if s.own.log != nil {
				s.own.log.Leave()
			}
			if err := errors.Join(r.Shutdown().Error(), s.net.Close()); err != nil {
				s.opts.Log.Warn("a member that is out did not end well", "error", err)
			}
			return
		}
	}
}

// find tells where a member is reached: as this one's own settings have it, since each may reach the others by a way of its
// own, else as it was added.
func (s *Store) find(id raft.ServerID) (raft.ServerAddress, error) {
	m, known := s.member(string(id))
	if !known {
		return "", fmt.Errorf("store: no member %s is known", id)
	}
	return raft.ServerAddress(m.Raft), nil
}

// admit errs where what answers at a member's address is another store's or goes by another name. One that can't be asked is
// connected to only if it was asked before.
func (s *Store) admit(address raft.ServerAddress, timeout time.Duration) error {
	m, known := s.at(string(address))
	if !known || m.Admin == "" {
		return nil // there is no way to ask it
	}
	a, err := Client{m.Admin, min(timeout, s.opts.Beat)}.identity(s.opts.Name)
	if err != nil {
		if s.known.met(m) {
			return nil
		}
		return stranger(address, "%s does not say who it is: %v", m.Name, err)
	}
	own := s.known.self().Store
	switch {
	case a.Silent:
	case a.From != m.Name:
		return stranger(address, "it is %s, not %s", a.From, m.Name)
	case a.Store != "" && own != "" && a.Store != own:
		return stranger(address, "%s is of the store %s, not %s", a.From, a.Store, own)
	}
	s.known.meet(m)
	return nil
}

// identity asks a member who it is, and what it knows of the one that asks.
func (c Client) identity(asker string) (a quorum.Answer, err error) {
	err = c.get("/identity?of="+url.QueryEscape(asker), &a)
	if errors.Is(err, errNoPath) { // a version that knows nothing of this
		return quorum.Answer{From: c.Address, Silent: true}, nil // several of them are several answers
	}
	return a, err
}

// Identity is what this member answers to one that asks who it is.
func (s *Store) Identity(asker string) quorum.Answer {
	if !s.grouped {
		return quorum.Answer{From: s.opts.Name}
	}
	a := quorum.Answer{From: s.opts.Name, Store: s.known.self().Store, Member: true, Mark: s.known.of(asker).mark}
	r := s.part.Load()
	if r == nil {
		return a
	}
	a.Leads, a.Term = r.State() == raft.Leader, r.CurrentTerm()
	if leader, known := s.Leader(); known && leader.Name != asker {
		a.Leader = leader.Admin
	}
	if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
		a.Member = false
		for _, m := range c.Configuration().Servers {
			if string(m.ID) == asker {
				a.Member, a.Votes = true, m.Suffrage == raft.Voter
			}
		}
	}
	return a
}
