// Package compositejournal is the Node's journal where there are both a run log, which outlives the machine and which
// one process at a time may write (package runlog), and keys shared by the processes of the node while one replaces
// another (package keystore).
//
// A start claims its key among the processes first and is made durable then. While the process that is replaced still
// has the run log, the new one's records form a backlog here, which is written once the run log is attached: until
// then they outlive the process, not the machine.
package compositejournal

import (
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/lograte"
)

// Journal is a node.SharedJournal over both. Its methods may be called from any goroutine and wait for no disk.
type Journal struct {
	shared node.SharedJournal
	logger *lograte.Logger

	mu             sync.Mutex
	log            node.Journal              // nil until AttachLog
	backlog        map[string]node.RunRecord // records not yet written to log, by key
	startsInFlight map[string]bool           // keys of starts being written from the backlog, unless superseded
}

// New returns a journal without a run log. logEvery is the time between two lines of logger on one kind of fault.
func New(shared node.SharedJournal, logEvery time.Duration, logger *slog.Logger) *Journal {
	return &Journal{
		shared:         shared,
		logger:         lograte.New(logger, logEvery),
		backlog:        map[string]node.RunRecord{},
		startsInFlight: map[string]bool{},
	}
}

// AttachLog has the run log written from now on, first of all with the backlog.
func (j *Journal) AttachLog(log node.Journal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.log = log
	j.writeBacklog()
}

// RetryBacklog writes once more what the run log could not take. The host calls it now and then.
func (j *Journal) RetryBacklog() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writeBacklog()
}

// Backlog is the number of records not yet written to the run log.
func (j *Journal) Backlog() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.backlog)
}

// writeBacklog hands the backlog to the run log. The caller holds mu.
func (j *Journal) writeBacklog() {
	if j.log == nil {
		return
	}
	for key, record := range j.backlog {
		if record.Ended {
			j.log.RecordEnd(record) // the log repeats it by itself
			delete(j.backlog, key)
			continue
		}
		j.startsInFlight[key] = true
		if err := j.log.RecordStart(record, func(err error) { j.startReturned(record, err) }); err != nil {
			delete(j.startsInFlight, key)
			j.logger.Warn("start of a run during a hand-over is not on record yet", err)
			return // the log's queue is full: the rest has its turn later
		}
		delete(j.backlog, key)
	}
}

// startReturned takes in how the write of a start from the backlog went. One that failed is put back, unless
// something newer is known of its key.
func (j *Journal) startReturned(record node.RunRecord, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.startsInFlight[record.Key] {
		j.logger.Warn("start of a run during a hand-over is not on record yet", err)
		j.backlog[record.Key] = record
	}
	delete(j.startsInFlight, record.Key)
}

// RecordStart claims record's key among the processes and then makes the start durable; done is given the first error.
func (j *Journal) RecordStart(record node.RunRecord, done func(error)) error {
	return j.shared.RecordStart(record, func(err error) {
		if err != nil {
			done(err)
			return
		}
		j.mu.Lock()
		if j.log == nil {
			j.backlog[record.Key] = record
			j.mu.Unlock()
			done(nil)
			return
		}
		log := j.log
		j.mu.Unlock()
		if err := log.RecordStart(record, done); err != nil {
			done(err)
		}
	})
}

// RecordEnd tells both that the run has ended.
func (j *Journal) RecordEnd(record node.RunRecord) {
	j.shared.RecordEnd(record)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.log == nil {
		j.backlog[record.Key] = record
		return
	}
	j.forget(record.Key) // its start need not be written any more
	j.log.RecordEnd(record)
}

// Withdraw takes a start back from both.
func (j *Journal) Withdraw(record node.RunRecord) {
	j.shared.Withdraw(record)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forget(record.Key)
	if j.log != nil {
		j.log.Withdraw(record)
	}
}

// forget drops what is not yet written to the run log of a key. The caller holds mu.
func (j *Journal) forget(key string) {
	delete(j.backlog, key)
	delete(j.startsInFlight, key)
}

// Lookup returns what another process has recorded of record's key.
func (j *Journal) Lookup(record node.RunRecord) (node.RunRecord, bool) {
	return j.shared.Lookup(record)
}

// NotifyOnChange calls done once when Lookup may say more.
func (j *Journal) NotifyOnChange(record node.RunRecord, done func()) {
	j.shared.NotifyOnChange(record, done)
}

// ShouldRestore reports whether the Node is to restore a record of the run log: not if another process runs its
// key, or has recorded a result of it.
func (j *Journal) ShouldRestore(record node.RunRecord) bool {
	held, found := j.shared.Lookup(record)
	return !found || held.Ended && !held.Succeeded
}
