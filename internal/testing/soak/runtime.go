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

// hangOneIn is how many runs there are to one that hangs.
const hangOneIn = 60

// noticesKept is how many notices the runtime keeps.
const noticesKept = 4000

// runtime is the stand-in for the process that does the work of one process of the node. It keeps nothing of a run that is over.
type runtime struct {
	listener net.Listener
	record   *Record
	requests *requests
	clients  Clients
	life     int // the process that it works for

	mu      sync.Mutex
	random  *rand.Rand
	conn    net.Conn
	notices []notice
	first   uint64 // the number of the oldest notice kept
	runs    map[string]*workRun
	closed  bool
}

// notice is one numbered message.
type notice struct {
	Action  string `json:"action"`
	Pos     uint64 `json:"pos,omitempty"`
	UID     string `json:"uid,omitempty"`
	Code    string `json:"code,omitempty"`
	WallMS  int64  `json:"wall_ms,omitempty"`
	Content string `json:"content,omitempty"`
}

// workCommand is a command of the node.
type workCommand struct {
	Action, UID, Lane, Echo string
	Content                 []byte
	Pos                     uint64
}

// workRun is one run that is on.
type workRun struct {
	id      string
	began   time.Time
	call    uint64 // the notice of the call that it stands at; 0: none
	want    string // the reply to that call
	replies chan string
	over    chan struct{}
}

func newRuntime(record *Record, all *requests, clients Clients, seed uint64) (*runtime, error) {
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

// close ends the runtime and all that it runs, as it ends with the node's process.
func (rt *runtime) close() {
	rt.listener.Close()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.closed = true
	for _, r := range rt.runs {
		close(r.over)
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
			rt.record.add("runtime", "not a command", "", "", fmt.Sprintf("%.60q", in.Bytes()))
			return
		}
		if !rt.take(c, m) {
			return
		}
	}
}

// take carries out a command. It returns false where the link is not the present one.
func (rt *runtime) take(c net.Conn, m workCommand) bool {
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
		rt.give(m, r)
	case "omit":
		if r != nil && r.call == m.Pos {
			r.call = 0
			r.replies <- ""
		}
	case "stop":
		if r != nil && rt.requests.isOver(m.UID) {
			rt.finish(r, "STOPPED", "")
		}
	}
	return true
}

// sync makes c the present link; the caller holds mu.
func (rt *runtime) sync(c net.Conn, read uint64) {
	if rt.conn != nil && rt.conn != c {
		rt.conn.Close()
	}
	rt.conn = c
	rt.record.add("runtime", "link", "", "", fmt.Sprint(rt.life, " from ", read))
	rt.write(map[string]any{"action": "ready", "code": "WARM", "wall_ms": 5000})
	for _, n := range rt.notices {
		if n.Pos > read {
			rt.write(n)
		}
	}
}

// start begins a run, unless it is on; the caller holds mu.
func (rt *runtime) start(m workCommand, on *workRun) {
	if on != nil {
		return
	}
	q := rt.requests.find(m.UID)
	if q == nil || q.class != m.Lane || q.body != string(m.Content) {
		rt.record.add("runtime", "nack", m.UID, "", "no such request")
		rt.write(map[string]any{"action": "nack", "code": "start", "uid": m.UID})
		return
	}
	if rt.requests.isOver(m.UID) {
		rt.record.add("runtime", "moot", m.UID, q.key, "")
		rt.tell(notice{Action: "end", UID: m.UID, Code: "MOOT"})
		return
	}
	at := rt.record.add("runtime", "start", m.UID, q.key, m.Lane)
	rt.requests.started(m.UID, start{at, rt.life})
	r := &workRun{id: m.UID, began: time.Now(), replies: make(chan string, 4), over: make(chan struct{})}
	rt.runs[m.UID] = r
	work := time.Duration(rt.random.ExpFloat64() * float64(rt.clients.Work))
	if rt.random.IntN(hangOneIn) == 0 {
		work += time.Minute // it hangs: its request is to be answered when it is due
	}
	calls := 0
	if rt.random.Float64() < rt.clients.CallPart {
		calls = 1 + rt.random.IntN(2)
	}
	go rt.run(r, q, work, calls)
}

// run does the work of a request.
func (rt *runtime) run(r *workRun, q *request, work time.Duration, calls int) {
	part := work / time.Duration(calls+1)
	for n := range calls {
		if !r.work(part) || !rt.atCall(r, n) {
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

// work takes time. It returns false where the run is over before.
func (r *workRun) work(span time.Duration) bool {
	select {
	case <-r.over:
		return false
	case <-time.After(span):
		return true
	}
}

// atCall has a run stand at a call until it is answered. It returns false where the run is over.
func (rt *runtime) atCall(r *workRun, n int) bool {
	rt.mu.Lock()
	if rt.runs[r.id] != r {
		rt.mu.Unlock()
		return false
	}
	body := fmt.Sprintf("%s/%d", r.id, n)
	r.want = callReply(body)
	r.call = rt.next()
	rt.record.add("runtime", "wants", r.id, "", body)
	rt.tell(notice{Action: "wants", UID: r.id, Content: base64.StdEncoding.EncodeToString([]byte(body))})
	rt.mu.Unlock()
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-r.over:
			return false
		case <-r.replies:
			return true
		case <-look.C:
			if rt.requests.isOver(r.id) {
				rt.mu.Lock()
				rt.finish(r, "STOPPED", "")
				rt.mu.Unlock()
				return false
			}
		}
	}
}

// give takes the reply to a call; the caller holds mu.
func (rt *runtime) give(m workCommand, r *workRun) {
	if r == nil || r.call == 0 {
		return
	}
	if string(m.Content) != r.want {
		rt.record.add("runtime", "wrong reply", m.UID, "", fmt.Sprintf("%.60q, want %.60q", m.Content, r.want))
		rt.requests.wrongReply(m.UID)
	}
	r.call = 0
	r.replies <- string(m.Content)
}

// finish ends a run, if it is on; the caller holds mu.
func (rt *runtime) finish(r *workRun, code, result string) {
	if rt.runs[r.id] != r {
		return
	}
	delete(rt.runs, r.id)
	close(r.over)
	rt.record.add("runtime", "end", r.id, "", fmt.Sprint(code, " notice ", rt.next()))
	rt.tell(notice{Action: "end", UID: r.id, Code: code, WallMS: time.Since(r.began).Milliseconds(), Content: base64.StdEncoding.EncodeToString([]byte(result))})
}

// next is the number of the next notice.
func (rt *runtime) next() uint64 { return rt.first + uint64(len(rt.notices)) }

// tell numbers and sends a notice; the caller holds mu.
func (rt *runtime) tell(n notice) {
	n.Pos = rt.next()
	rt.notices = append(rt.notices, n)
	if len(rt.notices) > noticesKept {
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
		rt.conn.Close() // the next link has it
	}
}

// result is what a run of a request makes.
func result(id string) string { return "result of " + id }

// callReply is what the catalogue answers to a call.
func callReply(body string) string { return "reply to " + body }
