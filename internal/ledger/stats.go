package ledger

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// Stats are a store's statistics at one moment. Totals count from Open on. Sizes are in bytes.
type Stats struct {
	Keys        int       `json:"keys"`
	Index       int64     `json:"index_bytes"` // memory of the index, as counted against the limit
	IndexLimit  int64     `json:"index_limit_bytes"`
	Segments    int       `json:"segments"`
	Cold        int       `json:"cold_segments"`
	Disk        int64     `json:"disk_bytes"`
	Records     int64     `json:"record_bytes"`  // uncompressed
	Garbage     int64     `json:"garbage_bytes"` // of them, superseded and expired records and deletions
	Mark        time.Time `json:"mark"`          // the store's clock
	Puts        uint64    `json:"puts"`
	Deletes     uint64    `json:"deletes"`
	Batches     uint64    `json:"batches"`
	Groups      uint64    `json:"groups"`
	Flushes     uint64    `json:"flushes"`
	Asked       int64     `json:"asked_bytes"`     // of records in acknowledged batches
	Written     int64     `json:"written_bytes"`   // to the log
	Packed      int64     `json:"compacted_bytes"` // written by compactions
	Compactions uint64    `json:"compactions"`
	Broken      string    `json:"broken,omitempty"`
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.counts
	t := Stats{Keys: s.index.Len(), Index: s.indexBytes, IndexLimit: s.opts.Limits.IndexBytes, Mark: fromMillis(s.clockMark), Puts: c.puts,
		Deletes: c.deletes, Batches: c.batches, Groups: c.groups, Flushes: c.flushes, Asked: c.requestedBytes, Written: c.writtenBytes,
		Packed: c.compactedBytes, Compactions: c.compactions}
	all := s.sealed
	if s.active != nil {
		all = append(all[:len(all):len(all)], s.active)
	}
	for _, g := range all {
		t.Segments++
		if g.cold {
			t.Cold++
		}
		t.Disk += g.size
		t.Records += g.totalBytes
		t.Garbage += g.deadBytes + g.tombstoneBytes
	}
	if s.broken != nil {
		t.Broken = s.broken.Error()
	}
	return t
}

// WriteAmplification is how many bytes were written for each byte of records; 0 before the first write.
func (t Stats) WriteAmplification() float64 {
	if t.Asked == 0 {
		return 0
	}
	return float64(t.Written+t.Packed) / float64(t.Asked)
}

// SpaceAmplification is how many bytes are on disk for each byte of current records; 0 without any.
func (t Stats) SpaceAmplification() float64 {
	if t.Records <= t.Garbage {
		return 0
	}
	return float64(t.Disk) / float64(t.Records-t.Garbage)
}

// String returns a table for people.
func (t Stats) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	mib := func(n int64) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }
	mark := "none"
	if !t.Mark.IsZero() {
		mark = t.Mark.UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(w, "keys\t%d\t%s of memory, at most %s\n", t.Keys, mib(t.Index), mib(t.IndexLimit))
	fmt.Fprintf(w, "segments\t%d\t%d of them cold\n", t.Segments, t.Cold)
	fmt.Fprintf(w, "on disk\t%s\t%.2f for each byte that counts\n", mib(t.Disk), t.SpaceAmplification())
	fmt.Fprintf(w, "records\t%s\t%s of them garbage\n", mib(t.Records), mib(t.Garbage))
	fmt.Fprintf(w, "written\t%s\t%s by compactions; %.2f for each byte asked for\n", mib(t.Written+t.Packed), mib(t.Packed), t.WriteAmplification())
	fmt.Fprintf(w, "writes\t%d puts, %d deletes\t%d batches in %d groups, %d flushes, %d compactions\n", t.Puts, t.Deletes, t.Batches, t.Groups, t.Flushes, t.Compactions)
	fmt.Fprintf(w, "clock\t%s\t\n", mark)
	if t.Broken != "" {
		fmt.Fprintf(w, "takes no writes\t%s\t\n", t.Broken)
	}
	_ = w.Flush() // a strings.Builder takes every write
	return b.String()
}
