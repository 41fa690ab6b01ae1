package loadrig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/emulator"
	"sloehitch/internal/testing/loopback"
	"sloehitch/logic"
)

// Options configure how daemons are started.
type Options struct {
	Command func(config, deploy string) *exec.Cmd // starts a daemon
	Dir     string                                // for configuration files; must be empty
	Log     io.Writer                             // receives the daemons' output
}

// MostNodes and Longest limit the resources and the time that a run uses.
const (
	MostNodes = 16
	Longest   = 10 * time.Minute
)

// daemon is a process and its runtime.
type daemon struct {
	cmd     *exec.Cmd
	runtime *runtime
	address string
}

// Play runs an experiment against daemons on this machine's loopback, in real time, and blocks until its end. The world's policy is not
// used. Its nodes can pause, slow down and shut down, but can't crash or lose messages. Play returns an error if the world can't be run, a
// daemon does not start, or a connection ends unexpectedly.
func Play(w emulator.World, o Options) (*emulator.Result, error) {
	if w.Nodes > MostNodes || w.Duration > Longest {
		return nil, fmt.Errorf("the experiment has %d nodes for %v, more than the limit of %d and %v for real daemons", w.Nodes,
			w.Duration, MostNodes, Longest)
	}
	for _, f := range w.Faults {
		if f.Kind == emulator.FaultCrash || f.Kind == emulator.FaultMessageLoss || f.RestartDelay > 0 {
			return nil, fmt.Errorf("unsupported fault %q: a crash, lost messages or a restart can't be run against real daemons", f.Kind)
		}
	}
	in := make(inbox, 1024)
	var mu sync.Mutex
	var errs []error
	failed := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		if len(errs) < 5 {
			errs = append(errs, err)
		}
	}
	var daemons []*daemon
	defer func() {
		for _, d := range daemons {
			d.stop()
		}
		go func() { // receive from the connections' readers that are still running, so that they end
			for range in {
			}
		}()
	}()
	for i := range w.Nodes {
		d, err := start(in, w.Settings(), i, o)
		if d != nil {
			daemons = append(daemons, d)
		}
		if err != nil {
			return nil, err
		}
	}
	var classes []string
	for _, c := range w.Classes {
		classes = append(classes, c.Name)
	}
	next := 0
	w.NewServer = func(s emulator.Environment) emulator.Server {
		d := daemons[next]
		next++
		r := &remote{in: in, environment: s, address: d.address, classes: classes, failed: failed, byID: map[string]*inFlight{},
			byAttempt: map[*emulator.Attempt]*inFlight{}, conns: map[int][]*conn{},
			shutDown: func() { _ = d.cmd.Process.Signal(syscall.SIGTERM) }}
		d.runtime.environment, d.runtime.find = s, r.find
		return r
	}
	w.StartTime, w.Drive = time.Now(), in.pace
	result, err := emulator.Run(w)
	mu.Lock()
	defer mu.Unlock()
	return result, errors.Join(append(errs, err)...)
}

// start starts a daemon with its own runtime and waits until it accepts connections.
func start(in inbox, s logic.Settings, i int, o Options) (*daemon, error) {
	rt, err := newRuntime(in)
	if err != nil {
		return nil, err
	}
	d := &daemon{runtime: rt}
	free, err := loopback.Addresses(1)
	if err != nil {
		return d, err
	}
	d.address = free[0]
	config, deploy := filepath.Join(o.Dir, fmt.Sprintf("n%d.json", i)), filepath.Join(o.Dir, "none.toml")
	text, err := json.Marshal(configuration(fmt.Sprint("n", i), d.address, rt.ln.Addr().String(), s))
	if err == nil {
		err = os.WriteFile(config, text, 0o600)
	}
	if err != nil {
		return d, err
	}
	d.cmd = o.Command(config, deploy)
	d.cmd.Stderr = o.Log
	if err := d.cmd.Start(); err != nil {
		return d, err
	}
	select {
	case <-rt.ready:
	case <-time.After(10 * time.Second):
		return d, fmt.Errorf("daemon %d did not connect to its runtime within 10 s", i)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", d.address)
		if err == nil {
			conn.Close()
			return d, nil
		}
		if time.Now().After(until) {
			return d, fmt.Errorf("daemon %d did not accept connections within 10 s: %w", i, err)
		}
	}
}

// stop kills the daemon and closes its runtime's listener.
func (d *daemon) stop() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
	}
	d.runtime.ln.Close()
}

// configuration returns the platform configuration for a node with these settings.
func configuration(name, listen, runtime string, s logic.Settings) map[string]any {
	var classes []map[string]any
	for _, c := range s.Classes {
		semantics := "retryable"
		if c.Idempotency == logic.IdempotentByKey {
			semantics = "dedup"
		}
		classes = append(classes, map[string]any{"name": c.Name, "objective": c.LatencyObjective, "hard-limit": c.ClientTimeout, "credit": c.PriorityWeight, "semantics": semantics, "window": c.IdempotencyWindow})
	}
	return map[string]any{"name": name, "listen": listen, "runtime": runtime, "seed": "1", "stop_ms": 5000,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{"ceilings": map[string]any{"retry-after": true, "max-retry-after": s.MaxRetryAfter}, "classes": classes, "servers": s.FleetSize, "tick": s.StepInterval,
			"domain": map[string]any{"cores": s.Cores, "memory-kb": s.MemoryKB, "run-factor": s.RunMemoryFactor, "signal": "off", "stop-mode": "freeze", "passes-deadline": s.DeadlinePropagated,
				"meters": []string{"core_use", "on_cores", "heap_share", "links"}},
			"projects": []map[string]any{{"name": "lab", "quota-per-s": 1e6, "share": 1}},
			"rules": map[string]any{"fall": s.ConcurrencyWindow, "grace-to-answer": s.ResponseGrace, "overload-factor": s.MaxConcurrencyPerCore, "start-capacity": 1,
				"stop-sending-within": s.DrainGrace}}}
}
