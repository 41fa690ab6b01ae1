package ledger

import (
	"sync"
	"time"

	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/plan"
)

// The write queue: batches wait here for the writing goroutine (commit.go).

// pending is a queued batch or request to the writing goroutine.
type pending struct {
	records []format.Record
	bytes   int
	done    func(error) // called once; must not block
	flush   bool        // flush everything written before it
	seal    bool        // seal the active segment
}

// writer holds the queue and the state of the writing goroutine.
type writer struct {
	mu          sync.Mutex
	queue       []*pending
	queuedBytes int
	closed      bool
	wakeAt      int        // number of queued batches at which the writing goroutine is woken
	spaceFreed  *sync.Cond // batches were removed from the queue, or it was closed
	arrived     chan struct{}

	// Used by the writing goroutine only:
	groupCommit   plan.GroupCommit
	lastSequence  uint64
	flushedOffset int64 // offset up to which the active segment is flushed
	activeRecords int   // records in the active segment
	writtenMark   int64 // clock mark of the last written group, Unix milliseconds
	buf           []byte

	durable   chan durableGroup
	unindexed sync.WaitGroup // groups that are written but not yet in the index

	// Completion callbacks, see callbacks.go.
	callbackMu    sync.Mutex
	callbacks     []func()
	callbackReady chan struct{}
}

// durableGroupBacklog is how many durable groups may wait to be indexed before the writing goroutine blocks.
const durableGroupBacklog = 4

func (w *writer) init() {
	w.spaceFreed = sync.NewCond(&w.mu)
	w.arrived, w.callbackReady = make(chan struct{}, 1), make(chan struct{}, 1)
	w.durable = make(chan durableGroup, durableGroupBacklog)
}

// signal wakes the receiver of a channel with a buffer of one. It does not block.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.spaceFreed.Broadcast()
	w.mu.Unlock()
	signal(w.arrived)
}

// enqueueAndWait queues a request and waits until it is done.
func (s *Store) enqueueAndWait(p *pending) error {
	done := make(chan error, 1)
	p.done = func(err error) { done <- err }
	if err := s.enqueue(p, true); err != nil {
		return err
	}
	return <-done
}

// enqueue appends a request to the queue. If the queue is full, it waits for space if wait is set, and returns ErrBusy otherwise.
func (s *Store) enqueue(p *pending, wait bool) error {
	w := &s.writer
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && w.queuedBytes > 0 && w.queuedBytes+p.bytes > s.opts.Limits.QueueBytes {
		if !wait {
			return ErrBusy
		}
		w.spaceFreed.Wait()
	}
	if w.closed {
		return ErrClosed
	}
	w.queue = append(w.queue, p)
	w.queuedBytes += p.bytes
	// The writing goroutine is woken by the first batch, which starts the wait for a full group, and by the batch that ends it.
	if n := len(w.queue); n == 1 || n >= w.wakeAt || w.queuedBytes >= s.opts.Limits.GroupBytes {
		signal(w.arrived)
	}
	return nil
}

// nextGroup waits for the next group of batches as plan.GroupCommit decides. It returns an empty group at a tick, and false once
// the queue is closed and empty.
func (s *Store) nextGroup(tick <-chan time.Time) (group []*pending, ok bool) {
	for {
		state := s.queueState()
		if state.batches > 0 {
			s.awaitFullGroup(state)
			return s.dequeueGroup(), true
		}
		if state.closed {
			return nil, false
		}
		select {
		case <-s.writer.arrived:
		case <-tick:
			return nil, true
		}
	}
}

// queueState is the state of the queue at one moment.
type queueState struct {
	batches     int
	fullOfBytes bool // the queued bytes fill a group
	closed      bool
}

// queueState returns the state of the queue and sets wakeAt for the wait that may follow.
func (s *Store) queueState() queueState {
	w, limits := &s.writer, s.opts.Limits
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakeAt = w.groupCommit.TargetSize(limits.GroupBatches)
	return queueState{len(w.queue), w.queuedBytes >= limits.GroupBytes, w.closed}
}

// awaitFullGroup waits for more batches as long as plan.GroupCommit considers it worthwhile.
func (s *Store) awaitFullGroup(state queueState) {
	w, limits := &s.writer, s.opts.Limits
	began := time.Now() // monotonic, so that changes of the Unix clock do not affect the wait
	var timer *time.Timer
	for {
		remaining := w.groupCommit.RemainingWait(state.batches, limits.GroupBatches, time.Since(began), limits.GroupDelay)
		if state.fullOfBytes || state.closed || remaining <= 0 {
			if timer != nil {
				timer.Stop()
				w.groupCommit.RecordWait(state.batches >= w.groupCommit.TargetSize(limits.GroupBatches))
			}
			return
		}
		if timer == nil {
			timer = time.NewTimer(remaining)
		}
		select {
		case <-w.arrived:
		case <-timer.C:
		}
		state = s.queueState()
	}
}

// dequeueGroup removes the next batches from the queue, up to the limits of a group.
func (s *Store) dequeueGroup() []*pending {
	w, limits := &s.writer, s.opts.Limits
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes, n := 0, 0
	for n < len(w.queue) && n < limits.GroupBatches && (n == 0 || bytes+w.queue[n].bytes <= limits.GroupBytes) {
		bytes += w.queue[n].bytes
		n++
	}
	group := w.queue[:n:n]
	w.queue = w.queue[n:]
	if len(w.queue) == 0 {
		w.queue = nil
	}
	w.queuedBytes -= bytes
	w.spaceFreed.Broadcast()
	return group
}
