// Package runlog is a durable log of the requests with idempotency keys that were started, and of their results. It
// is stored in a ledger and survives a crash of the process or a power cut. The Node writes it as its journal, and
// is restored from it at startup.
package runlog

import (
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"sloehitch/internal/idempotency/runlog/bookingpb"
	"sloehitch/internal/ledger"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/lograte"
)

// Log records runs in a ledger. It implements node.Journal. It is safe for concurrent use, and except for ForEach
// its methods do not wait for the disk.
//
// Of several writes under one key, only the newest is ever retried. If an older one, such as a withdrawal, were
// repeated after a newer start, that start would be lost, and its key could run twice.
type Log struct {
	store           *ledger.Store
	retentionMargin time.Duration
	log             *lograte.Logger

	mu           sync.Mutex
	newestWrite  map[string]*ledger.Batch // by key, until the write is durable or has failed
	failedWrites map[string]*ledger.Batch // by key, to be repeated by RetryFailed
}

// New returns a Log that writes to an open ledger. A record is kept for its window plus retentionMargin, by the
// ledger's clock. logEvery is the minimum time between two log lines about the same kind of error.
func New(store *ledger.Store, retentionMargin, logEvery time.Duration, log *slog.Logger) *Log {
	return &Log{
		store:           store,
		retentionMargin: retentionMargin,
		log:             lograte.New(log, logEvery),
		newestWrite:     map[string]*ledger.Batch{},
		failedWrites:    map[string]*ledger.Batch{},
	}
}

// RecordStart makes the start of a run durable, and calls done when it is durable or has failed. If RecordStart
// returns an error, nothing was written and done is not called.
func (l *Log) RecordStart(record node.RunRecord, done func(error)) error {
	batch, err := l.encode(record, bookingpb.Booking_STAGE_BEGAN)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.submit(record.Key, batch, func(err error) {
		l.mu.Lock()
		l.writeCompleted(record.Key, batch)
		l.mu.Unlock()
		done(err)
	})
}

// RecordEnd records the end of a run. Its caller does not wait for the write: if the end is missing, the log still
// contains the start, which also prevents the key from running again.
func (l *Log) RecordEnd(record node.RunRecord) {
	batch, err := l.encode(record, bookingpb.Booking_STAGE_ENDED)
	if err != nil {
		l.log.Warn("end of a run not recorded", err)
		return
	}
	l.write(record.Key, batch)
}

// Withdraw removes the record of a run that was not started after all. It takes effect after all earlier writes of
// its key, whether or not they are durable yet.
func (l *Log) Withdraw(record node.RunRecord) {
	batch := &ledger.Batch{}
	batch.Delete([]byte(keyPrefix + record.Key))
	l.write(record.Key, batch)
}

// RetryFailed repeats the writes that have failed. The daemon calls it periodically.
func (l *Log) RetryFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, batch := range maps.Clone(l.failedWrites) {
		l.submitUnawaited(key, batch)
	}
}

// submit passes a write to the ledger as the newest of its key, and drops an earlier failed one. The caller holds
// mu.
func (l *Log) submit(key string, batch *ledger.Batch, done func(error)) error {
	delete(l.failedWrites, key)
	l.newestWrite[key] = batch
	err := l.store.ApplyAsync(batch, done)
	if err != nil {
		delete(l.newestWrite, key)
	}
	return err
}

// write submits a write for which no caller waits.
func (l *Log) write(key string, batch *ledger.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitUnawaited(key, batch)
}

// submitUnawaited submits a write for which no caller waits. The caller holds mu.
func (l *Log) submitUnawaited(key string, batch *ledger.Batch) {
	if err := l.submit(key, batch, func(err error) { l.writeReturned(key, batch, err) }); err != nil {
		l.keepForRetry(key, batch, err)
	}
}

// writeReturned handles the result of a write for which no caller waits.
func (l *Log) writeReturned(key string, batch *ledger.Batch, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writeCompleted(key, batch) && err != nil {
		l.keepForRetry(key, batch, err)
	}
}

// writeCompleted records that a write is durable or has failed, and reports whether it was the newest of its key.
// The caller holds mu.
func (l *Log) writeCompleted(key string, batch *ledger.Batch) (newest bool) {
	if newest = l.newestWrite[key] == batch; newest {
		delete(l.newestWrite, key)
	}
	return newest
}

// keepForRetry keeps a failed write for RetryFailed if a retry may succeed. The caller holds mu.
func (l *Log) keepForRetry(key string, batch *ledger.Batch, err error) {
	l.log.Warn("run record not written", err)
	if errors.Is(err, ledger.ErrBusy) || errors.Is(err, ledger.ErrNotWritten) {
		l.failedWrites[key] = batch
	}
}
