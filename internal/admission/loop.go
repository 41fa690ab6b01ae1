package admission

import (
	"time"

	"sloehitch/logic"
)

// scheduleStep schedules a step of the logic.Server as soon as possible.
func (c *Controller) scheduleStep() {
	if c.opts.OnDecision == nil {
		select {
		case c.wake <- struct{}{}:
		default:
		}
		return
	}
	if !c.stepScheduled {
		c.stepScheduled = true
		c.opts.Clock.AfterFunc(0, func() {
			c.stepScheduled = false
			c.step(false)
		})
	}
}

// loop steps the logic.Server until Close is called.
func (c *Controller) loop() {
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
			c.step(false)
		case gauges := <-c.gauges:
			c.gaugesReceived(gauges)
		case number := <-c.timerDue:
			if number == c.timerNumber {
				c.timerFired()
			}
		}
	}
}

// setTimer sets the timer to call timerFired after d. It replaces an earlier timer.
func (c *Controller) setTimer(d time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timerNumber++
	number := c.timerNumber
	c.timer = c.opts.Clock.AfterFunc(d, func() {
		if c.opts.OnDecision != nil {
			c.timerFired()
			return
		}
		select {
		case c.timerDue <- number:
		case <-c.done:
		}
	})
}

// timerFired requests gauges for the expired timer. If they were requested already and have not arrived in time, it
// delivers the timer with the previous gauges.
func (c *Controller) timerFired() {
	if !c.gaugesRequested && c.opts.RequestGauges != nil {
		c.gaugesRequested = true
		c.setTimer(c.opts.GaugesTimeout)
		c.opts.RequestGauges()
		return
	}
	c.step(true)
}

// gaugesReceived stores gauges and delivers the timer if it waits for them.
func (c *Controller) gaugesReceived(gauges Gauges) {
	c.lastGauges = gauges
	c.step(c.gaugesRequested)
}

// step applies the settings and the resource share that were set since the last step, answers requests for the learned
// state, steps the logic.Server with the events reported since then and, if timerDue is set, with its timer, and passes
// on the resulting decisions.
func (c *Controller) step(timerDue bool) {
	c.mu.Lock()
	events, closed, settings, learned, share := c.events, c.closed, c.newSettings, c.learnedRequests, c.newResourceShare
	c.events, c.newSettings, c.learnedRequests, c.newResourceShare = nil, nil, nil, 0
	c.mu.Unlock()
	if closed {
		return
	}
	if settings != nil {
		if err := c.server.Reconfigure(*settings); err != nil {
			panic(err) // the caller has validated them; continuing would mix up the classes of requests in flight
		}
	}
	if share > 0 {
		c.server.SetResourceShare(share)
	}
	for _, out := range learned {
		out <- c.server.LearnedState()
	}
	if timerDue {
		c.gaugesRequested = false
		events = append(events, logic.Event{Kind: logic.EventTimer, TimerID: c.timerID, Gauges: c.lastGauges})
	}
	if len(events) == 0 && share == 0 {
		return
	}
	// The time of the logic.Server must not decrease, even if the system clock is set back.
	c.lastStepAt = max(c.lastStepAt, logic.Micros(c.opts.Clock.Now().UnixMicro()))
	c.dispatch(c.server.Step(c.lastStepAt, events))
}

// dispatch carries out the actions that concern the server and passes the decisions about requests to Next or
// OnDecision.
func (c *Controller) dispatch(actions []logic.Action) {
	var decisions []Decision
	for _, action := range actions {
		if d, ok := c.decisionOf(action); ok {
			decisions = append(decisions, d)
		}
	}
	if c.opts.OnDecision != nil {
		for _, d := range decisions {
			c.opts.OnDecision(d)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decisions = append(c.decisions, decisions...); len(c.decisions) > 0 {
		c.ready.Broadcast()
	}
}
