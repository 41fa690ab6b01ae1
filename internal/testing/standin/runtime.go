package standin

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"net"
	"sync"
	"testing"
)

// Job is one run in the runtime.
type Job struct {
	UID, Lane string
	Body      []byte
	Replies   chan []byte // the node's replies to calls; nil for an omitted call
	rt        *Runtime
}

// Call requests a downstream call and blocks until the node sends the reply.
func (j *Job) Call(body string) []byte {
	j.rt.SendNotice(map[string]any{"action": "wants", "uid": j.UID, "content": base64.StdEncoding.EncodeToString([]byte(body))})
	return <-j.Replies
}

// Runtime is a stand-in for the application runtime.
type Runtime struct {
	Address string
	Syncs   chan uint64 // the position that each connection resumed from

	mu         sync.Mutex
	conn       net.Conn
	position   uint64
	notices    []map[string]any
	jobs       map[string]*Job
	runs       map[string]int
	running    int
	maxRunning int
	dropping   bool // commands are read and dropped until the next connection
	dropped    int  // how many commands were dropped
	runJob     func(j *Job) (code, result string)
}

// NewRuntime starts a runtime whose runs do the given work and end with its code and result.
func NewRuntime(t testing.TB, work func(j *Job) (code, result string)) *Runtime {
	rt := &Runtime{Syncs: make(chan uint64, 16), jobs: map[string]*Job{}, runs: map[string]int{}, runJob: work}
	rt.Address = rt.ListenAgain(t)
	t.Cleanup(rt.Disconnect)
	return rt
}

// ListenAgain opens another listener of the same runtime and returns its address.
func (rt *Runtime) ListenAgain(t testing.TB) string {
	ln := Listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go rt.serve(conn, rt.runJob)
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
			rt.conn, rt.dropping = conn, false
			rt.write(map[string]any{"action": "ready", "code": "WARM", "wall_ms": 1})
			for _, n := range rt.notices[m.Pos:] {
				rt.write(n)
			}
			rt.Syncs <- m.Pos
		case rt.dropping:
			rt.dropped++
		case m.Action == "gauges":
			rt.write(map[string]any{"action": "load", "echo": m.Echo, "meters": []float64{0.5, float64(rt.running), 0.1, 3}})
		case m.Action == "start" && j == nil:
			j = &Job{UID: m.UID, Lane: m.Lane, Body: m.Content, Replies: make(chan []byte, 1), rt: rt}
			rt.jobs[m.UID] = j
			rt.runs[string(m.Content)]++
			rt.running++
			rt.maxRunning = max(rt.maxRunning, rt.running)
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
	rt.running--
	delete(rt.jobs, j.UID) // an ended run is not remembered: a second start runs it again
	rt.mu.Unlock()
	rt.SendNotice(map[string]any{"action": "end", "uid": j.UID, "code": code, "wall_ms": 1,
		"content": base64.StdEncoding.EncodeToString([]byte(result))})
}

// SendNotice numbers and sends a notice, or retains it until the node connects.
func (rt *Runtime) SendNotice(m map[string]any) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.position++
	m["pos"] = rt.position
	rt.notices = append(rt.notices, m)
	rt.write(m)
}

func (rt *Runtime) write(m map[string]any) {
	if line, err := json.Marshal(m); err == nil && rt.conn != nil {
		_, _ = rt.conn.Write(append(line, '\n')) // after an error the node resumes on a new connection
	}
}

// DropCommands makes the runtime drop all commands until the next connection, and returns how many commands it has dropped so far.
func (rt *Runtime) DropCommands() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.dropping = true
	return rt.dropped
}

// DroppedCommands returns how many commands the runtime has dropped so far.
func (rt *Runtime) DroppedCommands() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.dropped
}

// Disconnect closes the connection to the node.
func (rt *Runtime) Disconnect() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.conn != nil {
		rt.conn.Close()
		rt.conn = nil
	}
}

// Runs returns how often a request with this body was run.
func (rt *Runtime) Runs(body string) int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.runs[body]
}

// MaxConcurrent returns the largest number of concurrent runs.
func (rt *Runtime) MaxConcurrent() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.maxRunning
}
