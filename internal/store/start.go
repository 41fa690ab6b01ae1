package store

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// raftLogLevel is the lowest level at which raft's own log lines are logged.
const raftLogLevel = "WARN"

// openMember opens this member's data directory and transport. If there are no other members to be asked, the member
// participates at once, otherwise as soon as enough of them have answered.
func (s *Store) openMember() error {
	self, listed := s.configuredMember(s.opts.Name)
	if !listed {
		return fmt.Errorf("%s is not in the list of members", s.opts.Name)
	}
	var err error
	if s.storage, err = openRaftStorage(s.opts.Dir, s.opts.WrapFS, s.opts.Logger); err != nil {
		return err
	}
	if s.peers, err = openPeerTracker(s.storage.ledger(), s.opts.Name, len(s.opts.Members)); err != nil {
		return err
	}
	s.transport, err = listen(transportOptions{
		address:    self.RaftAddress,
		timeout:    s.opts.CommitTimeout,
		maxPool:    len(s.opts.Members),
		logger:     s.opts.Logger,
		addressOf:  s.raftAddress,
		verify:     s.verifyPeer,
		onProgress: s.recordPeerProgress,
	})
	if err != nil {
		return err
	}
	progress, empty, err := s.storage.progress()
	if err != nil {
		return err
	}
	if len(s.opts.Members) == 1 && (!empty || s.opts.Join) {
		return s.startRaft(false)
	}
	s.setExclusionReason("the other members have not been asked yet")
	s.loops.Go(s.newStartCheck(progress, empty).run)
	return nil
}

// startCheck determines whether this member may participate, by asking the others (quorum.DecideRejoin).
type startCheck struct {
	store   *Store
	local   quorum.LocalState
	answers map[string]quorum.PeerAnswer // by the name of the responding member
	founds  bool                         // the founding rule applies (founding.go)
	polls   int                          // by the founding rule
}

// newStartCheck returns a check for a data directory with the given progress.
func (s *Store) newStartCheck(progress quorum.Progress, empty bool) *startCheck {
	local := s.peers.localIdentity()
	c := &startCheck{store: s, answers: map[string]quorum.PeerAnswer{}, founds: empty && !s.opts.Join && len(s.opts.Members) == 1}
	c.local = quorum.LocalState{
		Name:               local.Name,
		StoreID:            local.StoreID,
		Progress:           progress,
		Empty:              empty,
		Joining:            s.opts.Join,
		Voters:             local.Voters,
		PermanentExclusion: local.ExclusionReason,
		PeerCount:          len(s.opts.Members) - 1,
		InMemory:           s.opts.Dir == "",
	}
	for _, m := range s.opts.Members {
		if m.Name != local.Name && m.AdminAddress == "" { // it can't be asked
			c.answers[m.Name] = quorum.PeerAnswer{From: m.Name, Unsupported: true}
		}
	}
	return c
}

// run asks the others until a decision is reached or the store is closed.
func (c *startCheck) run() {
	s := c.store
	retry := time.NewTicker(s.opts.ElectionTimeout / 4)
	defer retry.Stop()
	for {
		c.askPeers()
		decision, reason := c.decide()
		s.setExclusionReason(reason)
		switch decision {
		case quorum.DecisionExclude, quorum.DecisionExcludePermanently:
			c.exclude(decision, reason)
			return
		case quorum.DecisionStart:
			c.start()
			return
		}
		select {
		case <-retry.C:
		case <-s.done:
			return
		}
	}
}

func (c *startCheck) decide() (quorum.Decision, string) {
	if c.founds {
		return c.decideFounding()
	}
	return c.decideByAnswers()
}

func (c *startCheck) decideByAnswers() (quorum.Decision, string) {
	return quorum.DecideRejoin(c.local, slices.Collect(maps.Values(c.answers)))
}

func (c *startCheck) exclude(decision quorum.Decision, reason string) {
	s := c.store
	c.storeExclusion(decision, reason)
	s.opts.Logger.Error("this member is excluded from the store; the node continues to serve", "reason", reason)
	_ = s.transport.Close() // nothing was sent over the transport
}

// storeExclusion stores a permanent exclusion in the data directory.
func (c *startCheck) storeExclusion(decision quorum.Decision, reason string) {
	if decision != quorum.DecisionExcludePermanently {
		return
	}
	if err := c.store.peers.excludePermanently(reason); err != nil {
		c.store.opts.Logger.Warn("reason for the exclusion not stored; this member asks the others again after a restart", "error", err)
	}
}

func (c *startCheck) start() {
	s := c.store
	var err error
	if s.awaitsReadmission.Load() {
		err = s.beginReadmission()
	}
	if err == nil {
		err = s.startRaft(c.local.Empty && !c.local.Joining)
	}
	if err != nil {
		s.setExclusionReason(err.Error())
		s.opts.Logger.Error("raft not started, this member does not participate in the store; the node continues to serve", "error", err)
		_ = s.transport.Close() // nothing was sent over the transport
	}
}

// askPeers asks all others concurrently, and waits up to an election timeout for each. It also asks the leader that
// they report, even if this member's settings do not list it.
func (c *startCheck) askPeers() {
	asked := map[string]bool{}
	addresses := c.adminAddresses()
	for len(addresses) > 0 {
		for _, address := range addresses {
			asked[address] = true
		}
		leaders := c.askAll(addresses)
		addresses = nil
		for _, leader := range leaders {
			if leader != "" && !asked[leader] && !slices.Contains(addresses, leader) {
				addresses = append(addresses, leader)
			}
		}
	}
}

// adminAddresses returns the addresses for operators of the other members in the settings, and of those that have
// contacted this member.
func (c *startCheck) adminAddresses() (addresses []string) {
	addresses = c.store.contacts.adminAddresses()
	for _, m := range c.store.opts.Members {
		if m.Name != c.store.opts.Name && m.AdminAddress != "" && !slices.Contains(addresses, m.AdminAddress) {
			addresses = append(addresses, m.AdminAddress)
		}
	}
	return addresses
}

// askAll sends requests to all addresses concurrently, records the answers, and returns the addresses of the leaders
// that they report.
func (c *startCheck) askAll(addresses []string) (leaders []string) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, address := range addresses {
		wg.Go(func() {
			a, err := c.store.askIdentity(address, c.store.opts.ElectionTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			c.answers[a.From] = a
			leaders = append(leaders, a.LeaderAdminAddress)
		})
	}
	wg.Wait()
	return leaders
}

// startRaft starts raft, so that this member participates. If bootstrap is set, all members in the settings start with
// an empty data directory and the same list, so that each can bootstrap by itself.
func (s *Store) startRaft(bootstrap bool) error {
	cfg := raftConfig(s.opts.Name, s.opts.Logger)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = s.opts.ElectionTimeout, s.opts.ElectionTimeout, s.leaderLease()
	if !bootstrap {
		s.transport.withholdVotesWhile(s.withholdsVotes)
	}
	if s.peers.localIdentity().ReadmissionID != "" {
		cfg.HeartbeatTimeout, cfg.ElectionTimeout = noElectionTimeout, noElectionTimeout
	}
	r, err := raft.NewRaft(cfg, (*stateMachine)(s), s.storage.logs, s.storage.stable, s.storage.snapshots, s.transport)
	if err != nil {
		return err
	}
	s.raft.Store(r)
	go s.watchLeadership(r)
	s.loops.Go(func() { s.watchMembership(r) })
	s.loops.Go(func() { s.watchReadmissions(r) })
	if !bootstrap {
		return nil
	}
	var servers []raft.Server
	for _, m := range s.opts.Members {
		servers = append(servers, raft.Server{ID: raft.ServerID(m.Name), Address: raft.ServerAddress(m.RaftAddress)})
	}
	return r.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

// raftConfig returns the part of raft's configuration that does not depend on the store's timeouts.
func raftConfig(name string, log *slog.Logger) *raft.Config {
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(name)
	cfg.LogLevel = raftLogLevel
	cfg.LogOutput = slog.NewLogLogger(log.Handler(), slog.LevelWarn).Writer()
	return cfg
}

// leaderLease returns how long a leader stays leader without answers from a majority.
func (s *Store) leaderLease() time.Duration { return s.opts.ElectionTimeout / 2 }
