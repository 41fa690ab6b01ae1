package loadrig

import (
	"bufio"
	"encoding/json"
	"net"
	"time"

	"sloehitch/internal/emulator"
)

// runtime is a stand-in for a node's application runtime, whose cores are an emulated machine. It implements the part of the protocol that
// a connection without interruptions needs.
type runtime struct {
	in    inbox
	ln    net.Listener
	ready chan struct{} // closed at the first sync

	// Owned by the goroutine that advances the clock:
	environment emulator.Environment
	find        func(id string) *emulator.Attempt
	conn        net.Conn
	position    uint64
	runs        map[string]*run
}

type run struct {
	work      *emulator.Work
	startedAt time.Time
}

func newRuntime(in inbox) (*runtime, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runtime{in: in, ln: ln, ready: make(chan struct{}), runs: map[string]*run{}}
	go r.accept()
	return r, nil
}

func (r *runtime) accept() {
	for first := true; ; first = false {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.serve(conn, first)
	}
}

func (r *runtime) serve(conn net.Conn, first bool) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, 64<<10)
	for lines.Scan() {
		var m struct{ Action, UID, Echo string }
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			return
		}
		if m.Action == "sync" && first {
			// The node is being started, and the clock does not advance yet.
			r.conn = conn
			r.send(map[string]any{"action": "ready", "code": "WARM", "wall_ms": 1})
			close(r.ready)
			continue
		}
		r.in <- func() { r.handle(m.Action, m.UID, m.Echo) }
	}
}

// handle handles a command of the node.
func (r *runtime) handle(action, id, echo string) {
	switch action {
	case "gauges":
		running := float64(r.environment.Machine.Running())
		r.send(map[string]any{"action": "load", "echo": echo,
			"meters": []float64{min(1, running/float64(r.environment.Settings.Cores)), running, 0, 0}})
	case "start":
		t := r.find(id)
		if t == nil || r.runs[id] != nil {
			return
		}
		r.environment.OnRunStarted(t)
		started := &run{startedAt: r.environment.Clock.Now()}
		r.runs[id] = started
		started.work = r.environment.Machine.Add(t.Work, func() { r.end(id, "OK") })
	case "stop":
		if w := r.runs[id]; w != nil {
			r.environment.Machine.Remove(w.work)
			r.end(id, "STOPPED")
		}
	}
}

func (r *runtime) end(id, code string) {
	took := r.environment.Clock.Now().Sub(r.runs[id].startedAt)
	delete(r.runs, id)
	r.position++
	r.send(map[string]any{"action": "end", "pos": r.position, "uid": id, "code": code, "wall_ms": took.Seconds() * 1000, "content": "b2s="})
}

func (r *runtime) send(m map[string]any) {
	line, err := json.Marshal(m)
	if err == nil && r.conn != nil {
		_, _ = r.conn.Write(append(line, '\n')) // the node may have exited
	}
}
