package modelcheck

import (
	"maps"
	"slices"

	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// server is a member as listed in a configuration.
type server struct {
	name  string
	voter bool
}

// entry is an entry of the log. At most one of transaction, servers and backup is set. None is set in the first entry
// of a leader.
type entry struct {
	term        uint64
	write       int // number of the write, counted from 1; 0: the entry is not a write
	transaction *document.Transaction
	servers     []server
	backup      []byte
	tokenFloor  uint64 // token floor of a backup
	membersAt   int    // number of the entry that lists the members as of this one, counted from 1
}

// directory is the content of a member's data directory.
type directory struct {
	storeID            string
	permanentExclusion string
	term               uint64
	votedFor           string
	log                []entry
	peers              map[string]quorum.Progress // progress of the other members
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

// append appends an entry to the log.
func (d *directory) append(e entry) {
	e.membersAt = len(d.log) + 1
	if e.servers == nil {
		e.membersAt = d.log[len(d.log)-1].membersAt
	}
	d.log = append(d.log, e)
}

// replaceLog makes the log equal to a leader's. Logs that agree on one entry agree on all entries before it (the raft
// paper, 5.3).
func (d *directory) replaceLog(log []entry) {
	if n := len(d.log); n > 0 && n <= len(log) && log[n-1].term == d.log[n-1].term {
		d.log = append(d.log, log[n:]...)
		return
	}
	d.log = slices.Clone(log)
}

// servers returns the members according to the log, and the number of the entry that lists them.
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

// noteProgress records the progress of another member.
func (d *directory) noteProgress(name string, p quorum.Progress) {
	d.peers[name] = d.peers[name].Max(p)
}

// forgetRemoved drops the recorded progress of removed members.
func (d *directory) forgetRemoved() {
	servers, _ := d.servers()
	for name := range d.peers {
		if !slices.ContainsFunc(servers, func(s server) bool { return s.name == name }) {
			delete(d.peers, name)
		}
	}
}
