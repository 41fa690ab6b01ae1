package keystore

import "sloehitch/internal/idempotency/keystore/keystate"

// peers is what a Store knows about the node's other processes. It is guarded by the Store's mu.
type peers struct {
	table      *keystate.Table // keys of the other processes
	processes  map[string]int  // numbers of the processes, by name
	dead       map[int]bool    // processes that have exited, by number
	segments   map[int]*segment
	knownPaths map[string]bool // paths of their segments, including expired ones whose files still exist
	lastNumber int             // last number given to a process or segment
}

func newPeers() peers {
	return peers{
		table:      keystate.New(),
		processes:  map[string]int{},
		dead:       map[int]bool{},
		segments:   map[int]*segment{},
		knownPaths: map[string]bool{},
	}
}

// registerProcess gives another process a number if it has none.
func (p *peers) registerProcess(name string) {
	if _, known := p.processes[name]; !known {
		p.lastNumber++
		p.processes[name] = p.lastNumber
	}
}

// superseded reports whether the owner of a segment has created a later one.
func (p *peers) superseded(seg *segment) bool {
	for _, other := range p.segments {
		if other.owner == seg.owner && other.order > seg.order {
			return true
		}
	}
	return false
}
