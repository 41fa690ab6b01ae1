// Package standin holds the other ends of every wire, for tests: a runtime, a catalogue, balancers, uwsgi servers
// and clients, and a configuration that names them.
package standin

import (
	"bufio"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/testing/loopback"
)

// Patience is how long a test waits for what must come; it is only used up by a failure.
const Patience = 20 * time.Second

// Quiet is a log that goes nowhere.
var Quiet = slog.New(slog.DiscardHandler)

// Listen opens a free port for the length of a test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Free returns an address for what is started later in a test, or started again: nothing else takes it meanwhile.
func Free(t testing.TB) string {
	t.Helper()
	found, err := loopback.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return found[0]
}

// Job is one run in the stand-in runtime.
type Job struct {
	UID, Lane string
	Body      []byte
	Replies   chan []byte // what the node gave for a call; nil for one that it left out
	rt        *Runtime
}

// Call asks for a call and waits for the reply.
func (j *Job) Call(body string) []byte {
	j.rt.Tell(map[string]any{"action": "wants", "uid": j.UID, "content": base64.StdEncoding.EncodeToString([]byte(body))})
	return <-j.Replies
}

// Runtime is a stand-in for the process that does the work.
type Runtime struct {
	Address string
	Syncs   chan uint64 // the positions that links resumed from

	mu      sync.Mutex
	conn    net.Conn
	pos     uint64
	notices []map[string]any
	jobs    map[string]*Job
	runs    map[string]int
	now     int
	most    int
	deaf    bool // commands are read and not carried out
	lost    int  // how many were
	work    func(j *Job) (code, result string)
}

// NewRuntime starts a runtime whose runs do the given work and end with its code and result.
func NewRuntime(t testing.TB, work func(j *Job) (code, result string)) *Runtime {
	rt := &Runtime{Syncs: make(chan uint64, 16), jobs: map[string]*Job{}, runs: map[string]int{}, work: work}
	rt.Address = rt.Another(t)
	t.Cleanup(rt.Cut)
	return rt
}

// Another opens a further address of the same runtime.
func (rt *Runtime) Another(t testing.TB) string {
	ln := Listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go rt.serve(conn, rt.work)
		}
	}()
	return ln.Addr().String()
}

func (rt *Runtime) serve(conn net.Conn, work func(j *Job) (code, result string)) {
	for in := bufio.NewScanner(conn); in.Scan(); {
		var m struct {
			Action, UID, Lane, Echo string
			Content                 []byte
			Pos                     uint64
		}
		if json.Unmarshal(in.Bytes(), &m) != nil {
			conn.Close()
			return
		}
		rt.mu.Lock()
		j := rt.jobs[m.UID]
		switch {
		case m.Action == "sync":
			rt.conn, rt.deaf = conn, false
			rt.write(map[string]any{"action": "ready", "code": "WARM", "wall_ms": 1})
			for _, n := range rt.notices[m.Pos:] {
				rt.write(n)
			}
			rt.Syncs <- m.Pos
		case rt.deaf:
			rt.lost++
		case m.Action == "gauges":
			rt.write(map[string]any{"action": "load", "echo": m.Echo, "meters": []float64{0.5, float64(rt.now), 0.1, 3}})
		case m.Action == "start" && j == nil:
			j = &Job{UID: m.UID, Lane: m.Lane, Body: m.Content, Replies: make(chan []byte, 1), rt: rt}
			rt.jobs[m.UID] = j
			rt.runs[string(m.Content)]++
			rt.now++
			rt.most = max(rt.most, rt.now)
			go rt.run(j, work)
		case j != nil && (m.Action == "give" || m.Action == "omit"):
			j.Replies <- m.Content
		}
		rt.mu.Unlock()
	}
}

func (rt *Runtime) run(j *Job, work func(j *Job) (code, result string)) {
	code, result := work(j)
	rt.mu.Lock()
	rt.now--
	delete(rt.jobs, j.UID) // it keeps nothing of a run that is over: a second start runs it again
	rt.mu.Unlock()
	rt.Tell(map[string]any{"action": "end", "uid": j.UID, "code": code, "wall_ms": 1,
		"content": base64.StdEncoding.EncodeToString([]byte(result))})
}

// Tell numbers and sends a notice; without a link it is kept.
func (rt *Runtime) Tell(m map[string]any) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.pos++
	m["pos"] = rt.pos
	rt.notices = append(rt.notices, m)
	rt.write(m)
}

func (rt *Runtime) write(m map[string]any) {
	if line, err := json.Marshal(m); err == nil && rt.conn != nil {
		_, _ = rt.conn.Write(append(line, '\n')) // a link that broke is resumed
	}
}

// Swallow makes the runtime lose all commands until the next link, and returns how many it has lost before.
func (rt *Runtime) Swallow() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.deaf = true
	return rt.lost
}

// Swallowed is how many commands were lost.
func (rt *Runtime) Swallowed() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.lost
}

// Cut breaks the link.
func (rt *Runtime) Cut() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.conn != nil {
		rt.conn.Close()
		rt.conn = nil
	}
}

// Runs is how often work with this body was run, and Most how much ran at once.
func (rt *Runtime) Runs(body string) int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.runs[body]
}

// Most is how many runs there were at once.
func (rt *Runtime) Most() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.most
}

// Balancer is a stand-in for a balancer's connection.
type Balancer struct {
	net.Conn
	t  testing.TB
	in *redcon.Reader
}

// Dial connects to a node.
func Dial(t testing.TB, address string) *Balancer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &Balancer{Conn: conn, t: t, in: redcon.NewReader(conn)}
}

// Array is a RESP array of bulk strings.
func Array(parts ...string) string {
	b := redcon.AppendArray(nil, len(parts))
	for _, p := range parts {
		b = redcon.AppendBulkString(b, p)
	}
	return string(b)
}

// Send writes bytes as they are.
func (b *Balancer) Send(text string) {
	b.t.Helper()
	if _, err := io.WriteString(b, text); err != nil {
		b.t.Fatal(err)
	}
}

// Do sends a request that reached the machine at the given time; more are further fields.
func (b *Balancer) Do(tag int, class, req string, at time.Time, body, more string) {
	b.t.Helper()
	b.Send(Do(tag, class, req, at, body, more))
}

// Do is such a request, as bytes.
func Do(tag int, class, req string, at time.Time, body, more string) string {
	return Array("DO", fmt.Sprint(tag), class, fmt.Sprintf("req=%s,ts=%d,via=1,owner=acme,need=10,level=0.5%s", req, at.UnixMilli(), more), body)
}

// Read reads one answer; nil at the end of the connection.
func (b *Balancer) Read() []string {
	b.t.Helper()
	if err := b.SetReadDeadline(time.Now().Add(Patience)); err != nil {
		b.t.Fatal(err)
	}
	cmd, err := b.in.ReadCommand()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		b.t.Fatal("no answer")
	}
	if err != nil {
		return nil
	}
	var parts []string
	for _, a := range cmd.Args {
		parts = append(parts, string(a))
	}
	return parts
}

// Server is a stand-in uwsgi server: it answers each packet with what respond returns and counts runs by body.
type Server struct {
	Address string

	mu   sync.Mutex
	runs map[string]int
}

// NewServer starts a uwsgi server.
func NewServer(t testing.TB, respond func(body string) string) *Server {
	ln := Listen(t)
	s := &Server{Address: ln.Addr().String(), runs: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *Server) serve(conn net.Conn, respond func(body string) string) {
	defer conn.Close()
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return
	}
	vars := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(conn, vars); err != nil {
		return
	}
	var n int
	if _, after, found := strings.Cut(string(vars), "CONTENT_LENGTH"); found {
		_, _ = fmt.Sscanf(after[2:], "%d", &n) // without a number there is no body
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(conn, body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	_, _ = io.WriteString(conn, respond(string(body))) // the peer may have left
}

// Runs is how often a request with this body was run.
func (s *Server) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Settings is the settings object of a small site with short times: reads and keyed bookings, two cores.
const Settings = `{"az":"a","ceilings":{"retry-after":true,"max-retry-after":1000000},
 "classes":[{"name":"slot-search","objective":400000,"hard-limit":600000,"credit":1,"semantics":"retryable","window":5000000},
  {"name":"book","objective":400000,"hard-limit":600000,"credit":3,"semantics":"dedup","window":90000000}],
 "counted-by":"work","domain":{"class-calls":[true,true],"cores":2,"degraded-worth":[0.6,0],"downstream":"tier",
  "hangup-seen":true,"idle":30000000,"just-started":false,"kb-per-key":1,"memory-kb":10000,"run-factor":8,
  "meters":["core_use","on_cores","heap_share","links"],"signal":"floor","stop-mode":"freeze"},
 "projects":[{"name":"acme","quota-per-s":1000,"share":1}],
 "rules":{"cold":1000000,"fall":1500000,"grace-to-answer":80000,"overload-factor":5,"start-capacity":0.2,
  "stop-sending-within":1000000},"servers":1,"tick":4000}`

// Config is a platform configuration with these settings; empty addresses are left out of use. Requests are due
// after the deadline: a long one where a test is not about it, so that no slow machine can change its outcome.
func Config(listen, runtime, catalog string, deadline time.Duration) string {
	settings := strings.ReplaceAll(Settings, "600000", fmt.Sprint(deadline.Microseconds()))
	settings = strings.ReplaceAll(settings, "400000", fmt.Sprint(deadline.Microseconds()*2/3))
	return fmt.Sprintf(`{"name":"n1","listen":%q,"runtime":%q,"catalog":%q,"seed":"1","stop_ms":3000,
 "limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":%s}`, listen, runtime, catalog, settings)
}

// RequestID is the id of the n-th request of a test, in the platform's form of 16 hexadecimal digits.
func RequestID(n int) string { return fmt.Sprintf("%016x", n) }
