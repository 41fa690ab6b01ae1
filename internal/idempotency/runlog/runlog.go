// Package runlog is the log of the keyed requests that were started and of their results, on a ledger, so that it
// outlives the process and the machine's power. The Node writes it as its journal, and is restored from it at the
// start.
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

// Log records runs on a ledger. It is a node.Journal. Its methods may be called from any goroutine and, but for
// ForEach, wait for no disk.
//
// Of the writes under one key only the newest is ever repeated: an older one, say a withdrawal, that was written
// again behind a newer start would have that start forgotten, and its key run twice.
type Log struct {
	store           *ledger.Store
	retentionMargin time.Duration
	log             *lograte.Logger

	mu           sync.Mutex
	newestWrite  map[string]*ledger.Batch // by key, until it is durable or has failed
	failedWrites map[string]*ledger.Batch // by key, for RetryFailed
}

// New returns a Log on an open ledger. A record is kept for its window and retentionMargin, by the ledger's clock.
// logEvery is the time between two lines of the log on one kind of fault.
func New(store *ledger.Store, retentionMargin, logEvery time.Duration, log *slog.Logger) *Log {
	return &Log{
		store:           store,
		retentionMargin: retentionMargin,
		log:             lograte.New(log, logEvery),
		newestWrite:     map[string]*ledger.Batch{},
		failedWrites:    map[string]*ledger.Batch{},
	}
}

// RecordStart makes the start of a run durable and calls done when it is, or has failed. If RecordStart returns an
// error, done is not called and nothing was written.
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

// RecordEnd records the end of a run. Nobody waits for it: without it the log says that the run was started, which
// keeps it from running again as well.
func (l *Log) RecordEnd(record node.RunRecord) {
	batch, err := l.encode(record, bookingpb.Booking_STAGE_ENDED)
	if err != nil {
		l.log.Warn("end of a run was not recorded", err)
		return
	}
	l.write(record.Key, batch)
}

// Withdraw removes the record of a run of which nothing was started. It comes after what was written of its key
// before, whether or not that is durable yet.
func (l *Log) Withdraw(record node.RunRecord) {
	batch := &ledger.Batch{}
	batch.Delete([]byte(keyPrefix + record.Key))
	l.write(record.Key, batch)
}

// RetryFailed writes once more what could not be written. The host calls it now and then.
func (l *Log) RetryFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, batch := range maps.Clone(l.failedWrites) {
		l.submitUnawaited(key, batch)
	}
}

// submit hands a write to the ledger as the newest of its key, and drops any that failed before. The caller holds mu.
func (l *Log) submit(key string, batch *ledger.Batch, done func(error)) error {
	delete(l.failedWrites, key)
	l.newestWrite[key] = batch
	err := l.store.ApplyAsync(batch, done)
	if err != nil {
		delete(l.newestWrite, key)
	}
	return err
}

// write submits a write that nobody waits for.
func (l *Log) write(key string, batch *ledger.Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitUnawaited(key, batch)
}

// submitUnawaited submits a write that nobody waits for. The caller holds mu.
func (l *Log) submitUnawaited(key string, batch *ledger.Batch) {
	if err := l.submit(key, batch, func(err error) { l.writeReturned(key, batch, err) }); err != nil {
		l.keepForRetry(key, batch, err)
	}
}

// writeReturned takes in how a write went that nobody waits for.
func (l *Log) writeReturned(key string, batch *ledger.Batch, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writeCompleted(key, batch) && err != nil {
		l.keepForRetry(key, batch, err)
	}
}

// writeCompleted notes that a write is durable or has failed, and reports whether it was the newest of its key. The
// caller holds mu.
func (l *Log) writeCompleted(key string, batch *ledger.Batch) (newest bool) {
	if newest = l.newestWrite[key] == batch; newest {
		delete(l.newestWrite, key)
	}
	return newest
}

// keepForRetry keeps a failed write for RetryFailed if it may succeed then. The caller holds mu.
func (l *Log) keepForRetry(key string, batch *ledger.Batch, err error) {
	l.log.Warn("run record was not written", err)
	if errors.Is(err, ledger.ErrBusy) || errors.Is(err, ledger.ErrNotWritten) {
		l.failedWrites[key] = batch
	}
}
