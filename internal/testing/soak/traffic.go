package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// runTraffic runs the clients, faults and restarts for the plan's length, and then waits until the last answer is due.
func (run *testRun) runTraffic() {
	var all sync.WaitGroup
	run.startClients(&all)
	all.Add(2)
	go run.watchSchedulingDelays()
	go func() { defer all.Done(); run.injectFaults() }()
	go func() { defer all.Done(); run.restartProcesses() }()
	time.Sleep(run.plan.Length)
	run.stopped.Store(true)
	all.Wait()
	time.Sleep(max(run.plan.Site.ReadDeadline, run.plan.Site.BookDeadline) + run.plan.Links["client"].delay() + answerSlack)
}

// A busy machine may not schedule the rig for a moment. A delay beyond stallTolerance extends the node's deadlines.
const (
	stallCheckInterval = 10 * time.Millisecond
	stallTolerance     = 15 * time.Millisecond
)

// watchSchedulingDelays records when the machine did not schedule this process, and so may not have scheduled the node either.
func (run *testRun) watchSchedulingDelays() {
	for run.trafficOn() {
		from := run.record.now()
		time.Sleep(stallCheckInterval)
		if to := run.record.now(); to-from > stallCheckInterval+stallTolerance {
			run.mu.Lock()
			run.schedulingDelays = append(run.schedulingDelays, pause{from + stallCheckInterval, to})
			run.mu.Unlock()
		}
	}
}

func (run *testRun) startClients(all *sync.WaitGroup) {
	c, number := run.plan.Clients, 0
	start := func(count int, h behavior, after, interval time.Duration) {
		for range count {
			number++
			one := &client{testRun: run, behavior: h, number: number, random: rand.New(rand.NewPCG(run.plan.Seed, uint64(number)))}
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(after)
				one.run(interval)
				one.conn.closeIfOpen()
			}()
		}
	}
	start(c.Steady, steady, 0, c.Interval)
	start(c.IgnoreClose, ignoringClose, 0, c.Interval)
	start(c.Idling, idling, 0, c.Interval)
	start(c.Slow, slow, 0, c.Interval)
	start(c.Burst, bursting, run.plan.Length/2, c.Interval*time.Duration(max(1, c.Burst/6)))
	for i := range c.Malformed {
		all.Add(1)
		go func() { defer all.Done(); run.runMalformedClient(rand.New(rand.NewPCG(run.plan.Seed, uint64(1000+i)))) }()
	}
}
