package modelcheck

import (
	"cmp"
	"slices"

	"sloehitch/internal/store/quorum"
)

// kill ends a member's process. Its data directory is preserved.
func (w *world) kill(m *member) {
	m.running, m.participating, m.leading, m.commitIndex, m.exclusionReason = false, false, false, 0, ""
	if w.mutant == mutantProgressInRAM {
		m.peers = newDirectory().peers
	}
}

// start has a starting member ask the others and act on quorum's decision.
func (w *world) start(m *member) {
	answers := w.answers(m)
	decision, reason := quorum.DecideRejoin(quorum.LocalState{
		Name:               m.name,
		StoreID:            m.storeID,
		Progress:           m.progress(),
		Empty:              len(m.log) == 0,
		Joining:            m.joining,
		PermanentExclusion: m.permanentExclusion,
		Voters:             cmp.Or(m.voters(), w.initialVoters),
		PeerCount:          len(w.members) - 1,
	}, answers)
	if w.mutant == mutantOlderCopies && len(answers) > 0 {
		decision = quorum.DecisionStart
	}
	switch decision {
	case quorum.DecisionStart:
		m.participating = true
	case quorum.DecisionExclude, quorum.DecisionExcludePermanently:
		if decision == quorum.DecisionExcludePermanently {
			m.permanentExclusion = reason
		}
		m.exclusionReason = reason
		w.events[eventExcluded]++
	}
}

// answers returns the answers of all reachable members to a starting member.
func (w *world) answers(m *member) (answers []quorum.PeerAnswer) {
	for _, o := range w.members {
		if o == m || !o.running || !w.reaches(m.name, o.name) {
			continue
		}
		a := quorum.PeerAnswer{From: o.name, StoreID: o.storeID, IsMember: true, Progress: o.peers[m.name], IsLeader: o.leading}
		if o.participating {
			a.Term = o.term
		}
		if servers, _ := o.servers(); len(servers) > 0 && o.participating {
			a.IsVoter = slices.Contains(servers, server{m.name, true})
			a.IsMember = a.IsVoter || slices.Contains(servers, server{m.name, false})
		}
		answers = append(answers, a)
	}
	return answers
}

// injectFault injects a random fault.
func (w *world) injectFault() {
	m := w.randomMember()
	switch w.rng.IntN(8) {
	case 0, 1:
		if m.running {
			w.kill(m)
		}
	case 2:
		for _, o := range w.members {
			if o != m {
				w.partitioned[linkOf(o.name, m.name)] = true
			}
		}
	case 3:
		o := w.randomMember()
		w.partitioned[linkOf(o.name, m.name)] = o != m
	case 4:
		w.heal()
	case 5:
		c := m.copy()
		m.olderCopy = &c
	case 6, 7:
		if w.mayLoseDirectory(m) {
			w.loseDirectory(m)
		}
	}
}

func (w *world) randomMember() *member { return w.members[w.rng.IntN(len(w.members))] }

func (w *world) heal() { clear(w.partitioned) }

// mayLoseDirectory reports whether a member may lose its data directory: it has an older copy, and all other members
// participate in a store of three or more voters. The loss can't be detected if no responsive member remembers the lost
// progress, and two lost directories of three are a majority.
func (w *world) mayLoseDirectory(m *member) bool {
	missing := func(o *member) bool { return o != m && !o.participating || o.voters() < 3 }
	return !slices.ContainsFunc(w.members, missing) && m.running && m.olderCopy != nil
}

// loseDirectory restarts a member on an empty directory, another store's or an older copy. In half of the cases a power
// cut first ends all processes at once.
func (w *world) loseDirectory(m *member) {
	w.heal()
	w.kill(m)
	switch w.rng.IntN(4) {
	case 0:
		m.directory = newDirectory()
	case 1:
		m.directory = foreignDirectory(m.name)
	default:
		m.directory = m.olderCopy.copy()
	}
	if w.rng.IntN(2) == 0 {
		w.events[eventAllKilled]++
		for _, o := range w.members {
			w.kill(o)
			o.running = true
		}
	}
	m.running, m.joining = true, false
	w.start(m)
}

// foreignDirectory returns the data directory of a member of another store with the same name.
func foreignDirectory(name string) directory {
	d := newDirectory()
	d.storeID, d.term = "another", 3
	d.log = []entry{{term: 3, servers: []server{{name, true}, {"x", true}, {"y", true}}, membersAt: 1}}
	return d
}
