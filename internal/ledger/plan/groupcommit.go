package plan

import "time"

// How long a group commit waits for more writers before it is written.
//
// A group is put in the index and its writers notified while the next one is flushed, so without a wait two halves of the
// writers take turns, with half of the possible records in a flush. A wait until all active writers are back gets all
// of them into one flush, and pays while it is shorter than a flush: on slow disks.
//
//	target    = the writers at the last flush, those in its group and those that queued up meanwhile
//	remaining = min(longest wait allowed, mean flush time) - time waited so far, 0 once target are queued
//
// Each wait that does not bring the target together doubles the number of groups that are written without one.

const (
	meanFlushWeight = 8   // the newest flush counts for one part in so many of the moving mean
	maxWaitBackoff  = 256 // groups written without a wait, at most
)

// GroupCommit tracks the writers and the flushes. Its zero value is ready.
type GroupCommit struct {
	activeWriters     int
	meanFlush         time.Duration // moving mean of what a group took to write and flush
	groupsWithoutWait int           // groups left to write without a wait
	waitBackoff       int           // groups skipped after the last wait, 0 if it reached its target
}

// RecordFlush notes that a group of so many writers was written and flushed in the given time while so many others queued up.
func (g *GroupCommit) RecordFlush(writers, queued int, took time.Duration) {
	g.activeWriters = writers + queued
	g.meanFlush += (took - g.meanFlush) / meanFlushWeight
	if g.groupsWithoutWait > 0 {
		g.groupsWithoutWait--
	}
}

// RecordWait notes whether a wait brought the target together.
func (g *GroupCommit) RecordWait(reachedTarget bool) {
	if reachedTarget {
		g.waitBackoff = 0
		return
	}
	g.waitBackoff = min(max(2*g.waitBackoff, 1), maxWaitBackoff)
	g.groupsWithoutWait = g.waitBackoff
}

// TargetSize is how many queued batches end the wait; maxBatches bounds a group.
func (g *GroupCommit) TargetSize(maxBatches int) int {
	if g.groupsWithoutWait > 0 {
		return 1
	}
	return max(1, min(g.activeWriters, maxBatches))
}

// RemainingWait is how much longer to wait with so many batches queued. maxWait bounds the whole wait.
func (g *GroupCommit) RemainingWait(queued, maxBatches int, waited, maxWait time.Duration) time.Duration {
	if queued >= g.TargetSize(maxBatches) {
		return 0
	}
	return max(0, min(maxWait, g.meanFlush)-waited)
}
