package soak

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// runsPerHang is the mean number of runs of which one hangs.
const runsPerHang = 60

// maxNotices is the number of notices that the runtime retains for a node that reconnects.
const maxNotices = 4000

// runtime is a stand-in for the application runtime of one process of the node. Of a run that has ended it retains only the notices.
type runtime struct {
	listener net.Listener
	record   *Record
	requests *requestTable
	clients  Clients
	process  int // number of the node's process that it serves

	mu      sync.Mutex
	random  *rand.Rand
	conn    net.Conn
	notices []notice
	first   uint64 // position of the oldest notice retained
	runs    map[string]*workRun
	closed  bool
}

// notice is a numbered message to the node, as encoded in the runtime protocol.
type notice struct {
	Action  string `json:"action"`
	Pos     uint64 `json:"pos,omitempty"`
	UID     string `json:"uid,omitempty"`
	Code    string `json:"code,omitempty"`
	WallMS  int64  `json:"wall_ms,omitempty"`
	Content string `json:"content,omitempty"`
}

// workCommand is a command from the node, as encoded in the runtime protocol.
type workCommand struct {
	Action, UID, Lane, Echo string
	Content                 []byte
	Pos                     uint64
}

// workRun is a run in progress.
type workRun struct {
	id            string
	began         time.Time
	call          uint64 // position of the notice of the call that the run waits for; 0: none
	expectedReply string // expected reply to that call
	replies       chan string
	ended         chan struct{}
}

func newRuntime(record *Record, all *requestTable, clients Clients, seed uint64) (*runtime, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rt := &runtime{listener: listener, record: record, requests: all, clients: clients, random: rand.New(rand.NewPCG(seed, 7)), first: 1, runs: map[string]*workRun{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go rt.serve(c)
		}
	}()
	return rt, nil
}

// close closes the runtime and ends its runs, as happens when the node's process ends.
func (rt *runtime) close() {
	rt.listener.Close()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.closed = true
	for _, r := range rt.runs {
		close(r.ended)
	}
	clear(rt.runs)
	if rt.conn != nil {
		rt.conn.Close()
	}
}

func (rt *runtime) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, 16<<10), 64<<10)
	for in.Scan() {
		var m workCommand
		if json.Unmarshal(in.Bytes(), &m) != nil {
			rt.record.add("runtime", "malformed command", "", "", fmt.Sprintf("%.60q", in.Bytes()))
			return
		}
		if !rt.handle(c, m) {
			return
		}
	}
}

// handle executes a command. It returns false if c is no longer the current connection.
func (rt *runtime) handle(c net.Conn, m workCommand) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.closed || m.Action != "sync" && c != rt.conn {
		return false
	}
	r := rt.runs[m.UID]
	switch m.Action {
	case "sync":
		rt.sync(c, m.Pos)
	case "gauges":
		rt.write(map[string]any{"action": "load", "echo": m.Echo, "meters": []float64{0.5, float64(len(rt.runs)), 0.1, 3}})
	case "start":
		rt.start(m, r)
	case "give":
		rt.handleReply(m, r)
	case "omit":
		if r != nil && r.call == m.Pos {
			r.call = 0
			r.replies <- ""
		}
	case "stop":
		if r != nil && rt.requests.isSettled(m.UID) {
			rt.finish(r, "STOPPED", "")
		}
	}
	return true
}

// sync makes c the current connection and resends the notices after position read; the caller holds mu.
func (rt *runtime) sync(c net.Conn, read uint64) {
	if rt.conn != nil && rt.conn != c {
		rt.conn.Close()
	}
	rt.conn = c
	rt.record.add("runtime", "link", "", "", fmt.Sprint(rt.process, " from ", read))
	rt.write(map[string]any{"action": "ready", "code": "WARM", "wall_ms": 5000})
	for _, n := range rt.notices {
		if n.Pos > read {
			rt.write(n)
		}
	}
}

// start starts a run unless the request is running already (running is not nil); the caller holds mu.
func (rt *runtime) start(m workCommand, running *workRun) {
	if running != nil {
		return
	}
	q := rt.requests.find(m.UID)
	if q == nil || q.class != m.Lane || q.body != string(m.Content) {
		rt.record.add("runtime", "nack", m.UID, "", "no such request")
		rt.write(map[string]any{"action": "nack", "code": "start", "uid": m.UID})
		return
	}
	if rt.requests.isSettled(m.UID) {
		rt.record.add("runtime", "moot", m.UID, q.key, "")
		rt.sendNotice(notice{Action: "end", UID: m.UID, Code: "MOOT"})
		return
	}
	at := rt.record.add("runtime", "start", m.UID, q.key, m.Lane)
	rt.requests.addRun(m.UID, runStart{at, rt.process})
	r := &workRun{id: m.UID, began: time.Now(), replies: make(chan string, 4), ended: make(chan struct{})}
	rt.runs[m.UID] = r
	work := time.Duration(rt.random.ExpFloat64() * float64(rt.clients.Work))
	if rt.random.IntN(runsPerHang) == 0 {
		work += time.Minute // the run hangs: the node must answer its request at the deadline
	}
	calls := 0
	if rt.random.Float64() < rt.clients.CallFraction {
		calls = 1 + rt.random.IntN(2)
	}
	go rt.run(r, q, work, calls)
}

// run does the work of a request, with its calls at equal intervals.
func (rt *runtime) run(r *workRun, q *request, work time.Duration, calls int) {
	part := work / time.Duration(calls+1)
	for n := range calls {
		if !r.work(part) || !rt.awaitReply(r, n) {
			return
		}
	}
	if !r.work(part) {
		return
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.finish(r, "OK", result(q.id))
}

// work blocks for span. It returns false if the run ended meanwhile.
func (r *workRun) work(span time.Duration) bool {
	select {
	case <-r.ended:
		return false
	case <-time.After(span):
		return true
	}
}

// awaitReply requests a downstream call and blocks until its reply. It returns false if the run ended meanwhile.
func (rt *runtime) awaitReply(r *workRun, n int) bool {
	rt.mu.Lock()
	if rt.runs[r.id] != r {
		rt.mu.Unlock()
		return false
	}
	body := fmt.Sprintf("%s/%d", r.id, n)
	r.expectedReply = callReply(body)
	r.call = rt.nextNotice()
	rt.record.add("runtime", "wants", r.id, "", body)
	rt.sendNotice(notice{Action: "wants", UID: r.id, Content: base64.StdEncoding.EncodeToString([]byte(body))})
	rt.mu.Unlock()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for {
		select {
		case <-r.ended:
			return false
		case <-r.replies:
			return true
		case <-poll.C:
			if rt.requests.isSettled(r.id) {
				rt.mu.Lock()
				rt.finish(r, "STOPPED", "")
				rt.mu.Unlock()
				return false
			}
		}
	}
}

// handleReply handles the reply to a call; the caller holds mu.
func (rt *runtime) handleReply(m workCommand, r *workRun) {
	if r == nil || r.call == 0 {
		return
	}
	if string(m.Content) != r.expectedReply {
		rt.record.add("runtime", "wrong reply", m.UID, "", fmt.Sprintf("%.60q, want %.60q", m.Content, r.expectedReply))
		rt.requests.addWrongReply(m.UID)
	}
	r.call = 0
	r.replies <- string(m.Content)
}

// finish ends a run that is in progress; the caller holds mu.
func (rt *runtime) finish(r *workRun, code, result string) {
	if rt.runs[r.id] != r {
		return
	}
	delete(rt.runs, r.id)
	close(r.ended)
	rt.record.add("runtime", "end", r.id, "", fmt.Sprint(code, " notice ", rt.nextNotice()))
	rt.sendNotice(notice{Action: "end", UID: r.id, Code: code, WallMS: time.Since(r.began).Milliseconds(), Content: base64.StdEncoding.EncodeToString([]byte(result))})
}

// nextNotice returns the position of the next notice; the caller holds mu.
func (rt *runtime) nextNotice() uint64 { return rt.first + uint64(len(rt.notices)) }

// sendNotice numbers and sends a notice; the caller holds mu.
func (rt *runtime) sendNotice(n notice) {
	n.Pos = rt.nextNotice()
	rt.notices = append(rt.notices, n)
	if len(rt.notices) > maxNotices {
		rt.notices = rt.notices[1:]
		rt.first++
	}
	rt.write(n)
}

func (rt *runtime) write(m any) {
	if rt.conn == nil {
		return
	}
	line, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	_ = rt.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := rt.conn.Write(append(line, '\n')); err != nil {
		rt.conn.Close() // the notice is resent on the next connection
	}
}

// result returns the result of a request's run.
func result(id string) string { return "result of " + id }

// callReply returns the catalogue's reply to a call.
func callReply(body string) string { return "reply to " + body }
