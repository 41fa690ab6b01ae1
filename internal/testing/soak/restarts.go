package soak

import (
	"math/rand/v2"
	"time"
)

// restartProcesses executes the plan's restarts. If processes share a listener, the next process is started before the current one drains.
func (run *testRun) restartProcesses() {
	random := rand.New(rand.NewPCG(run.plan.Seed, 3))
	for _, r := range run.plan.Restarts {
		run.sleepUntil(r.At)
		proc := run.runningProcess()
		if proc == nil || !run.trafficOn() {
			return
		}
		switch {
		case run.plan.Site.Shared:
		case r.Kill:
			run.kill(proc)
		default:
			run.shutDown(proc, r.Signals)
		}
		time.Sleep(between(random, 0, 200*time.Millisecond))
		next, err := run.startProcess()
		if err == nil {
			err = run.untilReady(next)
		}
		if err != nil {
			run.mu.Lock()
			run.unexpected = append(run.unexpected, err.Error())
			run.mu.Unlock()
			return
		}
		if run.plan.Site.Shared { // replaced in service: the old process drains once the new one is ready
			run.shutDown(proc, r.Signals)
		}
	}
}
