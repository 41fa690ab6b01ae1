package admission

import (
	"time"

	"sloehitch/logic"
)

// scheduleStep has logic stepped soon.
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

// loop steps logic until Close.
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

// setTimer has timerFired called after d, in place of any timer set before.
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

// timerFired asks for the gauges that a due timer is delivered with, or delivers it without those that did not come
// in time.
func (c *Controller) timerFired() {
	if !c.gaugesRequested && c.opts.RequestGauges != nil {
		c.gaugesRequested = true
		c.setTimer(c.opts.GaugesTimeout)
		c.opts.RequestGauges()
		return
	}
	c.step(true)
}

// gaugesReceived takes in gauges, and delivers the timer if it waited for them.
func (c *Controller) gaugesReceived(gauges Gauges) {
	c.lastGauges = gauges
	c.step(c.gaugesRequested)
}

// step applies what was asked of logic since the last step, steps it on the events since then and, if timerDue
// is set, on its timer, and hands out its decisions.
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
			panic(err) // the caller has checked them: the classes of requests in flight would be lost
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
	// The clock of logic never goes back, whatever is done to the system's.
	c.lastStepAt = max(c.lastStepAt, logic.Micros(c.opts.Clock.Now().UnixMicro()))
	c.handOut(c.server.Step(c.lastStepAt, events))
}

// handOut carries out the actions that concern the server, and passes those that concern requests on to Next or
// OnDecision.
func (c *Controller) handOut(actions []logic.Action) {
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
