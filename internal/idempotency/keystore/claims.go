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
	Dir    string        // shared by the processes of one node
	Spare  time.Duration // how long beyond its window a key is held: tries of it may be read late
	Now    func() time.Time
	Limits limits.Claims
	Log    *slog.Logger
}

// Claims are the keys held by this process and by others. It is the core's node.Sharer; its methods may be called
// from any goroutine. What is to be told is written by a goroutine of its own, many records at once.
type Claims struct {
	opts   Options
	log    *lograte.Logger
	folder *folder
	wake   chan struct{}
	stop   chan struct{}
	ended  chan struct{}      // serve is over
	sweeps chan chan struct{} // each is closed once its sweep is done

	mu      sync.Mutex
	queue   []op // to be told, in order
	closed  bool
	table   *keystate.Table // of the other processes
	owners  map[string]int  // by the name of the process
	dead    map[int]bool    // which of them have ended
	others  map[int]*segment
	known   map[string]bool // the others' segments, by path, expired ones included while their files stand
	own     []*segment      // the last one is being written
	order   int             // of the last own one
	numbers int             // given to segments and processes
	mine    map[format.ID]bool
	widest  time.Duration // the longest time that a record counted when it was told
	began   time.Time     // when the newest own segment was made
	waiters map[format.ID][]func()
	buffer  []byte
}

// op is one thing to tell of a key.
type op struct {
	record format.Record
	told   func(error) // of a Began: how it went
}

// Open joins the processes that share the folder, and reads what they told. It waits for the folder's lock. What can't
// be read is an error: a key could run twice.
func Open(o Options) (*Claims, error) {
	name := strconv.Itoa(os.Getpid()) + "-" + strconv.FormatUint(rand.Uint64(), 36)
	c := &Claims{opts: o, log: lograte.New(o.Log, o.Limits.LogEvery), wake: make(chan struct{}, 1), stop: make(chan struct{}),
		ended: make(chan struct{}), sweeps: make(chan chan struct{}, 1), table: keystate.New(), owners: map[string]int{}, dead: map[int]bool{}, others: map[int]*segment{},
		known: map[string]bool{}, mine: map[format.ID]bool{}, waiters: map[format.ID][]func(){}}
	var err error
	if c.folder, err = openFolder(o.Dir, name); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	if err = c.folder.locked(); err == nil {
		c.folder.moved()
		if err = c.catchUp(true); err == nil {
			c.sweep()
		}
		c.folder.unlock()
	}
	if err != nil {
		c.folder.close()
		return nil, fmt.Errorf("claims: %w", err)
	}
	go c.serve()
	return c, nil
}

// id names a booking's key and class.
func id(b node.Booking) (out format.ID) {
	h := sha256.New()
	h.Write([]byte(b.Class))
	h.Write([]byte{0})
	h.Write([]byte(b.Key))
	copy(out[:], h.Sum(nil))
	return out
}

func (c *Claims) ends(b node.Booking) int64 {
	return b.Arrived.Add(b.Window).Add(c.opts.Spare).UnixNano()
}

// Began claims b's key and calls done from another goroutine: with nil once this process holds it, with node.ErrTaken
// where another does, and with another error where that can't be told. It errs at once where too much is to be told
// already; done is not called then.
func (c *Claims) Began(b node.Booking, done func(error)) error {
	return c.tell(op{format.Record{Kind: format.Began, ID: id(b), Ends: c.ends(b), Digest: b.Digest}, done})
}

// Ended tells how the run of a key held here ended, with its result where there is room for it. Without the result a
// try that comes to another process fails.
func (c *Claims) Ended(b node.Booking) {
	r := format.Record{Kind: format.Ended, ID: id(b), Ends: c.ends(b), Digest: b.Digest, Served: b.Served, Front: b.Front}
	if r.Kept = b.Kept && len(b.Result) <= c.opts.Limits.Result; r.Kept {
		r.Result = b.Result
	}
	_ = c.tell(op{record: r}) // closed: nobody waits
}

// Withdraw lets go of a key held here of which nothing ran.
func (c *Claims) Withdraw(b node.Booking) {
	_ = c.tell(op{record: format.Record{Kind: format.Withdrawn, ID: id(b), Ends: c.ends(b)}})
}

func (c *Claims) tell(o op) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || o.told != nil && len(c.queue) >= c.opts.Limits.Queue {
		return errors.New("claims: too many are on their way")
	}
	c.queue = append(c.queue, o)
	c.poke()
	return nil
}

func (c *Claims) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Find returns what another process told of b's key, as of now: whether its run is over and what came of it. One whose
// process died before it told of the end is over and was not served. It reads what the others have written since it
// last looked, from memory as a rule, and waits for no lock but its own.
func (c *Claims) Find(b node.Booking) (node.Booking, bool) {
	key := id(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.look()
	held, ok := c.table.Find(key, c.opts.Now().UnixNano())
	if !ok {
		return node.Booking{}, false
	}
	found := node.Booking{Key: b.Key, Class: b.Class, Digest: held.Digest, Ended: held.Kind == format.Ended || c.dead[held.Owner]}
	if held.Kind != format.Ended {
		return found, true
	}
	s := c.others[held.Place.Segment]
	r, err := s.result(held.Place.Offset, held.Place.Size)
	if err != nil || r.ID != key {
		c.log.Warn("a result told by another process can't be read", fmt.Errorf("%s: %w", s.path, err))
		return found, true
	}
	found.Served, found.Kept, found.Front, found.Result = r.Served, r.Kept, r.Front, r.Result
	return found, true
}

// Await calls done once, from another goroutine, when Find may have more to say of b's key than that it runs elsewhere.
func (c *Claims) Await(b node.Booking, done func()) {
	key := id(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.table.Find(key, c.opts.Now().UnixNano())
	if c.closed {
		return // this process is about to end
	}
	if !ok || held.Kind == format.Ended || c.dead[held.Owner] {
		go done()
		return
	}
	c.waiters[key] = append(c.waiters[key], done)
	c.poke()
}

// look reads what others told since, without the lock of all: what is there whole was told.
func (c *Claims) look() {
	if err := c.catchUp(c.folder.moved()); err != nil {
		c.log.Warn("the claims of another process can't be read", err)
	}
}

// catchUp reads on in the others' segments; news says that there may be new ones. The caller holds mu, or is alone.
func (c *Claims) catchUp(news bool) error {
	var errs []error
	if news {
		if err := c.find(); err != nil {
			return err
		}
	}
	for _, s := range c.others {
		if s.file == nil && s.size > 0 {
			continue // read to its end
		}
		errs = append(errs, c.readOn(s))
	}
	return errors.Join(errs...)
}

// find looks for processes and segments that are new.
func (c *Claims) find() error {
	found, owners, err := c.folder.list()
	if err != nil {
		return err
	}
	for _, name := range owners {
		c.owner(name)
	}
	known := map[string]bool{}
	for _, s := range found {
		known[s.path] = true
		if !c.known[s.path] {
			c.numbers++
			s.number = c.numbers
			c.others[s.number] = s
			c.owner(s.owner)
		}
	}
	c.known = known
	return nil
}

// readOn takes in what a segment has more than when it was last read.
func (c *Claims) readOn(s *segment) error {
	if c.buffer == nil {
		c.buffer = make([]byte, format.MostRecord+4<<10)
	}
	owner := c.owners[s.owner]
	last := c.followed(s) || c.dead[owner] // as of before it is read: nothing is added to it any more
	lost := s.lost
	err := s.read(c.buffer, last, func(r format.Record, at, size int64) {
		s.ends = max(s.ends, r.Ends)
		if c.table.Apply(owner, r, keystate.Place{Segment: s.number, Offset: at, Size: size}) && r.Kind != format.Began {
			c.resolve(r.ID)
		}
	})
	if last {
		s.done()
	}
	if s.lost > lost {
		c.log.Warn("claims of another process were cut or damaged", fmt.Errorf("%s: %d bytes are no records", s.path, s.lost))
	}
	return err
}

// followed says whether the owner of a segment has begun a later one.
func (c *Claims) followed(s *segment) bool {
	for _, o := range c.others {
		if o.owner == s.owner && o.order > s.order {
			return true
		}
	}
	return false
}

func (c *Claims) owner(name string) int {
	n, ok := c.owners[name]
	if !ok {
		c.numbers++
		n = c.numbers
		c.owners[name] = n
	}
	return n
}

// resolve calls those who wait for a key.
func (c *Claims) resolve(key format.ID) {
	for _, done := range c.waiters[key] {
		go done()
	}
	delete(c.waiters, key)
}

// serve tells what is to be told, and looks at the others' segments while somebody waits for them, until Close.
func (c *Claims) serve() {
	defer close(c.ended)
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
		if len(c.waiters) > 0 {
			c.look()
			look.Reset(c.opts.Limits.Look)
		}
		c.mu.Unlock()
	}
}

// flush tells all that is queued under the lock, and then does what else is to be done there.
func (c *Claims) flush(also func()) {
	c.mu.Lock()
	empty := len(c.queue) == 0
	c.mu.Unlock()
	if empty && also == nil {
		return
	}
	err := c.folder.locked()
	c.mu.Lock()
	queue := c.queue
	c.queue = nil
	var results []error
	if err == nil {
		// Without what others hold nothing can be told to be free.
		if err = c.catchUp(c.folder.moved()); err == nil {
			results = c.write(queue)
		}
		if also != nil {
			also()
		}
	}
	c.mu.Unlock()
	c.folder.unlock()
	for i, o := range queue {
		if o.told == nil {
			continue
		}
		if err != nil {
			o.told(err)
		} else {
			o.told(results[i])
		}
	}
}

// write appends the records of ops that may be told, and says of each how it went. The caller holds both locks and has
// read all that others told.
func (c *Claims) write(ops []op) []error {
	results := make([]error, len(ops))
	now := c.opts.Now()
	seq, bytes := c.table.Seq(), c.bytes()
	var told []int // which of ops are to be told
	for i := range ops {
		r := &ops[i].record
		if results[i] = c.refusal(r, bytes, now); results[i] != nil {
			continue
		}
		if bytes >= c.opts.Limits.Bytes*3/4 {
			r.Kept, r.Result = false, nil // claims first: without one a booking can't be taken
		}
		seq++
		r.Seq = seq
		bytes += int64(len(r.Result)) + recordSize
		told = append(told, i)
		c.hold(r, r.Kind == format.Began) // at once: the next of these may be of the same key
		c.widest = max(c.widest, time.Duration(r.Ends-now.UnixNano()))
	}
	c.table.Told(seq)
	if len(told) == 0 {
		return results
	}
	s, err := c.newest(now)
	written, ends := 0, make([]int, len(told))
	if err == nil {
		var text []byte
		for n, i := range told {
			text = s.salt.Append(text, ops[i].record)
			ends[n] = len(text)
		}
		written, err = s.append(text)
	}
	for n, i := range told {
		if r := &ops[i].record; s != nil && ends[n] <= written {
			s.ends = max(s.ends, r.Ends)
		} else {
			results[i] = err
			c.hold(r, r.Kind != format.Began) // others go on to take what could not be let go of for held
		}
	}
	if err != nil {
		c.log.Warn("claims of keys were not written", err)
	}
	return results
}

// recordSize is about what a record takes beside its result.
const recordSize = 96

// refusal says why a record is not to be told.
func (c *Claims) refusal(r *format.Record, bytes int64, now time.Time) error {
	if r.Kind != format.Began {
		if !c.mine[r.ID] {
			return errors.New("claims: not held here")
		}
		return nil
	}
	if _, taken := c.table.Find(r.ID, now.UnixNano()); taken {
		return node.ErrTaken
	}
	if bytes >= c.opts.Limits.Bytes {
		return ErrFull
	}
	return nil
}

// hold notes whether this process holds a key whose run is not over.
func (c *Claims) hold(r *format.Record, held bool) {
	if held {
		c.mine[r.ID] = true
	} else {
		delete(c.mine, r.ID)
	}
}

// newest is the own segment to write to: a new one where the last is too long, too old or cut.
func (c *Claims) newest(now time.Time) (*segment, error) {
	var s *segment
	if len(c.own) > 0 {
		s = c.own[len(c.own)-1]
	}
	age := max(c.opts.Limits.SegmentAge, c.widest/16)
	if s != nil && s.file != nil && s.size < c.opts.Limits.Segment && now.Sub(c.began) <= age && !now.Before(c.began) {
		return s, nil
	}
	made, err := c.folder.create(c.order + 1)
	if err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	if s != nil {
		s.done()
	}
	c.order++
	c.folder.news++ // this process's own; others' that came meanwhile were read before
	c.own, c.began = append(c.own, made), now
	return made, nil
}

// bytes is what all segments hold together.
func (c *Claims) bytes() (sum int64) {
	for _, s := range c.own {
		sum += s.size
	}
	for _, s := range c.others {
		sum += s.size
	}
	return sum
}

// Sweep asks for the segments whose records all count no more to be dropped, and for a look at who has died. The cost is
// that of what is dropped and of the number of segments. It does not wait.
func (c *Claims) Sweep() {
	select {
	case c.sweeps <- make(chan struct{}):
	default: // the one before is on its way
	}
}

// Exchange leaves a note of at most limits.Note bytes where the other processes find it, and returns those of the others
// that live. One that has left none yet has an empty one. It costs a write, and a read for each other process.
func (c *Claims) Exchange(note []byte) (others [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if _, err := c.folder.alive.WriteAt(note[:min(len(note), c.opts.Limits.Note)], 0); err != nil {
		c.log.Warn("the other processes can't be told what this one has in hand", err)
	}
	c.look()
	for name, number := range c.owners {
		if c.dead[number] {
			continue
		}
		text, err := os.ReadFile(filepath.Join(c.folder.dir, name+aliveSuffix))
		if err != nil {
			continue // it has ended
		}
		others = append(others, text[:min(len(text), c.opts.Limits.Note)])
	}
	return others
}

// Others is the number of other processes of this node that live, as of a look that may take as long as wait; then it
// is as of the last one.
func (c *Claims) Others(wait time.Duration) (n int) {
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
	for _, number := range c.owners {
		if !c.dead[number] {
			n++
		}
	}
	return n
}

func (c *Claims) sweep() {
	now := c.opts.Now().UnixNano()
	for name, number := range c.owners {
		if !c.dead[number] && c.folder.dead(name) {
			c.dead[number] = true
		}
	}
	left := c.own[:0]
	for _, s := range c.own {
		if s.ends >= now {
			left = append(left, s)
			continue
		}
		s.done()
		os.Remove(s.path)
	}
	c.own = left
	standing := map[string]bool{}
	for number, s := range c.others {
		dead := c.dead[c.owners[s.owner]]
		if dead && s.file != nil { // what was cut by its death comes to no more
			if err := c.readOn(s); err != nil {
				c.log.Warn("the claims of another process can't be read", err)
			}
		}
		if s.ends >= now || s.bad || !dead && !c.followed(s) && s.stands() {
			standing[s.owner] = true
			continue
		}
		s.done()
		c.table.Forget(number)
		delete(c.others, number)
		if dead {
			os.Remove(s.path)
		}
	}
	for name, number := range c.owners {
		if c.dead[number] && !standing[name] {
			c.folder.bury(name)
			delete(c.owners, name)
			delete(c.dead, number)
		}
	}
	for key := range c.waiters {
		if held, ok := c.table.Find(key, now); !ok || c.dead[held.Owner] {
			c.resolve(key)
		}
	}
	if len(c.others) == 0 {
		c.buffer = nil
	}
}

// Stats are what the claims come to.
type Stats struct {
	Own, Others int   // segments
	Keys        int   // of other processes, that are remembered
	Running     int   // keys held here whose runs are not over
	Bytes       int64 // of all segments
	Waiting     int   // keys whose end in another process is waited for
}

// Stats returns them as of now.
func (c *Claims) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Own: len(c.own), Others: len(c.others), Keys: c.table.Len(), Running: len(c.mine), Bytes: c.bytes(), Waiting: len(c.waiters)}
}

// Close tells what is still to be told and leaves the folder: the others take this process for ended.
func (c *Claims) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	close(c.stop)
	<-c.ended
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.waiters {
		c.resolve(key)
	}
	for _, s := range c.own {
		s.done()
	}
	for _, s := range c.others {
		s.done()
	}
	c.folder.bury(c.folder.owner)
	c.folder.close()
	return nil
}

// Look is a line on each process that has told of keys in dir, as of now: whether it lives, its segments and bytes, the
// keys that count and how many of them run. It changes nothing, and is not for the processes themselves.
func Look(dir string, now time.Time) ([]string, error) {
	f := &folder{dir: dir}
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var err error
	if f.lock, err = os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR, 0); err == nil {
		err = f.locked()
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
	buffer := make([]byte, format.MostRecord+4<<10)
	for n, name := range owners {
		numbers[name] = n
	}
	for n, s := range found {
		err = errors.Join(err, s.read(buffer, true, func(r format.Record, at, size int64) {
			table.Apply(numbers[s.owner], r, keystate.Place{Segment: n})
		}))
		s.done()
		segments[s.owner]++
		bytes[s.owner] += s.size
	}
	counts := table.Count(now.UnixNano())
	var lines []string
	for n, name := range owners {
		state := "lives"
		if f.dead(name) {
			state = "has ended"
		}
		lines = append(lines, fmt.Sprintf("%s: process %s %s: %d segments, %d bytes, %d keys, %d of them run or have no known end",
			dir, name, state, segments[name], bytes[name], counts[n].Keys, counts[n].Running))
	}
	return lines, err
}
