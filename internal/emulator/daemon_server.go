package emulator

import (
	"log/slog"
	"strconv"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
)

// daemonServer implements policy "sloehitch": the daemon's own node and admission controller on the virtual clock. The
// node must not be called from within its own callbacks, so reactions to them are scheduled with a delay of 0.
type daemonServer struct {
	environment Environment
	node        *node.Node
	admission   *admission.Controller
	runs        map[string]*daemonRun // by request ID
	requestIDs  map[*Attempt]string
	lastID      int
	lastCallID  int
}

// The memory and socket caps from which a simulated daemon derives its limits.
const (
	daemonMemoryMB = 192
	daemonSockets  = 1024
)

func newDaemonServer(e Environment) Server {
	d := &daemonServer{environment: e, runs: map[string]*daemonRun{}, requestIDs: map[*Attempt]string{}}
	lim := limits.For(daemonMemoryMB, daemonSockets)
	var err error
	d.admission, err = admission.New(e.Settings, admission.Options{Clock: e.Clock, GaugesTimeout: lim.GaugesTimeout,
		RequestGauges: d.reportGauges, OnDecision: func(decision admission.Decision) { d.node.ApplyDecision(decision) }})
	if err != nil {
		panic(err) // World.Validate has checked the settings
	}
	options := node.Options{Settings: e.Settings, Admission: d.admission, Clock: e.Clock, Limits: lim, Log: slog.New(slog.DiscardHandler)}
	if e.dependency != nil {
		options.Dependency = dependencyCaller{d}
	}
	d.node = node.New(options)
	d.scheduleSweep(lim.SweepInterval)
	return d
}

// reportGauges reports the simulated machine's gauges to the admission controller, which requested them.
func (d *daemonServer) reportGauges() {
	running := float64(d.environment.Machine.Running())
	d.admission.ReportGauges(admission.Gauges{RunQueueLength: running, CPUUtilization: min(1, running/float64(d.environment.Settings.Cores)),
		MemoryUtilization: -1, Connections: -1})
}

// scheduleSweep makes the node remove expired state periodically.
func (d *daemonServer) scheduleSweep(interval time.Duration) {
	d.environment.Clock.AfterFunc(interval, func() {
		d.node.Sweep()
		d.scheduleSweep(interval)
	})
}

// Submit implements Server.
func (d *daemonServer) Submit(a *Attempt, respond func(node.Response)) {
	d.lastID++
	id := strconv.Itoa(d.lastID)
	d.requestIDs[a] = id
	request := node.Request{ID: id, Class: a.Class, Tenant: a.Tenant, MemoryKB: a.MemoryKB, WorkHint: a.WorkHint, Retry: a.IsRetry, CallerID: a.CallerID,
		ArrivedAt: a.ArrivedAt, AttemptTimeout: a.Deadline.Sub(a.ArrivedAt), IdempotencyKey: a.IdempotencyKey, Runner: daemonRunner{d, a}, Protocol: "emulator"}
	d.node.Submit(request, func(response node.Response) {
		delete(d.requestIDs, a)
		d.abandon(id)
		d.environment.Clock.AfterFunc(0, func() { respond(response) })
	})
}

// Cancel implements Server.
func (d *daemonServer) Cancel(a *Attempt) {
	if id, ok := d.requestIDs[a]; ok {
		delete(d.requestIDs, a)
		d.node.Cancel(id)
		d.abandon(id)
	}
}

// Drain implements Server.
func (d *daemonServer) Drain(timeLeft time.Duration) {
	d.node.Drain(d.environment.Clock.Now(), timeLeft, false)
}

// InFlight implements Server.
func (d *daemonServer) InFlight() (running, queued int) { return d.node.InFlight() }
