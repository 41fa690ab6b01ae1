// Package modelcheck plays the rules of the store's members through random worlds: members that keep a log by majority, are cut off from
// one another, die, come back on their folders, on older copies of them, on empty ones or on another store's; members that are
// added, promoted, given the lead and removed in service; states that are put back to a backup, and a majority that is lost for
// good. The rules are the real ones (packages quorum and document); the log below them is a plain model of raft (Ongaro and
// Ousterhout, "In search of an understandable consensus algorithm", 2014), in which one exchange is one step.
package modelcheck

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

const (
	beat   = 100 * time.Millisecond // of one step; what is known of the others is on disk after it
	length = 2 * time.Second        // of leases
	duty   = "release"
	lost   = 1 << 20 // by which revisions and tokens go on after a recovery
	steps  = 250     // with faults
	calm   = 120     // and without
)

// server is a member in a configuration.
type server struct {
	name  string
	voter bool
}

// entry is one of the log. Exactly one of its parts is set; none: a leader's first.
type entry struct {
	term    uint64
	n       int // of a change, as its writer counts them
	tx      *document.Transaction
	servers []server
	backup  []byte
	floor   uint64
	members int // the entry that has the members as of this one, counted from 1
}

// disk is what a member's folder holds.
type disk struct {
	store string
	found string // why it is never to take part again
	term  uint64
	voted string
	log   []entry
	marks map[string]quorum.Progress // of others
}

func (d *disk) copy() disk {
	c := *d
	c.log, c.marks = slices.Clone(d.log), maps.Clone(d.marks)
	return c
}

func (d *disk) mark() quorum.Progress {
	m := quorum.Progress{Term: d.term, Index: uint64(len(d.log))}
	if len(d.log) > 0 {
		m.EntryTerm = d.log[len(d.log)-1].term
	}
	return m
}

// add appends an entry.
func (d *disk) add(e entry) {
	if e.members = len(d.log) + 1; e.servers == nil {
		e.members = d.log[len(d.log)-1].members
	}
	d.log = append(d.log, e)
}

// follows has a log become like a leader's. Logs that agree on one entry agree on all before it (the paper, 5.3).
func (d *disk) follows(log []entry) {
	if n := len(d.log); n > 0 && n <= len(log) && log[n-1].term == d.log[n-1].term {
		d.log = append(d.log, log[n:]...)
		return
	}
	d.log = slices.Clone(log)
}

// servers are the members as a log has them, and at which entry.
func (d *disk) servers() ([]server, int) {
	if len(d.log) == 0 {
		return nil, 0
	}
	at := d.log[len(d.log)-1].members
	return d.log[at-1].servers, at
}

func (d *disk) voters() (n int) {
	servers, _ := d.servers()
	for _, s := range servers {
		if s.voter {
			n++
		}
	}
	return n
}

// member is one process and its folder.
type member struct {
	name string
	disk
	older  *disk // a copy of the folder from before
	up, in bool
	joins  bool
	out    string // why it is kept out
	leads  bool
	since  int // steps that it has led
	commit int
	heard  map[string]time.Duration
	acked  map[string]int
}

// world is the members and what must hold of them.
type world struct {
	r       *rand.Rand
	now     time.Duration
	mutant  string
	members []*member
	apart   map[string]bool // links that are cut, by both names in order
	calm    bool

	first     int               // voters that it began with, as settings have them
	leaders   map[uint64]string // by term
	committed []entry
	state     *document.State
	tokens    uint64 // highest ever granted
	revision  uint64
	backup    []byte
	writes    int
	acked     int // writes that were acknowledged
	met       map[string]int
	wrong     string
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("at %v ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) find(name string) *member {
	for _, m := range w.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (w *world) reaches(a, b string) bool {
	return a == b || !w.apart[min(a, b)+max(a, b)]
}

// exchange says whether a question arrives, and whether the answer does.
func (w *world) exchange(a, b *member) (there, back bool) {
	if !b.up || !w.reaches(a.name, b.name) {
		return false, false
	}
	if w.calm {
		return true, true
	}
	there = w.r.IntN(12) > 0
	return there, there && w.r.IntN(12) > 0
}

// heardOf notes how far another has answered for.
func (m *member) heardOf(name string, mark quorum.Progress) { m.marks[name] = m.marks[name].Max(mark) }

// adopts has a member act in a term.
func (m *member) adopts(term uint64) {
	if term > m.term {
		m.term, m.voted, m.leads = term, "", false
	}
}

// campaign has a member ask for the lead.
func (w *world) campaign(m *member) {
	servers, _ := m.servers()
	if i := slices.Index(servers, server{m.name, true}); i < 0 {
		return
	}
	m.adopts(m.term + 1)
	m.voted = m.name
	votes := 1
	for _, s := range servers {
		o := w.find(s.name)
		if s.name == m.name || !s.voter || o == nil {
			continue
		}
		there, back := w.exchange(m, o)
		if !there || !o.in {
			continue
		}
		o.adopts(m.term)
		mine, its := m.mark(), o.mark()
		later := its.EntryTerm > mine.EntryTerm || its.EntryTerm == mine.EntryTerm && its.Index > mine.Index
		if o.term > m.term || o.voted != "" || later || len(o.log) == 0 {
			continue
		}
		o.voted = m.name
		o.heardOf(m.name, quorum.Progress{Term: m.term})
		if back {
			votes++
			m.heardOf(o.name, quorum.Progress{Term: m.term})
		}
	}
	if votes < quorum.Majority(m.voters()) {
		return
	}
	if was, twice := w.leaders[m.term]; twice && was != m.name {
		w.fail("%s leads in term %d, in which %s led", m.name, m.term, was)
	}
	w.leaders[m.term] = m.name
	m.since, m.leads, m.heard, m.acked = 0, true, map[string]time.Duration{}, map[string]int{}
	m.add(entry{term: m.term})
}

// replicate has a leader send all that it has to all members, and commit what a majority has.
func (w *world) replicate(m *member) {
	servers, _ := m.servers()
	for _, s := range servers {
		o := w.find(s.name)
		if o == nil || o == m {
			continue
		}
		there, back := w.exchange(m, o)
		if !there || !o.in || o.store != "" && o.store != m.store {
			continue
		}
		if o.term > m.term {
			if back {
				m.adopts(o.term)
				return
			}
			continue
		}
		o.adopts(m.term)
		o.leads = false
		o.follows(m.log)
		o.store = m.store
		o.heardOf(m.name, m.mark())
		o.forgets()
		if back {
			m.heardOf(o.name, o.mark())
			m.heard[o.name], m.acked[o.name] = w.now, len(o.log)
		}
	}
	servers, _ = m.servers()
	answer := 1
	for _, s := range servers {
		if at, heard := m.heard[s.name]; heard && s.voter && w.now-at < 5*beat {
			answer++
		}
	}
	if m.since++; m.since > 5 && answer < quorum.Majority(m.voters()) {
		m.leads = false // nobody answers it any more
		return
	}
	for n := len(m.log); n > m.commit && m.log[n-1].term == m.term; n-- {
		have := 0
		for _, s := range servers {
			if s.voter && (s.name == m.name || m.acked[s.name] >= n) {
				have++
			}
		}
		if have >= quorum.Majority(m.voters()) {
			m.commit = n
			w.commits(m, n)
			m.forgets()
			return
		}
	}
}

// forgets drops what is remembered of those that are no members any more.
func (m *member) forgets() {
	servers, _ := m.servers()
	for name := range m.marks {
		if !slices.ContainsFunc(servers, func(s server) bool { return s.name == name }) {
			delete(m.marks, name)
		}
	}
}

// commits applies what was agreed on, and holds it to what was agreed on before.
func (w *world) commits(m *member, n int) {
	for i := range min(n, len(w.committed)) {
		if a, b := m.log[i], w.committed[i]; a.term != b.term || a.n != b.n {
			w.fail("%s commits entry %d as write %d of term %d; write %d of term %d was acknowledged there", m.name, i+1, a.n, a.term, b.n, b.term)
			return
		}
	}
	for ; len(w.committed) < n; w.committed = append(w.committed, m.log[len(w.committed)]) {
		w.apply(m.log[len(w.committed)])
	}
}

func (w *world) at() lease.Instant { return lease.Instant(w.now) }

// apply changes the state as every member does.
func (w *world) apply(e entry) {
	switch {
	case e.tx != nil:
		r := w.state.Apply(*e.tx, w.at())
		if e.n > 0 && !r.Committed {
			w.fail("write %d was turned down: %s", e.n, r.Reason)
		}
		if l := e.tx.Operations[0].Lease; l != nil && r.Committed {
			if l.Token <= w.tokens {
				w.fail("token %d was granted after token %d", l.Token, w.tokens)
			}
			w.tokens = l.Token
		}
		w.acked = max(w.acked, e.n)
	case e.backup != nil:
		revision, highest := w.state.Revision(), w.state.Leases().HighestToken()
		if err := w.state.Load(bytes.NewReader(e.backup), w.at()); err != nil {
			w.fail("a backup: %v", err)
			return
		}
		if w.mutant != "no floor after a restore" {
			w.state.Recover(revision, max(e.floor, highest, w.state.Leases().HighestToken()), nil, w.at())
		}
		w.met["restored"]++
	}
	if w.state.Revision() < w.revision {
		w.fail("revision %d after %d", w.state.Revision(), w.revision)
	}
	w.revision = w.state.Revision()
}

// propose has a leader write something.
func (w *world) propose(m *member) {
	current := m.commit == len(w.committed) && len(m.log) == m.commit
	switch n := w.r.IntN(10); {
	case n == 0 && current:
		rec, err := w.state.Leases().Acquire(duty, m.name, w.at())
		if err != nil {
			return
		}
		m.add(entry{term: m.term, tx: &document.Transaction{ID: fmt.Sprint("lease", w.r.Uint64()), Operations: []document.Operation{{Lease: &rec}}}})
	case n == 1 && current && w.r.IntN(20) == 0:
		var b bytes.Buffer
		if err := w.state.Save(&b); err != nil {
			w.fail("%v", err)
		}
		w.backup = b.Bytes()
	case n == 2 && current && w.backup != nil && w.r.IntN(20) == 0:
		m.add(entry{term: m.term, backup: w.backup, floor: uint64(w.now / time.Second)})
	default:
		w.writes++
		m.add(entry{term: m.term, n: w.writes, tx: &document.Transaction{ID: fmt.Sprint("w", w.writes, "-", w.r.Uint64()), Operations: []document.Operation{{Key: fmt.Sprint("k", w.writes%7), Value: fmt.Sprint(w.writes)}}}})
	}
}

// group is the members as a leader sees them after it has just heard all that answer.
func (w *world) group(m *member) quorum.Group {
	g := quorum.Group{MaxLag: 3}
	servers, _ := m.servers()
	for _, s := range servers {
		x := quorum.Member{Name: s.name, RaftAddress: s.name + ":1", AdminAddress: s.name + ":2", Voter: s.voter, SinceContact: -1, Lag: uint64(len(m.log) - m.acked[s.name])}
		if s.name == m.name {
			x.Leader, x.SinceContact, x.Lag = true, 0, 0
		} else if at, heard := m.heard[s.name]; heard {
			x.SinceContact = w.now - at
		}
		g.Members = append(g.Members, x)
	}
	return g
}

// change has a leader change the members, if the rules let it.
func (w *world) change(m *member, do, name string) bool {
	w.replicate(m)
	servers, at := m.servers()
	if !m.leads || m.commit < at || m.commit == 0 || m.log[m.commit-1].term != m.term {
		return false // one at a time, and in its own term first
	}
	g := w.group(m)
	servers = slices.Clone(servers)
	i := slices.IndexFunc(servers, func(s server) bool { return s.name == name })
	var err error
	switch do {
	case "add":
		if err = g.CheckAdd(quorum.Member{Name: name, RaftAddress: name + ":1", AdminAddress: name + ":2"}); err == nil && i < 0 {
			servers = append(servers, server{name, w.mutant == "a vote at once"})
		}
	case "promote":
		if err = g.CheckPromote(name); err == nil {
			servers[i].voter = true
		}
	case "remove":
		if err = g.CheckRemove(name); w.mutant == "majority not looked at" && i >= 0 && name != m.name {
			err = nil
		}
		if err == nil && i >= 0 {
			servers = slices.Delete(servers, i, i+1)
		}
	}
	if err != nil {
		w.met["refused"]++
		return false
	}
	here, voters, before := 0, 0, m.voters()
	m.add(entry{term: m.term, servers: servers})
	for _, s := range servers {
		if s.voter {
			if voters++; s.name == m.name || m.heard[s.name] == w.now && w.now > 0 {
				here++
			}
		}
	}
	if voters != before && here < quorum.Majority(voters) {
		w.fail("%s %s left %d of %d voters that answer", do, name, here, voters)
	}
	w.met[do]++
	return true
}

// ends has a process die; its folder stays.
func (w *world) ends(m *member) {
	m.up, m.in, m.leads, m.commit, m.out = false, false, false, 0, ""
	if w.mutant == "marks not on disk" {
		m.marks = map[string]quorum.Progress{}
	}
}

// asks has a member that starts ask the others, and does what it is told.
func (w *world) asks(m *member) {
	var answers []quorum.PeerAnswer
	for _, o := range w.members {
		if o == m || !o.up || !w.reaches(m.name, o.name) {
			continue
		}
		a := quorum.PeerAnswer{From: o.name, StoreID: o.store, IsMember: true, Progress: o.marks[m.name], IsLeader: o.leads}
		if o.in {
			a.Term = o.term
		}
		if servers, _ := o.servers(); len(servers) > 0 && o.in {
			a.IsVoter = slices.Contains(servers, server{m.name, true})
			a.IsMember = a.IsVoter || slices.Contains(servers, server{m.name, false})
		}
		answers = append(answers, a)
	}
	verdict, why := quorum.DecideRejoin(quorum.LocalState{Name: m.name, StoreID: m.store, Progress: m.mark(), Empty: len(m.log) == 0, Joining: m.joins, PermanentExclusion: m.found, Voters: cmp.Or(m.voters(), w.first), PeerCount: len(w.members) - 1}, answers)
	if w.mutant == "older copies let in" && len(answers) > 0 {
		verdict = quorum.DecisionStart
	}
	switch verdict {
	case quorum.DecisionStart:
		m.in = true
	case quorum.DecisionExclude, quorum.DecisionExcludePermanently:
		if verdict == quorum.DecisionExcludePermanently {
			m.found = why
		}
		m.out = why
		w.met["kept out"]++
	}
}

// fault puts one into the world.
func (w *world) fault() {
	m := w.members[w.r.IntN(len(w.members))]
	switch w.r.IntN(8) {
	case 0, 1:
		if m.up {
			w.ends(m)
		}
	case 2:
		for _, o := range w.members {
			if o != m {
				w.apart[min(o.name, m.name)+max(o.name, m.name)] = true
			}
		}
	case 3:
		o := w.members[w.r.IntN(len(w.members))]
		w.apart[min(o.name, m.name)+max(o.name, m.name)] = o != m
	case 4:
		w.heal()
	case 5:
		c := m.copy()
		m.older = &c
	case 6, 7: // all others are there: what nobody that can be asked remembers is not found out, and two lost folders of three are a majority
		if !slices.ContainsFunc(w.members, func(o *member) bool { return o != m && !o.in || o.voters() < 3 }) && m.up && m.older != nil {
			w.heal()
			w.ends(m)
			switch w.r.IntN(4) {
			case 0:
				m.disk = disk{marks: map[string]quorum.Progress{}}
			case 1:
				m.disk = disk{store: "another", term: 3, log: []entry{{term: 3, servers: []server{{m.name, true}, {"x", true}, {"y", true}}, members: 1}}, marks: map[string]quorum.Progress{}}
			default:
				m.disk = m.older.copy()
			}
			if w.r.IntN(2) == 0 { // the power goes for all at once
				w.met["all killed"]++
				for _, o := range w.members {
					w.ends(o)
					o.up = true
				}
			}
			m.up, m.joins = true, false
			w.asks(m)
		}
	}
}

func (w *world) heal() { clear(w.apart) }

// tend is what the operators' page says to do: processes are started, who is kept out is removed and added anew, a member more is
// taken in now and then, and one taken out.
func (w *world) tend() {
	for _, m := range w.members {
		if !m.up && (w.calm || w.r.IntN(15) == 0) {
			m.up = true
		}
		if m.up && !m.in && m.out == "" {
			w.asks(m)
		}
	}
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.leads && m.up })
	if i < 0 {
		return
	}
	leader := w.members[i]
	servers, _ := leader.servers()
	for _, s := range servers {
		m := w.find(s.name)
		switch {
		case (m.out != "" || s.voter && m.joins && len(m.log) == 0) && (w.calm || w.r.IntN(10) == 0):
			if w.change(leader, "remove", m.name) {
				return
			}
		case !s.voter && m.out == "":
			if w.change(leader, "promote", m.name) {
				return
			}
		}
	}
	for _, m := range w.members {
		there := slices.ContainsFunc(servers, func(s server) bool { return s.name == m.name })
		if !there && (m.out != "" || m.joins) {
			if m.out != "" { // an empty folder, as the page says
				w.ends(m)
				m.disk, m.joins, m.up, m.older = disk{marks: map[string]quorum.Progress{}}, true, true, nil
			}
			if w.change(leader, "add", m.name) {
				return
			}
		}
	}
	if !w.calm && w.r.IntN(40) == 0 {
		if len(w.members) < 6 && w.r.IntN(2) == 0 {
			m := &member{name: fmt.Sprint("m", len(w.members)), disk: disk{marks: map[string]quorum.Progress{}}, up: true, joins: true}
			w.members = append(w.members, m)
			return
		}
		name := servers[w.r.IntN(len(servers))].name
		if len(servers) > 3 && name != leader.name && w.change(leader, "remove", name) {
			w.find(name).out = "was removed"
		}
	}
}

// recover writes a lost majority off: all but a few of the members lose their folders, and the furthest of those left goes on alone.
func (w *world) recover() {
	left := slices.DeleteFunc(slices.Clone(w.members), func(m *member) bool { return m.out != "" || m.found != "" || len(m.log) == 0 })
	if len(left) == 0 {
		return
	}
	left = left[:min(len(left), 1+w.r.IntN(2))]
	furthest := left[0]
	for _, m := range left[1:] {
		if f := furthest.mark(); f.Max(m.mark()) != f.Max(quorum.Progress{Term: m.term}) {
			furthest = m
		}
	}
	for _, m := range w.members {
		w.ends(m)
		m.up, m.older = true, nil
		if m != furthest {
			m.disk, m.joins, m.out = disk{marks: map[string]quorum.Progress{}}, true, "its folder is lost"
		}
	}
	f := furthest
	f.found = ""
	f.store += "'" // another store from now on, with terms of its own
	clear(w.leaders)
	f.marks, f.in, f.joins = map[string]quorum.Progress{}, true, false
	f.add(entry{term: f.term + 1, servers: []server{{f.name, true}}})
	f.adopts(f.term + 1)
	var err error
	if w.state, err = document.New(document.DefaultLimits, terms); err != nil {
		w.fail("%v", err)
	}
	tokens, revision := w.tokens, w.revision
	w.tokens, w.revision = 0, 0
	for _, e := range f.log { // what it has, agreed on or not
		w.apply(e)
	}
	w.state.Recover(w.state.Revision()+lost, w.state.Leases().HighestToken()+lost, nil, w.at())
	w.tokens, w.revision = max(w.tokens, tokens), w.state.Revision()
	if w.revision <= revision {
		w.fail("revision %d after %d, as the majority was lost", w.revision, revision)
	}
	w.committed = slices.Clone(f.log)
	w.met["recovered"]++
}

var terms = lease.Terms{Duration: length, MaxDrift: 0.02, SafetyMargin: 100 * time.Millisecond}

// Mutants are faults of the rules that a walk can be played with, to show that it sees them.
var Mutants = []string{"older copies let in", "marks not on disk", "majority not looked at", "a vote at once", "no floor after a restore"}

// Run plays a seed: faults for a while, then none. It returns what did not hold: something that was acknowledged is gone, two members
// led in one term, a change left no majority that answers, a token or a revision went back, or the store was not at work at the
// end, with every member in it; empty: all held. met counts what happened, so that a walk can be seen to have been where it was
// to go. mutant is one of Mutants, or empty.
func Run(seed uint64, mutant string) (wrong string, met map[string]int) {
	w := &world{r: rand.New(rand.NewPCG(seed, 44)), mutant: mutant, apart: map[string]bool{}, leaders: map[uint64]string{}, met: map[string]int{}}
	var err error
	if w.state, err = document.New(document.DefaultLimits, terms); err != nil {
		return err.Error(), nil
	}
	var servers []server
	for i := range 3 + 2*w.r.IntN(2) {
		servers = append(servers, server{fmt.Sprint("m", i), true})
	}
	first := entry{term: 1, servers: servers, members: 1}
	for _, s := range servers {
		w.members = append(w.members, &member{name: s.name, disk: disk{store: "s", term: 1, log: []entry{first}, marks: map[string]quorum.Progress{}}, up: true, in: true})
	}
	w.committed, w.first = []entry{first}, len(servers)
	lostAt := -1
	if w.r.IntN(4) == 0 {
		lostAt = w.r.IntN(steps)
	}
	for step := range steps + calm {
		w.now += beat
		if step == lostAt {
			w.recover()
		}
		if w.calm = step >= steps; step == steps {
			w.heal()
		}
		if !w.calm && w.r.IntN(6) == 0 {
			w.fault()
		}
		led := false
		for _, m := range w.members {
			if m.up && m.leads {
				led = true
				w.propose(m)
				w.replicate(m)
			}
		}
		if m := w.members[w.r.IntN(len(w.members))]; m.in && !m.leads && (!led || !w.calm && w.r.IntN(20) == 0) {
			w.campaign(m)
		}
		w.tend()
		if w.wrong != "" {
			return w.wrong, w.met
		}
		if step == steps+calm/2 {
			w.met["writes"] = w.acked
		}
	}
	if w.acked <= w.met["writes"] {
		return fmt.Sprintf("nothing was agreed on in the last %d steps without faults", calm/2), w.met
	}
	for _, m := range w.members {
		if !m.in {
			return fmt.Sprintf("%s is not in the store %d steps after the faults: %s", m.name, calm, m.out), w.met
		}
	}
	return "", w.met
}
