package plan

import (
	"cmp"
	"slices"
)

// Which segments to compact.
//
// Inputs: for each sealed segment the bytes of all its records, of its dead records and of its tombstones; Options.
//
//	garbage share = sum(dead + tombstones) / sum(total)
//
// Above GarbageThreshold the segments with the largest garbage share are chosen first, up to MaxCompactionBytes (greedy
// selection: Rosenblum and Ousterhout, "The Design and Implementation of a Log-Structured File System", 1992). If too little
// can be reclaimed because older segments require their tombstones to be kept, those older segments are added. If no such
// choice reclaims enough, or the garbage is below the threshold, small segments are merged.
//
// Each compaction reclaims at least 1/minReclaimedFraction of the bytes that it reads, or reduces the number of small segments,
// so repeated compactions terminate.

const (
	minReclaimedFraction = 4 // a compaction must reclaim at least 1/minReclaimedFraction of the bytes that it reads
	smallSegmentFraction = 8 // a segment is small if it is below 1/smallSegmentFraction of a full one
)

// Segment describes a sealed segment.
type Segment struct {
	Number         uint64
	TotalBytes     int64  // uncompressed bytes of all its records
	DeadBytes      int64  // bytes of records that were replaced or deleted
	MinSequence    uint64 // the lowest sequence number in it
	MaxSequence    uint64 // the highest sequence number in it
	TombstoneBytes int64  // bytes of deletions and expired records, which can be dropped only if no other segment has older records
}

func (s Segment) garbageShare() float64 {
	return float64(s.DeadBytes+s.TombstoneBytes) / float64(max(s.TotalBytes, 1))
}

// ChooseSegments returns the numbers of the segments to compact now, in ascending order. It returns none if no compaction is
// due.
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

// withOlder returns all segments with a record that is no newer than the newest record of the chosen ones, and their bytes.
// Compacting them together makes it possible to drop the tombstones that are kept because of the older segments.
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

// reclaimableBytes returns the least number of uncompressed bytes that a compaction of the chosen segments reclaims.
func reclaimableBytes(chosen, all []Segment) (bytes int64) {
	minSequenceOutside := MinSequenceOutside(all, segmentNumbers(chosen))
	for _, s := range chosen {
		bytes += s.DeadBytes
		if s.MaxSequence < minSequenceOutside { // otherwise some of its tombstones may have to be kept
			bytes += s.TombstoneBytes
		}
	}
	return bytes
}

// chooseSmall returns the small segments if there are more than Options.MaxSmallSegments. Each restart of a process may leave
// one.
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

// MinSequenceOutside returns the lowest sequence number in the segments that are not chosen, or the maximum uint64 if they
// have no records.
func MinSequenceOutside(all []Segment, chosen []uint64) uint64 {
	lowest := ^uint64(0)
	for _, s := range all {
		if !slices.Contains(chosen, s.Number) && s.MinSequence > 0 {
			lowest = min(lowest, s.MinSequence)
		}
	}
	return lowest
}
