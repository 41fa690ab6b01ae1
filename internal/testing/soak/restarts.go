package soak

import (
	"math/rand/v2"
	"time"
)

// restartProcesses carries out the plan's restarts. Where processes share a listener, the next one is started before the present one drains.
func (run *testRun) restartProcesses() {
	random := rand.New(rand.NewPCG(run.plan.Seed, 3))
	for _, r := range run.plan.Restarts {
		run.sleepUntil(r.At)
		l := run.runningProcess()
		if l == nil || !run.trafficOn() {
			return
		}
		switch {
		case run.plan.Site.Shared:
		case r.Kill:
			run.kill(l)
		default:
			run.shutDown(l, r.Signals)
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
		if run.plan.Site.Shared { // it is replaced in service
			run.shutDown(l, r.Signals)
		}
	}
}
