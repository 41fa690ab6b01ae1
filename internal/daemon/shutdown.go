package daemon

import (
	"fmt"
	"os"
	"time"

	"sloehitch/internal/handover"
	"sloehitch/internal/platform/clock"
)

// shutDown carries out the graceful shutdown that was asked for at receivedAt, by the plan of package handover.
//
// Callers learn of it seconds later, so requests that arrive within the drain grace are still admitted. Then the listener closes, connections are asked to
// close, and requests in flight go on. It returns once every request is answered and every connection closed, or just before the kill.
func (d *Daemon) shutDown(receivedAt time.Time) {
	conditions := d.shutdownConditions()
	plan := handover.PlanShutdown(conditions)
	d.saveSnapshot(true)
	d.log.Info("shutting down", "stop", conditions.StopTimeout, "other_processes", conditions.OtherProcesses, "keep_advertised", plan.KeepAdvertised)
	end := receivedAt.Add(conditions.StopTimeout - d.limits.KillMargin/2)
	// The core has answered every request by then.
	kill := time.After(clock.System{}.Until(receivedAt.Add(conditions.StopTimeout - d.limits.KillMargin*3/4)))
	d.node.Drain(receivedAt, conditions.StopTimeout, plan.KeepAdvertised)
	d.service.keepAdvertised.Store(plan.KeepAdvertised)
	d.service.draining.Store(true)
	d.advertise()
	graceOver := time.After(clock.System{}.Until(receivedAt.Add(plan.CloseListenerAfter)))
	poll := time.NewTicker(d.limits.MinBackoff)
	defer poll.Stop()
	listenersClosed := false
	for {
		select {
		case <-kill:
			d.log.Info("shutdown out of time; closing", "open", d.openConnections())
			// Where the process was suspended until now, answers just given still have to be written.
			d.resp.Shutdown(max(clock.System{}.Until(end), d.limits.KillMargin/2))
			return
		case <-d.reloads: // requests in flight may need the new addresses
			d.reload()
		case s := <-d.journals.released:
			d.attachLedger(s)
		case <-graceOver:
			listenersClosed = true
			d.listeners.closeAll() // a refused connection proves that nothing ran
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

// drained asks the connections that are still open to close, and reports whether none is left and every request is answered. It cuts none.
func (d *Daemon) drained() bool {
	d.resp.RequestClose()
	return d.openConnections() == 0 && d.node.Unanswered() == 0
}

// shutdownConditions are what the plan of a shutdown goes by.
func (d *Daemon) shutdownConditions() handover.ShutdownConditions {
	c := handover.ShutdownConditions{
		DrainGrace:   time.Duration(d.platform.Logic.DrainGrace) * time.Microsecond,
		SafetyMargin: d.limits.DrainGraceMargin,
		StopTimeout:  d.platform.KillAfter(),
	}
	if listenerInherited() { // the platform holds the listener: another process replaces this one
		c.StopTimeout, c.InheritedListener = d.platform.KillAfterReplaced(), true
	}
	if d.journals.keys != nil {
		c.OtherProcesses = d.journals.keys.LiveProcesses(d.limits.ProcessListTimeout)
	}
	return c
}

// ReceivedAt sends the time at which the first of the signals came. The drain grace and the kill time count from there, also where the
// process is still starting or reading a new configuration then; further signals change nothing.
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
