package rig2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Class is a class of the settings, with times in milliseconds.
func Class(name, semantics string, objective, deadline, window int) map[string]any {
	return map[string]any{"name": name, "semantics": semantics, "objective": 1000 * objective, "hard-limit": 1000 * deadline,
		"window": 1000 * window, "credit": 1, "late-worth": 0}
}

// Settings returns settings like those of a small deployment. stopSending is rules.stop-sending-within in milliseconds.
func Settings(stopSending int, classes ...map[string]any) map[string]any {
	return map[string]any{
		"classes":  classes,
		"tick":     4000,
		"servers":  1,
		"ceilings": map[string]any{"retry-after": true, "max-retry-after": 1000000},
		"domain": map[string]any{"cores": 6, "memory-kb": 16770, "run-factor": 8, "kb-per-key": 12.52, "stop-mode": "freeze",
			"signal": "off", "hangup-seen": true, "meters": []string{"core_use", "on_cores", "heap_share", "links"}},
		"rules": map[string]any{"cold": 18000000, "fall": 1500000, "grace-to-answer": 80000, "overload-factor": 5,
			"start-capacity": 0.2, "stop-sending-within": 1000 * stopSending},
	}
}

// Start is a start that the runtime read.
type Start struct {
	ID, Class string
	Body      string
	At        time.Time
}

// Runtime plays the platform's runtime. Each run takes the time that Took returns, makes no call and ends well.
type Runtime struct {
	Address string
	Took    func(body string) time.Duration

	c       *Case
	mu      sync.Mutex
	conn    net.Conn
	notices []map[string]any
	running map[string]bool
	starts  []Start
}

// StartRuntime starts a runtime.
func (c *Case) StartRuntime(took func(body string) time.Duration) (*Runtime, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runtime{Address: ln.Addr().String(), Took: took, c: c, running: map[string]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r, nil
}

// command is a command of the node; encoding/json decodes the base64 of a []byte.
type command struct {
	Action, UID, Lane, Echo string
	Content                 []byte
	Pos                     int
}

func (r *Runtime) serve(conn net.Conn) {
	defer conn.Close()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		var m command
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			return
		}
		r.handle(conn, m)
	}
}

func (r *Runtime) handle(conn net.Conn, m command) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m.Action {
	case "sync":
		r.conn = conn
		r.send(map[string]any{"action": "ready", "code": "WARM", "wall_ms": 1000})
		for _, n := range r.notices[min(m.Pos, len(r.notices)):] {
			r.send(n)
		}
	case "gauges":
		r.send(map[string]any{"action": "load", "echo": m.Echo, "meters": []float64{0.1, float64(len(r.running)), 0.1, 3}})
	case "start":
		if r.running[m.UID] {
			return
		}
		r.running[m.UID] = true
		r.starts = append(r.starts, Start{m.UID, m.Lane, string(m.Content), time.Now()})
		r.c.Note("runtime: %s runs, class %s, body %q", m.UID, m.Lane, m.Content)
		time.AfterFunc(r.Took(string(m.Content)), func() { r.end(m.UID, string(m.Content)) })
	}
}

func (r *Runtime) end(id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
	r.c.Note("runtime: %s has ended", id)
	n := map[string]any{"action": "end", "pos": len(r.notices) + 1, "uid": id, "code": "OK", "wall_ms": r.Took(body).Milliseconds(),
		"content": []byte("done " + body)}
	r.notices = append(r.notices, n)
	r.send(n)
}

func (r *Runtime) send(m map[string]any) {
	line, err := json.Marshal(m)
	if err == nil && r.conn != nil {
		_, _ = r.conn.Write(append(line, '\n')) // after an error the node makes a new link
	}
}

// Starts returns the starts so far.
func (r *Runtime) Starts() []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Start(nil), r.starts...)
}

// StartDirectory starts a directory, which only listens, and returns its address.
func (c *Case) StartDirectory() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		last := ""
		for b := make([]byte, 512); ; {
			n, _, err := conn.ReadFrom(b)
			if err != nil {
				return
			}
			if text := string(b[:n]); text != last {
				c.Note("directory: %s", text)
				last = text
			}
		}
	}()
	return conn.LocalAddr().String(), nil
}

// Ops makes an operators' call and returns the answer.
func (c *Case) Ops(address, call string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(conn, "%s\n", call); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return strings.TrimSpace(string(answer)), err
}

// WaitReady waits until the process takes clients. It returns an error if the process ends before.
func (c *Case) WaitReady(ops string, p *Process) error {
	err := WaitFor("readyz says yes", 20*time.Second, func() bool {
		answer, err := c.Ops(ops, "readyz")
		return p.Ended() || err == nil && strings.HasPrefix(answer, "ACK")
	})
	if p.Ended() {
		return fmt.Errorf("%s ended as it started", p.name)
	}
	return err
}
