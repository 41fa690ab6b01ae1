// Package compositejournal combines two journals into the Node's journal: a durable run log, which only one process
// at a time may write (package runlog), and the keys shared by the processes of the node while one replaces another
// (package keystore).
//
// A start first claims its key among the processes and is then made durable. While the process that is being
// replaced still has the run log, the new process keeps its records in a backlog, which is written once the run log
// is attached. Until then, they survive a crash of the process through the shared keys, but not a failure of the
// machine.
package compositejournal

import (
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/lograte"
)

// Journal is a node.SharedJournal that writes to both journals. It is safe for concurrent use, and its methods do not wait
// for the disk.
type Journal struct {
	shared node.SharedJournal
	logger *lograte.Logger

	mu             sync.Mutex
	log            node.Journal              // nil until AttachLog
	backlog        map[string]node.RunRecord // records not yet written to log, by key
	startsInFlight map[string]bool           // keys of backlog starts being written that no newer record has superseded
}

// New returns a journal without a run log. logEvery is the minimum time between two log lines about the same kind of
// error.
func New(shared node.SharedJournal, logEvery time.Duration, logger *slog.Logger) *Journal {
	return &Journal{
		shared:         shared,
		logger:         lograte.New(logger, logEvery),
		backlog:        map[string]node.RunRecord{},
		startsInFlight: map[string]bool{},
	}
}

// AttachLog starts to write to the run log, beginning with the backlog.
func (j *Journal) AttachLog(log node.Journal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.log = log
	j.writeBacklog()
}

// RetryBacklog repeats writing the records that the run log did not accept. The daemon calls it periodically.
func (j *Journal) RetryBacklog() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writeBacklog()
}

// Backlog returns the number of records not yet written to the run log.
func (j *Journal) Backlog() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.backlog)
}

// writeBacklog passes the backlog to the run log. The caller holds mu.
func (j *Journal) writeBacklog() {
	if j.log == nil {
		return
	}
	for key, record := range j.backlog {
		if record.Ended {
			j.log.RecordEnd(record) // the log retries it by itself
			delete(j.backlog, key)
			continue
		}
		j.startsInFlight[key] = true
		if err := j.log.RecordStart(record, func(err error) { j.startReturned(record, err) }); err != nil {
			delete(j.startsInFlight, key)
			j.logger.Warn("start of a run during a hand-over not yet written to the run log", err)
			return // the log's queue is full: the rest is retried later
		}
		delete(j.backlog, key)
	}
}

// startReturned handles the result of writing a start from the backlog. A failed start is put back into the backlog,
// unless there is a newer record of its key.
func (j *Journal) startReturned(record node.RunRecord, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && j.startsInFlight[record.Key] {
		j.logger.Warn("start of a run during a hand-over not yet written to the run log", err)
		j.backlog[record.Key] = record
	}
	delete(j.startsInFlight, record.Key)
}

// RecordStart claims record's key among the processes and then makes the start durable. done is called with the
// first error.
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

// RecordEnd records the end of a run in both journals.
func (j *Journal) RecordEnd(record node.RunRecord) {
	j.shared.RecordEnd(record)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.log == nil {
		j.backlog[record.Key] = record
		return
	}
	j.forget(record.Key) // the start no longer needs to be written
	j.log.RecordEnd(record)
}

// Withdraw withdraws a start from both journals.
func (j *Journal) Withdraw(record node.RunRecord) {
	j.shared.Withdraw(record)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forget(record.Key)
	if j.log != nil {
		j.log.Withdraw(record)
	}
}

// forget removes a key from backlog and startsInFlight. The caller holds mu.
func (j *Journal) forget(key string) {
	delete(j.backlog, key)
	delete(j.startsInFlight, key)
}

// Lookup returns what another process has recorded for record's key.
func (j *Journal) Lookup(record node.RunRecord) (node.RunRecord, bool) {
	return j.shared.Lookup(record)
}

// NotifyOnChange calls done once when Lookup may report more.
func (j *Journal) NotifyOnChange(record node.RunRecord, done func()) {
	j.shared.NotifyOnChange(record, done)
}

// ShouldRestore reports whether the Node should restore a record from the run log. It should not if another process
// runs the key or has recorded its result.
func (j *Journal) ShouldRestore(record node.RunRecord) bool {
	held, found := j.shared.Lookup(record)
	return !found || held.Ended && !held.Succeeded
}
