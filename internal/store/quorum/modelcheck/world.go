package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// member is one process and its data directory.
type member struct {
	name string
	directory
	olderCopy       *directory // of the data directory
	running         bool
	participating   bool
	joining         bool
	exclusionReason string

	leading      bool
	stepsLed     int
	commitIndex  int
	lastContact  map[string]time.Duration // of a leader: the others' last answers
	acknowledged map[string]int           // of a leader: the entries that the others have
}

// link is a pair of members, in order.
type link struct{ a, b string }

func linkOf(a, b string) link { return link{min(a, b), max(a, b)} }

// world is the members and what must hold of them.
type world struct {
	rng         *rand.Rand
	now         time.Duration
	mutant      string
	members     []*member
	partitioned map[link]bool
	calm        bool // no faults any more

	initialVoters      int               // as the settings list them
	leaders            map[uint64]string // by term
	committed          []entry
	state              *document.State // after the committed entries
	highestToken       uint64          // granted so far
	revision           uint64
	backup             []byte
	writes             int // that were proposed
	acknowledgedWrites int
	events             map[string]int
	violation          string // of what must hold; empty: none
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v ", w.now) + fmt.Sprintf(format, args...)
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

func (w *world) instant() lease.Instant { return lease.Instant(w.now) }

func (w *world) reaches(a, b string) bool { return a == b || !w.partitioned[linkOf(a, b)] }

// exchange says whether a request arrives, and whether its response does.
func (w *world) exchange(from, to *member) (request, response bool) {
	if !to.running || !w.reaches(from.name, to.name) {
		return false, false
	}
	if w.calm {
		return true, true
	}
	request = w.rng.IntN(12) > 0
	return request, request && w.rng.IntN(12) > 0
}
