package soak

import (
	"fmt"
	"sync"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
)

// request is one attempt as its client sees it. Times are since the test run began.
type request struct {
	id, key, class, body string
	process              int // the process that was started last when it was written
	conn                 int // the connection that it was written on

	written    time.Duration // when its last byte was written; 0: it was not written completely
	due        time.Duration // deadline of its final answer
	canceled   bool          // its client canceled it
	ended      connectionEnd // how its connection ended, if that was before the answer
	endedAt    time.Duration
	sentUpTo   int                 // bytes written on its connection, with this request
	forwarded  linkproxy.Forwarded // how the proxy before the node forwarded that connection
	answers    []answer
	runs       []runStart
	wrongReply bool   // a wrong reply reached its run
	resentOf   string // id of the attempt of which this is a copy, because its connection ended
}

// runStart is the start of a run.
type runStart struct {
	at      time.Duration
	process int // the process that started it
}

// answer is one answer under a request's tag.
type answer struct {
	at         time.Duration
	word, body string
}

// connectionEnd is how a client's connection ended.
type connectionEnd int

// The ends of a connection.
const (
	notEnded      connectionEnd = iota
	endedByNode                 // the node closed or reset it
	endedByClient               // the client closed it, or a fault reset it
)

// requestTable holds all attempts of a test run. Its methods may be called from any goroutine.
type requestTable struct {
	mu   sync.Mutex
	byID map[string]*request
	list []*request
}

func newRequests() *requestTable { return &requestTable{byID: map[string]*request{}} }

// add adds an attempt; the caller sets its further fields with update.
func (q *requestTable) add(key, class string) *request {
	q.mu.Lock()
	defer q.mu.Unlock()
	id := fmt.Sprintf("%016x", len(q.list)+1)
	r := &request{id: id, key: key, class: class, body: "body of " + id}
	if key != "" {
		r.body = "body of " + key // all attempts with a key have the same body
	}
	q.byID[id] = r
	q.list = append(q.list, r)
	return r
}

// update calls f with the table locked; f may change any request.
func (q *requestTable) update(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f()
}

func (q *requestTable) find(id string) *request {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.byID[id]
}

// isSettled reports whether no client waits for the attempt's answer any more.
func (q *requestTable) isSettled(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.byID[id]
	return r == nil || r.canceled || r.ended != notEnded || len(r.answers) > 0
}

func (q *requestTable) addRun(id string, s runStart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.byID[id]
	r.runs = append(r.runs, s)
}

func (q *requestTable) addWrongReply(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.byID[id].wrongReply = true
}
