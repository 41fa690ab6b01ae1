package soak

import (
	"fmt"
	"sync"
	"time"
)

// request is one try, as its client knows it. Times are since the play began.
type request struct {
	id, key, class, body string
	life                 int // the process that was up as it was written
	conn                 int // the connection that it was written on

	written  time.Duration // when its last byte was written; 0: it was not written whole
	due      time.Duration // by when its final answer is owed
	undone   bool          // its client said that it waits no more
	ended    connEnd       // how its connection ended, if it did before the answer
	endedAt  time.Duration
	answers  []answer
	starts   []start
	wrong    bool   // a wrong reply reached its run
	resentOf string // the try that crossed the close of its connection
}

// start is one begin of a run.
type start struct {
	at   time.Duration
	life int // the process that asked for it
}

// answer is one answer under a request's tag.
type answer struct {
	at         time.Duration
	word, body string
}

// connEnd is how a client's connection ended.
type connEnd int

// The ends of a connection.
const (
	open     connEnd = iota
	byNode           // it ended, or was reset, by the node's side
	byClient         // the client closed it, or a fault reset it on the way
)

// requests is the table of all tries of a play. Its methods may be called from any goroutine.
type requests struct {
	mu   sync.Mutex
	byID map[string]*request
	list []*request
}

func newRequests() *requests { return &requests{byID: map[string]*request{}} }

// create adds a try; the caller fills it in by change.
func (q *requests) create(key, class string) *request {
	q.mu.Lock()
	defer q.mu.Unlock()
	id := fmt.Sprintf("%016x", len(q.list)+1)
	r := &request{id: id, key: key, class: class, body: "body of " + id}
	if key != "" {
		r.body = "body of " + key // all tries carry the same
	}
	q.byID[id] = r
	q.list = append(q.list, r)
	return r
}

// change runs f, which may change any request.
func (q *requests) change(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f()
}

func (q *requests) find(id string) *request {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.byID[id]
}

// isOver says whether nobody waits for a try any more.
func (q *requests) isOver(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.byID[id]
	return r == nil || r.undone || r.ended != open || len(r.answers) > 0
}

func (q *requests) started(id string, s start) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.byID[id]
	r.starts = append(r.starts, s)
}

func (q *requests) wrongReply(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.byID[id].wrong = true
}
