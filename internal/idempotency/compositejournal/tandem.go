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
	shared node.SharedJournal
	logger *lograte.Logger

	mu             sync.Mutex
	log            node.Journal              // nil until Attach
	backlog        map[string]node.RunRecord // what the record has yet to be told, by key
	startsInFlight map[string]bool           // starts on their way to it from there, of which nothing more was told
}

// New returns a journal without a record.
func New(shared node.SharedJournal, logEvery time.Duration, log *slog.Logger) *Journal {
	return &Journal{shared: shared, logger: lograte.New(log, logEvery), backlog: map[string]node.RunRecord{}, startsInFlight: map[string]bool{}}
}

// AttachLog has the record written as of now, first of all with what it has missed.
func (j *Journal) AttachLog(record node.Journal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.log = record
	j.writeBacklog()
}

// RetryBacklog tells the record once more what it could not take; it is to be called now and then.
func (j *Journal) RetryBacklog() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writeBacklog()
}

// Backlog is how many bookings the record has yet to be told of.
func (j *Journal) Backlog() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.backlog)
}

// writeBacklog tells the record what it has missed; the caller holds mu.
func (j *Journal) writeBacklog() {
	if j.log == nil {
		return
	}
	for key, b := range j.backlog {
		if b.Ended {
			j.log.RecordEnd(b) // it is tried again there
			delete(j.backlog, key)
			continue
		}
		j.startsInFlight[key] = true
		if err := j.log.RecordStart(b, func(err error) { j.startReturned(b, err) }); err != nil {
			delete(j.startsInFlight, key)
			j.logger.Warn("a booking that began during a hand-over is not on record yet", err)
			return // too much waits there: the rest has its turn later
		}
		delete(j.backlog, key)
	}
}

// startReturned is told how a start went that the record had missed. One that it did not take is told again, unless more was
// told of its key since.
func (j *Journal) startReturned(b node.RunRecord, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.startsInFlight[b.Key] {
		j.logger.Warn("a booking that began during a hand-over is not on record yet", err)
		j.backlog[b.Key] = b
	}
	delete(j.startsInFlight, b.Key)
}

// RecordStart claims b's key among the processes and then makes its start durable; done hears of the first that fails.
func (j *Journal) RecordStart(b node.RunRecord, done func(error)) error {
	return j.shared.RecordStart(b, func(err error) {
		if err != nil {
			done(err)
			return
		}
		j.mu.Lock()
		if j.log == nil {
			j.backlog[b.Key] = b
			j.mu.Unlock()
			done(nil)
			return
		}
		record := j.log
		j.mu.Unlock()
		if err := record.RecordStart(b, done); err != nil {
			done(err)
		}
	})
}

// RecordEnd tells both that the run is over.
func (j *Journal) RecordEnd(b node.RunRecord) {
	j.shared.RecordEnd(b)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.log == nil {
		j.backlog[b.Key] = b
		return
	}
	j.forget(b.Key) // its start need not be told any more
	j.log.RecordEnd(b)
}

// Withdraw takes a Began back from both.
func (j *Journal) Withdraw(b node.RunRecord) {
	j.shared.Withdraw(b)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forget(b.Key)
	if j.log != nil {
		j.log.Withdraw(b)
	}
}

// forget drops what the record has yet to be told of a key; the caller holds mu.
func (j *Journal) forget(key string) {
	delete(j.backlog, key)
	delete(j.startsInFlight, key)
}

// Lookup is what another process told of b's key.
func (j *Journal) Lookup(b node.RunRecord) (node.RunRecord, bool) { return j.shared.Lookup(b) }

// NotifyOnChange calls done when Find may have more to say.
func (j *Journal) NotifyOnChange(b node.RunRecord, done func()) { j.shared.NotifyOnChange(b, done) }

// ShouldRestore says whether the core is to be told of a booking on record: not of one whose run another process has in
// hand, or has told the result of.
func (j *Journal) ShouldRestore(b node.RunRecord) bool {
	held, found := j.shared.Lookup(b)
	return !found || held.Ended && !held.Succeeded
}
