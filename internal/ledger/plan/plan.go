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
	Raw    int64  // bytes of its records, unpacked
	Dead   int64  // of them, those that no longer count: replaced, deleted, expired
	Least  uint64 // the lowest sequence number in it
	High   uint64 // and the highest
	Tombs  int64  // of the rest, bytes of deletions and expired records, which go only when nothing older is left elsewhere
}

// Rules are the bounds of a choice.
type Rules struct {
	Garbage float64       // share of dead bytes in all segments above which a compaction is due
	Segment int64         // bytes of a full segment
	Small   int           // how many segments under an eighth of that are left alone
	Most    int64         // raw bytes that one compaction reads
	Rest    time.Duration // the longest pause of a compaction between two of its flushes
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

// What becomes of a record.
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

// Rest is how long a compaction pauses after a flush of its own. With the garbage at its trigger it takes its time, for the
// writers' sake; a quarter above that it does not pause at all, or else the writers would outrun it.
func Rest(garbage float64, r Rules) time.Duration {
	over := (garbage - r.Garbage) / (r.Garbage / 4)
	return time.Duration(float64(r.Rest) * min(1, max(0, 1-over)))
}

// most is the share of garbage at which writers are held back in full: what is on disk is then twice what counts.
const most = 0.5

// Stall is how long the writer pauses after a group while a compaction is under way, so that it can't be outrun: nothing until the garbage
// is a quarter above its trigger and worth two segments, then rising to five times the longest rest at a half of all bytes.
func Stall(dead int64, garbage float64, r Rules) time.Duration {
	from := r.Garbage * 5 / 4
	if dead < 2*r.Segment || garbage <= from || from >= most {
		return 0
	}
	return time.Duration(float64(5*r.Rest) * min(1, (garbage-from)/(most-from)))
}

// Group decides whether and how long the writer waits for more writers before it writes a group. A group is put in the index
// and its writers told while the next one is flushed, so without a wait two halves of the writers take turns: n/2 records a flush.
// A wait gives n records in a flush and the time in which writers come back, which pays where that is the shorter of the two:
// on slow disks. Its zero value is ready.
type Group struct {
	seen  int           // writers at work, as seen last
	flush time.Duration // moving mean of what a group took to write and flush
	skip  int           // groups left to write without a wait
	next  int           // of them, after the next wait in vain
}

// Flushed tells that a group of so many writers was written and flushed in the given time while so many others queued up.
func (g *Group) Flushed(writers, queued int, took time.Duration) {
	g.seen = writers + queued
	g.flush += (took - g.flush) / 8
	if g.skip > 0 {
		g.skip--
	}
}

// Waited tells whether a wait brought all writers together. Each one in vain doubles the groups until the next.
func (g *Group) Waited(full bool) {
	if full {
		g.next = 0
		return
	}
	g.next = min(max(2*g.next, 1), 256)
	g.skip = g.next
}

// Full is how many queued writers are worth no further wait.
func (g *Group) Full(most int) int {
	if g.skip > 0 {
		return 1
	}
	return max(1, min(g.seen, most))
}

// Wait is how much longer to wait for writers that come back from the last flush: nothing once all that were seen are
// here, and never more in all than a flush takes, or than the longest wait allowed.
func (g *Group) Wait(queued, most int, waited, longest time.Duration) time.Duration {
	if queued >= g.Full(most) {
		return 0
	}
	return max(0, min(longest, g.flush)-waited)
}
