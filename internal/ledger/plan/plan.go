// Package plan implements the ledger's policies: which segments to compact (segments.go), which records a compaction may drop
// (record.go), how compactions and writers are throttled (pace.go) and how long a group commit waits for more writers
// (groupcommit.go). It does no I/O and reads no clock. Its functions may be called from any goroutine. A GroupCommit must be
// used by one goroutine only.
package plan

import "time"

// Options are the parameters of the policies.
type Options struct {
	GarbageThreshold   float64       // share of garbage in all segments above which a compaction is due
	SegmentBytes       int64         // size of a full segment
	MaxSmallSegments   int           // largest number of small segments that are left unmerged
	MaxCompactionBytes int64         // most uncompressed bytes that one compaction reads
	MaxPause           time.Duration // longest pause of a compaction after a flush
}
