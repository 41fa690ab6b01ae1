package emulator

import "slices"

// requestReader simulates how a node reads and parses requests. Reading a request costs work on the machine and occupies
// one core at most. Further requests wait unread in order of arrival, where the server's policy can't reorder or reject
// them.
type requestReader struct {
	host           *host
	costPerRequest float64 // in seconds of a core of speed 1
	cores          int
	reading        int
	unread         []*Attempt // includes the attempts being read, which come first
}

// enqueue reads an attempt, at once or after those before it, and then passes it to read.
func (r *requestReader) enqueue(a *Attempt, read func(*Attempt)) {
	if r.costPerRequest == 0 {
		read(a)
		return
	}
	r.unread = append(r.unread, a)
	r.startReading(read)
}

// startReading starts reading attempts while fewer than one for each core are being read.
func (r *requestReader) startReading(read func(*Attempt)) {
	for r.reading < min(r.cores, len(r.unread)) {
		a := r.unread[r.reading]
		r.reading++
		r.host.machine.Add(r.costPerRequest, func() {
			r.reading--
			at := slices.Index(r.unread, a)
			r.unread = slices.Delete(r.unread, at, at+1)
			read(a)
			r.startReading(read)
		})
	}
}
