package plan

import "time"

// How compactions and writers are throttled, where g is the share of garbage in all record bytes and T is GarbageThreshold.
//
//	compaction pause = MaxPause * (1 - clamp((g - T) / (T/4), 0, 1))
//	write stall      = 5 * MaxPause * min(1, (g - 5T/4) / (1/2 - 5T/4)), 0 while g <= 5T/4
//
// While the share of garbage is at the threshold, a compaction pauses between its flushes to leave the disk to the writers. From
// a quarter above the threshold on, the compaction does not pause and the writers stall, so that they cannot produce garbage
// faster than it is reclaimed.

const (
	// fullStallGarbage is the share of garbage from which on the stall is longest. At this share the segments take twice the
	// space of the live records.
	fullStallGarbage = 0.5
	// maxStallPauses is the longest stall as a multiple of Options.MaxPause.
	maxStallPauses = 5
	// minStallSegments is the least amount of garbage, in full segments, at which writers stall.
	minStallSegments = 2
)

// CompactionPause returns how long a compaction pauses after each of its flushes.
func CompactionPause(garbageShare float64, o Options) time.Duration {
	excess := (garbageShare - o.GarbageThreshold) / (o.GarbageThreshold / 4)
	return time.Duration(float64(o.MaxPause) * min(1, max(0, 1-excess)))
}

// WriteStall returns how long the writing goroutine pauses after each group while a compaction is running.
func WriteStall(garbageBytes int64, garbageShare float64, o Options) time.Duration {
	start := o.GarbageThreshold * 5 / 4
	if garbageBytes < minStallSegments*o.SegmentBytes || garbageShare <= start || start >= fullStallGarbage {
		return 0
	}
	return time.Duration(float64(maxStallPauses*o.MaxPause) * min(1, (garbageShare-start)/(fullStallGarbage-start)))
}
