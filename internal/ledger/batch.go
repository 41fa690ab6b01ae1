package ledger

import (
	"fmt"
	"time"

	"sloehitch/internal/ledger/format"
)

// Batch is a list of changes that are applied atomically. Its zero value is ready to use. It retains the slices that are passed
// to it, which must not be modified until the batch has been applied. A Batch is not safe for concurrent use.
type Batch struct {
	records []format.Record
	bytes   int
}

// Put adds a write of a value. With a zero expiry the key never expires.
func (b *Batch) Put(key, value []byte, expiry time.Time) {
	b.add(format.Record{Kind: format.KindPut, Key: key, Value: value, ExpiryMillis: unixMillis(expiry)})
}

// Delete adds the deletion of a key.
func (b *Batch) Delete(key []byte) { b.add(format.Record{Kind: format.KindDelete, Key: key}) }

func (b *Batch) add(r format.Record) {
	b.records = append(b.records, r)
	b.bytes += r.Size()
}

// Len returns the number of changes.
func (b *Batch) Len() int { return len(b.records) }

// validate rejects a batch that exceeds the limits or that the store cannot write.
func (s *Store) validate(b *Batch) error {
	if s.opts.ReadOnly {
		return ErrReadOnly
	}
	for _, r := range b.records {
		switch {
		case len(r.Key) == 0:
			return fmt.Errorf("%w: empty key", ErrNotWritten)
		case len(r.Key) > min(s.opts.Limits.KeyBytes, format.MaxKeyBytes):
			return fmt.Errorf("%w: key of %d bytes", ErrTooLarge, len(r.Key))
		case len(r.Value) > s.opts.Limits.ValueBytes:
			return fmt.Errorf("%w: value of %d bytes", ErrTooLarge, len(r.Value))
		}
	}
	if b.bytes > s.opts.Limits.BatchBytes {
		return fmt.Errorf("%w: batch of %d bytes", ErrTooLarge, b.bytes)
	}
	return s.Err()
}

// Apply writes a batch and blocks until it is durable, including while the queue is full. It returns the errors of errors.go.
func (s *Store) Apply(b *Batch) error {
	if err := s.validate(b); err != nil {
		return err
	}
	if len(b.records) == 0 {
		return nil
	}
	return s.enqueueAndWait(&pending{records: b.records, bytes: b.bytes})
}

// ApplyAsync writes a batch without blocking. done is called from another goroutine once the batch is durable or has failed.
// Batches are written to the log in the order of the calls. If ApplyAsync returns an error, done is not called. The error is
// ErrBusy if the queue is full.
func (s *Store) ApplyAsync(b *Batch, done func(error)) error {
	if err := s.validate(b); err != nil {
		return err
	}
	callback := func(err error) { s.writer.queueCallback(func() { done(err) }) }
	return s.enqueue(&pending{records: b.records, bytes: b.bytes, done: callback}, false)
}

// Sync flushes everything that was queued before the call, and blocks until it is durable.
func (s *Store) Sync() error {
	if s.opts.ReadOnly {
		return ErrReadOnly
	}
	return s.enqueueAndWait(&pending{flush: true})
}

// AdvanceClock advances the store's clock to the time of the Unix clock, unless that has stepped back, and blocks until the new
// value is durable.
func (s *Store) AdvanceClock() error { return s.Sync() }
