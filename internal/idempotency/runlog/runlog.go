// Package runlog is the record of which keyed requests began to run, kept on a ledger so that it outlives the process. It
// writes for the core, which knows no file, and reads for the core's start.
package runlog

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sloehitch/internal/idempotency/runlog/bookingpb"
	"sloehitch/internal/ledger"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/lograte"
)

// keyPrefix keeps the record apart from what else is to live on the ledger.
const keyPrefix = "booking/"

// Log keeps bookings on a ledger. It is the core's node.Journal. Its methods may be called from any goroutine and wait for
// no disk, but for All.
type Log struct {
	store           *ledger.Store
	retentionMargin time.Duration
	log             *lograte.Logger

	mu           sync.Mutex
	newestWrite  map[string]*ledger.Batch // the newest write of a key, until it has come through or failed
	failedWrites map[string]*ledger.Batch // writes by key that found no room, to be tried once more
}

// New returns the record on an open ledger. A booking is kept for its window and spare, by the ledger's clock.
func New(store *ledger.Store, spare, logEvery time.Duration, log *slog.Logger) *Log {
	return &Log{store: store, retentionMargin: spare, log: lograte.New(log, logEvery), newestWrite: map[string]*ledger.Batch{}, failedWrites: map[string]*ledger.Batch{}}
}

// RecordStart makes it durable that a booking's run is about to be started; done is called once it is, or can't be. An error means
// that done will not be called, and that nothing was written.
func (r *Log) RecordStart(b node.RunRecord, done func(error)) error {
	batch, err := r.encode(b, bookingpb.Booking_STAGE_BEGAN)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.submit(b.Key, batch, func(err error) {
		r.mu.Lock()
		r.writeCompleted(b.Key, batch)
		r.mu.Unlock()
		done(err)
	})
}

// RecordEnd notes that a booking's run is over. Nobody waits for it: without it the record says that the run began, which
// keeps it from running again as well.
func (r *Log) RecordEnd(b node.RunRecord) {
	batch, err := r.encode(b, bookingpb.Booking_STAGE_ENDED)
	if err != nil {
		r.log.Warn("the end of a booking was not recorded", err)
		return
	}
	r.write(b.Key, batch)
}

// Withdraw takes back that a run began, of which nothing was started. It comes after what was written for the key before, whether or
// not that is durable yet.
func (r *Log) Withdraw(b node.RunRecord) {
	batch := &ledger.Batch{}
	batch.Delete([]byte(keyPrefix + b.Key))
	r.write(b.Key, batch)
}

// submit hands a write to the ledger as the newest of its key; the caller holds mu. What failed of older ones must not come after it: a
// withdrawal that is tried again behind a newer start would have that one forgotten, and its key run twice.
func (r *Log) submit(key string, batch *ledger.Batch, done func(error)) error {
	delete(r.failedWrites, key)
	r.newestWrite[key] = batch
	err := r.store.Go(batch, done)
	if err != nil {
		delete(r.newestWrite, key)
	}
	return err
}

// writeCompleted notes that a write has come through or failed, and says whether it was the newest of its key; the caller holds mu.
func (r *Log) writeCompleted(key string, batch *ledger.Batch) (newest bool) {
	if newest = r.newestWrite[key] == batch; newest {
		delete(r.newestWrite, key)
	}
	return newest
}

// write submits what nobody waits for.
func (r *Log) write(key string, batch *ledger.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submitUnawaited(key, batch)
}

func (r *Log) submitUnawaited(key string, batch *ledger.Batch) {
	if err := r.submit(key, batch, func(err error) { r.writeReturned(key, batch, err) }); err != nil {
		r.keepForRetry(key, batch, err)
	}
}

// writeReturned is told by the ledger how a write went.
func (r *Log) writeReturned(key string, batch *ledger.Batch, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writeCompleted(key, batch) && err != nil {
		r.keepForRetry(key, batch, err)
	}
}

// keepForRetry holds a write back for Retry where there is a chance that it will do; the caller holds mu.
func (r *Log) keepForRetry(key string, batch *ledger.Batch, err error) {
	r.log.Warn("a booking's record was not written", err)
	if errors.Is(err, ledger.ErrBusy) || errors.Is(err, ledger.ErrNotWritten) {
		r.failedWrites[key] = batch
	}
}

// RetryFailed tries once more what could not be written; it is to be called now and then.
func (r *Log) RetryFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, batch := range maps.Clone(r.failedWrites) {
		r.submitUnawaited(key, batch)
	}
}

// encode is a booking's record, ready to be written.
func (r *Log) encode(b node.RunRecord, stage bookingpb.Booking_Stage) (*ledger.Batch, error) {
	value, err := proto.Marshal(&bookingpb.Booking{Stage: stage, Class: b.Class, Digest: b.Fingerprint[:], ArrivedUs: b.ArrivedAt.UnixMicro(),
		Request: []byte(b.RequestID), WindowUs: b.Window.Microseconds(), Served: b.Succeeded, Kept: b.ResultStored, Result: b.Result, Front: b.Protocol})
	if err != nil {
		return nil, fmt.Errorf("booking %q: %w", b.Key, err)
	}
	batch := &ledger.Batch{}
	batch.Put([]byte(keyPrefix+b.Key), value, b.ArrivedAt.Add(b.Window+r.retentionMargin))
	return batch, nil
}

// ForEach hands over all bookings whose time is not over, in the order of their keys. It reads the disk. One that can't be read
// is an error: without it a booking could run twice.
func (r *Log) ForEach(fn func(node.RunRecord)) error {
	return r.store.Scan([]byte(keyPrefix), func(p ledger.Pair) error {
		key := string(p.Key[len(keyPrefix):])
		var v bookingpb.Booking
		if err := proto.Unmarshal(p.Value, &v); err != nil {
			return fmt.Errorf("booking %q: %w", key, err)
		}
		b := node.RunRecord{Key: key, Class: v.Class, ArrivedAt: time.UnixMicro(v.ArrivedUs), RequestID: string(v.Request),
			Window: time.Duration(v.WindowUs) * time.Microsecond,
			Ended:  v.Stage == bookingpb.Booking_STAGE_ENDED, Succeeded: v.Served, ResultStored: v.Kept, Result: v.Result, Protocol: v.Front}
		if copy(b.Fingerprint[:], v.Digest) != len(b.Fingerprint) || v.Stage == bookingpb.Booking_STAGE_UNSPECIFIED {
			return fmt.Errorf("booking %q: the record lacks its stage or digest", key)
		}
		fn(b)
		return nil
	})
}
