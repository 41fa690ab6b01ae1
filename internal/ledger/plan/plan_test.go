package plan

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestChooseSegments(t *testing.T) {
	options := Options{GarbageThreshold: 0.4, SegmentBytes: 1000, MaxSmallSegments: 2, MaxCompactionBytes: 3000}
	for _, c := range []struct {
		name string
		segs []Segment
		want string
	}{
		{"no segments", nil, "[]"},
		{"garbage below the threshold", []Segment{{Number: 1, TotalBytes: 1000, DeadBytes: 300, MinSequence: 1, MaxSequence: 9}}, "[]"},
		{"most garbage first, segment without garbage not chosen", []Segment{{Number: 1, TotalBytes: 1000, DeadBytes: 900, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 1000, DeadBytes: 0, MinSequence: 10, MaxSequence: 19}, {Number: 3, TotalBytes: 1000, DeadBytes: 700, MinSequence: 20, MaxSequence: 29}}, "[1 3]"},
		{"limited by MaxCompactionBytes", []Segment{{Number: 1, TotalBytes: 2000, DeadBytes: 1500, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 2000, DeadBytes: 1400, MinSequence: 10, MaxSequence: 19}}, "[1]"},
		{"tombstones kept because of the oldest segment: it is added", []Segment{{Number: 1, TotalBytes: 1000, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 1000, TombstoneBytes: 1000, MinSequence: 10, MaxSequence: 19}, {Number: 3, TotalBytes: 200, TombstoneBytes: 100, MinSequence: 20, MaxSequence: 29}}, "[1 2 3]"},
		{"too little reclaimable even with the older segments", []Segment{{Number: 1, TotalBytes: 9000, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 100, TombstoneBytes: 100, MinSequence: 10, MaxSequence: 19}}, "[]"},
		{"more than MaxSmallSegments small segments", []Segment{{Number: 1, TotalBytes: 100, MinSequence: 1, MaxSequence: 1}, {Number: 2, TotalBytes: 100, MinSequence: 2, MaxSequence: 2},
			{Number: 3, TotalBytes: 124, MinSequence: 3, MaxSequence: 3}, {Number: 4, TotalBytes: 125, MinSequence: 4, MaxSequence: 4}}, "[1 2 3]"},
		{"no more than MaxSmallSegments small segments", []Segment{{Number: 1, TotalBytes: 100, MinSequence: 1, MaxSequence: 1}, {Number: 2, TotalBytes: 100, MinSequence: 2, MaxSequence: 2}}, "[]"},
	} {
		if got := fmt.Sprint(ChooseSegments(c.segs, options)); got != c.want {
			t.Errorf("%s: chose %s, want %s", c.name, got, c.want)
		}
	}
}

func TestDecideRecord(t *testing.T) {
	const mark, oldest = 100, 50
	for _, c := range []struct {
		name                string
		put                 bool
		seq                 uint64
		indexed, superseded bool
		expiry              int64
		want                RecordAction
	}{
		{"current", true, 60, true, false, 0, KeepRecord},
		{"current, expires later", true, 60, true, false, 101, KeepRecord},
		{"expires at the clock mark, older records outside", true, 60, true, false, 100, WriteTombstone},
		{"expired and removed from the index, older records outside", true, 60, false, false, 99, WriteTombstone},
		{"expired, no older records outside", true, 49, true, false, 99, DropRecord},
		{"replaced", true, 60, false, true, 0, DropRecord},
		{"replaced and expired", true, 60, false, true, 99, DropRecord},
		{"deleted later", true, 60, false, false, 0, DropRecord},
		{"deletion, older records outside", false, 60, false, false, 0, WriteTombstone},
		{"deletion, no older records outside", false, 49, false, false, 0, DropRecord},
		{"deletion, key put again later", false, 60, false, true, 0, DropRecord},
	} {
		if got := DecideRecord(Record{c.put, c.seq, c.indexed, c.superseded, c.expiry}, mark, oldest); got != c.want {
			t.Errorf("%s: action %v, want %v", c.name, got, c.want)
		}
	}
	if got := MinSequenceOutside([]Segment{{Number: 1, MinSequence: 5}, {Number: 2}}, []uint64{1}); got != math.MaxUint64 {
		t.Errorf("MinSequenceOutside without records outside = %d, want the maximum uint64", got)
	}
}

func TestGroupCommitWaitsForActiveWriters(t *testing.T) {
	var g GroupCommit
	if g.RemainingWait(1, 100, 0, time.Second) != 0 {
		t.Error("RemainingWait before the first flush is not 0")
	}
	for range 50 {
		g.RecordFlush(3, 61, 4*time.Millisecond)
	}
	for _, c := range []struct {
		queued     int
		waited     time.Duration
		maxBatches int
		want       bool
	}{{1, 0, 100, true}, {63, time.Millisecond, 100, true}, {64, 0, 100, false}, {1, 4 * time.Millisecond, 100, false}, {10, 0, 10, false}} {
		if got := g.RemainingWait(c.queued, c.maxBatches, c.waited, time.Second) > 0; got != c.want {
			t.Errorf("%+v: waits: %v", c, got)
		}
	}
	if w := g.RemainingWait(1, 100, 0, time.Millisecond); w != time.Millisecond {
		t.Errorf("RemainingWait = %v, want the maximum wait of 1ms", w)
	}
	waits := 0 // waits that miss their target, which must become rarer
	for range 1000 {
		if g.RemainingWait(1, 100, 0, time.Second) > 0 {
			waits++
			g.RecordWait(false)
		}
		g.RecordFlush(32, 32, time.Millisecond)
	}
	if waits > 12 {
		t.Errorf("%d waits missed their target in 1,000 groups, want at most 12", waits)
	}
	g = GroupCommit{activeWriters: 64, meanFlush: time.Second}
	for range 10 {
		if g.RemainingWait(63, 100, 0, time.Second) == 0 {
			t.Error("no wait although every wait reaches its target")
		}
		g.RecordWait(true)
	}
}

// TestCompactionPauseAndWriteStall checks that compactions pause while they keep up with the garbage, and that writers stall
// when they do not.
func TestCompactionPauseAndWriteStall(t *testing.T) {
	r := Options{GarbageThreshold: 0.4, SegmentBytes: 100, MaxPause: 10 * time.Millisecond}
	for _, c := range []struct {
		dead         int64
		garbage      float64
		pause, stall time.Duration
	}{
		{1000, 0.2, 10 * time.Millisecond, 0},
		{1000, 0.45, 5 * time.Millisecond, 0},
		{1000, 0.6, 0, 0}, // no stall: 5/4 of the threshold is already at fullStallGarbage
	} {
		if pause, stall := CompactionPause(c.garbage, r), WriteStall(c.dead, c.garbage, r); pause.Round(time.Millisecond) != c.pause || stall != c.stall {
			t.Errorf("garbage share %v: pause %v, stall %v, want %v and %v", c.garbage, pause, stall, c.pause, c.stall)
		}
	}
	r.GarbageThreshold = 0.32
	for _, c := range []struct {
		dead    int64
		garbage float64
		stall   time.Duration
	}{{1000, 0.4, 0}, {1000, 0.45, 25 * time.Millisecond}, {1000, 0.9, 50 * time.Millisecond}, {199, 0.9, 0}} {
		if stall := WriteStall(c.dead, c.garbage, r); stall.Round(time.Millisecond) != c.stall {
			t.Errorf("%d garbage bytes, garbage share %v: stall %v, want %v", c.dead, c.garbage, stall, c.stall)
		}
	}
}
