package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// DrainOptions is how a node goes out of service with the fleet's permission. Without Leave it never does.
type DrainOptions struct {
	Zone, Kind         string
	DeployedVersion    string        // what is deployed on the node
	MinReady           time.Duration // in service and well, before it counts as in
	MaxReplaceAttempts int           // to be replaced, of one ask
	InFlight           func() int    // requests running and held
	Healthy            func() bool   // it is ready and well
	LeaveService       func()        // has the node go out of service; must not block
	EnterService       func()        // and into it
	// Upstreams are the servers below as this node sees them, by address; nil: it has none. LeaveAlone has it send no more to these; must not block.
	Upstreams        func() map[string]fleetstate.UpstreamStatus
	ExcludeUpstreams func(addresses []string)
	// ReplaceProcess has this process replaced by what is to be deployed, and the process end. It errs where it could not; nil: nothing is set up
	// that could. It may block.
	ReplaceProcess func(ctx context.Context, to string) error
}

// UpstreamService is the name that the servers of a node's uwsgi pool go by in budgets.
const UpstreamService = "uwsgi"

// followExcludedUpstreams has this node send no more to servers that are permitted to be out, until the context ends. With the store away it goes on with
// what it knew.
func (f *Participant) followExcludedUpstreams(ctx context.Context) {
	key := fleetstate.DrainKeyPrefix + fleetstate.UpstreamName("")
	changed := f.watchChanges(ctx, key)
	var read uint64
	for {
		c, turn := f.preferredClient()
		docs, seen, err := c.Documents(key, true)
		if err == nil && (seen.AgeMS < 0 || seen.Revision < read) {
			err = errors.New("the member asked is behind, or has heard of no leader")
		}
		var again <-chan time.Time
		if err != nil {
			f.skipMember(turn)
			again = time.After(f.options.RetryDelay)
		} else {
			f.options.Drain.ExcludeUpstreams(excludedUpstreams(docs))
			read = seen.Revision
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-again:
		}
	}
}

// excludedUpstreams are the servers that are permitted to be out, by address. A permit that can't be read counts as one: to leave a server alone is
// the harmless side.
func excludedUpstreams(docs []document.Document) (addresses []string) {
	for _, d := range docs {
		name, is := strings.CutSuffix(strings.TrimPrefix(d.Key, fleetstate.DrainKeyPrefix), "/permit")
		if p, err := fleetstate.Decode[fleetstate.Permit](d.Value); is && (err != nil || p.State != fleetstate.PermitReturning) {
			addresses = append(addresses, fleetstate.UpstreamAddress(name))
		}
	}
	return addresses
}

// grantTaskName is the duty of who grants them.
const grantTaskName = "permits"

// inServiceFor is for how long the node has been in service and well.
func (f *Participant) inServiceFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inService.Duration(f.clock())
}

// conditionTimer is since when something has been so.
type conditionTimer struct {
	since lease.Instant
	holds bool
}

// Observe takes in whether it is so now.
func (s *conditionTimer) Observe(is bool, now lease.Instant) {
	if is && !s.holds {
		s.since = now
	}
	s.holds = is
}

// Duration is for how long it has been so.
func (s *conditionTimer) Duration(now lease.Instant) time.Duration {
	if !s.holds {
		return 0
	}
	return time.Duration(now - s.since)
}

// runDrainAgent is the loop of a node's own permits: it looks at what the store has of this node, and does what its agent says, until the context
// ends. With the store away it stays as it is.
func (f *Participant) runDrainAgent(ctx context.Context) {
	o := f.options.Drain
	agent := drainpermit.NewAgent(drainpermit.AgentOptions{DeployedVersion: o.DeployedVersion, Terms: f.options.LeaseTerms, MinReady: o.MinReady, MaxReplaceAttempts: max(1, o.MaxReplaceAttempts)})
	changed := f.watchChanges(ctx, fleetstate.DrainKeyPrefix+f.options.Name+"/")
	var s drainpermit.Observation
	known := false
	again := time.NewTicker(f.options.RetryDelay)
	defer again.Stop()
	fresh := 0 // ticks until the documents are read though nothing was heard to have changed
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			fresh = 0
		case <-again.C:
			fresh--
		}
		if fresh <= 0 {
			if seen, err := f.observeDrain(); err != nil {
				f.log.Warn("what the fleet permits this node can't be read", err)
			} else {
				s, known, fresh = seen, true, 20
			}
		}
		s.InFlight, s.Healthy = o.InFlight(), o.Healthy()
		f.mu.Lock()
		f.inService.Observe(s.Healthy && !agent.OutOfService(), f.clock())
		f.drainOverdue = agent.DrainOverdue(s, f.clock())
		f.mu.Unlock()
		for known && ctx.Err() == nil {
			a := agent.NextAction(s, f.clock())
			if a.Kind == drainpermit.ActionNone {
				break
			}
			if f.carryOutDrainAction(ctx, agent, s, a) {
				fresh = 0
				break // what it wrote is to be seen first
			}
		}
	}
}

// watchChanges tells when documents whose keys begin so may have changed, until the context ends.
func (f *Participant) watchChanges(ctx context.Context, prefix string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	go func() {
		var at uint64
		for ctx.Err() == nil {
			c, turn := f.preferredClient()
			changes, seen, forgotten, err := c.Changes(prefix, at, c.Timeout/2)
			if err != nil {
				f.skipMember(turn)
				select {
				case <-ctx.Done():
				case <-time.After(f.options.RetryDelay):
				}
				continue
			}
			if at = seen.Revision; len(changes) > 0 || forgotten {
				select {
				case changed <- struct{}{}:
				default: // it is to be told already
				}
			}
		}
	}()
	return changed
}

// observeDrain reads what the store has of this node, as the member that is asked first has it.
func (f *Participant) observeDrain() (s drainpermit.Observation, err error) {
	c, turn := f.preferredClient()
	docs, seen, err := c.Documents(fleetstate.DrainKeyPrefix+f.options.Name+"/", true)
	if err == nil && seen.AgeMS < 0 {
		err = errors.New("the member asked has heard of no leader")
	}
	if err != nil {
		f.skipMember(turn)
		return s, err
	}
	s.Revision = seen.Revision
	for _, d := range docs {
		switch d.Key {
		case fleetstate.RequestKey(f.options.Name):
			a, err := fleetstate.Decode[fleetstate.DrainRequest](d.Value)
			if err != nil {
				return s, err
			}
			s.Request, s.RequestVersion = &a, d.Version
		case fleetstate.PermitKey(f.options.Name):
			p, err := fleetstate.Decode[fleetstate.Permit](d.Value)
			if err != nil {
				return s, err
			}
			s.Permit, s.PermitVersion = &p, d.Version
		}
	}
	return s, nil
}

// carryOutDrainAction does what the agent says, and says whether that changed what the store has.
func (f *Participant) carryOutDrainAction(ctx context.Context, agent *drainpermit.Agent, s drainpermit.Observation, a drainpermit.Action) (wrote bool) {
	o := f.options.Drain
	id := ""
	if s.Permit != nil {
		id = s.Permit.ID
	}
	leave := func(what string) {
		o.LeaveService()
		agent.LeftService(f.clock())
		f.options.OnEvent(faulthooks.Event{What: what, ID: id, Duty: s.Request.ReleaseName})
		f.updateStats(func(x *Stats) { x.OutOfService = true; x.Permits["begun"]++ })
		f.options.Log.Info("this node goes out of service, as permitted", "permit", id, "by", s.Request.RequestedBy, "why", s.Request.Reason, "release", s.Request.ReleaseName)
	}
	a.Permit.SinceMS = f.options.Now().UnixMilli()
	switch a.Kind {
	case drainpermit.ActionLeaveService:
		leave("goes on out") // what a process before this one began
		return false
	case drainpermit.ActionEnterService:
		o.EnterService()
		agent.EnteredService(f.clock())
		f.options.OnEvent(faulthooks.Event{What: "enters", ID: id})
		f.updateStats(func(x *Stats) { x.OutOfService = false })
		f.options.Log.Info("this node is in service again", "permit", id)
		return false
	case drainpermit.ActionStart:
		r, err := f.transact(drainpermit.StartTransaction(f.options.Name, s, a.Permit, rand.Text()))
		if agent.HandleStartResult(err == nil, r.Revision, f.clock()) {
			leave("begins out")
		} else if err == nil {
			f.options.OnEvent(faulthooks.Event{What: "late", ID: id})
			f.addPermitCount("late", 1)
		} else {
			f.log.Warn("a permit was not begun", err)
		}
		return true
	}
	if a.Kind == drainpermit.ActionReturnPermit {
		what := "warm" // before it is given back: from then on another may have its place
		if a.NeverUsed {
			what = "late"
			f.addPermitCount("late", 1)
		}
		f.options.OnEvent(faulthooks.Event{What: what, ID: id})
	}
	r, err := f.transact(drainpermit.ActionTransaction(f.options.Name, s, a, rand.Text()))
	if a.Kind == drainpermit.ActionReplaceProcess && err == nil {
		f.replaceProcess(ctx, agent, s.Request.TargetVersion)
		return true
	}
	agent.HandleWriteResult(err == nil, r.Revision)
	if err != nil {
		f.log.Warn("what became of a permit is not written yet", err)
	}
	return true
}

// replaceProcess has this process replaced; it goes on where that fails.
func (f *Participant) replaceProcess(ctx context.Context, agent *drainpermit.Agent, to string) {
	err := errors.New("nothing is set up by which this node could be replaced: [fleet] replace")
	if f.options.Drain.ReplaceProcess != nil {
		f.options.Log.Info("this process is replaced", "by", to)
		f.options.OnEvent(faulthooks.Event{What: "replaced", ID: to})
		f.addPermitCount("replaced", 1)
		err = f.options.Drain.ReplaceProcess(ctx, to)
	}
	if err != nil {
		f.log.Warn("this process was not replaced", err)
		agent.HandleReplaceFailure(err.Error())
	}
}

// addDrainReport is what a report says of it.
func (f *Participant) addDrainReport(state map[string]any) {
	o := f.options.Drain
	state["zone"], state["kind"], state["release"] = o.Zone, o.Kind, o.DeployedVersion
	state["in_ms"] = f.inServiceFor().Milliseconds()
	if o.Upstreams != nil {
		state["below"] = o.Upstreams()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainOverdue {
		state["overdue"] = true
	}
}

// leasedLoop is a duty that one node has for as long as there is anything to do, without jobs: what it does each time follows from what it reads,
// in transactions under its token.
type leasedLoop struct {
	*Participant
	task      string
	keyPrefix string // of the documents that give it something to do
	reset     func() // forgets what an earlier time at the duty has seen
	runTurn   func(token uint64) (idle bool, err error)

	claim     *lease.Claim
	idleTurns int // turns with nothing to do
	delay     time.Duration
}

// run takes this node's turn at the duty until the context ends.
func (k *leasedLoop) run(ctx context.Context) {
	k.resetClaim()
	defer k.handOver("this node leaves")
	for {
		k.turn()
		select {
		case <-ctx.Done():
			return
		case <-time.After(k.delay):
		}
	}
}

func (k *leasedLoop) resetClaim() {
	k.claim = lease.NewClaim(k.options.LeaseTerms)
	k.reset()
}

func (k *leasedLoop) handOver(why string) {
	if token, holds := k.claim.Holds(k.clock()); holds {
		k.claim.Stop()
		k.options.OnEvent(faulthooks.Event{What: "gives", Duty: k.task, N: token})
		_, err := k.requestLease(k.task, store.LeaseRequest{Action: "hand-over", Holder: k.options.Name, Token: token, Reason: why})
		k.options.Log.Debug("a duty was handed over", "duty", k.task, "token", token, "error", err)
	}
	k.resetClaim()
}

// turn looks once.
func (k *leasedLoop) turn() {
	k.delay = k.options.RetryDelay
	token, holds := k.claim.Holds(k.clock())
	if !holds {
		k.delay = 4 * k.options.RetryDelay
		c, turn := k.preferredClient()
		docs, _, err := c.Documents(k.keyPrefix, true)
		if err != nil {
			k.skipMember(turn)
		}
		if len(docs) == 0 {
			return // nothing to do
		}
	}
	if !holds || k.claim.RenewalDue(k.clock()) {
		if !holds {
			k.resetClaim()
		}
		q := store.LeaseRequest{Action: "take", Holder: k.options.Name}
		if holds {
			q.Action, q.Token = "renew", token
		}
		question := k.claim.BeginRequest(k.clock())
		switch rec, err := k.requestLease(k.task, q); {
		case err == nil:
			k.claim.HandleGrant(question, rec.Token)
			k.options.OnEvent(faulthooks.Event{What: "holds", Duty: k.task, N: rec.Token, Until: k.claim.ValidUntil()})
		case errors.Is(err, store.ErrConflict):
			k.claim.HandleRejection(question)
			return
		default:
			return
		}
		if token, holds = k.claim.Holds(k.clock()); !holds {
			return
		}
	}
	idle, err := k.runTurn(token)
	if err != nil {
		k.log.Warn("a duty can't be done now", fmt.Errorf("%s: %w", k.task, err))
	}
	if idle {
		k.idleTurns++
	} else {
		k.idleTurns = 0
	}
	if k.idleTurns > 20 {
		k.idleTurns = 0
		k.handOver("nothing to do")
	}
}

// transactWhileHeld makes a transaction while the duty is held. It errs with store.ErrConflict where something has changed meanwhile.
func (k *leasedLoop) transactWhileHeld(t document.Transaction) error {
	if _, holds := k.claim.Holds(k.clock()); !holds {
		return errors.New("the duty is over")
	}
	_, err := k.transact(t)
	return err
}

// grantTask is one candidate for granting permits.
type grantTask struct {
	*leasedLoop
	detector   *FailureDetector
	controller drainpermit.Controller
}

// runGrantTask takes this node's turn at granting permits, while there is anything to decide, until the context ends.
func (f *Participant) runGrantTask(ctx context.Context) {
	k := &grantTask{}
	k.leasedLoop = &leasedLoop{Participant: f, task: grantTaskName, keyPrefix: fleetstate.DrainKeyPrefix, runTurn: k.decide, reset: func() {
		k.detector = NewFailureDetector(f.options.SilentAfter) // nodes are unknown until they are heard of anew
		k.controller = drainpermit.Controller{Terms: f.options.LeaseTerms, MinReady: f.options.Drain.MinReady}
		f.updateStats(func(x *Stats) { x.Grants = nil })
	}}
	k.run(ctx)
}

// readView reads all that counts for permits, confirmed, with the nodes as this process has heard of them.
func (f *Participant) readView(sight *FailureDetector) (v fleetstate.View, at fleetstate.Versions, docs []document.Document, err error) {
	if docs, err = f.documents(""); err != nil {
		return v, at, docs, err
	}
	v, at, err = fleetstate.DecodeView(docs, fleetstate.DefaultDecoder, f.options.Now().UnixMilli())
	if err != nil {
		f.log.Warn("a document can't be read", err)
	}
	var reports []document.Document
	for _, d := range docs {
		if strings.HasPrefix(d.Key, nodeKeyPrefix) {
			reports = append(reports, d)
		}
	}
	now := f.clock()
	sight.Observe(reports, now)
	quiet := map[string]time.Duration{}
	for _, q := range sight.SilentNodes(now) {
		quiet[q.Node] = q.Silence
	}
	for _, d := range reports {
		s := fleetstate.ObservedMember{Name: strings.TrimPrefix(d.Key, nodeKeyPrefix)}
		s.Unreadable = json.Unmarshal([]byte(d.Value), &s.Report) != nil
		s.SinceMS = s.Report.ProcessStartMS
		if long, silent := quiet[s.Name]; silent {
			s.Liveness, s.SinceMS = disruption.Silent, f.options.Now().Add(-long).UnixMilli()
		} else if !sight.Alive(s.Name, now) {
			s.Liveness = disruption.Unknown
		}
		v.Members = append(v.Members, s)
	}
	return v.WithUpstreams(UpstreamService), at, docs, nil
}

// decide reads all, and makes what follows from it.
func (k *grantTask) decide(token uint64) (idle bool, err error) {
	v, at, _, err := k.readView(k.detector)
	if err != nil {
		return false, err
	}
	step := k.controller.Decide(v, k.clock())
	kept := grantStatsOf(v, step.BudgetMembers)
	k.updateStats(func(x *Stats) { x.Grants = kept })
	for _, t := range step.Transactions(v, at, grantTaskName, token, k.options.Name, rand.Text) {
		if err := k.transactWhileHeld(t); err != nil && !errors.Is(err, store.ErrConflict) { // what changed meanwhile is decided on anew
			return false, fmt.Errorf("%s: %w", t.Reason, err)
		}
	}
	k.addPermitCount("granted", len(step.Grant))
	k.addPermitCount("freed", len(step.Remove))
	return len(v.Requests)+len(v.Permits) == 0, nil
}
