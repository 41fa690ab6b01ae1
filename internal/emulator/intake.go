package emulator

import (
	"slices"
	"time"
)

// requestReader is a node's reading of requests: each costs work, one a core at a time; the others stand in line unread, where
// nobody can choose among them.
type requestReader struct {
	host           *host
	costPerRequest float64 // of reading one
	cores          int
	reading        int
	unread         []*Attempt // that came and have not been read, those being read first
}

// enqueue reads a try, now or as its turn comes, and hands it on.
func (in *requestReader) enqueue(t *Attempt, read func(*Attempt)) {
	if in.costPerRequest == 0 {
		read(t)
		return
	}
	in.unread = append(in.unread, t)
	in.startReading(read)
}

func (in *requestReader) startReading(read func(*Attempt)) {
	for in.reading < min(in.cores, len(in.unread)) {
		t := in.unread[in.reading]
		in.reading++
		in.host.machine.Add(in.costPerRequest, func() {
			in.reading--
			at := slices.Index(in.unread, t)
			in.unread = slices.Delete(in.unread, at, at+1)
			read(t)
			in.startReading(read)
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

// avoid has a balancer that heeds advice send a node nothing for as long as it advised.
func (b *balancer) avoid(at int, until time.Time) {
	if b.honorsRetryAfter && until.After(b.avoidUntil[at]) {
		b.avoidUntil[at] = until
	}
}

// mayUse says whether a balancer may send to a node now.
func (b *balancer) mayUse(at int, now time.Time) bool { return !now.Before(b.avoidUntil[at]) }
