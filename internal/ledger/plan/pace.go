package plan

import "time"

// How compactions and writers pace each other, by g, the share of garbage in all record bytes, and T, GarbageThreshold.
//
//	compaction's pause = MaxPause * (1 - clamp((g - T) / (T/4), 0, 1))
//	writers' stall     = 5 * MaxPause * min(1, (g - 5T/4) / (1/2 - 5T/4)), 0 while g <= 5T/4
//
// While garbage is at its threshold a compaction yields the disk to the writers; a quarter above it does not pause, and
// writers begin to stall so that they can't outrun it.

const (
	// fullStallGarbage is the share of garbage at which writers stall longest: the disk then holds twice the live bytes.
	fullStallGarbage = 0.5
	// maxStallPauses is the longest stall in units of Options.MaxPause.
	maxStallPauses = 5
	// minStallSegments is how many full segments of garbage there must be before writers stall.
	minStallSegments = 2
)

// CompactionPause is how long a compaction pauses after each of its flushes.
func CompactionPause(garbageShare float64, o Options) time.Duration {
	excess := (garbageShare - o.GarbageThreshold) / (o.GarbageThreshold / 4)
	return time.Duration(float64(o.MaxPause) * min(1, max(0, 1-excess)))
}

// WriteStall is how long the writer pauses after a group while a compaction is running.
func WriteStall(garbageBytes int64, garbageShare float64, o Options) time.Duration {
	start := o.GarbageThreshold * 5 / 4
	if garbageBytes < minStallSegments*o.SegmentBytes || garbageShare <= start || start >= fullStallGarbage {
		return 0
	}
	return time.Duration(float64(maxStallPauses*o.MaxPause) * min(1, (garbageShare-start)/(fullStallGarbage-start)))
}
