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

// prefix keeps the record apart from what else is to live on the ledger.
const prefix = "booking/"

// Record keeps bookings on a ledger. It is the core's node.Journal. Its methods may be called from any goroutine and wait for
// no disk, but for All.
type Record struct {
	store *ledger.Store
	spare time.Duration
	log   *lograte.Logger

	mu    sync.Mutex
	last  map[string]*ledger.Batch // the newest write of a key, until it has come through or failed
	again map[string]*ledger.Batch // writes by key that found no room, to be tried once more
}

// New returns the record on an open ledger. A booking is kept for its window and spare, by the ledger's clock.
func New(store *ledger.Store, spare, logEvery time.Duration, log *slog.Logger) *Record {
	return &Record{store: store, spare: spare, log: lograte.New(log, logEvery), last: map[string]*ledger.Batch{}, again: map[string]*ledger.Batch{}}
}

// Began makes it durable that a booking's run is about to be started; done is called once it is, or can't be. An error means
// that done will not be called, and that nothing was written.
func (r *Record) Began(b node.Booking, done func(error)) error {
	batch, err := r.put(b, bookingpb.Booking_STAGE_BEGAN)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.submit(b.Key, batch, func(err error) {
		r.mu.Lock()
		r.over(b.Key, batch)
		r.mu.Unlock()
		done(err)
	})
}

// Ended notes that a booking's run is over. Nobody waits for it: without it the record says that the run began, which
// keeps it from running again as well.
func (r *Record) Ended(b node.Booking) {
	batch, err := r.put(b, bookingpb.Booking_STAGE_ENDED)
	if err != nil {
		r.log.Warn("the end of a booking was not recorded", err)
		return
	}
	r.write(b.Key, batch)
}

// Withdraw takes back that a run began, of which nothing was started. It comes after what was written for the key before, whether or
// not that is durable yet.
func (r *Record) Withdraw(b node.Booking) {
	batch := &ledger.Batch{}
	batch.Delete([]byte(prefix + b.Key))
	r.write(b.Key, batch)
}

// submit hands a write to the ledger as the newest of its key; the caller holds mu. What failed of older ones must not come after it: a
// withdrawal that is tried again behind a newer start would have that one forgotten, and its key run twice.
func (r *Record) submit(key string, batch *ledger.Batch, done func(error)) error {
	delete(r.again, key)
	r.last[key] = batch
	err := r.store.Go(batch, done)
	if err != nil {
		delete(r.last, key)
	}
	return err
}

// over notes that a write has come through or failed, and says whether it was the newest of its key; the caller holds mu.
func (r *Record) over(key string, batch *ledger.Batch) (newest bool) {
	if newest = r.last[key] == batch; newest {
		delete(r.last, key)
	}
	return newest
}

// write submits what nobody waits for.
func (r *Record) write(key string, batch *ledger.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked(key, batch)
}

func (r *Record) writeLocked(key string, batch *ledger.Batch) {
	if err := r.submit(key, batch, func(err error) { r.written(key, batch, err) }); err != nil {
		r.keep(key, batch, err)
	}
}

// written is told by the ledger how a write went.
func (r *Record) written(key string, batch *ledger.Batch, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over(key, batch) && err != nil {
		r.keep(key, batch, err)
	}
}

// keep holds a write back for Retry where there is a chance that it will do; the caller holds mu.
func (r *Record) keep(key string, batch *ledger.Batch, err error) {
	r.log.Warn("a booking's record was not written", err)
	if errors.Is(err, ledger.ErrBusy) || errors.Is(err, ledger.ErrNotWritten) {
		r.again[key] = batch
	}
}

// Retry tries once more what could not be written; it is to be called now and then.
func (r *Record) Retry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, batch := range maps.Clone(r.again) {
		r.writeLocked(key, batch)
	}
}

// put is a booking's record, ready to be written.
func (r *Record) put(b node.Booking, stage bookingpb.Booking_Stage) (*ledger.Batch, error) {
	value, err := proto.Marshal(&bookingpb.Booking{Stage: stage, Class: b.Class, Digest: b.Digest[:], ArrivedUs: b.Arrived.UnixMicro(),
		Request: []byte(b.Request), WindowUs: b.Window.Microseconds(), Served: b.Served, Kept: b.Kept, Result: b.Result, Front: b.Front})
	if err != nil {
		return nil, fmt.Errorf("booking %q: %w", b.Key, err)
	}
	batch := &ledger.Batch{}
	batch.Put([]byte(prefix+b.Key), value, b.Arrived.Add(b.Window+r.spare))
	return batch, nil
}

// All hands over all bookings whose time is not over, in the order of their keys. It reads the disk. One that can't be read
// is an error: without it a booking could run twice.
func (r *Record) All(fn func(node.Booking)) error {
	return r.store.Scan([]byte(prefix), func(p ledger.Pair) error {
		key := string(p.Key[len(prefix):])
		var v bookingpb.Booking
		if err := proto.Unmarshal(p.Value, &v); err != nil {
			return fmt.Errorf("booking %q: %w", key, err)
		}
		b := node.Booking{Key: key, Class: v.Class, Arrived: time.UnixMicro(v.ArrivedUs), Request: string(v.Request),
			Window: time.Duration(v.WindowUs) * time.Microsecond,
			Ended:  v.Stage == bookingpb.Booking_STAGE_ENDED, Served: v.Served, Kept: v.Kept, Result: v.Result, Front: v.Front}
		if copy(b.Digest[:], v.Digest) != len(b.Digest) || v.Stage == bookingpb.Booking_STAGE_UNSPECIFIED {
			return fmt.Errorf("booking %q: the record lacks its stage or digest", key)
		}
		fn(b)
		return nil
	})
}
