package modelcheck

import (
	"slices"
	"time"

	"sloehitch/internal/store/quorum"
)

// Bounds after which a leader without answers from a majority steps down.
const (
	contactTimeout = 5 * stepDuration // most time since a member's last answer
	firstSteps     = 5                // steps after its election in which a leader does not step down
)

// adoptTerm moves a member to a term if that is later than its own.
func (m *member) adoptTerm(term uint64) {
	if term > m.term {
		m.term, m.votedFor, m.leading = term, "", false
	}
}

// campaign has a member stand for election.
func (w *world) campaign(m *member) {
	servers, _ := m.servers()
	if !slices.Contains(servers, server{m.name, true}) {
		return
	}
	m.adoptTerm(m.term + 1)
	m.votedFor = m.name
	votes := 1
	for _, s := range servers {
		o := w.find(s.name)
		if s.name == m.name || !s.voter || o == nil {
			continue
		}
		if w.requestVote(m, o) {
			votes++
		}
	}
	if votes < quorum.Majority(m.voters()) {
		return
	}
	if leader, exists := w.leaders[m.term]; exists && leader != m.name {
		w.fail("%s leads in term %d, in which %s led", m.name, m.term, leader)
	}
	w.leaders[m.term] = m.name
	m.stepsLed, m.leading, m.lastContact, m.acknowledged = 0, true, map[string]time.Duration{}, map[string]int{}
	m.append(entry{term: m.term})
}

// requestVote requests another member's vote for a candidate, and reports whether the candidate gets it.
func (w *world) requestVote(candidate, o *member) bool {
	request, response := w.exchange(candidate, o)
	if !request || !o.participating {
		return false
	}
	o.adoptTerm(candidate.term)
	candidateProgress, otherProgress := candidate.progress(), o.progress()
	later := otherProgress.EntryTerm > candidateProgress.EntryTerm ||
		otherProgress.EntryTerm == candidateProgress.EntryTerm && otherProgress.Index > candidateProgress.Index
	if o.term > candidate.term || o.votedFor != "" || later || len(o.log) == 0 {
		return false
	}
	o.votedFor = candidate.name
	o.noteProgress(candidate.name, quorum.Progress{Term: candidate.term})
	if response {
		candidate.noteProgress(o.name, quorum.Progress{Term: candidate.term})
	}
	return response
}

// replicate has a leader send its log to all members and commit the entries that a majority has.
func (w *world) replicate(m *member) {
	servers, _ := m.servers()
	for _, s := range servers {
		o := w.find(s.name)
		if o == nil || o == m {
			continue
		}
		if deposed := w.sendLog(m, o); deposed {
			return
		}
	}
	m.stepsLed++
	if m.stepsLed > firstSteps && w.answeringVoters(m) < quorum.Majority(m.voters()) {
		m.leading = false
		return
	}
	w.commitMajority(m)
}

// sendLog has a leader send its log to another member, and reports whether the leader learns that it was deposed.
func (w *world) sendLog(m, o *member) (deposed bool) {
	request, response := w.exchange(m, o)
	if !request || !o.participating || o.storeID != "" && o.storeID != m.storeID {
		return false
	}
	if o.term > m.term {
		if response {
			m.adoptTerm(o.term)
		}
		return response
	}
	o.adoptTerm(m.term)
	o.leading = false
	o.replaceLog(m.log)
	o.storeID = m.storeID
	o.noteProgress(m.name, m.progress())
	o.forgetRemoved()
	if response {
		m.noteProgress(o.name, o.progress())
		m.lastContact[o.name], m.acknowledged[o.name] = w.now, len(o.log)
	}
	return false
}

// answeringVoters returns the number of voters that answer a leader, itself included.
func (w *world) answeringVoters(m *member) int {
	servers, _ := m.servers()
	n := 1
	for _, s := range servers {
		if at, known := m.lastContact[s.name]; known && s.voter && w.now-at < contactTimeout {
			n++
		}
	}
	return n
}

// commitMajority commits the last entry of the leader's term that a majority has, and all entries before it.
func (w *world) commitMajority(m *member) {
	servers, _ := m.servers()
	for n := len(m.log); n > m.commitIndex && m.log[n-1].term == m.term; n-- {
		acknowledged := 0
		for _, s := range servers {
			if s.voter && (s.name == m.name || m.acknowledged[s.name] >= n) {
				acknowledged++
			}
		}
		if acknowledged >= quorum.Majority(m.voters()) {
			m.commitIndex = n
			w.commit(m, n)
			m.forgetRemoved()
			return
		}
	}
}

// commit applies a member's first n entries, and checks them against those committed before.
func (w *world) commit(m *member, n int) {
	for i := range min(n, len(w.committed)) {
		if a, b := m.log[i], w.committed[i]; a.term != b.term || a.write != b.write {
			w.fail("%s commits entry %d as write %d of term %d; write %d of term %d was acknowledged there", m.name, i+1, a.write, a.term, b.write, b.term)
			return
		}
	}
	for len(w.committed) < n {
		e := m.log[len(w.committed)]
		w.apply(e)
		w.committed = append(w.committed, e)
	}
}
