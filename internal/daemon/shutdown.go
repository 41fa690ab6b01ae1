package daemon

import (
	"fmt"
	"os"
	"time"

	"sloehitch/internal/handover"
	"sloehitch/internal/platform/clock"
)

// leave carries out the notice to leave that came at the given time, as handover.Depart says. Callers hear of it seconds later, so what comes within
// the grace is still taken; then they are sent elsewhere, what is in hand goes on, and the end comes when nothing is
// owed and the callers have closed, or just before the kill.
func (d *Daemon) leave(notice time.Time) {
	stop, sight := d.platform.Stop(), handover.Sight{Grace: time.Duration(d.platform.Logic.DrainGrace) * time.Microsecond, Spare: d.limits.GraceSpare}
	if inherited() {
		stop, sight.Inherited = d.platform.StopReplaced(), true // the platform holds the listener: a new process replaces this one
	}
	if d.claims != nil {
		sight.Others = d.claims.Others(d.limits.Others)
	}
	sight.Stop = stop
	plan := handover.Depart(sight)
	d.leaveLearned(true)
	d.log.Info("leaving", "stop", stop, "others", sight.Others, "quiet", plan.Quiet)
	end := notice.Add(stop - d.limits.KillSpare/2)
	kill := time.After(clock.System{}.Until(notice.Add(stop - d.limits.KillSpare*3/4))) // the core has answered all that is left by then
	d.node.Leave(notice, stop, plan.Quiet)
	d.quiet.Store(plan.Quiet)
	d.leaving.Store(true)
	d.pulse.Close(!plan.Quiet || d.away())
	grace := time.After(clock.System{}.Until(notice.Add(plan.Shut)))
	look := time.NewTicker(d.limits.RetryLeast)
	defer look.Stop()
	shut := false
	for {
		select {
		case <-kill:
			d.log.Info("leaving at the last moment", "open", d.open())
			// Where the process stood still as its time came, what was just answered still has to be written.
			d.front.Finish(max(clock.System{}.Until(end), d.limits.KillSpare/2))
			return
		case <-d.hup: // what is still owed may need the new addresses
			d.reload()
		case s := <-d.freed:
			d.attach(s)
		case <-grace:
			shut = true
			d.listeners.close() // a refused connection proves that nothing ran
			d.front.Leave()
		case <-look.C:
			d.share()
			if shut {
				d.front.Ask() // connections taken just before the listener closed are asked to close too; none is cut
			}
			if shut && d.open() == 0 && d.node.Owed() == 0 {
				d.log.Info("left")
				return
			}
		}
	}
}

// ReceivedAt sends the time at which the first of the signals came. The drain grace and the kill time count from there, also where the
// process is still starting or reading a new configuration then; further signals change nothing.
func ReceivedAt(signals <-chan os.Signal) <-chan time.Time {
	notice := make(chan time.Time, 1)
	go func() {
		<-signals
		notice <- clock.System{}.Now()
	}()
	return notice
}

// ExitCode is an error that only sets the exit code of the process.
type ExitCode int

func (e ExitCode) Error() string { return fmt.Sprint("exit ", int(e)) }
