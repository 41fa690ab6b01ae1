// Package plan holds the ledger's choices: which segments to compact, which records a compaction may leave out, how long
// a group waits for more writers. It does no I/O and has no clock.
package plan

import (
	"cmp"
	"slices"
	"time"
)

// Segment is what is known of a sealed segment.
type Segment struct {
	Number uint64
	Bytes  int64  // on disk
	Raw    int64  // bytes of its records, unpacked
	Dead   int64  // of them, those that no longer count: replaced, deleted, expired
	Least  uint64 // the lowest sequence number in it
	High   uint64 // and the highest
	Tombs  int64  // of the rest, bytes of deletions and expired records, which go only when nothing older is left elsewhere
}

// Rules are the bounds of a choice.
type Rules struct {
	Garbage float64 // share of dead bytes in all segments above which a compaction is due
	Segment int64   // bytes of a full segment
	Small   int     // how many segments under an eighth of that are left alone
	Most    int64   // raw bytes that one compaction reads
}

// Choose returns the segments to compact now, none if nothing is worth it. Those with the greatest share of dead bytes
// come first (greedy by garbage, as in Rosenblum and Ousterhout's log-structured file system, 1992), and the oldest one joins
// where that lets deletions go. A choice always gets rid of a quarter of what it reads or halves the number of
// small segments, so that compactions can't go on for ever.
func Choose(segments []Segment, r Rules) []uint64 {
	var raw, dead int64
	for _, s := range segments {
		raw += s.Raw
		dead += s.Dead + s.Tombs
	}
	if raw > 0 && float64(dead) > r.Garbage*float64(raw) {
		if c := byGarbage(segments, r); len(c) > 0 {
			return c
		}
	}
	return small(segments, r)
}

func byGarbage(segments []Segment, r Rules) []uint64 {
	order := slices.Clone(segments)
	share := func(s Segment) float64 { return float64(s.Dead+s.Tombs) / float64(max(s.Raw, 1)) }
	slices.SortFunc(order, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(share(b), share(a)), cmp.Compare(a.Number, b.Number))
	})
	var chosen []Segment
	var read int64
	for _, s := range order {
		if len(chosen) > 0 && (read+s.Raw > r.Most || share(s) < r.Garbage/2) {
			break
		}
		chosen = append(chosen, s)
		read += s.Raw
	}
	if gain(chosen, segments)*4 >= read {
		return numbers(chosen)
	}
	// Mostly deletions that something older holds back: take the older ones along.
	var newest uint64
	for _, s := range chosen {
		newest = max(newest, s.High)
	}
	chosen, read = nil, 0
	for _, s := range segments {
		if s.Least <= newest {
			chosen = append(chosen, s)
			read += s.Raw
		}
	}
	if gain(chosen, segments)*4 >= read {
		return numbers(chosen)
	}
	return nil
}

// gain is how many raw bytes a compaction of the chosen ones gets rid of.
func gain(chosen, all []Segment) (n int64) {
	oldest := Oldest(all, numbers(chosen))
	for _, s := range chosen {
		n += s.Dead
		if s.High < oldest { // else some of its deletions may have to stay
			n += s.Tombs
		}
	}
	return n
}

// small merges small segments, such as many short lives of a process leave behind.
func small(segments []Segment, r Rules) []uint64 {
	var few []Segment
	var read int64
	for _, s := range segments {
		if s.Raw < r.Segment/8 && read+s.Raw <= r.Most {
			few = append(few, s)
			read += s.Raw
		}
	}
	if len(few) <= r.Small {
		return nil
	}
	return numbers(few)
}

func numbers(segments []Segment) (n []uint64) {
	for _, s := range segments {
		n = append(n, s.Number)
	}
	slices.Sort(n)
	return n
}

// Oldest is the lowest sequence number in those segments that are not chosen; the highest possible where there is none.
func Oldest(all []Segment, chosen []uint64) uint64 {
	oldest := ^uint64(0)
	for _, s := range all {
		if !slices.Contains(chosen, s.Number) && s.Least > 0 {
			oldest = min(oldest, s.Least)
		}
	}
	return oldest
}

// Fate says what becomes of a record in a compaction.
type Fate int

const (
	Drop Fate = iota // nothing needs it
	Keep             // as it is
	Bury             // as a deletion: what it replaced may still stand elsewhere
)

// Judge decides about a record. newest says that the index holds this very record; other, that it holds a newer one of
// its key. Oldest is the lowest sequence number outside the compaction.
func Judge(put bool, seq uint64, newest, other bool, expiry, mark int64, oldest uint64) Fate {
	switch {
	case put && newest && (expiry == 0 || expiry > mark):
		return Keep
	case other || put && !newest && (expiry == 0 || expiry > mark):
		return Drop // the newer record, a put or a deletion, stands for the key
	case seq < oldest:
		return Drop
	}
	return Bury
}

// Group decides how long the writer waits for more writers before it writes a group. Its zero value is ready.
type Group struct {
	seen  int           // writers at work, as seen last
	flush time.Duration // moving mean of what a group took to write and flush
}

// Flushed tells that a group of so many writers was written and flushed in the given time while so many others queued up.
func (g *Group) Flushed(writers, queued int, took time.Duration) {
	g.seen = writers + queued
	g.flush += (took - g.flush) / 8
}

// Wait is how much longer to wait for writers that come back from the last flush. It is nothing once all that were seen are here,
// and never more in all than half a flush takes, or than the longest wait allowed: what a writer too few costs is at most
// one more flush.
func (g *Group) Wait(queued, most int, waited, longest time.Duration) time.Duration {
	if queued >= min(g.seen, most) {
		return 0
	}
	return max(0, min(longest, g.flush/2)-waited)
}
