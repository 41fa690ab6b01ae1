package plan

import "time"

// How long a group commit waits for more writers before the group is written.
//
// While one group is flushed, the previous one is indexed and its writers are notified. Without a wait the writers therefore
// split into two halves that alternate, and each flush has half of the possible records. Waiting until all active writers have
// queued a batch again puts all of them into one flush. That is worthwhile while the wait is shorter than a flush, as it is on
// slow disks.
//
//	target    = writers at the last flush: those in its group and those that queued during the flush
//	remaining = min(longest wait allowed, mean flush time) - time waited so far; 0 once target batches are queued
//
// Each wait that ends before the target is reached doubles the number of groups that are then written without a wait.

const (
	meanFlushWeight = 8   // the latest flush has a weight of 1/meanFlushWeight in the moving mean
	maxWaitBackoff  = 256 // maximum number of groups written without a wait after a wait that missed its target
)

// GroupCommit tracks the active writers and the flush times. Its zero value is ready to use.
type GroupCommit struct {
	activeWriters     int
	meanFlush         time.Duration // moving mean of the time to write and flush a group
	groupsWithoutWait int           // remaining groups to write without a wait
	waitBackoff       int           // groups written without a wait after the last wait; 0 if that reached its target
}

// RecordFlush records that a group of the given number of writers was written and flushed in the given time, and how many
// others queued meanwhile.
func (g *GroupCommit) RecordFlush(writers, queued int, took time.Duration) {
	g.activeWriters = writers + queued
	g.meanFlush += (took - g.meanFlush) / meanFlushWeight
	if g.groupsWithoutWait > 0 {
		g.groupsWithoutWait--
	}
}

// RecordWait records whether a wait reached its target.
func (g *GroupCommit) RecordWait(reachedTarget bool) {
	if reachedTarget {
		g.waitBackoff = 0
		return
	}
	g.waitBackoff = min(max(2*g.waitBackoff, 1), maxWaitBackoff)
	g.groupsWithoutWait = g.waitBackoff
}

// TargetSize returns the number of queued batches that ends the wait. maxBatches is the maximum size of a group.
func (g *GroupCommit) TargetSize(maxBatches int) int {
	if g.groupsWithoutWait > 0 {
		return 1
	}
	return max(1, min(g.activeWriters, maxBatches))
}

// RemainingWait returns how much longer to wait, given the number of queued batches and the time waited so far. maxWait is the
// maximum total wait.
func (g *GroupCommit) RemainingWait(queued, maxBatches int, waited, maxWait time.Duration) time.Duration {
	if queued >= g.TargetSize(maxBatches) {
		return 0
	}
	return max(0, min(maxWait, g.meanFlush)-waited)
}
