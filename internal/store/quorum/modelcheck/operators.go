package modelcheck

import (
	"fmt"
	"slices"

	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

const (
	maxMembers      = 6       // operators add members only below this number
	minMembers      = 3       // operators remove healthy members only above this number
	recoveryAdvance = 1 << 20 // amount by which a recovery advances revisions and tokens
)

// runOperators follows the operators' procedures: it starts processes, removes excluded members and adds them again, and
// occasionally adds or removes a healthy member.
func (w *world) runOperators() {
	w.startProcesses()
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.leading && m.running })
	if i < 0 {
		return
	}
	leader := w.members[i]
	servers, _ := leader.servers()
	if w.removeOrPromote(leader, servers) || w.addAgain(leader, servers) {
		return
	}
	if !w.faultFree && w.rng.IntN(40) == 0 {
		w.addOrRemove(leader, servers)
	}
}

func (w *world) startProcesses() {
	for _, m := range w.members {
		if !m.running && (w.faultFree || w.rng.IntN(15) == 0) {
			m.running = true
		}
		if m.running && !m.participating && m.exclusionReason == "" {
			w.start(m)
		}
	}
}

// removeOrPromote removes a member that is excluded or whose vote can't be used, or promotes a learner, and reports
// whether it did.
func (w *world) removeOrPromote(leader *member, servers []server) bool {
	for _, s := range servers {
		m := w.find(s.name)
		emptyVoter := s.voter && m.joining && len(m.log) == 0
		switch {
		case (m.exclusionReason != "" || emptyVoter) && (w.faultFree || w.rng.IntN(10) == 0):
			if w.change(leader, actionRemove, m.name) {
				return true
			}
		case !s.voter && m.exclusionReason == "":
			if w.change(leader, actionPromote, m.name) {
				return true
			}
		}
	}
	return false
}

// addAgain adds a process that is not a member, with an empty data directory, and reports whether it did.
func (w *world) addAgain(leader *member, servers []server) bool {
	for _, m := range w.members {
		isMember := slices.ContainsFunc(servers, func(s server) bool { return s.name == m.name })
		if isMember || m.exclusionReason == "" && !m.joining {
			continue
		}
		if m.exclusionReason != "" {
			w.kill(m)
			m.directory, m.joining, m.running, m.olderCopy = newDirectory(), true, true, nil
		}
		if w.change(leader, actionAdd, m.name) {
			return true
		}
	}
	return false
}

// addOrRemove starts the process of a new member, or removes a healthy member.
func (w *world) addOrRemove(leader *member, servers []server) {
	if len(w.members) < maxMembers && w.rng.IntN(2) == 0 {
		name := fmt.Sprint("m", len(w.members))
		w.members = append(w.members, &member{name: name, directory: newDirectory(), running: true, joining: true})
		return
	}
	name := servers[w.rng.IntN(len(servers))].name
	if len(servers) > minMembers && name != leader.name && w.change(leader, actionRemove, name) {
		w.find(name).exclusionReason = "was removed"
	}
}

// recover simulates the permanent loss of a majority: all but a few members lose their data directories, and the most
// advanced of the remaining ones continues alone.
func (w *world) recover() {
	survivor := w.furthestSurvivor()
	if survivor == nil {
		return
	}
	for _, m := range w.members {
		w.kill(m)
		m.running, m.olderCopy = true, nil
		if m != survivor {
			m.directory, m.joining, m.exclusionReason = newDirectory(), true, "its data directory is lost"
		}
	}
	survivor.permanentExclusion = ""
	survivor.storeID += "'" // the survivor continues as another store with its own terms
	clear(w.leaders)
	survivor.peers, survivor.participating, survivor.joining = newDirectory().peers, true, false
	survivor.append(entry{term: survivor.term + 1, servers: []server{{survivor.name, true}}})
	survivor.adoptTerm(survivor.term + 1)
	w.recoverState(survivor)
	w.events[eventRecovered]++
}

// furthestSurvivor draws how many members keep their data directories, and returns the one of them with the latest
// progress, or nil if none has a usable directory.
func (w *world) furthestSurvivor() *member {
	unusable := func(m *member) bool {
		return m.exclusionReason != "" || m.permanentExclusion != "" || len(m.log) == 0
	}
	candidates := slices.DeleteFunc(slices.Clone(w.members), unusable)
	if len(candidates) == 0 {
		return nil
	}
	candidates = candidates[:min(len(candidates), 1+w.rng.IntN(2))]
	furthest := candidates[0]
	for _, m := range candidates[1:] {
		if p := furthest.progress(); p.Max(m.progress()) != p.Max(quorum.Progress{Term: m.term}) {
			furthest = m
		}
	}
	return furthest
}

// recoverState applies all entries of the survivor, committed or not, and advances revisions and tokens beyond any that
// may have been issued.
func (w *world) recoverState(survivor *member) {
	var err error
	if w.state, err = document.New(document.DefaultLimits, leaseTerms); err != nil {
		w.fail("%v", err)
	}
	highestToken, revision := w.highestToken, w.revision
	w.highestToken, w.revision = 0, 0
	for _, e := range survivor.log {
		w.apply(e)
	}
	w.state.Recover(w.state.Revision()+recoveryAdvance, w.state.Leases().HighestToken()+recoveryAdvance, nil, w.instant())
	w.highestToken, w.revision = max(w.highestToken, highestToken), w.state.Revision()
	if w.revision <= revision {
		w.fail("revision %d after %d in the recovery from a lost majority", w.revision, revision)
	}
	w.committed = slices.Clone(survivor.log)
}
