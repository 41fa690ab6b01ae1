package plan

import (
	"cmp"
	"slices"
)

// Which segments to compact.
//
// Inputs: of each sealed segment the bytes of its records, of those that are garbage, and of its tombstones; Options.
//
//	garbage share = sum(dead + tombstones) / sum(total)
//
// Above GarbageThreshold the segments with the greatest garbage share of their own are chosen first, up to
// MaxCompactionBytes (greedy by garbage: Rosenblum and Ousterhout, "The Design and Implementation of a Log-Structured File
// System", 1992). Where their tombstones are held back by older segments, those join. Otherwise small segments are merged.
//
// Each compaction reclaims at least 1/minReclaimedFraction of what it reads, or leaves fewer small segments, so compactions
// can't go on for ever.

const (
	minReclaimedFraction = 4 // a compaction must reclaim one byte of so many that it reads
	smallSegmentFraction = 8 // a segment is small below this fraction of a full one
)

// Segment describes a sealed segment.
type Segment struct {
	Number         uint64
	TotalBytes     int64  // of its records, uncompressed
	DeadBytes      int64  // of records that were replaced or deleted
	MinSequence    uint64 // the lowest sequence number in it
	MaxSequence    uint64 // and the highest
	TombstoneBytes int64  // of deletions and expired records, which can go only when nothing older is left elsewhere
}

func (s Segment) garbageShare() float64 {
	return float64(s.DeadBytes+s.TombstoneBytes) / float64(max(s.TotalBytes, 1))
}

// ChooseSegments returns the numbers of the segments to compact now in ascending order, none if no compaction is due.
func ChooseSegments(segments []Segment, o Options) []uint64 {
	var total, garbage int64
	for _, s := range segments {
		total += s.TotalBytes
		garbage += s.DeadBytes + s.TombstoneBytes
	}
	if total > 0 && float64(garbage) > o.GarbageThreshold*float64(total) {
		if chosen := chooseByGarbage(segments, o); len(chosen) > 0 {
			return chosen
		}
	}
	return chooseSmall(segments, o)
}

func chooseByGarbage(segments []Segment, o Options) []uint64 {
	order := slices.Clone(segments)
	slices.SortFunc(order, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(b.garbageShare(), a.garbageShare()), cmp.Compare(a.Number, b.Number))
	})
	var chosen []Segment
	var read int64
	for _, s := range order {
		if len(chosen) > 0 && (read+s.TotalBytes > o.MaxCompactionBytes || s.garbageShare() < o.GarbageThreshold/2) {
			break
		}
		chosen = append(chosen, s)
		read += s.TotalBytes
	}
	if reclaimableBytes(chosen, segments)*minReclaimedFraction >= read {
		return segmentNumbers(chosen)
	}
	chosen, read = withOlder(chosen, segments)
	if reclaimableBytes(chosen, segments)*minReclaimedFraction >= read {
		return segmentNumbers(chosen)
	}
	return nil
}

// withOlder returns all segments with a record as old as the newest of the chosen ones, and their bytes: tombstones that
// older segments hold back can go together with them.
func withOlder(chosen, all []Segment) (older []Segment, bytes int64) {
	var newest uint64
	for _, s := range chosen {
		newest = max(newest, s.MaxSequence)
	}
	for _, s := range all {
		if s.MinSequence <= newest {
			older = append(older, s)
			bytes += s.TotalBytes
		}
	}
	return older, bytes
}

// reclaimableBytes is how many uncompressed bytes a compaction of the chosen segments gets rid of for certain.
func reclaimableBytes(chosen, all []Segment) (bytes int64) {
	oldest := MinSequenceOutside(all, segmentNumbers(chosen))
	for _, s := range chosen {
		bytes += s.DeadBytes
		if s.MaxSequence < oldest { // else some of its tombstones may have to stay
			bytes += s.TombstoneBytes
		}
	}
	return bytes
}

// chooseSmall merges small segments, such as many restarts of a process leave behind.
func chooseSmall(segments []Segment, o Options) []uint64 {
	var chosen []Segment
	var read int64
	for _, s := range segments {
		if s.TotalBytes < o.SegmentBytes/smallSegmentFraction && read+s.TotalBytes <= o.MaxCompactionBytes {
			chosen = append(chosen, s)
			read += s.TotalBytes
		}
	}
	if len(chosen) <= o.MaxSmallSegments {
		return nil
	}
	return segmentNumbers(chosen)
}

func segmentNumbers(segments []Segment) (numbers []uint64) {
	for _, s := range segments {
		numbers = append(numbers, s.Number)
	}
	slices.Sort(numbers)
	return numbers
}

// MinSequenceOutside is the lowest sequence number in the segments that are not chosen; the highest possible where there is
// none.
func MinSequenceOutside(all []Segment, chosen []uint64) uint64 {
	oldest := ^uint64(0)
	for _, s := range all {
		if !slices.Contains(chosen, s.Number) && s.MinSequence > 0 {
			oldest = min(oldest, s.MinSequence)
		}
	}
	return oldest
}
