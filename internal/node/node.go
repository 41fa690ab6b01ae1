// Package node is the core between the fronts and the work: requests, attempts and outcomes. It knows no wire.
// It keeps the rules on its own account, whatever the decision module says: one final answer for each request by
// its due time, one run for a key in its window, no run of what comes too late after the notice to leave.
package node

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
	"sloehitch/logic"
)

// Request is what a front has read.
type Request struct {
	ID      string // new with every try, and what the runner of the work is told
	Class   int
	Tenant  int // -1 if unknown
	KB      float64
	Hint    time.Duration
	Rank    float64
	Retry   bool
	Source  int
	Arrived time.Time     // when it reached the machine
	Wait    time.Duration // for how long its caller waits from then; 0: not told. It caps the class's deadline
	Key     string        // the same for all tries of one keyed request
	Body    []byte
	Content []byte // what all tries of one keyed request have in common besides the key
	Runner  Runner
	Front   string // the protocol that it came by: another one's results can't be read there
}

// Kind is how a request was answered.
type Kind int

const (
	Served  Kind = iota // with the result of a run of this request
	Refused             // this try never ran
	Failed              // no promise of any kind
)

// Answer is the one final answer to a request.
type Answer struct {
	Kind    Kind
	Result  []byte
	Holdoff time.Duration // Refused: how long to stay away
	Last    bool          // Refused: no other node will help
	Late    bool          // Failed: its due time has come
	Taken   bool          // Failed: its key belongs to another request
	Begun   bool          // part of the response is with the caller: only its end is left to tell
}

// Runner does the work of requests. Its methods must not block; how runs go comes back through Ended and Wants. once says
// that a run must not be started a second time, whatever becomes of the first start.
type Runner interface {
	Start(id, class string, body []byte, once bool)
	Stop(id string)
	Continue(id string)
	Give(id string, reply []byte)
	Omit(id string, pos uint64)
}

// Caller makes calls below. Call must not block and calls done once, unless Quit came first; once says that the call
// must not be made again if it may have run.
type Caller interface {
	Call(id string, patience time.Duration, body []byte, once bool, done func(o admission.Outcome, took time.Duration, reply []byte))
	Quit(id string)
}

// Options are what a node is made of.
type Options struct {
	Settings logic.Settings
	Gate     *admission.Gate
	Caller   Caller
	Journal  Journal // nil: what runs is known in memory only
	Clock    clock.Clock
	Limits   limits.Limits
	Log      *slog.Logger
	// Took is told how long each served request took, from when it reached the machine; nil: nobody is. It is called with the core's lock
	// held: it must not block, nor call the core.
	Took func(time.Duration)
}

// stage is how far a request's own work has come.
type stage int

const (
	held     stage = iota // nothing of it runs
	joined                // it waits for the result of another try
	starting              // it waits for its start to be on record; nothing of it runs
	runs                  // its run was asked for and has not ended
	abroad                // it waits for what comes of its key's run in another process; the module does not know it
	ended
)

// request is one try in hand, from its reading until it is answered and its run is over.
type request struct {
	Request
	num     uint64    // what the module calls it
	read    time.Time // when it was read, which is when its last byte had come or later
	stamp   time.Time // when its caller says that it reached the machine, ahead of our clock or not
	stage   stage
	settled bool // answered, or its caller is known to be gone
	gone    bool
	reply   func(Answer)
	due     time.Time
	guard   clock.Timer
	wait    clock.Timer // starting: for how long
	entered time.Time   // when the module was told of it
	paused  bool
	lost    bool   // the runner can't tell whether the last word to its run arrived: no end of it may ever be told
	begun   bool   // part of its response is with the caller
	wants   uint64 // the notice that asked for the call it stands at; 0: none
	call    []byte
	calling bool
	digest  [sha256.Size]byte // of a keyed request's class and content
}

// digest tells requests under one key apart.
func digest(class string, q *Request) [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintln(h, class)
	h.Write(q.Content)
	return [sha256.Size]byte(h.Sum(nil))
}

// Node owns all requests in hand.
type Node struct {
	opts Options

	mu      sync.Mutex
	byID    map[string]*request
	byNum   map[uint64]*request
	next    uint64
	keys    *keyTable
	log     *lograte.Logger
	traced  bool      // each step of each request is logged
	leaving time.Time // when the notice to leave came; zero: it did not
	kill    time.Time
	open    int // requests that are owed an answer
	counts  Counts
	classes map[string]*ClassCounts // by the name of the class
}

// New returns a node; Serve makes it work.
func New(o Options) *Node {
	n := &Node{opts: o, classes: map[string]*ClassCounts{}, byID: map[string]*request{}, byNum: map[uint64]*request{},
		log: lograte.New(o.Log, o.Limits.LogEvery), traced: traced(o.Log)}
	// Called with n.mu held: the settings are those of the latest Retune.
	window := func(class int) time.Duration { return span(n.opts.Settings.Classes[class].Window) }
	n.keys = newKeyTable(o.Limits.Keys, o.Limits.KeptResults, o.Limits.KeySlack, window)
	return n
}

// Retune has the core and its module take new settings, as of the next request. The classes of the old settings
// must keep their places, new ones coming after them, so that each request in hand keeps its class; the tenants must
// stay (package retune makes such settings). It errs, and changes nothing, where the module would not take them.
func (n *Node) Retune(s logic.Settings) error {
	if _, err := logic.New(s, 0); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.opts.Settings
	if len(s.Classes) < len(old.Classes) || len(s.Tenants) != len(old.Tenants) {
		return errors.New("retune: classes may only be added, and tenants must stay")
	}
	for i := range old.Classes {
		if s.Classes[i].Name != old.Classes[i].Name {
			return fmt.Errorf("retune: class %d is %q, was %q", i, s.Classes[i].Name, old.Classes[i].Name)
		}
	}
	n.opts.Settings = s
	n.opts.Gate.Retune(s) // under n.mu: before any request of a new class is reported
	return nil
}

// Spare is for how long beyond its window a key is remembered: tries are told apart by when they reached the machine, and
// may be read seconds after that.
func Spare(l limits.Limits) time.Duration { return spare * l.KeySlack }

// Serve carries out what the gate decides until the gate is closed.
func (n *Node) Serve() {
	for {
		d, ok := n.opts.Gate.Pick()
		if !ok {
			return
		}
		n.Decide(d)
	}
}

// Decide carries out one decision of the gate: for a host whose gate carries its decisions by itself (gate.Options.Carry).
func (n *Node) Decide(d admission.Decision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byNum[d.ID]; r != nil {
		n.carryOut(r, d)
	} else if d.Verb == admission.Run || d.Verb == admission.Join {
		// Its caller left, or it was answered, while the module decided to start it. The module counts it among what runs
		// until it hears of an end: without this word it would hold one run less at once for ever after.
		n.opts.Gate.Report(admission.Ended(d.ID, logic.Moot, 0))
	}
}

// Submit takes a request that was read. reply gets its one final answer, unless Gone comes first; it must not block.
func (n *Node) Submit(q Request, reply func(Answer)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.counts.Read++
	stamp := q.Arrived
	if q.Arrived.After(now) {
		q.Arrived = now // a caller's clock ahead of ours must not stretch its time
	}
	class := &n.opts.Settings.Classes[q.Class]
	if class.Effect != logic.Keyed {
		q.Key = ""
	}
	r := &request{Request: q, reply: reply, read: now, stamp: stamp, due: q.Arrived.Add(span(class.Deadline))}
	if told := q.Arrived.Add(q.Wait); q.Wait > 0 && told.Before(r.due) {
		r.due = told
	}
	if r.due.Before(now) {
		r.due = now
	}
	if n.byID[q.ID] != nil && class.Effect != logic.Safe {
		// The first request of the name may run: a refusal would promise that it did not.
		n.trace("an id that is in hand already", r)
		n.open++
		n.settle(r, Answer{Kind: Failed})
		return
	}
	if n.byID[q.ID] != nil || len(n.byNum) >= n.opts.Limits.Requests || class.Effect == logic.Keyed && q.Key == "" {
		// A second request of the same name, a crowd beyond our own memory, or a keyed one whose repeats could
		// not be told: it is answered and never known.
		n.open++
		n.settle(r, Answer{Kind: Refused})
		return
	}
	n.open++
	n.trace("read", r, "age", now.Sub(stamp))
	if r.Key != "" {
		r.digest = digest(class.Name, &q)
		if e := n.keys.key(r); e != nil && e.digest != r.digest {
			// Another request under the same key: the first one's result is not its own, and neither must take the
			// other's place.
			n.settle(r, Answer{Kind: Failed, Taken: true})
			return
		} else if e != nil && e.restored {
			n.answerRestored(r, e)
			return
		}
	}
	if n.over(now) || n.tooLate(r) && !n.ranHere(r) {
		// What is read now is not passed on, whenever its first byte came: the answer is there already.
		n.settle(r, Answer{Kind: Refused, Holdoff: span(n.opts.Settings.MaxAdvice)})
		return
	}
	n.byID[q.ID] = r
	r.guard = n.opts.Clock.AfterFunc(r.due.Sub(now)+n.grace(), func() { n.overdue(r) })
	if r.Key != "" && !n.keys.ran(r) && n.abroad(r) {
		return
	}
	n.enter(r, now)
}

// grace is how long past its due time the guard waits: the module answers first where it can.
func (n *Node) grace() time.Duration {
	return time.Duration(n.opts.Limits.DueShare * float64(span(n.opts.Settings.AnswerGrace)))
}

func span(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// enter tells the module of a request as of one that has just been read.
func (n *Node) enter(r *request, now time.Time) {
	n.next++
	r.num, r.stage, r.entered = n.next, held, now
	n.byNum[r.num] = r
	a := admission.Arrival{Class: r.Class, Tenant: r.Tenant, KB: r.KB, Hint: logic.Micros(r.Hint / time.Microsecond),
		Age: logic.Micros(now.Sub(r.Arrived) / time.Microsecond), Wait: r.left(now), Retry: r.Retry, Rank: r.Rank, Source: r.Source}
	if r.Key != "" {
		if f := n.keys.arrive(r); f != nil {
			a.Forerunner = logic.RequestID(f.num)
		}
	}
	n.opts.Gate.Report(admission.Arrived(r.num, a))
}

// left is what the module is told of how long the caller still waits; 0 where it didn't say.
func (r *request) left(now time.Time) logic.Micros {
	if r.Wait <= 0 {
		return 0
	}
	return max(1, logic.Micros(r.Arrived.Add(r.Wait).Sub(now)/time.Microsecond))
}

// Begin tells that a run's response is about to be passed on before the run is over. It returns false if the request has been
// answered or is not running, or if its response is to be kept whole for repeats: then nothing of it may be passed on. After it the
// request's answer, which comes by its due time as ever, says only how the response is to end.
func (n *Node) Begin(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.settled || r.stage != runs || r.Key != "" {
		return false
	}
	r.begun = true
	return true
}

// Gone tells that nobody waits for a request any more.
func (n *Node) Gone(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.settled {
		return
	}
	r.settled, r.gone = true, true
	n.trace("its caller is gone", r)
	n.counts.Gone++
	n.closed(r)
	n.forsaken(r)
}

// forsaken tells the module that nobody waits for a request any more, and drops it if nothing of it runs.
func (n *Node) forsaken(r *request) {
	if r.stage == abroad {
		n.leave(r)
		return
	}
	n.opts.Gate.Report(admission.Gone(r.num))
	if r.stage == held || r.stage == joined {
		n.drop(r)
	}
}

// GiveUp answers a request at once, whatever runs: its front can't wait for more.
func (n *Node) GiveUp(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byID[id]; r != nil && !r.settled {
		n.giveUp(r)
	}
}

// settle is the only place that makes a final answer.
func (n *Node) settle(r *request, a Answer) {
	if r.settled {
		return
	}
	if a.Kind == Refused && (n.ranHere(r) || n.mayHaveRun(r)) {
		a = Answer{Kind: Failed} // it did run here: a refusal would send it to run elsewhere too
	}
	if r.begun {
		if a.Begun = true; a.Kind == Refused {
			a = Answer{Kind: Failed, Begun: true}
		}
	}
	r.settled = true
	switch a.Kind {
	case Served:
		n.counts.Served++
		n.class(r).Served++
		if n.opts.Took != nil {
			n.opts.Took(n.opts.Clock.Now().Sub(r.Arrived))
		}
	case Refused:
		n.counts.Refused++
		n.class(r).Refused++
	case Failed:
		n.counts.Failed++
		n.class(r).Failed++
		a.Late = n.opts.Clock.Now().After(r.due.Add(-n.grace()))
	}
	n.trace("answered", r, "kind", a.Kind, "due_in", r.due.Sub(n.opts.Clock.Now()))
	r.reply(a)
	n.closed(r)
}

// errSlow says that a start was not on record by the time it had to be.
var errSlow = errors.New("the disk is too slow")

// closed takes a request off those that are owed an answer.
func (n *Node) closed(r *request) {
	if r.guard != nil {
		r.guard.Stop()
	}
	n.open--
}

// drop forgets a request of which nothing runs and no answer is owed.
func (n *Node) drop(r *request) {
	if n.byNum[r.num] != r {
		return
	}
	delete(n.byNum, r.num)
	if n.byID[r.ID] == r {
		delete(n.byID, r.ID)
	}
	if r.calling {
		r.calling = false
		n.opts.Caller.Quit(r.ID)
	}
	for _, waiting := range n.keys.abandon(r) {
		n.again(waiting)
	}
	// The table of keys holds on to its owners: without what only a request in hand needs.
	r.Body, r.Content, r.call, r.reply, r.guard, r.wait = nil, nil, nil, nil, nil, nil
}

// again hands a request that waited for a try which never ran to the module once more, as a new one.
func (n *Node) again(r *request) {
	n.opts.Gate.Report(admission.Ended(r.num, logic.Moot, 0))
	delete(n.byNum, r.num)
	n.enter(r, n.opts.Clock.Now())
}

// overdue guards the first rule against a late or mistaken module: what is due is answered.
func (n *Node) overdue(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled {
		return
	}
	n.counts.Late++
	n.log.Warn("answered by the due-time guard", fmt.Errorf("request %s was due at %v", r.ID, r.due))
	n.giveUp(r)
}

// giveUp answers a request without the module's word, and tells it.
func (n *Node) giveUp(r *request) {
	if r.stage == starting {
		n.takeBack(r, Answer{Kind: Refused, Holdoff: n.opts.Limits.RecordBack})
		return
	}
	kind := Failed
	if r.stage == held {
		kind = Refused
	}
	n.settle(r, Answer{Kind: kind})
	n.forsaken(r)
	n.writeOff(r)
}

// ranHere says whether some try of a keyed request ran on this node, so that this one may be answered from its result.
func (n *Node) ranHere(r *request) bool {
	return r.Key != "" && (n.keys.ran(r) || n.heldAbroad(r))
}

// mayHaveRun says whether a request that must not run twice was handed to its runner.
func (n *Node) mayHaveRun(r *request) bool {
	return r.stage == runs && n.opts.Settings.Classes[r.Class].Effect != logic.Safe
}

// Sweep drops what has expired; it is to be called now and then.
func (n *Node) Sweep() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.keys.expire(now)
	for _, r := range n.byNum {
		switch late := now.Sub(r.due); {
		case r.lost && late > 0:
			n.writeOff(r)
		case late > n.opts.Limits.Orphan: // a run whose end was lost with a link
			n.finish(r, logic.Failed, 0, nil)
		}
	}
}
