package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/testing/faulthooks"
)

// UpstreamService is the service that the servers of a node's uwsgi pool belong to in disruption budgets.
const UpstreamService = "uwsgi"

// drainReadTicks is after how many ticks of the retry delay a node reads its request and permit even without a
// notification of a change.
const drainReadTicks = 20

// DrainOptions configure how a node goes out of service under drain permits. The functions are called from a
// goroutine of the participant.
type DrainOptions struct {
	Zone, Kind      string
	DeployedVersion string
	MinReady        time.Duration // for which the node must be in service and healthy before it counts as available
	// MaxReplaceAttempts is how often the node's process is replaced for one request. 0 counts as 1.
	MaxReplaceAttempts int

	InFlight     func() int  // returns the number of running and queued requests
	Healthy      func() bool // reports whether the node is ready and healthy
	LeaveService func()      // takes the node out of service; must not block
	EnterService func()      // puts the node back into service; must not block

	// Upstreams returns the upstream servers as observed by this node, by address. It is nil if there are none.
	Upstreams func() map[string]fleetstate.UpstreamStatus
	// ExcludeUpstreams stops requests to the given addresses, and allows them to all others again. It must not
	// block. It is nil if the node has no upstream servers.
	ExcludeUpstreams func(addresses []string)
	// ReplaceProcess replaces the process by another version, after which the process ends. It returns an error if
	// that fails, and may block. It is nil if no replacement is configured.
	ReplaceProcess func(ctx context.Context, version string) error
}

var errNoReplacement = errors.New("no command to replace this node's process is configured: [fleet] replace")

// drainAgent drives the drainpermit.Agent of this node.
type drainAgent struct {
	*Participant
	drain       *DrainOptions
	agent       *drainpermit.Agent
	observation drainpermit.Observation
	observed    bool // the observation has been read at least once
	readTicks   int  // ticks until the store is read again
}

// runDrainAgent carries out the actions of the node's agent until the context ends. While the store is unreachable
// the node keeps its state.
func (p *Participant) runDrainAgent(ctx context.Context) {
	drain := p.options.Drain
	agent := drainpermit.NewAgent(drainpermit.AgentOptions{
		DeployedVersion:    drain.DeployedVersion,
		Terms:              p.options.LeaseTerms,
		MinReady:           drain.MinReady,
		MaxReplaceAttempts: max(1, drain.MaxReplaceAttempts),
	})
	a := &drainAgent{Participant: p, drain: drain, agent: agent}
	changed := p.watchChanges(ctx, fleetstate.DrainKeyPrefix+p.options.Name+"/")
	ticker := time.NewTicker(p.options.RetryDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			a.readTicks = 0
		case <-ticker.C:
			a.readTicks--
		}
		a.observe()
		a.act(ctx)
	}
}

// observe updates the observation: the documents if a read is due, and the node's own condition.
func (a *drainAgent) observe() {
	if a.readTicks <= 0 {
		observation, err := a.readDrain()
		if err != nil {
			a.log.Warn("cannot read this node's drain request and permit", err)
		} else {
			a.observation, a.observed, a.readTicks = observation, true, drainReadTicks
		}
	}
	a.observation.InFlight, a.observation.Healthy = a.drain.InFlight(), a.drain.Healthy()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inService.Observe(a.observation.Healthy && !a.agent.OutOfService(), a.clock())
	a.drainOverdue = a.agent.DrainOverdue(a.observation, a.clock())
}

// act carries out actions until there are none, or until one has written to the store, which must then be read
// before the next action.
func (a *drainAgent) act(ctx context.Context) {
	for a.observed && ctx.Err() == nil {
		action := a.agent.NextAction(a.observation, a.clock())
		if action.Kind == drainpermit.ActionNone {
			return
		}
		if a.carryOut(ctx, action) {
			a.readTicks = 0
			return
		}
	}
}

// readDrain reads this node's request and permit from the preferred member.
func (a *drainAgent) readDrain() (o drainpermit.Observation, err error) {
	node := a.options.Name
	c, memberIndex := a.preferredClient()
	docs, status, err := c.Documents(fleetstate.DrainKeyPrefix+node+"/", true)
	if err == nil && status.AgeMS < 0 {
		err = errNoLeader
	}
	if err != nil {
		a.skipMember(memberIndex)
		return o, err
	}
	o.Revision = status.Revision
	for _, d := range docs {
		switch d.Key {
		case fleetstate.RequestKey(node):
			request, err := fleetstate.Decode[fleetstate.DrainRequest](d.Value)
			if err != nil {
				return o, err
			}
			o.Request, o.RequestVersion = &request, d.Version
		case fleetstate.PermitKey(node):
			permit, err := fleetstate.Decode[fleetstate.Permit](d.Value)
			if err != nil {
				return o, err
			}
			o.Permit, o.PermitVersion = &permit, d.Version
		}
	}
	return o, nil
}

// carryOut carries out an action, and reports whether it was a transaction.
func (a *drainAgent) carryOut(ctx context.Context, action drainpermit.Action) (wrote bool) {
	action.Permit.SinceMS = a.options.Now().UnixMilli()
	switch action.Kind {
	case drainpermit.ActionLeaveService:
		a.leaveService(eventPermitResumed)
		return false
	case drainpermit.ActionEnterService:
		a.enterService()
		return false
	case drainpermit.ActionStart:
		a.startPermit(action)
	default:
		a.write(ctx, action)
	}
	return true
}

// permitID returns the ID of the observed permit, or "".
func (a *drainAgent) permitID() string {
	if a.observation.Permit == nil {
		return ""
	}
	return a.observation.Permit.ID
}

func (a *drainAgent) leaveService(event string) {
	a.drain.LeaveService()
	a.agent.LeftService(a.clock())
	request := a.observation.Request
	a.options.OnEvent(faulthooks.Event{What: event, ID: a.permitID(), Duty: request.ReleaseName})
	a.updateStats(func(stats *Stats) {
		stats.OutOfService = true
		stats.Permits[permitsStarted]++
	})
	a.options.Log.Info("leaving service under a drain permit", "permit", a.permitID(),
		"by", request.RequestedBy, "reason", request.Reason, "release", request.ReleaseName)
}

func (a *drainAgent) enterService() {
	a.drain.EnterService()
	a.agent.EnteredService()
	a.options.OnEvent(faulthooks.Event{What: eventInService, ID: a.permitID()})
	a.updateStats(func(stats *Stats) { stats.OutOfService = false })
	a.options.Log.Info("back in service", "permit", a.permitID())
}

// startPermit starts the permit, and goes out of service if that was committed in time.
func (a *drainAgent) startPermit(action drainpermit.Action) {
	result, err := a.transact(drainpermit.StartTransaction(a.options.Name, a.observation, action.Permit, rand.Text()))
	leave := a.agent.HandleStartResult(err == nil, result.Revision, a.clock())
	switch {
	case leave:
		a.leaveService(eventPermitStarted)
	case err != nil:
		a.log.Warn("could not start the drain permit", err)
	default:
		a.reportUnusedPermit()
	}
}

// reportUnusedPermit reports a permit under which the node did not go out of service.
func (a *drainAgent) reportUnusedPermit() {
	a.options.OnEvent(faulthooks.Event{What: eventPermitLate, ID: a.permitID()})
	a.addPermitCount(permitsLate, 1)
}

// write commits any other transaction, and then replaces the process if the action is ActionReplaceProcess.
func (a *drainAgent) write(ctx context.Context, action drainpermit.Action) {
	if action.Kind == drainpermit.ActionReturnPermit { // the event comes first: once the permit is returned another node may go out
		if action.NeverUsed {
			a.reportUnusedPermit()
		} else {
			a.options.OnEvent(faulthooks.Event{What: eventPermitReturned, ID: a.permitID()})
		}
	}
	result, err := a.transact(drainpermit.ActionTransaction(a.options.Name, a.observation, action, rand.Text()))
	if action.Kind == drainpermit.ActionReplaceProcess && err == nil {
		a.replaceProcess(ctx, a.observation.Request.TargetVersion)
		return
	}
	a.agent.HandleWriteResult(err == nil, result.Revision)
	if err != nil {
		a.log.Warn("could not write the state of the drain permit; retrying", err)
	}
}

// replaceProcess replaces this process. It returns if that fails, or when the process is about to end.
func (a *drainAgent) replaceProcess(ctx context.Context, version string) {
	err := errNoReplacement
	if a.drain.ReplaceProcess != nil {
		a.options.Log.Info("replacing this process", "version", version)
		a.options.OnEvent(faulthooks.Event{What: eventReplaced, ID: version})
		a.addPermitCount(permitsReplaced, 1)
		err = a.drain.ReplaceProcess(ctx, version)
	}
	if err != nil {
		a.log.Warn("could not replace this process", err)
		a.agent.HandleReplaceFailure(err.Error())
	}
}
