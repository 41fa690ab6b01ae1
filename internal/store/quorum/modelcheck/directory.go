package modelcheck

import (
	"maps"
	"slices"

	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// server is a member in a configuration.
type server struct {
	name  string
	voter bool
}

// entry is one of the log. At most one of transaction, servers and backup is set; none: a leader's first entry.
type entry struct {
	term        uint64
	write       int // number of a write, as its writer counts them; 0: it is none
	transaction *document.Transaction
	servers     []server
	backup      []byte
	tokenFloor  uint64 // of a backup
	membersAt   int    // the entry that has the members as of this one, counted from 1
}

// directory is what a member's data directory holds.
type directory struct {
	storeID            string
	permanentExclusion string
	term               uint64
	votedFor           string
	log                []entry
	peers              map[string]quorum.Progress // of the others
}

func newDirectory() directory { return directory{peers: map[string]quorum.Progress{}} }

func (d *directory) copy() directory {
	c := *d
	c.log, c.peers = slices.Clone(d.log), maps.Clone(d.peers)
	return c
}

func (d *directory) progress() quorum.Progress {
	p := quorum.Progress{Term: d.term, Index: uint64(len(d.log))}
	if len(d.log) > 0 {
		p.EntryTerm = d.log[len(d.log)-1].term
	}
	return p
}

// append appends an entry.
func (d *directory) append(e entry) {
	e.membersAt = len(d.log) + 1
	if e.servers == nil {
		e.membersAt = d.log[len(d.log)-1].membersAt
	}
	d.log = append(d.log, e)
}

// replaceLog makes the log equal to a leader's. Logs that agree on one entry agree on all before it (the raft paper, 5.3).
func (d *directory) replaceLog(log []entry) {
	if n := len(d.log); n > 0 && n <= len(log) && log[n-1].term == d.log[n-1].term {
		d.log = append(d.log, log[n:]...)
		return
	}
	d.log = slices.Clone(log)
}

// servers returns the members as the log has them, and the entry that says so.
func (d *directory) servers() ([]server, int) {
	if len(d.log) == 0 {
		return nil, 0
	}
	at := d.log[len(d.log)-1].membersAt
	return d.log[at-1].servers, at
}

func (d *directory) voters() (n int) {
	servers, _ := d.servers()
	for _, s := range servers {
		if s.voter {
			n++
		}
	}
	return n
}

// noteProgress notes how far another member has answered for.
func (d *directory) noteProgress(name string, p quorum.Progress) {
	d.peers[name] = d.peers[name].Max(p)
}

// forgetRemoved drops what is remembered of those that are no members any more.
func (d *directory) forgetRemoved() {
	servers, _ := d.servers()
	for name := range d.peers {
		if !slices.ContainsFunc(servers, func(s server) bool { return s.name == name }) {
			delete(d.peers, name)
		}
	}
}
