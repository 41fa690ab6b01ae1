package ledger

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Stats are the statistics of a store at one moment. Totals are counted since Open. Sizes are in bytes.
type Stats struct {
	Keys            int       `json:"keys"`
	IndexBytes      int64     `json:"index_bytes"` // memory used by the index, as counted against the limit
	IndexLimitBytes int64     `json:"index_limit_bytes"`
	Segments        int       `json:"segments"`
	ColdSegments    int       `json:"cold_segments"`
	DiskBytes       int64     `json:"disk_bytes"`
	RecordBytes     int64     `json:"record_bytes"`  // uncompressed
	GarbageBytes    int64     `json:"garbage_bytes"` // part of RecordBytes: superseded and expired records, and deletions
	Mark            time.Time `json:"mark"`          // the store's clock
	Puts            uint64    `json:"puts"`
	Deletes         uint64    `json:"deletes"`
	Batches         uint64    `json:"batches"`
	Groups          uint64    `json:"groups"`
	Flushes         uint64    `json:"flushes"`
	RequestedBytes  int64     `json:"asked_bytes"`     // bytes of the records in acknowledged batches
	WrittenBytes    int64     `json:"written_bytes"`   // bytes written to the log
	CompactedBytes  int64     `json:"compacted_bytes"` // bytes written by compactions
	Compactions     uint64    `json:"compactions"`
	Broken          string    `json:"broken,omitempty"`
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.counts
	t := Stats{Keys: s.index.Len(), IndexBytes: s.indexBytes, IndexLimitBytes: s.opts.Limits.IndexBytes, Mark: timeFromUnixMillis(s.clockMark), Puts: c.puts,
		Deletes: c.deletes, Batches: c.batches, Groups: c.groups, Flushes: c.flushes, RequestedBytes: c.requestedBytes, WrittenBytes: c.writtenBytes,
		CompactedBytes: c.compactedBytes, Compactions: c.compactions}
	all := s.sealed
	if s.active != nil {
		all = append(all[:len(all):len(all)], s.active)
	}
	for _, g := range all {
		t.Segments++
		if g.cold {
			t.ColdSegments++
		}
		t.DiskBytes += g.size
		t.RecordBytes += g.totalBytes
		t.GarbageBytes += g.deadBytes + g.tombstoneBytes
	}
	if s.broken != nil {
		t.Broken = s.broken.Error()
	}
	return t
}

// WriteAmplification returns the bytes written per byte of acknowledged records, or 0 before the first write.
func (t Stats) WriteAmplification() float64 {
	if t.RequestedBytes == 0 {
		return 0
	}
	return float64(t.WrittenBytes+t.CompactedBytes) / float64(t.RequestedBytes)
}

// SpaceAmplification returns the bytes on disk per byte of current records, or 0 if there are none.
func (t Stats) SpaceAmplification() float64 {
	if t.RecordBytes <= t.GarbageBytes {
		return 0
	}
	return float64(t.DiskBytes) / float64(t.RecordBytes-t.GarbageBytes)
}

// String returns the statistics as a human-readable table.
func (t Stats) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	mib := func(n int64) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }
	mark := "none"
	if !t.Mark.IsZero() {
		mark = t.Mark.UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(w, "keys\t%d\t%s of memory, limit %s\n", t.Keys, mib(t.IndexBytes), mib(t.IndexLimitBytes))
	fmt.Fprintf(w, "segments\t%d\t%d cold\n", t.Segments, t.ColdSegments)
	fmt.Fprintf(w, "on disk\t%s\t%.2f bytes per live byte\n", mib(t.DiskBytes), t.SpaceAmplification())
	fmt.Fprintf(w, "records\t%s\t%s garbage\n", mib(t.RecordBytes), mib(t.GarbageBytes))
	fmt.Fprintf(w, "written\t%s\t%s by compactions; %.2f bytes per requested byte\n", mib(t.WrittenBytes+t.CompactedBytes), mib(t.CompactedBytes), t.WriteAmplification())
	fmt.Fprintf(w, "writes\t%d puts, %d deletes\t%d batches in %d groups, %d flushes, %d compactions\n", t.Puts, t.Deletes, t.Batches, t.Groups, t.Flushes, t.Compactions)
	fmt.Fprintf(w, "clock\t%s\t\n", mark)
	if t.Broken != "" {
		fmt.Fprintf(w, "rejects writes\t%s\t\n", t.Broken)
	}
	_ = w.Flush() // writes to a strings.Builder do not fail
	return b.String()
}
