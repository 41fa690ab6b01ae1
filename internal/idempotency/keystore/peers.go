package keystore

import "sloehitch/internal/idempotency/keystore/keystate"

// peers is what a Store knows of the node's other processes. The Store's mu guards it.
type peers struct {
	table      *keystate.Table // their keys
	processes  map[string]int  // their numbers, by name
	dead       map[int]bool    // which of them have exited, by number
	segments   map[int]*segment
	knownPaths map[string]bool // of their segments, expired ones included while their files exist
	lastNumber int             // given to a process or segment
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

// registerProcess gives another process a number.
func (p *peers) registerProcess(name string) {
	if _, known := p.processes[name]; !known {
		p.lastNumber++
		p.processes[name] = p.lastNumber
	}
}

// superseded reports whether the owner of a segment has begun a later one.
func (p *peers) superseded(seg *segment) bool {
	for _, other := range p.segments {
		if other.owner == seg.owner && other.order > seg.order {
			return true
		}
	}
	return false
}
