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
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Outs is how a node goes out of service with the fleet's permission. Without Leave it never does.
type Outs struct {
	Zone, Kind string
	Release    string        // what is deployed on the node
	Settle     time.Duration // in service and well, before it counts as in
	Tries      int           // to be replaced, of one ask
	InHand     func() int    // requests running and held
	Well       func() bool   // it is ready and well
	Leave      func()        // has the node go out of service; must not block
	Enter      func()        // and into it
	// Below are the servers below as this node sees them, by address; nil: it has none. LeaveAlone has it send no more to these; must not block.
	Below      func() map[string]drainpermit.Below
	LeaveAlone func(addresses []string)
	// Replace has this process replaced by what is to be deployed, and the process end. It errs where it could not; nil: nothing is set up
	// that could. It may block.
	Replace func(ctx context.Context, to string) error
}

// Service is the name that the servers of a node's uwsgi pool go by in budgets.
const Service = "uwsgi"

// leaveAlone has this node send no more to servers that are permitted to be out, until the context ends. With the store away it goes on with
// what it knew.
func (f *Fleet) leaveAlone(ctx context.Context) {
	key := drainpermit.Prefix + drainpermit.ServerName("")
	changed := f.changes(ctx, key)
	var read uint64
	for {
		c, turn := f.member()
		docs, seen, err := c.Documents(key, true)
		if err == nil && (seen.AgeMS < 0 || seen.Revision < read) {
			err = errors.New("the member asked is behind, or has heard of no leader")
		}
		var again <-chan time.Time
		if err != nil {
			f.gaveNone(turn)
			again = time.After(f.opts.Pause)
		} else {
			f.opts.Outs.LeaveAlone(serversOut(docs))
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

// serversOut are the servers that are permitted to be out, by address. A permit that can't be read counts as one: to leave a server alone is
// the harmless side.
func serversOut(docs []document.Document) (addresses []string) {
	for _, d := range docs {
		name, is := strings.CutSuffix(strings.TrimPrefix(d.Key, drainpermit.Prefix), "/permit")
		if p, err := drainpermit.Read[drainpermit.Permit](d.Value); is && (err != nil || p.State != drainpermit.Back) {
			addresses = append(addresses, drainpermit.Address(name))
		}
	}
	return addresses
}

// permits is the duty of who grants them.
const permits = "permits"

// inFor is for how long the node has been in service and well.
func (f *Fleet) inFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled.For(f.clock())
}

// settled is since when something has been so.
type settled struct {
	since lease.Instant
	is    bool
}

// Look takes in whether it is so now.
func (s *settled) Look(is bool, now lease.Instant) {
	if is && !s.is {
		s.since = now
	}
	s.is = is
}

// For is for how long it has been so.
func (s *settled) For(now lease.Instant) time.Duration {
	if !s.is {
		return 0
	}
	return time.Duration(now - s.since)
}

// out is the loop of a node's own permits: it looks at what the store has of this node, and does what its agent says, until the context
// ends. With the store away it stays as it is.
func (f *Fleet) out(ctx context.Context) {
	o := f.opts.Outs
	agent := drainpermit.NewAgent(drainpermit.Node{Release: o.Release, Terms: f.opts.Terms, Settle: o.Settle, Tries: max(1, o.Tries)})
	changed := f.changes(ctx, drainpermit.Prefix+f.opts.Name+"/")
	var s drainpermit.Sight
	known := false
	again := time.NewTicker(f.opts.Pause)
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
			if seen, err := f.seesOut(); err != nil {
				f.log.Warn("what the fleet permits this node can't be read", err)
			} else {
				s, known, fresh = seen, true, 20
			}
		}
		s.InHand, s.Well = o.InHand(), o.Well()
		f.mu.Lock()
		f.settled.Look(s.Well && !agent.Out(), f.clock())
		f.overdue = agent.Overdue(s, f.clock())
		f.mu.Unlock()
		for known && ctx.Err() == nil {
			a := agent.Next(s, f.clock())
			if a.Kind == drainpermit.Nothing {
				break
			}
			if f.doOut(ctx, agent, s, a) {
				fresh = 0
				break // what it wrote is to be seen first
			}
		}
	}
}

// changes tells when documents whose keys begin so may have changed, until the context ends.
func (f *Fleet) changes(ctx context.Context, prefix string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	go func() {
		var at uint64
		for ctx.Err() == nil {
			c, turn := f.member()
			changes, seen, forgotten, err := c.Changes(prefix, at, c.Timeout/2)
			if err != nil {
				f.gaveNone(turn)
				select {
				case <-ctx.Done():
				case <-time.After(f.opts.Pause):
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

// seesOut reads what the store has of this node, as the member that is asked first has it.
func (f *Fleet) seesOut() (s drainpermit.Sight, err error) {
	c, turn := f.member()
	docs, seen, err := c.Documents(drainpermit.Prefix+f.opts.Name+"/", true)
	if err == nil && seen.AgeMS < 0 {
		err = errors.New("the member asked has heard of no leader")
	}
	if err != nil {
		f.gaveNone(turn)
		return s, err
	}
	s.Revision = seen.Revision
	for _, d := range docs {
		switch d.Key {
		case drainpermit.AskKey(f.opts.Name):
			a, err := drainpermit.Read[drainpermit.Ask](d.Value)
			if err != nil {
				return s, err
			}
			s.Ask, s.AskVersion = &a, d.Version
		case drainpermit.PermitKey(f.opts.Name):
			p, err := drainpermit.Read[drainpermit.Permit](d.Value)
			if err != nil {
				return s, err
			}
			s.Permit, s.PermitVersion = &p, d.Version
		}
	}
	return s, nil
}

// doOut does what the agent says, and says whether that changed what the store has.
func (f *Fleet) doOut(ctx context.Context, agent *drainpermit.Agent, s drainpermit.Sight, a drainpermit.Action) (wrote bool) {
	o := f.opts.Outs
	id := ""
	if s.Permit != nil {
		id = s.Permit.ID
	}
	leave := func(what string) {
		o.Leave()
		agent.Left(f.clock())
		f.opts.Tell(faulthooks.Event{What: what, ID: id, Duty: s.Ask.Release})
		f.figure(func(x *Figures) { x.Out = true; x.Permits["begun"]++ })
		f.opts.Log.Info("this node goes out of service, as permitted", "permit", id, "by", s.Ask.By, "why", s.Ask.Why, "release", s.Ask.Release)
	}
	a.Permit.Since = f.opts.Now().UnixMilli()
	switch a.Kind {
	case drainpermit.Leave:
		leave("goes on out") // what a process before this one began
		return false
	case drainpermit.Enter:
		o.Enter()
		agent.Entered(f.clock())
		f.opts.Tell(faulthooks.Event{What: "enters", ID: id})
		f.figure(func(x *Figures) { x.Out = false })
		f.opts.Log.Info("this node is in service again", "permit", id)
		return false
	case drainpermit.Begin:
		r, err := f.makes(drainpermit.Begins(f.opts.Name, s, a.Permit, rand.Text()))
		if agent.Began(err == nil, r.Revision, f.clock()) {
			leave("begins out")
		} else if err == nil {
			f.opts.Tell(faulthooks.Event{What: "late", ID: id})
			f.counted("late", 1)
		} else {
			f.log.Warn("a permit was not begun", err)
		}
		return true
	}
	if a.Kind == drainpermit.GiveBack {
		what := "warm" // before it is given back: from then on another may have its place
		if a.Late {
			what = "late"
			f.counted("late", 1)
		}
		f.opts.Tell(faulthooks.Event{What: what, ID: id})
	}
	r, err := f.makes(drainpermit.Writes(f.opts.Name, s, a, rand.Text()))
	if a.Kind == drainpermit.Replace && err == nil {
		f.replace(ctx, agent, s.Ask.To)
		return true
	}
	agent.Noted(err == nil, r.Revision)
	if err != nil {
		f.log.Warn("what became of a permit is not written yet", err)
	}
	return true
}

// replace has this process replaced; it goes on where that fails.
func (f *Fleet) replace(ctx context.Context, agent *drainpermit.Agent, to string) {
	err := errors.New("nothing is set up by which this node could be replaced: [fleet] replace")
	if f.opts.Outs.Replace != nil {
		f.opts.Log.Info("this process is replaced", "by", to)
		f.opts.Tell(faulthooks.Event{What: "replaced", ID: to})
		f.counted("replaced", 1)
		err = f.opts.Outs.Replace(ctx, to)
	}
	if err != nil {
		f.log.Warn("this process was not replaced", err)
		agent.Replaced(err.Error())
	}
}

// reportOut is what a report says of it.
func (f *Fleet) reportOut(state map[string]any) {
	o := f.opts.Outs
	state["zone"], state["kind"], state["release"] = o.Zone, o.Kind, o.Release
	state["in_ms"] = f.inFor().Milliseconds()
	if o.Below != nil {
		state["below"] = o.Below()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overdue {
		state["overdue"] = true
	}
}

// standing is a duty that one node has for as long as there is anything to do, without jobs: what it does each time follows from what it reads,
// in transactions under its token.
type standing struct {
	*Fleet
	duty   string
	prefix string // of the documents that give it something to do
	reset  func() // forgets what an earlier time at the duty has seen
	do     func(token uint64) (idle bool, err error)

	claim *lease.Claim
	idle  int // turns with nothing to do
	pause time.Duration
}

// serve takes this node's turn at the duty until the context ends.
func (k *standing) serve(ctx context.Context) {
	k.begin()
	defer k.handOver("this node leaves")
	for {
		k.turn()
		select {
		case <-ctx.Done():
			return
		case <-time.After(k.pause):
		}
	}
}

func (k *standing) begin() {
	k.claim = lease.NewClaim(k.opts.Terms)
	k.reset()
}

func (k *standing) handOver(why string) {
	if token, holds := k.claim.Holds(k.clock()); holds {
		k.claim.Stop()
		k.opts.Tell(faulthooks.Event{What: "gives", Duty: k.duty, N: token})
		_, err := k.ask(k.duty, store.Question{Ask: "hand-over", Holder: k.opts.Name, Token: token, Why: why})
		k.opts.Log.Debug("a duty was handed over", "duty", k.duty, "token", token, "error", err)
	}
	k.begin()
}

// turn looks once.
func (k *standing) turn() {
	k.pause = k.opts.Pause
	token, holds := k.claim.Holds(k.clock())
	if !holds {
		k.pause = 4 * k.opts.Pause
		c, turn := k.member()
		docs, _, err := c.Documents(k.prefix, true)
		if err != nil {
			k.gaveNone(turn)
		}
		if len(docs) == 0 {
			return // nothing to do
		}
	}
	if !holds || k.claim.Renews(k.clock()) {
		if !holds {
			k.begin()
		}
		q := store.Question{Ask: "take", Holder: k.opts.Name}
		if holds {
			q.Ask, q.Token = "renew", token
		}
		question := k.claim.Ask(k.clock())
		switch rec, err := k.ask(k.duty, q); {
		case err == nil:
			k.claim.Granted(question, rec.Token)
			k.opts.Tell(faulthooks.Event{What: "holds", Duty: k.duty, N: rec.Token, Until: k.claim.Until()})
		case errors.Is(err, store.ErrConflict):
			k.claim.Refused(question)
			return
		default:
			return
		}
		if token, holds = k.claim.Holds(k.clock()); !holds {
			return
		}
	}
	idle, err := k.do(token)
	if err != nil {
		k.log.Warn("a duty can't be done now", fmt.Errorf("%s: %w", k.duty, err))
	}
	if idle {
		k.idle++
	} else {
		k.idle = 0
	}
	if k.idle > 20 {
		k.idle = 0
		k.handOver("nothing to do")
	}
}

// make makes a transaction while the duty is held. It errs with store.ErrConflict where something has changed meanwhile.
func (k *standing) make(t document.Transaction) error {
	if _, holds := k.claim.Holds(k.clock()); !holds {
		return errors.New("the duty is over")
	}
	_, err := k.makes(t)
	return err
}

// keeping is one candidate for granting permits.
type keeping struct {
	*standing
	sight  *Sight
	keeper drainpermit.Keeper
}

// keepPermits takes this node's turn at granting permits, while there is anything to decide, until the context ends.
func (f *Fleet) keepPermits(ctx context.Context) {
	k := &keeping{}
	k.standing = &standing{Fleet: f, duty: permits, prefix: drainpermit.Prefix, do: k.decide, reset: func() {
		k.sight = NewSight(f.opts.Silent) // nodes are unknown until they are heard of anew
		k.keeper = drainpermit.Keeper{Terms: f.opts.Terms, Settle: f.opts.Outs.Settle}
		f.figure(func(x *Figures) { x.Kept = nil })
	}}
	k.serve(ctx)
}

// view reads all that counts for permits, confirmed, with the nodes as this process has heard of them.
func (f *Fleet) view(sight *Sight) (v drainpermit.View, at drainpermit.Versions, docs []document.Document, err error) {
	if docs, err = f.documents(""); err != nil {
		return v, at, docs, err
	}
	v, at, err = drainpermit.ViewOf(docs, drainpermit.Plain, f.opts.Now().UnixMilli())
	if err != nil {
		f.log.Warn("a document can't be read", err)
	}
	var reports []document.Document
	for _, d := range docs {
		if strings.HasPrefix(d.Key, nodes) {
			reports = append(reports, d)
		}
	}
	now := f.clock()
	sight.Look(reports, now)
	quiet := map[string]time.Duration{}
	for _, q := range sight.Silent(now) {
		quiet[q.Node] = q.For
	}
	for _, d := range reports {
		s := drainpermit.Seen{Name: strings.TrimPrefix(d.Key, nodes)}
		s.Bad = json.Unmarshal([]byte(d.Value), &s.Report) != nil
		s.Since = s.Report.Since
		if long, silent := quiet[s.Name]; silent {
			s.Quiet, s.Since = disruption.Silent, f.opts.Now().Add(-long).UnixMilli()
		} else if !sight.Heard(s.Name, now) {
			s.Quiet = disruption.Unknown
		}
		v.Members = append(v.Members, s)
	}
	return v.WithServers(Service), at, docs, nil
}

// decide reads all, and makes what follows from it.
func (k *keeping) decide(token uint64) (idle bool, err error) {
	v, at, _, err := k.view(k.sight)
	if err != nil {
		return false, err
	}
	step := k.keeper.Decide(v, k.clock())
	kept := keptOf(v, step.Counted)
	k.figure(func(x *Figures) { x.Kept = kept })
	for _, t := range step.Transactions(v, at, permits, token, k.opts.Name, rand.Text) {
		if err := k.make(t); err != nil && !errors.Is(err, store.ErrConflict) { // what changed meanwhile is decided on anew
			return false, fmt.Errorf("%s: %w", t.Why, err)
		}
	}
	k.counted("granted", len(step.Grant))
	k.counted("freed", len(step.Free))
	return len(v.Asks)+len(v.Permits) == 0, nil
}
