package daemon

import (
	"fmt"
	"os"
	"time"

	"sloehitch/internal/handover"
	"sloehitch/internal/platform/clock"
)

// shutDown carries out the graceful shutdown that was requested at receivedAt, by the plan of package handover.
//
// Callers learn of it seconds later, so requests that arrive within the drain grace are still admitted. Then the listener closes,
// peers are asked to close their connections, and requests in flight continue. It returns once every request is answered and every
// connection is closed, or just before the kill.
func (d *Daemon) shutDown(receivedAt time.Time) {
	conditions := d.shutdownConditions()
	plan := handover.PlanShutdown(conditions)
	d.saveSnapshot(true)
	d.log.Info("shutting down", "stop", conditions.StopTimeout, "other_processes", conditions.OtherProcesses, "keep_advertised", plan.KeepAdvertised)
	end := receivedAt.Add(conditions.StopTimeout - d.limits.KillMargin/2)
	// By then the core has answered every request.
	kill := time.After(clock.System{}.Until(receivedAt.Add(conditions.StopTimeout - d.limits.KillMargin*3/4)))
	d.node.Drain(receivedAt, conditions.StopTimeout, plan.KeepAdvertised)
	d.service.keepAdvertised.Store(plan.KeepAdvertised)
	d.service.draining.Store(true)
	d.advertise()
	graceEnd := time.After(clock.System{}.Until(receivedAt.Add(plan.CloseListenerAfter)))
	poll := time.NewTicker(d.limits.MinBackoff)
	defer poll.Stop()
	listenersClosed := false
	for {
		select {
		case <-kill:
			d.log.Info("shutdown timed out; closing the remaining connections", "open", d.openConnections())
			// If the process was suspended until now, the latest answers still have to be written.
			d.resp.Shutdown(max(clock.System{}.Until(end), d.limits.KillMargin/2))
			return
		case <-d.reloads: // requests in flight may need the new addresses
			d.reload()
		case s := <-d.journals.released:
			d.attachLedger(s)
		case <-graceEnd:
			listenersClosed = true
			d.listeners.closeAll() // a refused connection proves to a caller that nothing ran
			d.resp.StartDrain()
		case <-poll.C:
			d.updateQuota()
			if listenersClosed && d.drained() {
				d.log.Info("shutdown complete")
				return
			}
		}
	}
}

// drained asks the peers of open connections to close them, and reports whether no connection is left and every request is
// answered. It closes no connection itself.
func (d *Daemon) drained() bool {
	d.resp.RequestClose()
	return d.openConnections() == 0 && d.node.Unanswered() == 0
}

// shutdownConditions returns the input to the shutdown plan.
func (d *Daemon) shutdownConditions() handover.ShutdownConditions {
	c := handover.ShutdownConditions{
		DrainGrace:   time.Duration(d.platform.Logic.DrainGrace) * time.Microsecond,
		SafetyMargin: d.limits.DrainGraceMargin,
		StopTimeout:  d.platform.KillAfter(),
	}
	if listenerInherited() { // the platform holds the listener, so another process replaces this one
		c.StopTimeout, c.InheritedListener = d.platform.KillAfterReplaced(), true
	}
	if d.journals.keys != nil {
		c.OtherProcesses = d.journals.keys.LiveProcesses(d.limits.ProcessListTimeout)
	}
	return c
}

// ReceivedAt returns a channel that receives the time of the first signal. The drain grace and the time of the kill count from it, even if
// the process is still starting or reading a new configuration then. Further signals have no effect.
func ReceivedAt(signals <-chan os.Signal) <-chan time.Time {
	first := make(chan time.Time, 1)
	go func() {
		<-signals
		first <- clock.System{}.Now()
	}()
	return first
}

// ExitCode is an error that only sets the exit code of the process.
type ExitCode int

func (e ExitCode) Error() string { return fmt.Sprint("exit ", int(e)) }
