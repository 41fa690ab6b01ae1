package ledger

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/plan"
)

// Batch is a number of changes that are made together or not at all. Its zero value is ready. It keeps the slices that
// it is given: they must not change until the batch has been applied.
type Batch struct {
	records []format.Record
	bytes   int
}

// Put adds a value.
func (b *Batch) Put(key, value []byte, expiry time.Time) {
	b.add(format.Record{Kind: format.KindPut, Key: key, Value: value, ExpiryMillis: millis(expiry)})
}

// Delete adds a removal.
func (b *Batch) Delete(key []byte) { b.add(format.Record{Kind: format.KindDelete, Key: key}) }

func (b *Batch) add(r format.Record) {
	b.records = append(b.records, r)
	b.bytes += r.Size()
}

// Len is the number of changes.
func (b *Batch) Len() int { return len(b.records) }

// pending is a batch on its way to the disk.
type pending struct {
	records []format.Record
	bytes   int
	done    func(error) // called once; must not block
	flush   bool        // wants all that was written before it flushed
	seal    bool        // wants the active segment sealed
}

// writer is the queue before the one goroutine that writes.
type writer struct {
	mu          sync.Mutex
	queue       []*pending
	queuedBytes int
	closed      bool
	wakeAt      int        // so many queued are worth no further wait
	spaceFreed  *sync.Cond // the queue got shorter, or closed
	arrived     chan struct{}

	// Of the writing goroutine alone:
	groupCommit   plan.GroupCommit
	lastSequence  uint64
	flushedOffset int64 // of the active segment
	activeRecords int   // in it
	writtenMark   int64 // the mark as last written
	buf           []byte

	durable   chan durableGroup
	unindexed sync.WaitGroup // groups written and not yet in the index

	// told is what is to be called back, in order, by a goroutine of its own.
	callbackMu    sync.Mutex
	callbacks     []func()
	callbackReady chan struct{}
}

func (w *writer) init() {
	w.spaceFreed = sync.NewCond(&w.mu)
	w.arrived, w.callbackReady = make(chan struct{}, 1), make(chan struct{}, 1)
	w.durable = make(chan durableGroup, 4)
}

func signal(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
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

// validate refuses a batch that could never be written.
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

// Apply makes a batch durable and returns then. It waits while the queue is full. Errors are those of errors.go.
func (s *Store) Apply(b *Batch) error {
	if err := s.validate(b); err != nil {
		return err
	}
	if len(b.records) == 0 {
		return nil
	}
	return s.enqueueAndWait(&pending{records: b.records, bytes: b.bytes})
}

// enqueueAndWait queues something and waits for its end.
func (s *Store) enqueueAndWait(p *pending) error {
	done := make(chan error, 1)
	p.done = func(err error) { done <- err }
	if err := s.enqueue(p, true); err != nil {
		return err
	}
	return <-done
}

// Go does the same without waiting: done is called from another goroutine once the batch is durable or can't be. Batches
// reach the log in the order of the calls. An error means that done will not be called; ErrBusy that the queue is full.
func (s *Store) Go(b *Batch, done func(error)) error {
	if err := s.validate(b); err != nil {
		return err
	}
	return s.enqueue(&pending{records: b.records, bytes: b.bytes, done: func(err error) { s.writer.queueCallback(func() { done(err) }) }}, false)
}

// Sync returns once all that was written before it is flushed.
func (s *Store) Sync() error {
	if s.opts.ReadOnly {
		return ErrReadOnly
	}
	return s.enqueueAndWait(&pending{flush: true})
}

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
	// The writing goroutine is woken for the first one, from which on it counts the time, and for the last it waits for.
	if n := len(w.queue); n == 1 || n >= w.wakeAt || w.queuedBytes >= s.opts.Limits.GroupBytes {
		signal(w.arrived)
	}
	return nil
}

// queueCallback calls fn from the goroutine that calls back, so that no caller's code holds up the next flush.
func (w *writer) queueCallback(fn func()) {
	w.callbackMu.Lock()
	w.callbacks = append(w.callbacks, fn)
	w.callbackMu.Unlock()
	signal(w.callbackReady)
}

// runCallbacks runs until end is closed and nothing is left.
func (w *writer) runCallbacks(end <-chan struct{}) {
	for ended := false; ; {
		w.callbackMu.Lock()
		told := w.callbacks
		w.callbacks = nil
		w.callbackMu.Unlock()
		for _, fn := range told {
			fn()
		}
		if len(told) > 0 {
			continue
		}
		if ended {
			return
		}
		select {
		case <-w.callbackReady:
		case <-end:
			ended = true
		}
	}
}

// nextGroup waits for the next group: what is queued, up to the limits. It returns nothing at a tick, and false at the end.
func (s *Store) nextGroup(tick <-chan time.Time) (group []*pending, ok bool) {
	w, lim := &s.writer, s.opts.Limits
	var began time.Time
	var timer *time.Timer
	defer func() {
		if timer != nil {
			timer.Stop()
		}
	}()
	for {
		w.mu.Lock()
		n, full, closed := len(w.queue), w.queuedBytes >= lim.GroupBytes, w.closed
		w.wakeAt = w.groupCommit.TargetSize(lim.GroupBatches)
		w.mu.Unlock()
		if n > 0 {
			// A monotonic clock: the Unix clock has no say in how long a group waits.
			if began.IsZero() {
				began = time.Now()
			}
			left := w.groupCommit.RemainingWait(n, lim.GroupBatches, time.Since(began), lim.GroupDelay)
			if full || closed || left <= 0 {
				if timer != nil {
					w.groupCommit.RecordWait(n >= w.groupCommit.TargetSize(lim.GroupBatches))
				}
				break
			}
			if timer == nil {
				timer = time.NewTimer(left)
			}
			select {
			case <-w.arrived:
			case <-timer.C:
			}
			continue
		}
		if closed {
			return nil, false
		}
		select {
		case <-w.arrived:
		case <-tick:
			return nil, true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes, n := 0, 0
	for n < len(w.queue) && n < lim.GroupBatches && (n == 0 || bytes+w.queue[n].bytes <= lim.GroupBytes) {
		bytes += w.queue[n].bytes
		n++
	}
	group = w.queue[:n:n]
	w.queue = w.queue[n:]
	if len(w.queue) == 0 {
		w.queue = nil
	}
	w.queuedBytes -= bytes
	w.spaceFreed.Broadcast()
	return group, true
}

// writeLoop is the one goroutine that writes to the active segment.
func (s *Store) writeLoop() {
	end := make(chan struct{})
	s.background.Go(func() { s.writer.runCallbacks(end) })
	s.background.Go(func() {
		s.indexLoop()
		close(end)
	})
	defer close(s.writer.durable)
	every := s.opts.Limits.ClockMarkInterval
	if f := s.opts.Flush; f > 0 {
		every = min(every, f)
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	tick := ticker.C
	if s.opts.Manual && s.opts.Flush == 0 {
		tick = nil
	}
	for {
		group, ok := s.nextGroup(tick)
		if !ok {
			break
		}
		if len(group) == 0 {
			s.onTick()
			continue
		}
		s.commit(group)
	}
	s.finishLog()
}

// onTick flushes what waits for it, and advances the mark where a key's time is over.
func (s *Store) onTick() {
	if s.Err() != nil {
		return
	}
	s.mu.RLock()
	soonest := s.nextExpiry
	s.mu.RUnlock()
	now := s.opts.Now().UnixMilli()
	if soonest != 0 && soonest <= now && now >= s.writer.writtenMark+s.opts.Limits.ClockMarkInterval.Milliseconds() && !s.opts.Manual {
		s.commit(nil)
	} else {
		_ = s.flush() // a failure is noted, and the writers' answers say so
	}
}

// Mark advances the store's clock to the Unix clock's time, unless that has stepped back, and makes it durable.
func (s *Store) Mark() error {
	return s.Sync()
}

// finishLog closes the log: everything is flushed, and a last group says so.
func (s *Store) finishLog() {
	if s.Err() == nil {
		s.commit(nil)
	}
	_ = s.flush() // what was acknowledged before a flush is at risk as documented; the log has the error
}

// commit writes a group, flushes it, puts it in the index and tells its writers.
func (s *Store) commit(group []*pending) {
	if err := s.Err(); err != nil {
		notify(group, err)
		return
	}
	began := time.Now() // monotonic
	lim := s.opts.Limits
	rolls := slices.ContainsFunc(group, func(p *pending) bool { return p.seal }) && s.writer.activeRecords > 0
	if s.active.size >= lim.SegmentBytes || rolls {
		if err := s.rotate(); err != nil {
			notify(group, err)
			return
		}
	}
	group = s.admitToIndex(group)
	w := &s.writer
	mark := max(w.writtenMark, s.opts.Now().UnixMilli())
	g := s.active
	b := format.AppendGroup(w.buf[:0], g.salt, g.size, w.flushedOffset, mark)
	forced := s.opts.Flush == 0 || len(group) == 0
	for _, p := range group {
		forced = forced || p.flush
		for i := range p.records {
			r := &p.records[i]
			w.lastSequence++
			w.activeRecords++
			r.Sequence, r.BatchContinues = w.lastSequence, i < len(p.records)-1
			b = format.AppendRecord(b, g.salt, g.size+int64(len(b)), r)
		}
	}
	w.buf = b
	if cap(w.buf) > 2*lim.GroupBytes {
		w.buf = nil
	}
	if _, err := g.file.WriteAt(b, g.size); err != nil {
		notify(group, s.rollBackWrite(err))
		return
	}
	start := g.size + format.GroupRecordSize
	s.mu.Lock()
	g.size += int64(len(b))
	s.counts.groups++
	s.counts.writtenBytes += int64(len(b))
	s.mu.Unlock()
	w.writtenMark = mark
	if forced {
		if err := s.flush(); err != nil {
			notify(group, fmt.Errorf("%w: %w", ErrUnknown, err))
			return
		}
	}
	// Those queued by now are others than the ones that are about to hear.
	w.mu.Lock()
	queued := len(w.queue)
	w.mu.Unlock()
	w.groupCommit.RecordFlush(len(group), queued, time.Since(began))
	w.unindexed.Add(1)
	w.durable <- durableGroup{group, g, start}
	if s.compactionRunning.Load() {
		dead, share := s.garbageShare()
		if stall := plan.WriteStall(dead, share, s.compactionOptions()); stall > 0 {
			time.Sleep(stall)
		}
	}
}

// durableGroup is a group that is as durable as it will be.
type durableGroup struct {
	group []*pending
	seg   *segment
	off   int64
}

// indexLoop puts groups in the index and tells their writers, while the next group is being flushed.
func (s *Store) indexLoop() {
	for w := range s.writer.durable {
		s.indexGroup(w.group, w.seg, w.off)
		s.writer.unindexed.Done()
		notify(w.group, nil)
	}
}

func notify(group []*pending, err error) {
	for _, p := range group {
		p.done(err)
	}
}

// flush makes all that was written durable.
func (s *Store) flush() error {
	w := &s.writer
	if w.flushedOffset == s.active.size || s.Err() != nil {
		return s.Err()
	}
	if err := s.active.file.Sync(); err != nil {
		return s.fail(err)
	}
	w.flushedOffset = s.active.size
	s.mu.Lock()
	s.clockMark = w.writtenMark
	s.counts.flushes++
	s.mu.Unlock()
	return nil
}

// rollBackWrite takes back a group whose write failed, and says what its writers are to hear.
func (s *Store) rollBackWrite(cause error) error {
	// What of it reached the file must not be taken for records behind a later, shorter group.
	err := s.active.file.Truncate(s.active.size)
	if err == nil {
		err = s.active.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, s.fail(errors.Join(cause, err)))
	}
	s.writer.flushedOffset = s.active.size
	return notWritten(cause)
}

// notWritten wraps the error of an operation that left nothing behind.
func notWritten(cause error) error {
	if disk.IsFull(cause) {
		return fmt.Errorf("%w: %w: %w", ErrNotWritten, ErrFull, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotWritten, cause)
}

// admitToIndex answers those of a group whose new keys have no room in memory, and returns the others.
func (s *Store) admitToIndex(group []*pending) []*pending {
	s.mu.RLock()
	room := s.opts.Limits.IndexBytes - s.indexBytes
	var worst int64
	for _, p := range group {
		for i := range p.records {
			worst += indexCost(len(p.records[i].Key))
		}
	}
	if worst > room { // exact figures are needed, so those still on their way into the index count too
		s.mu.RUnlock()
		s.writer.unindexed.Wait()
		s.mu.RLock()
		room = s.opts.Limits.IndexBytes - s.indexBytes
	}
	if worst <= room { // the common case needs no look at each key
		s.mu.RUnlock()
		return group
	}
	fits := make([]*pending, 0, len(group))
	fresh := map[string]bool{} // what the group itself adds or takes away
	var over []*pending
	for _, p := range group {
		var need int64
		for i := range p.records {
			r := &p.records[i]
			key := string(r.Key)
			_, there := s.index.Get(key)
			if was, ok := fresh[key]; ok {
				there = was
			}
			switch {
			case r.Kind == format.KindPut && !there:
				need += indexCost(len(key))
			case r.Kind == format.KindDelete && there:
				need -= indexCost(len(key))
			}
		}
		if need > room && need > 0 {
			over = append(over, p)
			continue
		}
		room -= need
		for i := range p.records {
			fresh[string(p.records[i].Key)] = p.records[i].Kind == format.KindPut
		}
		fits = append(fits, p)
	}
	s.mu.RUnlock()
	notify(over, fmt.Errorf("%w: %w (%d bytes)", ErrNotWritten, ErrIndexFull, s.opts.Limits.IndexBytes))
	return fits
}

// indexGroup puts a durable group in the index.
func (s *Store) indexGroup(group []*pending, g *segment, off int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if len(p.records) > 0 {
			s.counts.batches++
		}
		for i := range p.records {
			s.indexRecord(g, off, &p.records[i])
			off += int64(p.records[i].Size())
		}
	}
}

// indexRecord enters one record; the caller holds mu.
func (s *Store) indexRecord(g *segment, off int64, r *format.Record) {
	size := r.Size()
	g.countRecord(r.Sequence, size)
	s.counts.requestedBytes += int64(size)
	s.recordBytes += int64(size)
	key := string(r.Key)
	if r.Kind == format.KindDelete {
		s.counts.deletes++
		g.tombstoneBytes += int64(size)
		if old, ok := s.index.Delete(key); ok {
			old.seg.deadBytes += int64(old.size)
			s.liveBytes -= int64(old.size)
			s.indexBytes -= indexCost(len(key))
		}
		return
	}
	s.counts.puts++
	s.liveBytes += int64(size)
	if old, ok := s.index.Set(key, location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(size)}); ok {
		old.seg.deadBytes += int64(old.size)
		s.liveBytes -= int64(old.size)
	} else {
		s.indexBytes += indexCost(len(key))
	}
	if r.ExpiryMillis != 0 && (s.nextExpiry == 0 || r.ExpiryMillis < s.nextExpiry) {
		s.nextExpiry = r.ExpiryMillis
	}
}

// rotate seals the active segment and begins a new one. The new one counts once the manifest lists it.
func (s *Store) rotate() error {
	if err := s.flush(); err != nil {
		return err
	}
	s.writer.unindexed.Wait() // the manifest has figures of the segment's records
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	g, err := s.newSegment()
	if err != nil {
		return notWritten(err)
	}
	old := s.active
	next := s.nextManifest(append(s.sealed[:len(s.sealed):len(s.sealed)], old), g)
	if err := s.replaceManifest(next); err != nil {
		g.release()
		return err
	}
	s.sealed = append(s.sealed, old)
	s.active, s.writer.flushedOffset, s.writer.activeRecords = g, g.size, 0
	signal(s.compactionDue)
	return nil
}

// newSegment makes a segment's file durable, though not yet listed; the caller holds meta.
func (s *Store) newSegment() (*segment, error) {
	n := s.manifest.NextSegment
	s.manifest.NextSegment++ // never twice, also if it fails
	g, err := createSegment(s.fs, s.id, n, false)
	if err != nil {
		return nil, err
	}
	if err = g.file.Sync(); err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		g.release()
		return nil, err
	}
	return g, nil
}

// nextManifest is the manifest with these segments; the caller holds meta.
func (s *Store) nextManifest(sealed []*segment, active *segment) format.Manifest {
	m := s.manifest
	m.Generation++
	s.mu.RLock()
	defer s.mu.RUnlock()
	m.ClockMark, m.Segments = max(m.ClockMark, s.clockMark), nil
	for _, g := range sealed {
		m.Segments = append(m.Segments, format.SegmentEntry{Number: g.number, Size: g.size, MinSequence: g.minSequence, Cold: g.cold})
		m.LastSequence = max(m.LastSequence, g.maxSequence)
	}
	if active != nil {
		m.Segments = append(m.Segments, format.SegmentEntry{Number: active.number, Size: format.ActiveSegmentSize, MinSequence: active.minSequence})
		m.LastSequence = max(m.LastSequence, active.maxSequence)
	}
	return m
}

// replaceManifest makes a manifest the one in force; the caller holds meta. After an error before the renaming the old one is in
// force. After one behind it nobody knows, and the store takes no more writes.
func (s *Store) replaceManifest(m format.Manifest) error {
	if err := writeManifest(s.fs, m); err != nil {
		var unsure *manifestUncertainError
		if errors.As(err, &unsure) {
			return fmt.Errorf("%w: %w", ErrUnknown, s.fail(err))
		}
		return notWritten(err)
	}
	s.manifest = m
	return nil
}

// manifestUncertainError says that the manifest may have been replaced or not.
type manifestUncertainError struct{ error }

func (e *manifestUncertainError) Unwrap() error { return e.error }

const (
	manifestName     = "MANIFEST"
	manifestTempName = "MANIFEST.new"
)

func writeManifest(fs disk.FS, m format.Manifest) error {
	f, err := fs.Create(manifestTempName)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(m.Append(nil), 0)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err = fs.Rename(manifestTempName, manifestName); err == nil {
		err = fs.SyncDir()
	}
	if err != nil {
		return &manifestUncertainError{err}
	}
	return nil
}
