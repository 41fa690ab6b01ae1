package modelcheck

import (
	"slices"

	"sloehitch/internal/store/quorum"
)

// maxLag is quorum.Group.MaxLag.
const maxLag = 3

func raftAddress(name string) string  { return name + ":1" }
func adminAddress(name string) string { return name + ":2" }

// group returns the members as a leader sees them just after it has contacted all of them.
func (w *world) group(m *member) quorum.Group {
	g := quorum.Group{MaxLag: maxLag}
	servers, _ := m.servers()
	for _, s := range servers {
		seen := quorum.Member{
			Name:         s.name,
			RaftAddress:  raftAddress(s.name),
			AdminAddress: adminAddress(s.name),
			Voter:        s.voter,
			SinceContact: -1,
			Lag:          uint64(len(m.log) - m.acknowledged[s.name]),
		}
		if s.name == m.name {
			seen.Leader, seen.SinceContact, seen.Lag = true, 0, 0
		} else if at, known := m.lastContact[s.name]; known {
			seen.SinceContact = w.now - at
		}
		g.Members = append(g.Members, seen)
	}
	return g
}

// change has a leader change the members if the rules allow it, and reports whether it did.
func (w *world) change(m *member, action, name string) bool {
	w.replicate(m)
	_, at := m.servers()
	if !m.leading || m.commitIndex < at || m.commitIndex == 0 || m.log[m.commitIndex-1].term != m.term {
		return false // the previous change and an entry of the leader's own term must be committed first
	}
	servers, err := w.changedServers(m, action, name)
	if err != nil {
		w.events[eventRejected]++
		return false
	}
	before := m.voters()
	m.append(entry{term: m.term, servers: servers})
	w.checkMajority(m, servers, before, action, name)
	w.events[action]++
	return true
}

// changedServers returns the members after a change, or the error of the rules.
func (w *world) changedServers(m *member, action, name string) ([]server, error) {
	g := w.group(m)
	servers, _ := m.servers()
	servers = slices.Clone(servers)
	i := slices.IndexFunc(servers, func(s server) bool { return s.name == name })
	switch action {
	case actionAdd:
		err := g.CheckAdd(quorum.Member{Name: name, RaftAddress: raftAddress(name), AdminAddress: adminAddress(name)})
		if err != nil {
			return nil, err
		}
		if i < 0 {
			servers = append(servers, server{name, w.mutant == mutantVoteAtOnce})
		}
	case actionPromote:
		if err := g.CheckPromote(name); err != nil {
			return nil, err
		}
		servers[i].voter = true
	case actionRemove:
		err := g.CheckRemove(name)
		ignored := w.mutant == mutantMajorityIgnored && i >= 0 && name != m.name
		if err != nil && !ignored {
			return nil, err
		}
		if i >= 0 {
			servers = slices.Delete(servers, i, i+1)
		}
	}
	return servers, nil
}

// checkMajority checks that a change of the voters leaves a responsive majority.
func (w *world) checkMajority(m *member, servers []server, votersBefore int, action, name string) {
	answering, voters := 0, 0
	for _, s := range servers {
		if !s.voter {
			continue
		}
		voters++
		if s.name == m.name || m.lastContact[s.name] == w.now && w.now > 0 {
			answering++
		}
	}
	if voters != votersBefore && answering < quorum.Majority(voters) {
		w.fail("%s %s left %d of %d voters responsive", action, name, answering, voters)
	}
}
