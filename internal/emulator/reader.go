package emulator

import "slices"

// requestReader is a node's reading and parsing of requests. Each costs work on the machine, on one core at a time; the
// others wait unread, in order of arrival, where the server's policy can't choose among them.
type requestReader struct {
	host           *host
	costPerRequest float64 // in seconds of a core of speed 1
	cores          int
	reading        int
	unread         []*Attempt // with those being read, which are first
}

// enqueue reads an attempt, now or when its turn comes, and then passes it to read.
func (r *requestReader) enqueue(a *Attempt, read func(*Attempt)) {
	if r.costPerRequest == 0 {
		read(a)
		return
	}
	r.unread = append(r.unread, a)
	r.startReading(read)
}

// startReading starts to read while there are idle cores and unread attempts.
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
