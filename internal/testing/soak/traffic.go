package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// runTraffic runs the clients, faults and restarts for the plan's length, and waits for the answers that are due after it.
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

// A busy machine may not schedule the rig for a moment; a delay beyond the tolerance is credited to the node.
const (
	stallCheckInterval = 10 * time.Millisecond
	stallTolerance     = 15 * time.Millisecond
)

// watchSchedulingDelays records when this process, and so perhaps the node, was not scheduled.
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
	start(c.Stubborn, stubborn, 0, c.Interval)
	start(c.Resting, resting, 0, c.Interval)
	start(c.Slow, slow, 0, c.Interval)
	start(c.Crowd, crowding, run.plan.Length/2, c.Interval*time.Duration(max(1, c.Crowd/6)))
	for i := range c.Bad {
		all.Add(1)
		go func() { defer all.Done(); run.runMalformedClient(rand.New(rand.NewPCG(run.plan.Seed, uint64(1000+i)))) }()
	}
}
