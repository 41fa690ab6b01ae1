package ledger

import (
	"fmt"
	"time"

	"sloehitch/internal/ledger/format"
)

// Batch is a list of changes that are applied atomically. Its zero value is ready. It keeps the slices that it is given:
// they must not change until the batch has been applied. One goroutine may use it at a time.
type Batch struct {
	records []format.Record
	bytes   int
}

// Put adds a write of a value. A zero expiry means never.
func (b *Batch) Put(key, value []byte, expiry time.Time) {
	b.add(format.Record{Kind: format.KindPut, Key: key, Value: value, ExpiryMillis: millis(expiry)})
}

// Delete adds a deletion.
func (b *Batch) Delete(key []byte) { b.add(format.Record{Kind: format.KindDelete, Key: key}) }

func (b *Batch) add(r format.Record) {
	b.records = append(b.records, r)
	b.bytes += r.Size()
}

// Len is the number of changes.
func (b *Batch) Len() int { return len(b.records) }

// validate rejects a batch that could never be written.
func (s *Store) validate(b *Batch) error {
	if s.opts.ReadOnly {
		return ErrReadOnly
	}
	for _, r := range b.records {
		switch {
		case len(r.Key) == 0:
			return fmt.Errorf("%w: a key has at least one byte", ErrNotWritten)
		case len(r.Key) > min(s.opts.Limits.KeyBytes, format.MaxKeyBytes):
			return fmt.Errorf("%w: a key of %d bytes", ErrTooLarge, len(r.Key))
		case len(r.Value) > s.opts.Limits.ValueBytes:
			return fmt.Errorf("%w: a value of %d bytes", ErrTooLarge, len(r.Value))
		}
	}
	if b.bytes > s.opts.Limits.BatchBytes {
		return fmt.Errorf("%w: a batch of %d bytes", ErrTooLarge, b.bytes)
	}
	return s.Err()
}

// Apply makes a batch durable. It blocks until then, also while the queue is full. Its errors are those of errors.go.
func (s *Store) Apply(b *Batch) error {
	if err := s.validate(b); err != nil {
		return err
	}
	if len(b.records) == 0 {
		return nil
	}
	return s.enqueueAndWait(&pending{records: b.records, bytes: b.bytes})
}

// ApplyAsync makes a batch durable and does not block: done is called from another goroutine once the batch is durable or can't be.
// Batches reach the log in the order of the calls. An error means that done will not be called; ErrBusy that the queue is
// full.
func (s *Store) ApplyAsync(b *Batch, done func(error)) error {
	if err := s.validate(b); err != nil {
		return err
	}
	callback := func(err error) { s.writer.queueCallback(func() { done(err) }) }
	return s.enqueue(&pending{records: b.records, bytes: b.bytes, done: callback}, false)
}

// Sync flushes all that was written before it. It blocks until then.
func (s *Store) Sync() error {
	if s.opts.ReadOnly {
		return ErrReadOnly
	}
	return s.enqueueAndWait(&pending{flush: true})
}

// AdvanceClock advances the store's clock to the Unix clock's time, unless that has stepped back, and makes it durable. It blocks
// until then.
func (s *Store) AdvanceClock() error { return s.Sync() }
