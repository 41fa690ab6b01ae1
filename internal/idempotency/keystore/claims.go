// Package keystore keeps the keys of bookings that began, and what came of them, in a folder that the processes of one
// node share, so that while a new process takes over from an old one (both take clients from the listener that the
// platform holds) no key runs in both, and a try that meets the other's key hears that run's result.
//
// Each process appends records to segments of its own (package format) and reads the others'; a lock orders what is
// told, so whoever asks first holds a key (package holding). It is a node.Journal for the time of a hand-over, not a
// record that outlives the machine: the folder is meant for $TMPDIR, which the platform shares between the processes
// and does not empty. Nothing is flushed to a disk.
package keystore

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"sloehitch/internal/idempotency/keystore/format"
	"sloehitch/internal/idempotency/keystore/keystate"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// ErrFull is what Began tells where the folder holds as much as it may.
var ErrFull = errors.New("claims: the folder is full")

// Options are what claims need.
type Options struct {
	Dir             string        // shared by the processes of one node
	RetentionMargin time.Duration // how long beyond its window a key is held: tries of it may be read late
	Now             func() time.Time
	Limits          limits.KeyStore
	Log             *slog.Logger
}

// Store are the keys held by this process and by others. It is the core's node.Sharer; its methods may be called
// from any goroutine. What is to be told is written by a goroutine of its own, many records at once.
type Store struct {
	opts       Options
	log        *lograte.Logger
	folder     *folder
	wake       chan struct{}
	stop       chan struct{}
	writerDone chan struct{}      // serve is over
	sweeps     chan chan struct{} // each is closed once its sweep is done

	mu               sync.Mutex
	queue            []pendingWrite // to be told, in order
	closed           bool
	table            *keystate.Table // of the other processes
	processes        map[string]int  // by the name of the process
	dead             map[int]bool    // which of them have ended
	peerSegments     map[int]*segment
	knownPaths       map[string]bool // the others' segments, by path, expired ones included while their files stand
	ownSegments      []*segment      // the last one is being written
	lastOrder        int             // of the last own one
	lastNumber       int             // given to segments and processes
	runningKeys      map[format.ID]bool
	longestRetention time.Duration // the longest time that a record counted when it was told
	newestCreatedAt  time.Time     // when the newest own segment was made
	watchers         map[format.ID][]func()
	readBuffer       []byte
}

// pendingWrite is one thing to tell of a key.
type pendingWrite struct {
	record format.Record
	done   func(error) // of a Began: how it went
}

// Open joins the processes that share the folder, and reads what they told. It waits for the folder's lock. What can't
// be read is an error: a key could run twice.
func Open(o Options) (*Store, error) {
	name := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	c := &Store{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), wake: make(chan struct{}, 1), stop: make(chan struct{}),
		writerDone: make(chan struct{}), sweeps: make(chan chan struct{}, 1), table: keystate.New(), processes: map[string]int{}, dead: map[int]bool{}, peerSegments: map[int]*segment{},
		knownPaths: map[string]bool{}, runningKeys: map[format.ID]bool{}, watchers: map[format.ID][]func(){}}
	var err error
	if c.folder, err = openFolder(o.Dir, name); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	if err = c.folder.acquireLock(); err == nil {
		c.folder.generationChanged()
		if err = c.readPeers(true); err == nil {
			c.sweep()
		}
		c.folder.releaseLock()
	}
	if err != nil {
		c.folder.close()
		return nil, fmt.Errorf("claims: %w", err)
	}
	go c.writeLoop()
	return c, nil
}

// keyID names a booking's key and class.
func keyID(b node.RunRecord) (out format.ID) {
	h := sha256.New()
	h.Write([]byte(b.Class))
	h.Write([]byte{0})
	h.Write([]byte(b.Key))
	copy(out[:], h.Sum(nil))
	return out
}

func (c *Store) expiresAt(b node.RunRecord) int64 {
	return b.ArrivedAt.Add(b.Window).Add(c.opts.RetentionMargin).UnixNano()
}

// RecordStart claims b's key and calls done from another goroutine: with nil once this process holds it, with node.ErrTaken
// where another does, and with another error where that can't be told. It errs at once where too much is to be told
// already; done is not called then.
func (c *Store) RecordStart(b node.RunRecord, done func(error)) error {
	return c.enqueue(pendingWrite{format.Record{Kind: format.KindStarted, ID: keyID(b), ExpiresAt: c.expiresAt(b), Fingerprint: b.Fingerprint}, done})
}

// RecordEnd tells how the run of a key held here ended, with its result where there is room for it. Without the result a
// try that comes to another process fails.
func (c *Store) RecordEnd(b node.RunRecord) {
	r := format.Record{Kind: format.KindEnded, ID: keyID(b), ExpiresAt: c.expiresAt(b), Fingerprint: b.Fingerprint, Succeeded: b.Succeeded, Protocol: b.Protocol}
	if r.ResultStored = b.ResultStored && len(b.Result) <= c.opts.Limits.ResultBytes; r.ResultStored {
		r.Result = b.Result
	}
	_ = c.enqueue(pendingWrite{record: r}) // closed: nobody waits
}

// Withdraw lets go of a key held here of which nothing ran.
func (c *Store) Withdraw(b node.RunRecord) {
	_ = c.enqueue(pendingWrite{record: format.Record{Kind: format.KindWithdrawn, ID: keyID(b), ExpiresAt: c.expiresAt(b)}})
}

func (c *Store) enqueue(o pendingWrite) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || o.done != nil && len(c.queue) >= c.opts.Limits.QueuedRecords {
		return errors.New("claims: too many are on their way")
	}
	c.queue = append(c.queue, o)
	c.wakeWriter()
	return nil
}

func (c *Store) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Lookup returns what another process told of b's key, as of now: whether its run is over and what came of it. One whose
// process died before it told of the end is over and was not served. It reads what the others have written since it
// last looked, from memory as a rule, and waits for no lock but its own.
func (c *Store) Lookup(b node.RunRecord) (node.RunRecord, bool) {
	key := keyID(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	held, ok := c.table.Lookup(key, c.opts.Now().UnixNano())
	if !ok {
		return node.RunRecord{}, false
	}
	found := node.RunRecord{Key: b.Key, Class: b.Class, Fingerprint: held.Fingerprint, Ended: held.Kind == format.KindEnded || c.dead[held.Owner]}
	if held.Kind != format.KindEnded {
		return found, true
	}
	s := c.peerSegments[held.Location.Segment]
	r, err := s.readRecord(held.Location.Offset, held.Location.Size)
	if err != nil || r.ID != key {
		c.log.Warn("a result told by another process can't be read", fmt.Errorf("%s: %w", s.path, err))
		return found, true
	}
	found.Succeeded, found.ResultStored, found.Protocol, found.Result = r.Succeeded, r.ResultStored, r.Protocol, r.Result
	return found, true
}

// NotifyOnChange calls done once, from another goroutine, when Find may have more to say of b's key than that it runs elsewhere.
func (c *Store) NotifyOnChange(b node.RunRecord, done func()) {
	key := keyID(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.table.Lookup(key, c.opts.Now().UnixNano())
	if c.closed {
		return // this process is about to end
	}
	if !ok || held.Kind == format.KindEnded || c.dead[held.Owner] {
		go done()
		return
	}
	c.watchers[key] = append(c.watchers[key], done)
	c.wakeWriter()
}

// refresh reads what others told since, without the lock of all: what is there whole was told.
func (c *Store) refresh() {
	if err := c.readPeers(c.folder.generationChanged()); err != nil {
		c.log.Warn("the claims of another process can't be read", err)
	}
}

// readPeers reads on in the others' segments; news says that there may be new ones. The caller holds mu, or is alone.
func (c *Store) readPeers(news bool) error {
	var errs []error
	if news {
		if err := c.discoverPeers(); err != nil {
			return err
		}
	}
	for _, s := range c.peerSegments {
		if s.file == nil && s.size > 0 {
			continue // read to its end
		}
		errs = append(errs, c.readSegment(s))
	}
	return errors.Join(errs...)
}

// discoverPeers looks for processes and segments that are new.
func (c *Store) discoverPeers() error {
	found, owners, err := c.folder.list()
	if err != nil {
		return err
	}
	for _, name := range owners {
		c.processNumber(name)
	}
	known := map[string]bool{}
	for _, s := range found {
		known[s.path] = true
		if !c.knownPaths[s.path] {
			c.lastNumber++
			s.number = c.lastNumber
			c.peerSegments[s.number] = s
			c.processNumber(s.owner)
		}
	}
	c.knownPaths = known
	return nil
}

// readSegment takes in what a segment has more than when it was last read.
func (c *Store) readSegment(s *segment) error {
	if c.readBuffer == nil {
		c.readBuffer = make([]byte, format.MaxRecord+4<<10)
	}
	owner := c.processes[s.owner]
	last := c.superseded(s) || c.dead[owner] // as of before it is read: nothing is added to it any more
	lost := s.skippedBytes
	err := s.read(c.readBuffer, last, func(r format.Record, at, size int64) {
		s.expiresAt = max(s.expiresAt, r.ExpiresAt)
		if c.table.Apply(owner, r, keystate.Location{Segment: s.number, Offset: at, Size: size}) && r.Kind != format.KindStarted {
			c.notifyWatchers(r.ID)
		}
	})
	if last {
		s.closeFile()
	}
	if s.skippedBytes > lost {
		c.log.Warn("claims of another process were cut or damaged", fmt.Errorf("%s: %d bytes are no records", s.path, s.skippedBytes))
	}
	return err
}

// superseded says whether the owner of a segment has begun a later one.
func (c *Store) superseded(s *segment) bool {
	for _, o := range c.peerSegments {
		if o.owner == s.owner && o.order > s.order {
			return true
		}
	}
	return false
}

func (c *Store) processNumber(name string) int {
	n, ok := c.processes[name]
	if !ok {
		c.lastNumber++
		n = c.lastNumber
		c.processes[name] = n
	}
	return n
}

// notifyWatchers calls those who wait for a key.
func (c *Store) notifyWatchers(key format.ID) {
	for _, done := range c.watchers[key] {
		go done()
	}
	delete(c.watchers, key)
}

// writeLoop tells what is to be told, and looks at the others' segments while somebody waits for them, until Close.
func (c *Store) writeLoop() {
	defer close(c.writerDone)
	look := time.NewTimer(time.Hour)
	defer look.Stop()
	for {
		select {
		case <-c.stop:
			c.flush(nil)
			return
		case swept := <-c.sweeps:
			c.flush(c.sweep)
			close(swept)
		case <-c.wake:
		case <-look.C:
		}
		c.flush(nil)
		c.mu.Lock()
		if len(c.watchers) > 0 {
			c.refresh()
			look.Reset(c.opts.Limits.PollInterval)
		}
		c.mu.Unlock()
	}
}

// flush tells all that is queued under the lock, and then does what else is to be done there.
func (c *Store) flush(also func()) {
	c.mu.Lock()
	empty := len(c.queue) == 0
	c.mu.Unlock()
	if empty && also == nil {
		return
	}
	err := c.folder.acquireLock()
	c.mu.Lock()
	queue := c.queue
	c.queue = nil
	var results []error
	if err == nil {
		// Without what others hold nothing can be told to be free.
		if err = c.readPeers(c.folder.generationChanged()); err == nil {
			results = c.appendWrites(queue)
		}
		if also != nil {
			also()
		}
	}
	c.mu.Unlock()
	c.folder.releaseLock()
	for i, o := range queue {
		if o.done == nil {
			continue
		}
		if err != nil {
			o.done(err)
		} else {
			o.done(results[i])
		}
	}
}

// appendWrites appends the records of ops that may be told, and says of each how it went. The caller holds both locks and has
// read all that others told.
func (c *Store) appendWrites(ops []pendingWrite) []error {
	results := make([]error, len(ops))
	now := c.opts.Now()
	seq, bytes := c.table.LastSeq(), c.totalBytes()
	var told []int // which of ops are to be told
	for i := range ops {
		r := &ops[i].record
		if results[i] = c.checkWrite(r, bytes, now); results[i] != nil {
			continue
		}
		if bytes >= c.opts.Limits.TotalBytes*3/4 {
			r.ResultStored, r.Result = false, nil // claims first: without one a booking can't be taken
		}
		seq++
		r.Seq = seq
		bytes += int64(len(r.Result)) + recordOverhead
		told = append(told, i)
		c.setRunning(r, r.Kind == format.KindStarted) // at once: the next of these may be of the same key
		c.longestRetention = max(c.longestRetention, time.Duration(r.ExpiresAt-now.UnixNano()))
	}
	c.table.ObserveSeq(seq)
	if len(told) == 0 {
		return results
	}
	s, err := c.writableSegment(now)
	written, ends := 0, make([]int, len(told))
	if err == nil {
		var text []byte
		for n, i := range told {
			text = s.salt.AppendRecord(text, ops[i].record)
			ends[n] = len(text)
		}
		written, err = s.append(text)
	}
	for n, i := range told {
		if r := &ops[i].record; s != nil && ends[n] <= written {
			s.expiresAt = max(s.expiresAt, r.ExpiresAt)
		} else {
			results[i] = err
			c.setRunning(r, r.Kind != format.KindStarted) // others go on to take what could not be let go of for held
		}
	}
	if err != nil {
		c.log.Warn("claims of keys were not written", err)
	}
	return results
}

// recordOverhead is about what a record takes beside its result.
const recordOverhead = 96

// checkWrite says why a record is not to be told.
func (c *Store) checkWrite(r *format.Record, bytes int64, now time.Time) error {
	if r.Kind != format.KindStarted {
		if !c.runningKeys[r.ID] {
			return errors.New("claims: not held here")
		}
		return nil
	}
	if _, taken := c.table.Lookup(r.ID, now.UnixNano()); taken {
		return node.ErrKeyHeld
	}
	if bytes >= c.opts.Limits.TotalBytes {
		return ErrFull
	}
	return nil
}

// setRunning notes whether this process holds a key whose run is not over.
func (c *Store) setRunning(r *format.Record, held bool) {
	if held {
		c.runningKeys[r.ID] = true
	} else {
		delete(c.runningKeys, r.ID)
	}
}

// writableSegment is the own segment to write to: a new one where the last is too long, too old or cut.
func (c *Store) writableSegment(now time.Time) (*segment, error) {
	var s *segment
	if len(c.ownSegments) > 0 {
		s = c.ownSegments[len(c.ownSegments)-1]
	}
	age := max(c.opts.Limits.MaxSegmentAge, c.longestRetention/16)
	if s != nil && s.file != nil && s.size < c.opts.Limits.SegmentBytes && now.Sub(c.newestCreatedAt) <= age && !now.Before(c.newestCreatedAt) {
		return s, nil
	}
	made, err := c.folder.createSegment(c.lastOrder + 1)
	if err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	if s != nil {
		s.closeFile()
	}
	c.lastOrder++
	c.folder.generation++ // this process's own; others' that came meanwhile were read before
	c.ownSegments, c.newestCreatedAt = append(c.ownSegments, made), now
	return made, nil
}

// totalBytes is what all segments hold together.
func (c *Store) totalBytes() (sum int64) {
	for _, s := range c.ownSegments {
		sum += s.size
	}
	for _, s := range c.peerSegments {
		sum += s.size
	}
	return sum
}

// Sweep asks for the segments whose records all count no more to be dropped, and for a look at who has died. The cost is
// that of what is dropped and of the number of segments. It does not wait.
func (c *Store) Sweep() {
	select {
	case c.sweeps <- make(chan struct{}):
	default: // the one before is on its way
	}
}

// ExchangeNotes leaves a note of at most limits.Note bytes where the other processes find it, and returns those of the others
// that live. One that has left none yet has an empty one. It costs a write, and a read for each other process.
func (c *Store) ExchangeNotes(note []byte) (others [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if _, err := c.folder.alive.WriteAt(note[:min(len(note), c.opts.Limits.NoteBytes)], 0); err != nil {
		c.log.Warn("the other processes can't be told what this one has in hand", err)
	}
	c.refresh()
	for name, number := range c.processes {
		if c.dead[number] {
			continue
		}
		text, err := os.ReadFile(filepath.Join(c.folder.dir, name+aliveSuffix))
		if err != nil {
			continue // it has ended
		}
		others = append(others, text[:min(len(text), c.opts.Limits.NoteBytes)])
	}
	return others
}

// LiveProcesses is the number of other processes of this node that live, as of a look that may take as long as wait; then it
// is as of the last one.
func (c *Store) LiveProcesses(wait time.Duration) (n int) {
	late := time.NewTimer(wait)
	defer late.Stop()
	swept := make(chan struct{})
	select {
	case c.sweeps <- swept:
		select {
		case <-swept:
		case <-late.C:
		}
	case <-late.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, number := range c.processes {
		if !c.dead[number] {
			n++
		}
	}
	return n
}

func (c *Store) sweep() {
	now := c.opts.Now().UnixNano()
	for name, number := range c.processes {
		if !c.dead[number] && c.folder.hasExited(name) {
			c.dead[number] = true
		}
	}
	left := c.ownSegments[:0]
	for _, s := range c.ownSegments {
		if s.expiresAt >= now {
			left = append(left, s)
			continue
		}
		s.closeFile()
		os.Remove(s.path)
	}
	c.ownSegments = left
	standing := map[string]bool{}
	for number, s := range c.peerSegments {
		dead := c.dead[c.processes[s.owner]]
		if dead && s.file != nil { // what was cut by its death comes to no more
			if err := c.readSegment(s); err != nil {
				c.log.Warn("the claims of another process can't be read", err)
			}
		}
		if s.expiresAt >= now || s.foreignVersion || !dead && !c.superseded(s) && s.exists() {
			standing[s.owner] = true
			continue
		}
		s.closeFile()
		c.table.ForgetSegment(number)
		delete(c.peerSegments, number)
		if dead {
			os.Remove(s.path)
		}
	}
	for name, number := range c.processes {
		if c.dead[number] && !standing[name] {
			c.folder.removeAliveFile(name)
			delete(c.processes, name)
			delete(c.dead, number)
		}
	}
	for key := range c.watchers {
		if held, ok := c.table.Lookup(key, now); !ok || c.dead[held.Owner] {
			c.notifyWatchers(key)
		}
	}
	if len(c.peerSegments) == 0 {
		c.readBuffer = nil
	}
}

// Stats are what the claims come to.
type Stats struct {
	OwnSegments, PeerSegments int   // segments
	PeerKeys                  int   // of other processes, that are remembered
	RunningKeys               int   // keys held here whose runs are not over
	Bytes                     int64 // of all segments
	WatchedKeys               int   // keys whose end in another process is waited for
}

// Stats returns them as of now.
func (c *Store) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{OwnSegments: len(c.ownSegments), PeerSegments: len(c.peerSegments), PeerKeys: c.table.Len(), RunningKeys: len(c.runningKeys), Bytes: c.totalBytes(), WatchedKeys: len(c.watchers)}
}

// Close tells what is still to be told and leaves the folder: the others take this process for ended.
func (c *Store) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	close(c.stop)
	<-c.writerDone
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.watchers {
		c.notifyWatchers(key)
	}
	for _, s := range c.ownSegments {
		s.closeFile()
	}
	for _, s := range c.peerSegments {
		s.closeFile()
	}
	c.folder.removeAliveFile(c.folder.owner)
	c.folder.close()
	return nil
}

// Inspect is a line on each process that has told of keys in dir, as of now: whether it lives, its segments and bytes, the
// keys that count and how many of them run. It changes nothing, and is not for the processes themselves.
func Inspect(dir string, now time.Time) ([]string, error) {
	f := &folder{dir: dir}
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var err error
	if f.lock, err = os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR, 0); err == nil {
		err = f.acquireLock()
	}
	if err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	defer f.close()
	found, owners, err := f.list()
	if err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	for _, s := range found {
		owners = append(owners, s.owner)
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	table := keystate.New()
	numbers := map[string]int{}
	segments, bytes := map[string]int{}, map[string]int64{}
	buffer := make([]byte, format.MaxRecord+4<<10)
	for n, name := range owners {
		numbers[name] = n
	}
	for n, s := range found {
		err = errors.Join(err, s.read(buffer, true, func(r format.Record, at, size int64) {
			table.Apply(numbers[s.owner], r, keystate.Location{Segment: n})
		}))
		s.closeFile()
		segments[s.owner]++
		bytes[s.owner] += s.size
	}
	counts := table.CountByOwner(now.UnixNano())
	var lines []string
	for n, name := range owners {
		state := "lives"
		if f.hasExited(name) {
			state = "has ended"
		}
		lines = append(lines, fmt.Sprintf("%s: process %s %s: %d segments, %d bytes, %d keys, %d of them run or have no known end",
			dir, name, state, segments[name], bytes[name], counts[n].Keys, counts[n].Running))
	}
	return lines, err
}
