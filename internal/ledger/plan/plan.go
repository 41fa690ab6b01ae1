// Package plan holds the ledger's decisions: which segments to compact (segments.go), which records a compaction may leave
// out (record.go), how compactions and writers pace each other (pace.go) and how long a group commit waits for more writers
// (groupcommit.go). It does no I/O and has no clock. Its functions may be called from any goroutine; a GroupCommit belongs
// to one.
package plan

import "time"

// Options are the bounds of the decisions.
type Options struct {
	GarbageThreshold   float64       // share of dead bytes in all segments above which a compaction is due
	SegmentBytes       int64         // bytes of a full segment
	MaxSmallSegments   int           // how many small segments are left unmerged
	MaxCompactionBytes int64         // uncompressed bytes that one compaction reads
	MaxPause           time.Duration // the longest pause of a compaction between two of its flushes
}
