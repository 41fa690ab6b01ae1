package rig

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Runtime is a stand-in for the platform's runtime. A run takes its time, and its result is "done:" and the body.
type Runtime struct {
	Address string

	c    *Case
	took time.Duration

	mu      sync.Mutex
	conn    net.Conn
	notices []map[string]any
	running map[string]bool
	runs    map[string]int // by body
}

// NewRuntime starts a runtime whose runs take the given time.
func (c *Case) NewRuntime(took time.Duration) *Runtime {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	r := &Runtime{Address: ln.Addr().String(), c: c, took: took, running: map[string]bool{}, runs: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

// command is a message from the node.
type command struct {
	Action  string `json:"action"`
	UID     string `json:"uid"`
	Echo    string `json:"echo"`
	Content []byte `json:"content"`
	Pos     int    `json:"pos"`
}

func (r *Runtime) serve(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewScanner(conn); in.Scan(); {
		var m command
		if json.Unmarshal(in.Bytes(), &m) != nil {
			return
		}
		r.handle(conn, m)
	}
}

func (r *Runtime) handle(conn net.Conn, m command) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m.Action {
	case "sync": // a new link replaces the previous one
		if r.conn != nil {
			r.conn.Close()
		}
		r.conn = conn
		r.write(map[string]any{"action": "ready", "code": "WARM", "wall_ms": 60000})
		for _, n := range r.notices[min(m.Pos, len(r.notices)):] {
			r.write(n)
		}
	case "gauges":
		n := float64(len(r.running))
		r.write(map[string]any{"action": "load", "echo": m.Echo, "meters": []float64{min(1, n/4), n, 0.1, 3}})
	case "start":
		if r.running[m.UID] {
			return
		}
		r.running[m.UID] = true
		body := string(m.Content)
		r.runs[body]++
		r.c.Log("runtime %s: run %d of body %q, id %s", r.Address, r.runs[body], body, m.UID)
		time.AfterFunc(r.took, func() { r.end(m.UID, body) })
	}
}

func (r *Runtime) end(id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
	notice := map[string]any{"action": "end", "pos": len(r.notices) + 1, "uid": id, "code": "OK",
		"wall_ms": r.took.Milliseconds(), "content": []byte("done:" + body)}
	r.notices = append(r.notices, notice)
	r.write(notice)
}

// write writes a notice to the current link; the caller holds mu.
func (r *Runtime) write(m map[string]any) {
	line, err := json.Marshal(m)
	Check(err)
	if r.conn != nil {
		_, _ = r.conn.Write(append(line, '\n')) // after an error the node resumes on a new link
	}
}

// Linked reports whether a node has connected.
func (r *Runtime) Linked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn != nil
}

// Runs returns how often a body was run.
func (r *Runtime) Runs(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[body]
}
