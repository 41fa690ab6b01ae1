package plan

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestChooseSegments(t *testing.T) {
	rules := Options{GarbageThreshold: 0.4, SegmentBytes: 1000, MaxSmallSegments: 2, MaxCompactionBytes: 3000}
	for _, c := range []struct {
		name string
		segs []Segment
		want string
	}{
		{"nothing", nil, "[]"},
		{"little garbage", []Segment{{Number: 1, TotalBytes: 1000, DeadBytes: 300, MinSequence: 1, MaxSequence: 9}}, "[]"},
		{"the worst first, the clean one left", []Segment{{Number: 1, TotalBytes: 1000, DeadBytes: 900, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 1000, DeadBytes: 0, MinSequence: 10, MaxSequence: 19}, {Number: 3, TotalBytes: 1000, DeadBytes: 700, MinSequence: 20, MaxSequence: 29}}, "[1 3]"},
		{"no more than one may read", []Segment{{Number: 1, TotalBytes: 2000, DeadBytes: 1500, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 2000, DeadBytes: 1400, MinSequence: 10, MaxSequence: 19}}, "[1]"},
		{"deletions that the oldest holds back take it along", []Segment{{Number: 1, TotalBytes: 1000, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 1000, TombstoneBytes: 1000, MinSequence: 10, MaxSequence: 19}, {Number: 3, TotalBytes: 200, TombstoneBytes: 100, MinSequence: 20, MaxSequence: 29}}, "[1 2 3]"},
		{"deletions that can't go soon enough", []Segment{{Number: 1, TotalBytes: 9000, MinSequence: 1, MaxSequence: 9},
			{Number: 2, TotalBytes: 100, TombstoneBytes: 100, MinSequence: 10, MaxSequence: 19}}, "[]"},
		{"many small ones", []Segment{{Number: 1, TotalBytes: 100, MinSequence: 1, MaxSequence: 1}, {Number: 2, TotalBytes: 100, MinSequence: 2, MaxSequence: 2},
			{Number: 3, TotalBytes: 124, MinSequence: 3, MaxSequence: 3}, {Number: 4, TotalBytes: 125, MinSequence: 4, MaxSequence: 4}}, "[1 2 3]"},
		{"few small ones", []Segment{{Number: 1, TotalBytes: 100, MinSequence: 1, MaxSequence: 1}, {Number: 2, TotalBytes: 100, MinSequence: 2, MaxSequence: 2}}, "[]"},
	} {
		if got := fmt.Sprint(ChooseSegments(c.segs, rules)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
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
		{"counts", true, 60, true, false, 0, KeepRecord},
		{"counts for a while", true, 60, true, false, 101, KeepRecord},
		{"just expired, older ones elsewhere", true, 60, true, false, 100, WriteTombstone},
		{"expired and swept, older ones elsewhere", true, 60, false, false, 99, WriteTombstone},
		{"expired, nothing older", true, 49, true, false, 99, DropRecord},
		{"replaced", true, 60, false, true, 0, DropRecord},
		{"replaced and expired", true, 60, false, true, 99, DropRecord},
		{"deleted since", true, 60, false, false, 0, DropRecord},
		{"a deletion, older ones elsewhere", false, 60, false, false, 0, WriteTombstone},
		{"a deletion, nothing older", false, 49, false, false, 0, DropRecord},
		{"a deletion, put again", false, 60, false, true, 0, DropRecord},
	} {
		if got := DecideRecord(Record{c.put, c.seq, c.indexed, c.superseded, c.expiry}, mark, oldest); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := MinSequenceOutside([]Segment{{Number: 1, MinSequence: 5}, {Number: 2}}, []uint64{1}); got != math.MaxUint64 {
		t.Errorf("Oldest without records elsewhere: %d", got)
	}
}

func TestGroupCommit(t *testing.T) {
	var g GroupCommit
	if g.RemainingWait(1, 100, 0, time.Second) != 0 {
		t.Error("the first writer waits")
	}
	for range 50 {
		g.RecordFlush(3, 61, 4*time.Millisecond)
	}
	for _, c := range []struct {
		queued int
		waited time.Duration
		most   int
		want   bool
	}{{1, 0, 100, true}, {63, time.Millisecond, 100, true}, {64, 0, 100, false}, {1, 4 * time.Millisecond, 100, false}, {10, 0, 10, false}} {
		if got := g.RemainingWait(c.queued, c.most, c.waited, time.Second) > 0; got != c.want {
			t.Errorf("%+v: waits %v", c, got)
		}
	}
	if w := g.RemainingWait(1, 100, 0, time.Millisecond); w != time.Millisecond {
		t.Errorf("waits %v beyond the longest wait", w)
	}
	waits := 0 // in vain: ever fewer
	for range 1000 {
		if g.RemainingWait(1, 100, 0, time.Second) > 0 {
			waits++
			g.RecordWait(false)
		}
		g.RecordFlush(32, 32, time.Millisecond)
	}
	if waits > 12 {
		t.Errorf("%d waits in vain in 1,000 groups", waits)
	}
	g = GroupCommit{activeWriters: 64, meanFlush: time.Second}
	for range 10 {
		if g.RemainingWait(63, 100, 0, time.Second) == 0 {
			t.Error("no wait though it pays")
		}
		g.RecordWait(true)
	}
}

// TestPace checks that compactions yield to writers while they keep up, and writers to them when they don't.
func TestPace(t *testing.T) {
	r := Options{GarbageThreshold: 0.4, SegmentBytes: 100, MaxPause: 10 * time.Millisecond}
	for _, c := range []struct {
		dead        int64
		garbage     float64
		rest, stall time.Duration
	}{
		{1000, 0.2, 10 * time.Millisecond, 0},
		{1000, 0.45, 5 * time.Millisecond, 0},
		{1000, 0.6, 0, 0}, // the trigger leaves no room for a stall
	} {
		if rest, stall := CompactionPause(c.garbage, r), WriteStall(c.dead, c.garbage, r); rest.Round(time.Millisecond) != c.rest || stall != c.stall {
			t.Errorf("at %v: rest %v, stall %v, want %v and %v", c.garbage, rest, stall, c.rest, c.stall)
		}
	}
	r.GarbageThreshold = 0.32
	for _, c := range []struct {
		dead    int64
		garbage float64
		stall   time.Duration
	}{{1000, 0.4, 0}, {1000, 0.45, 25 * time.Millisecond}, {1000, 0.9, 50 * time.Millisecond}, {199, 0.9, 0}} {
		if stall := WriteStall(c.dead, c.garbage, r); stall.Round(time.Millisecond) != c.stall {
			t.Errorf("%d dead, %v of all: stall %v, want %v", c.dead, c.garbage, stall, c.stall)
		}
	}
}
