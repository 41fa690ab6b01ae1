// Package compositejournal is the core's journal where a node has both a record that outlives the machine, which one process at
// a time may write, and keys shared by the processes of the node while one replaces another: one path for both.
//
// A start is told to the other processes first and then made durable. While the process that leaves still has the
// record, the new one's starts are kept here and written as soon as it lets go: until then they outlive the process,
// not the machine.
package compositejournal

import (
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/lograte"
)

// Journal is a node.Sharer over both. Its methods may be called from any goroutine and wait for no disk.
type Journal struct {
	shared node.Sharer
	log    *lograte.Logger

	mu     sync.Mutex
	record node.Journal            // nil until Attach
	late   map[string]node.Booking // what the record has yet to be told, by key
	flying map[string]bool         // starts on their way to it from there, of which nothing more was told
}

// New returns a journal without a record.
func New(shared node.Sharer, logEvery time.Duration, log *slog.Logger) *Journal {
	return &Journal{shared: shared, log: lograte.New(log, logEvery), late: map[string]node.Booking{}, flying: map[string]bool{}}
}

// Attach has the record written as of now, first of all with what it has missed.
func (j *Journal) Attach(record node.Journal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record = record
	j.catchUp()
}

// Retry tells the record once more what it could not take; it is to be called now and then.
func (j *Journal) Retry() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.catchUp()
}

// Late is how many bookings the record has yet to be told of.
func (j *Journal) Late() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.late)
}

// catchUp tells the record what it has missed; the caller holds mu.
func (j *Journal) catchUp() {
	if j.record == nil {
		return
	}
	for key, b := range j.late {
		if b.Ended {
			j.record.Ended(b) // it is tried again there
			delete(j.late, key)
			continue
		}
		j.flying[key] = true
		if err := j.record.Began(b, func(err error) { j.landed(b, err) }); err != nil {
			delete(j.flying, key)
			j.log.Warn("a booking that began during a hand-over is not on record yet", err)
			return // too much waits there: the rest has its turn later
		}
		delete(j.late, key)
	}
}

// landed is told how a start went that the record had missed. One that it did not take is told again, unless more was
// told of its key since.
func (j *Journal) landed(b node.Booking, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.flying[b.Key] {
		j.log.Warn("a booking that began during a hand-over is not on record yet", err)
		j.late[b.Key] = b
	}
	delete(j.flying, b.Key)
}

// Began claims b's key among the processes and then makes its start durable; done hears of the first that fails.
func (j *Journal) Began(b node.Booking, done func(error)) error {
	return j.shared.Began(b, func(err error) {
		if err != nil {
			done(err)
			return
		}
		j.mu.Lock()
		if j.record == nil {
			j.late[b.Key] = b
			j.mu.Unlock()
			done(nil)
			return
		}
		record := j.record
		j.mu.Unlock()
		if err := record.Began(b, done); err != nil {
			done(err)
		}
	})
}

// Ended tells both that the run is over.
func (j *Journal) Ended(b node.Booking) {
	j.shared.Ended(b)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.record == nil {
		j.late[b.Key] = b
		return
	}
	j.forget(b.Key) // its start need not be told any more
	j.record.Ended(b)
}

// Withdraw takes a Began back from both.
func (j *Journal) Withdraw(b node.Booking) {
	j.shared.Withdraw(b)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forget(b.Key)
	if j.record != nil {
		j.record.Withdraw(b)
	}
}

// forget drops what the record has yet to be told of a key; the caller holds mu.
func (j *Journal) forget(key string) {
	delete(j.late, key)
	delete(j.flying, key)
}

// Find is what another process told of b's key.
func (j *Journal) Find(b node.Booking) (node.Booking, bool) { return j.shared.Find(b) }

// Await calls done when Find may have more to say.
func (j *Journal) Await(b node.Booking, done func()) { j.shared.Await(b, done) }

// Restore says whether the core is to be told of a booking on record: not of one whose run another process has in
// hand, or has told the result of.
func (j *Journal) Restore(b node.Booking) bool {
	held, found := j.shared.Find(b)
	return !found || held.Ended && !held.Served
}
