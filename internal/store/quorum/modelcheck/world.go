package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// member is one process with its data directory.
type member struct {
	name string
	directory
	olderCopy       *directory // an older copy of the data directory; nil: none
	running         bool
	participating   bool
	joining         bool
	exclusionReason string

	leading      bool
	stepsLed     int
	commitIndex  int
	lastContact  map[string]time.Duration // on a leader: time of the last answer of each other member
	acknowledged map[string]int           // on a leader: number of entries that each other member has
}

// link is a pair of members, in alphabetical order.
type link struct{ a, b string }

func linkOf(a, b string) link { return link{min(a, b), max(a, b)} }

// world is the state of a simulation and what its checks need.
type world struct {
	rng         *rand.Rand
	now         time.Duration
	mutant      string
	members     []*member
	partitioned map[link]bool
	faultFree   bool // no faults are injected any more

	initialVoters      int               // number of voters in the settings
	leaders            map[uint64]string // leader of each term
	committed          []entry
	state              *document.State // state after the committed entries
	highestToken       uint64          // highest token granted so far
	revision           uint64
	backup             []byte
	writes             int // number of writes proposed
	acknowledgedWrites int
	events             map[string]int
	violation          string // first violation; empty: none
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

// exchange decides whether a request from one member to another arrives, and whether its response does.
func (w *world) exchange(from, to *member) (request, response bool) {
	if !to.running || !w.reaches(from.name, to.name) {
		return false, false
	}
	if w.faultFree {
		return true, true
	}
	request = w.rng.IntN(12) > 0
	return request, request && w.rng.IntN(12) > 0
}
