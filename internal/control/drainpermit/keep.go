package drainpermit

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// View is what a keeper sees, confirmed by a majority and as of one moment.
type View struct {
	Budgets      disruption.Budgets
	Members      []ObservedMember
	Requests     map[string]Request // by node
	RequestOrder map[string]uint64
	Permits      map[string]Permit
	Halted       map[string]bool // releases, or All
	NowMS        int64           // Unix milliseconds, for asks that lapse
}

// Decoder is how documents are read; a reader may remember them.
type Decoder struct {
	Request func(document.Document) (Request, error)
	Permit  func(document.Document) (Permit, error)
}

// DefaultDecoder reads each document anew.
var DefaultDecoder = Decoder{
	Request: func(d document.Document) (Request, error) { return Decode[Request](d.Value) },
	Permit:  func(d document.Document) (Permit, error) { return Decode[Permit](d.Value) },
}

// DecodeView reads what documents say of asks, permits, halts and the rules, and the versions of all of them. It errs on what can't be read, and
// leaves that out.
func DecodeView(docs []document.Document, by Decoder, now int64) (View, Versions, error) {
	v := View{Requests: map[string]Request{}, RequestOrder: map[string]uint64{}, Permits: map[string]Permit{}, Halted: map[string]bool{}, NowMS: now}
	at := Versions{}
	var errs []error
	for _, d := range docs {
		at[d.Key] = d.Version
		var err error
		if node, ofNode := strings.CutPrefix(d.Key, KeyPrefix); ofNode {
			if name, ask := strings.CutSuffix(node, "/ask"); ask {
				var a Request
				if a, err = by.Request(d); err == nil {
					v.Requests[name], v.RequestOrder[name] = a, d.Version
				}
			} else if name, permit := strings.CutSuffix(node, "/permit"); permit {
				var p Permit
				if p, err = by.Permit(d); err != nil {
					p = Permit{State: OutOfService} // it counts, whatever it is
				}
				v.Permits[name] = p
			}
		} else if halt, halts := strings.CutPrefix(d.Key, HaltKeyPrefix); halts {
			v.Halted[halt] = true
		} else if d.Key == BudgetsKey {
			v.Budgets, err = Decode[disruption.Budgets](d.Value)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", d.Key, err))
		}
	}
	return v, at, errors.Join(errs...)
}

// ObservedMember is a node as the keeper sees it.
type ObservedMember struct {
	Name       string
	Report     Report
	Unreadable bool                    // its report can't be read
	Liveness   disruption.Availability // Silent, or Unknown while it has not been heard since this keeper looks; empty: it reports
	SinceMS    int64                   // Unix milliseconds, as far as is known

	Service       string         // of a server below: its service; empty: it is a node
	UpstreamUsers []UpstreamUser // of a server: the nodes that have it on their list
}

// UpstreamUser is a node that may send to a server.
type UpstreamUser struct {
	Node string
	UpstreamStatus
	Liveness disruption.Availability // the node's
}

// BudgetMembers are the nodes as a budget counts them: by their permits first, then by what is known of them. Those of which only a permit is
// known count too.
func (v View) BudgetMembers(settle time.Duration) (list []disruption.Member) {
	known := map[string]bool{}
	for _, s := range v.Members {
		known[s.Name] = true
		m := disruption.Member{Name: s.Name, Labels: s.Report.Labels(), SinceMS: s.SinceMS}
		if s.Service != "" {
			m.Labels = map[string]string{"service": s.Service}
		}
		p, permitted := v.Permits[s.Name]
		switch {
		case permitted:
			m.Availability, m.SinceMS = disruption.HoldsPermit, p.SinceMS
		case s.Service != "":
			m.Availability = s.upstreamAvailability()
		case s.Liveness != disruption.Available:
			m.Availability = s.Liveness
		case s.Unreadable:
			m.Availability = disruption.Unknown
		default:
			m.Availability = s.Report.Availability(settle)
		}
		if permitted && (s.Unreadable || s.Service == "" && m.Labels["zone"] == "" && m.Labels["kind"] == "") {
			m.Labels = p.Labels
		}
		list = append(list, m)
	}
	for name, p := range v.Permits {
		if !known[name] {
			list = append(list, disruption.Member{Name: name, Labels: p.Labels, Availability: disruption.HoldsPermit, SinceMS: p.SinceMS})
		}
	}
	slices.SortFunc(list, func(a, b disruption.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Decision is what a keeper has changed, in one transaction of its own.
type Decision struct {
	Grant         []string // nodes whose ask is granted
	Remove        []string // whose permit was not begun and goes
	MarkReturning []string // servers below that nodes use again
	Requeue       []string // whose ask goes to the end of the line
	Expire        []string // whose ask ends by itself
	Rejected      []disruption.Rejection
	BudgetMembers []disruption.Member // as the budgets counted them
}

// Controller decides on permits for the whole fleet. It is one process's, of which others may take the place at any time; what it remembers
// is only when it first saw what it would free. It is not safe for concurrent use.
type Controller struct {
	Terms     lease.Terms // of the window
	MinReady  time.Duration
	firstSeen map[string]lease.Instant // by permit id
}

// isHalted says whether an ask may not be begun now.
func (v View) isHalted(a Request) bool {
	return v.Halted[HaltAll] || a.ReleaseName != "" && v.Halted[a.ReleaseName]
}

// Decide returns what is to be changed. Permits that were not begun are freed where their ask is gone or halted, and where the node has
// not begun within the window; the transaction that frees one is made only if it still is not begun.
func (k *Controller) Decide(v View, now lease.Instant) (s Decision) {
	seen := map[string]lease.Instant{}
	freed := map[string]bool{}
	for name, p := range v.Permits {
		if IsUpstream(name) {
			k.decideUpstream(v, name, p, now, seen, &s)
			continue
		}
		if p.State != Granted {
			continue
		}
		first, known := k.firstSeen[p.ID]
		if !known {
			first = now
		}
		seen[p.ID] = first
		a, asked := v.Requests[name]
		switch {
		case !asked || a.ID != p.RequestID || a.FailureReason != "" || v.isHalted(a):
			s.Remove = append(s.Remove, name)
			freed[name] = true
		case time.Duration(now-first) >= k.Terms.Duration:
			s.Remove, s.Requeue = append(s.Remove, name), append(s.Requeue, name)
			freed[name] = true
		}
	}
	k.firstSeen = seen
	var asks []disruption.Request
	quiet := map[string]disruption.Availability{}
	for _, m := range v.Members {
		quiet[m.Name] = m.Liveness
	}
	for name, a := range v.Requests {
		_, permitted := v.Permits[name]
		switch {
		case a.ExpiresAtMS > 0 && v.NowMS >= a.ExpiresAtMS:
			s.Expire = append(s.Expire, name)
		case permitted || a.FailureReason != "":
		case v.isHalted(a):
			s.Rejected = append(s.Rejected, disruption.Rejection{Request: disruption.Request{Member: name, RequestedBy: a.RequestedBy}, Reason: "halted"})
		case quiet[name] != disruption.Available:
			s.Rejected = append(s.Rejected, disruption.Rejection{Request: disruption.Request{Member: name, RequestedBy: a.RequestedBy}, Reason: "it is " + string(quiet[name]) + " and could not begin"})
		default:
			asks = append(asks, disruption.Request{Member: name, RequestedBy: a.RequestedBy, Urgent: a.Urgent, Order: v.RequestOrder[name]})
		}
	}
	s.BudgetMembers = v.BudgetMembers(k.MinReady)
	d := disruption.Decide(v.Budgets, s.BudgetMembers, asks) // what is freed now counts until the next time
	for _, a := range d.Granted {
		if len(s.Grant) < MaxGrantsPerTransaction {
			s.Grant = append(s.Grant, a.Member)
		}
	}
	s.Rejected = append(s.Rejected, d.Rejected...)
	for _, list := range [][]string{s.Remove, s.MarkReturning, s.Requeue, s.Expire} {
		slices.Sort(list)
	}
	slices.SortFunc(s.Rejected, func(a, b disruption.Rejection) int { return strings.Compare(a.Request.Member, b.Request.Member) })
	return s
}

// MaxGrantsPerTransaction is how many permits one transaction grants.
const MaxGrantsPerTransaction = 24

// Empty says whether nothing is to be changed.
func (s Decision) Empty() bool {
	return len(s.Grant)+len(s.Remove)+len(s.MarkReturning)+len(s.Expire) == 0
}

// Versions are those that documents had when they were read, by key.
type Versions map[string]uint64

func (v Versions) unchanged(key string) document.Condition {
	return document.Condition{Key: key, Version: v[key]}
}

// Transactions are those that a step takes, each whole or not at all: frees and lapses one by one, since each stands for itself, then all
// grants in one with the count that they were decided on.
func (s Decision) Transactions(v View, at Versions, duty string, token uint64, by string, id func() string) (list []document.Transaction) {
	mine := document.Condition{Task: duty, Token: token}
	for _, name := range s.Remove {
		t := document.Transaction{ID: id(), Author: by, Reason: "a permit ends", Conditions: []document.Condition{mine, at.unchanged(PermitKey(name))}, Operations: []document.Operation{{Key: PermitKey(name), Delete: true}}}
		if slices.Contains(s.Requeue, name) {
			t.Conditions = append(t.Conditions, at.unchanged(RequestKey(name)))
			t.Operations = append(t.Operations, document.Operation{Key: RequestKey(name), Value: Encode(v.Requests[name])})
		}
		list = append(list, t)
	}
	for _, name := range s.MarkReturning {
		p := v.Permits[name]
		p.State, p.SinceMS = Returning, v.NowMS
		list = append(list, document.Transaction{ID: id(), Author: by, Reason: "nodes use it again", Conditions: []document.Condition{mine, at.unchanged(PermitKey(name))}, Operations: []document.Operation{{Key: PermitKey(name), Value: Encode(p)}}})
	}
	for _, name := range s.Expire {
		list = append(list, document.Transaction{ID: id(), Author: by, Reason: "its time is over", Conditions: []document.Condition{mine, at.unchanged(RequestKey(name))}, Operations: []document.Operation{{Key: RequestKey(name), Delete: true}}})
	}
	if len(s.Grant) == 0 {
		return list
	}
	t := document.Transaction{ID: id(), Author: by, Reason: "granted", Conditions: []document.Condition{mine, at.unchanged(LastGrantKey), at.unchanged(BudgetsKey), at.unchanged(HaltKeyPrefix + HaltAll)},
		Operations: []document.Operation{{Key: LastGrantKey, Value: strings.Join(s.Grant, " ")}}}
	labels := map[string]map[string]string{}
	for _, m := range v.Members {
		labels[m.Name] = m.Report.Labels()
	}
	for _, name := range s.Grant {
		p := Permit{ID: id(), RequestID: v.Requests[name].ID, State: Granted, GrantedBy: by, Token: token, Labels: labels[name], SinceMS: v.NowMS}
		if IsUpstream(name) {
			p.State = OutOfService // nobody has to begin it: nodes leave it alone as they read this
		}
		t.Conditions = append(t.Conditions, at.unchanged(RequestKey(name)), at.unchanged(PermitKey(name)))
		t.Operations = append(t.Operations, document.Operation{Key: PermitKey(name), Value: Encode(p)})
	}
	return append(list, t)
}

// StartTransaction is the transaction by which a node has its beginning agreed on.
func StartTransaction(node string, s Observation, next Permit, id string) document.Transaction {
	t := document.Transaction{ID: id, Author: node, Reason: "begins to go out: " + s.Request.Reason,
		Conditions: []document.Condition{{Key: PermitKey(node), Version: s.PermitVersion}, {Key: RequestKey(node), Version: s.RequestVersion}, {Key: HaltKeyPrefix + HaltAll}},
		Operations: []document.Operation{{Key: PermitKey(node), Value: Encode(next)}}}
	if s.Request.ReleaseName != "" {
		t.Conditions = append(t.Conditions, document.Condition{Key: HaltKeyPrefix + s.Request.ReleaseName})
	}
	return t
}

// ActionTransaction is the transaction of any other action of a node's that is one.
func ActionTransaction(node string, s Observation, a Action, id string) document.Transaction {
	t := document.Transaction{ID: id, Author: node, Conditions: []document.Condition{{Key: PermitKey(node), Version: s.PermitVersion}}}
	switch a.Kind {
	case ActionReturnPermit:
		t.Reason = "gives its permit back"
		t.Operations = []document.Operation{{Key: PermitKey(node), Delete: true}}
		if a.RequestDone {
			t.Conditions = append(t.Conditions, document.Condition{Key: RequestKey(node), Version: s.RequestVersion})
			t.Operations = append(t.Operations, document.Operation{Key: RequestKey(node), Delete: true})
		}
	case ActionFailRequest:
		t.Reason = a.Request.FailureReason
		t.Conditions = append(t.Conditions, document.Condition{Key: RequestKey(node), Version: s.RequestVersion})
		t.Operations = []document.Operation{{Key: RequestKey(node), Value: Encode(a.Request)}}
	default:
		t.Reason = "is " + string(a.Permit.State)
		t.Operations = []document.Operation{{Key: PermitKey(node), Value: Encode(a.Permit)}}
	}
	return t
}
