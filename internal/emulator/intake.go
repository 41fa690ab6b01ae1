package emulator

import (
	"slices"
	"time"
)

// intake is a node's reading of requests: each costs work, one a core at a time; the others stand in line unread, where
// nobody can choose among them.
type intake struct {
	host    *host
	work    float64 // of reading one
	cores   int
	reading int
	line    []*Try // that came and have not been read, those being read first
}

// take reads a try, now or as its turn comes, and hands it on.
func (in *intake) take(t *Try, read func(*Try)) {
	if in.work == 0 {
		read(t)
		return
	}
	in.line = append(in.line, t)
	in.next(read)
}

func (in *intake) next(read func(*Try)) {
	for in.reading < min(in.cores, len(in.line)) {
		t := in.line[in.reading]
		in.reading++
		in.host.machine.Add(in.work, func() {
			in.reading--
			at := slices.Index(in.line, t)
			in.line = slices.Delete(in.line, at, at+1)
			read(t)
			in.next(read)
		})
	}
}

// meanWork is the mean work of a request, in seconds of a core of speed 1.
func (w *World) meanWork() float64 {
	work, share := 0.0, 0.0
	for _, c := range w.Classes {
		work += c.Share * c.Work.Mean
		share += c.Share
	}
	return work / share
}

// keepAway has a balancer that heeds advice send a node nothing for as long as it advised.
func (b *balancer) keepAway(at int, until time.Time) {
	if b.obeys && until.After(b.away[at]) {
		b.away[at] = until
	}
}

// willing says whether a balancer may send to a node now.
func (b *balancer) willing(at int, now time.Time) bool { return !now.Before(b.away[at]) }
