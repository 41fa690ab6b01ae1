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
	b.add(format.Record{Kind: format.Put, Key: key, Value: value, Expiry: millis(expiry)})
}

// Delete adds a removal.
func (b *Batch) Delete(key []byte) { b.add(format.Record{Kind: format.Delete, Key: key}) }

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
	roll    bool        // wants the active segment sealed
}

// writer is the queue before the one goroutine that writes.
type writer struct {
	mu      sync.Mutex
	queue   []*pending
	bytes   int
	closed  bool
	full    int        // so many queued are worth no further wait
	room    *sync.Cond // the queue got shorter, or closed
	arrived chan struct{}

	// Of the writing goroutine alone:
	group   plan.Group
	seq     uint64
	flushed int64 // of the active segment
	records int   // in it
	marked  int64 // the mark as last written
	buf     []byte

	settle   chan written
	settling sync.WaitGroup // groups written and not yet in the index

	// told is what is to be called back, in order, by a goroutine of its own.
	tell sync.Mutex
	told []func()
	bell chan struct{}
}

func (w *writer) init() {
	w.room = sync.NewCond(&w.mu)
	w.arrived, w.bell = make(chan struct{}, 1), make(chan struct{}, 1)
	w.settle = make(chan written, 4)
}

func ring(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
	default:
	}
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.room.Broadcast()
	w.mu.Unlock()
	ring(w.arrived)
}

// check refuses a batch that could never be written.
func (s *Store) check(b *Batch) error {
	if s.opts.ReadOnly {
		return ErrReadOnly
	}
	for _, r := range b.records {
		switch {
		case len(r.Key) == 0:
			return fmt.Errorf("%w: a key has at least one byte", ErrNotWritten)
		case len(r.Key) > min(s.opts.Limits.KeyBytes, format.MaxKey):
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
	if err := s.check(b); err != nil {
		return err
	}
	if len(b.records) == 0 {
		return nil
	}
	return s.await(&pending{records: b.records, bytes: b.bytes})
}

// await queues something and waits for its end.
func (s *Store) await(p *pending) error {
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
	if err := s.check(b); err != nil {
		return err
	}
	return s.enqueue(&pending{records: b.records, bytes: b.bytes, done: func(err error) { s.w.later(func() { done(err) }) }}, false)
}

// Sync returns once all that was written before it is flushed.
func (s *Store) Sync() error {
	if s.opts.ReadOnly {
		return ErrReadOnly
	}
	return s.await(&pending{flush: true})
}

func (s *Store) enqueue(p *pending, wait bool) error {
	w := &s.w
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && w.bytes > 0 && w.bytes+p.bytes > s.opts.Limits.QueueBytes {
		if !wait {
			return ErrBusy
		}
		w.room.Wait()
	}
	if w.closed {
		return ErrClosed
	}
	w.queue = append(w.queue, p)
	w.bytes += p.bytes
	// The writing goroutine is woken for the first one, from which on it counts the time, and for the last it waits for.
	if n := len(w.queue); n == 1 || n >= w.full || w.bytes >= s.opts.Limits.GroupBytes {
		ring(w.arrived)
	}
	return nil
}

// later calls fn from the goroutine that calls back, so that no caller's code holds up the next flush.
func (w *writer) later(fn func()) {
	w.tell.Lock()
	w.told = append(w.told, fn)
	w.tell.Unlock()
	ring(w.bell)
}

// callBack runs until end is closed and nothing is left.
func (w *writer) callBack(end <-chan struct{}) {
	for ended := false; ; {
		w.tell.Lock()
		told := w.told
		w.told = nil
		w.tell.Unlock()
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
		case <-w.bell:
		case <-end:
			ended = true
		}
	}
}

// take waits for the next group: what is queued, up to the limits. It returns nothing at a tick, and false at the end.
func (s *Store) take(tick <-chan time.Time) (group []*pending, ok bool) {
	w, lim := &s.w, s.opts.Limits
	var began time.Time
	var timer *time.Timer
	defer func() {
		if timer != nil {
			timer.Stop()
		}
	}()
	for {
		w.mu.Lock()
		n, full, closed := len(w.queue), w.bytes >= lim.GroupBytes, w.closed
		w.full = w.group.Full(lim.GroupBatches)
		w.mu.Unlock()
		if n > 0 {
			// A monotonic clock: the Unix clock has no say in how long a group waits.
			if began.IsZero() {
				began = time.Now()
			}
			left := w.group.Wait(n, lim.GroupBatches, time.Since(began), lim.GroupDelay)
			if full || closed || left <= 0 {
				if timer != nil {
					w.group.Waited(n >= w.group.Full(lim.GroupBatches))
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
	w.bytes -= bytes
	w.room.Broadcast()
	return group, true
}

// write is the one goroutine that writes to the active segment.
func (s *Store) write() {
	end := make(chan struct{})
	s.jobs.Go(func() { s.w.callBack(end) })
	s.jobs.Go(func() {
		s.settle()
		close(end)
	})
	defer close(s.w.settle)
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
		group, ok := s.take(tick)
		if !ok {
			break
		}
		if len(group) == 0 {
			s.onTick()
			continue
		}
		s.commit(group)
	}
	s.end()
}

// onTick flushes what waits for it, and advances the mark where a key's time is over.
func (s *Store) onTick() {
	if s.Err() != nil {
		return
	}
	s.mu.RLock()
	soonest := s.soonest
	s.mu.RUnlock()
	now := s.opts.Now().UnixMilli()
	if soonest != 0 && soonest <= now && now >= s.w.marked+s.opts.Limits.ClockMarkInterval.Milliseconds() && !s.opts.Manual {
		s.commit(nil)
	} else {
		_ = s.flush() // a failure is noted, and the writers' answers say so
	}
}

// Mark advances the store's clock to the Unix clock's time, unless that has stepped back, and makes it durable.
func (s *Store) Mark() error {
	return s.Sync()
}

// end closes the log: everything is flushed, and a last group says so.
func (s *Store) end() {
	if s.Err() == nil {
		s.commit(nil)
	}
	_ = s.flush() // what was acknowledged before a flush is at risk as documented; the log has the error
}

// commit writes a group, flushes it, puts it in the index and tells its writers.
func (s *Store) commit(group []*pending) {
	if err := s.Err(); err != nil {
		answer(group, err)
		return
	}
	began := time.Now() // monotonic
	lim := s.opts.Limits
	rolls := slices.ContainsFunc(group, func(p *pending) bool { return p.roll }) && s.w.records > 0
	if s.active.size >= lim.SegmentBytes || rolls {
		if err := s.rotate(); err != nil {
			answer(group, err)
			return
		}
	}
	group = s.fit(group)
	w := &s.w
	mark := max(w.marked, s.opts.Now().UnixMilli())
	g := s.active
	b := format.AppendGroup(w.buf[:0], g.salt, g.size, w.flushed, mark)
	forced := s.opts.Flush == 0 || len(group) == 0
	for _, p := range group {
		forced = forced || p.flush
		for i := range p.records {
			r := &p.records[i]
			w.seq++
			w.records++
			r.Seq, r.More = w.seq, i < len(p.records)-1
			b = format.AppendRecord(b, g.salt, g.size+int64(len(b)), r)
		}
	}
	w.buf = b
	if cap(w.buf) > 2*lim.GroupBytes {
		w.buf = nil
	}
	if _, err := g.file.WriteAt(b, g.size); err != nil {
		answer(group, s.undo(err))
		return
	}
	start := g.size + format.GroupSize
	s.mu.Lock()
	g.size += int64(len(b))
	s.counts.groups++
	s.counts.written += int64(len(b))
	s.mu.Unlock()
	w.marked = mark
	if forced {
		if err := s.flush(); err != nil {
			answer(group, fmt.Errorf("%w: %w", ErrUnknown, err))
			return
		}
	}
	// Those queued by now are others than the ones that are about to hear.
	w.mu.Lock()
	queued := len(w.queue)
	w.mu.Unlock()
	w.group.Flushed(len(group), queued, time.Since(began))
	w.settling.Add(1)
	w.settle <- written{group, g, start}
	if s.busy.Load() {
		dead, share := s.garbage()
		if stall := plan.Stall(dead, share, s.rules()); stall > 0 {
			time.Sleep(stall)
		}
	}
}

// written is a group that is as durable as it will be.
type written struct {
	group []*pending
	seg   *segment
	off   int64
}

// settle puts groups in the index and tells their writers, while the next group is being flushed.
func (s *Store) settle() {
	for w := range s.w.settle {
		s.enter(w.group, w.seg, w.off)
		s.w.settling.Done()
		answer(w.group, nil)
	}
}

func answer(group []*pending, err error) {
	for _, p := range group {
		p.done(err)
	}
}

// flush makes all that was written durable.
func (s *Store) flush() error {
	w := &s.w
	if w.flushed == s.active.size || s.Err() != nil {
		return s.Err()
	}
	if err := s.active.file.Sync(); err != nil {
		return s.fail(err)
	}
	w.flushed = s.active.size
	s.mu.Lock()
	s.mark = w.marked
	s.counts.flushes++
	s.mu.Unlock()
	return nil
}

// undo takes back a group whose write failed, and says what its writers are to hear.
func (s *Store) undo(cause error) error {
	// What of it reached the file must not be taken for records behind a later, shorter group.
	err := s.active.file.Truncate(s.active.size)
	if err == nil {
		err = s.active.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, s.fail(errors.Join(cause, err)))
	}
	s.w.flushed = s.active.size
	return refused(cause)
}

// refused wraps the error of an operation that left nothing behind.
func refused(cause error) error {
	if disk.IsFull(cause) {
		return fmt.Errorf("%w: %w: %w", ErrNotWritten, ErrFull, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotWritten, cause)
}

// fit answers those of a group whose new keys have no room in memory, and returns the others.
func (s *Store) fit(group []*pending) []*pending {
	s.mu.RLock()
	room := s.opts.Limits.IndexBytes - s.keys
	var worst int64
	for _, p := range group {
		for i := range p.records {
			worst += cost(len(p.records[i].Key))
		}
	}
	if worst > room { // exact figures are needed, so those still on their way into the index count too
		s.mu.RUnlock()
		s.w.settling.Wait()
		s.mu.RLock()
		room = s.opts.Limits.IndexBytes - s.keys
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
			case r.Kind == format.Put && !there:
				need += cost(len(key))
			case r.Kind == format.Delete && there:
				need -= cost(len(key))
			}
		}
		if need > room && need > 0 {
			over = append(over, p)
			continue
		}
		room -= need
		for i := range p.records {
			fresh[string(p.records[i].Key)] = p.records[i].Kind == format.Put
		}
		fits = append(fits, p)
	}
	s.mu.RUnlock()
	answer(over, fmt.Errorf("%w: %w (%d bytes)", ErrNotWritten, ErrIndexFull, s.opts.Limits.IndexBytes))
	return fits
}

// enter puts a durable group in the index.
func (s *Store) enter(group []*pending, g *segment, off int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if len(p.records) > 0 {
			s.counts.batches++
		}
		for i := range p.records {
			s.set(g, off, &p.records[i])
			off += int64(p.records[i].Size())
		}
	}
}

// set enters one record; the caller holds mu.
func (s *Store) set(g *segment, off int64, r *format.Record) {
	size := r.Size()
	g.count(r.Seq, size)
	s.counts.asked += int64(size)
	s.total += int64(size)
	key := string(r.Key)
	if r.Kind == format.Delete {
		s.counts.deletes++
		g.tombs += int64(size)
		if old, ok := s.index.Delete(key); ok {
			old.seg.dead += int64(old.size)
			s.live -= int64(old.size)
			s.keys -= cost(len(key))
		}
		return
	}
	s.counts.puts++
	s.live += int64(size)
	if old, ok := s.index.Set(key, place{g, r.Seq, r.Expiry, uint32(off), uint32(size)}); ok {
		old.seg.dead += int64(old.size)
		s.live -= int64(old.size)
	} else {
		s.keys += cost(len(key))
	}
	if r.Expiry != 0 && (s.soonest == 0 || r.Expiry < s.soonest) {
		s.soonest = r.Expiry
	}
}

// rotate seals the active segment and begins a new one. The new one counts once the manifest lists it.
func (s *Store) rotate() error {
	if err := s.flush(); err != nil {
		return err
	}
	s.w.settling.Wait() // the manifest has figures of the segment's records
	s.meta.Lock()
	defer s.meta.Unlock()
	g, err := s.newSegment()
	if err != nil {
		return refused(err)
	}
	old := s.active
	next := s.next(append(s.sealed[:len(s.sealed):len(s.sealed)], old), g)
	if err := s.replace(next); err != nil {
		g.release()
		return err
	}
	s.sealed = append(s.sealed, old)
	s.active, s.w.flushed, s.w.records = g, g.size, 0
	ring(s.kick)
	return nil
}

// newSegment makes a segment's file durable, though not yet listed; the caller holds meta.
func (s *Store) newSegment() (*segment, error) {
	n := s.manifest.Next
	s.manifest.Next++ // never twice, also if it fails
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

// next is the manifest with these segments; the caller holds meta.
func (s *Store) next(sealed []*segment, active *segment) format.Manifest {
	m := s.manifest
	m.Edition++
	s.mu.RLock()
	defer s.mu.RUnlock()
	m.Mark, m.Segments = max(m.Mark, s.mark), nil
	for _, g := range sealed {
		m.Segments = append(m.Segments, format.Entry{Number: g.number, Size: g.size, Least: g.least, Cold: g.cold})
		m.Seq = max(m.Seq, g.high)
	}
	if active != nil {
		m.Segments = append(m.Segments, format.Entry{Number: active.number, Size: format.Active, Least: active.least})
		m.Seq = max(m.Seq, active.high)
	}
	return m
}

// replace makes a manifest the one in force; the caller holds meta. After an error before the renaming the old one is in
// force. After one behind it nobody knows, and the store takes no more writes.
func (s *Store) replace(m format.Manifest) error {
	if err := writeManifest(s.fs, m); err != nil {
		var unsure *unsureError
		if errors.As(err, &unsure) {
			return fmt.Errorf("%w: %w", ErrUnknown, s.fail(err))
		}
		return refused(err)
	}
	s.manifest = m
	return nil
}

// unsureError says that the manifest may have been replaced or not.
type unsureError struct{ error }

func (e *unsureError) Unwrap() error { return e.error }

const (
	manifestName = "MANIFEST"
	manifestNew  = "MANIFEST.new"
)

func writeManifest(fs disk.FS, m format.Manifest) error {
	f, err := fs.Create(manifestNew)
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
	if err = fs.Rename(manifestNew, manifestName); err == nil {
		err = fs.SyncDir()
	}
	if err != nil {
		return &unsureError{err}
	}
	return nil
}
