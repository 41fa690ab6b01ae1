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
)

// grantTaskName is the name of the task that grants drain permits.
const grantTaskName = "permits"

// grantTask grants drain permits while this node holds the task's lease.
type grantTask struct {
	*leasedLoop
	detector   *FailureDetector
	controller drainpermit.Controller
}

// runGrantTask runs the task of granting permits, whenever this node holds its lease, until the context ends.
func (p *Participant) runGrantTask(ctx context.Context) {
	t := &grantTask{}
	t.leasedLoop = &leasedLoop{Participant: p, task: grantTaskName, keyPrefix: fleetstate.DrainKeyPrefix, runTurn: t.decide, reset: func() {
		t.detector = NewFailureDetector(p.options.SilentAfter) // nodes count as unknown until they report again
		t.controller = drainpermit.Controller{Terms: p.options.LeaseTerms, MinReady: p.options.Drain.MinReady}
		p.updateStats(func(stats *Stats) { stats.Grants = nil })
	}}
	t.run(ctx)
}

// decide reads the fleet's state and commits the controller's decision.
func (t *grantTask) decide(token uint64) (idle bool, err error) {
	state, err := t.readState(t.detector)
	if err != nil {
		return false, err
	}
	decision := t.controller.Decide(state.view, t.clock())
	grants := grantStatsOf(state.view, decision.BudgetMembers)
	t.updateStats(func(stats *Stats) { stats.Grants = grants })
	for _, transaction := range decision.Transactions(state.view, state.versions, grantTaskName, token, t.options.Name, rand.Text) {
		if err := t.transactWhileHeld(transaction); err != nil && !errors.Is(err, store.ErrConflict) { // a conflict is decided again
			return false, fmt.Errorf("%s: %w", transaction.Reason, err)
		}
	}
	t.addPermitCount(permitsGranted, len(decision.Grant))
	t.addPermitCount(permitsRemoved, len(decision.Remove))
	return len(state.view.Requests)+len(state.view.Permits) == 0, nil
}

// fleetState has all documents of the store at one revision that a majority confirmed, and the view that is decoded
// from them.
type fleetState struct {
	view     fleetstate.View
	versions fleetstate.Versions
	docs     []document.Document
}

// readState reads the fleet's state and determines the nodes' liveness by the given failure detector.
func (p *Participant) readState(detector *FailureDetector) (state fleetState, err error) {
	if state.docs, err = p.documents(""); err != nil {
		return state, err
	}
	state.view, state.versions, err = fleetstate.DecodeView(state.docs, fleetstate.DefaultDecoder, p.options.Now().UnixMilli())
	if err != nil {
		p.log.Warn("cannot decode a document", err)
	}
	var reports []document.Document
	for _, d := range state.docs {
		if strings.HasPrefix(d.Key, nodeKeyPrefix) {
			reports = append(reports, d)
		}
	}
	state.view.Members = p.observeMembers(detector, reports)
	state.view = state.view.WithUpstreams(UpstreamService)
	return state, nil
}

// observeMembers decodes the nodes' reports and determines their liveness.
func (p *Participant) observeMembers(detector *FailureDetector, reports []document.Document) (members []fleetstate.ObservedMember) {
	now := p.clock()
	detector.Observe(reports, now)
	silence := map[string]time.Duration{}
	for _, silent := range detector.SilentNodes(now) {
		silence[silent.Node] = silent.Silence
	}
	for _, report := range reports {
		members = append(members, p.observeMember(detector, report, silence, now))
	}
	return members
}

// observeMember decodes a node's report and determines its liveness. silence has the nodes that are silent now.
func (p *Participant) observeMember(
	detector *FailureDetector, report document.Document, silence map[string]time.Duration, now lease.Instant,
) fleetstate.ObservedMember {
	m := fleetstate.ObservedMember{Name: strings.TrimPrefix(report.Key, nodeKeyPrefix)}
	m.Unreadable = json.Unmarshal([]byte(report.Value), &m.Report) != nil
	m.SinceMS = m.Report.ProcessStartMS
	if duration, silent := silence[m.Name]; silent {
		m.Liveness, m.SinceMS = disruption.Silent, p.options.Now().Add(-duration).UnixMilli()
	} else if !detector.Alive(m.Name, now) {
		m.Liveness = disruption.Unknown
	}
	return m
}
