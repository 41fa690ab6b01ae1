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
	Rules   disruption.Rules
	Members []Seen
	Asks    map[string]Ask // by node
	Orders  map[string]uint64
	Permits map[string]Permit
	Halted  map[string]bool // releases, or All
	Now     int64           // Unix milliseconds, for asks that lapse
}

// Parsed is how documents are read; a reader may remember them.
type Parsed struct {
	Ask    func(document.Document) (Ask, error)
	Permit func(document.Document) (Permit, error)
}

// Plain reads each document anew.
var Plain = Parsed{
	Ask:    func(d document.Document) (Ask, error) { return Read[Ask](d.Value) },
	Permit: func(d document.Document) (Permit, error) { return Read[Permit](d.Value) },
}

// ViewOf reads what documents say of asks, permits, halts and the rules, and the versions of all of them. It errs on what can't be read, and
// leaves that out.
func ViewOf(docs []document.Document, by Parsed, now int64) (View, Versions, error) {
	v := View{Asks: map[string]Ask{}, Orders: map[string]uint64{}, Permits: map[string]Permit{}, Halted: map[string]bool{}, Now: now}
	at := Versions{}
	var errs []error
	for _, d := range docs {
		at[d.Key] = d.Version
		var err error
		if node, ofNode := strings.CutPrefix(d.Key, Prefix); ofNode {
			if name, ask := strings.CutSuffix(node, "/ask"); ask {
				var a Ask
				if a, err = by.Ask(d); err == nil {
					v.Asks[name], v.Orders[name] = a, d.Version
				}
			} else if name, permit := strings.CutSuffix(node, "/permit"); permit {
				var p Permit
				if p, err = by.Permit(d); err != nil {
					p = Permit{State: Out} // it counts, whatever it is
				}
				v.Permits[name] = p
			}
		} else if halt, halts := strings.CutPrefix(d.Key, Halts); halts {
			v.Halted[halt] = true
		} else if d.Key == Rules {
			v.Rules, err = Read[disruption.Rules](d.Value)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", d.Key, err))
		}
	}
	return v, at, errors.Join(errs...)
}

// Seen is a node as the keeper sees it.
type Seen struct {
	Name   string
	Report Report
	Bad    bool              // its report can't be read
	Quiet  disruption.Reason // Silent, or Unknown while it has not been heard since this keeper looks; empty: it reports
	Since  int64             // Unix milliseconds, as far as is known

	Service string // of a server below: its service; empty: it is a node
	Users   []User // of a server: the nodes that have it on their list
}

// User is a node that may send to a server.
type User struct {
	Node string
	Below
	Quiet disruption.Reason // the node's
}

// Counted are the nodes as a budget counts them: by their permits first, then by what is known of them. Those of which only a permit is
// known count too.
func (v View) Counted(settle time.Duration) (list []disruption.Member) {
	known := map[string]bool{}
	for _, s := range v.Members {
		known[s.Name] = true
		m := disruption.Member{Name: s.Name, Labels: s.Report.Labels(), Since: s.Since}
		if s.Service != "" {
			m.Labels = map[string]string{"service": s.Service}
		}
		p, permitted := v.Permits[s.Name]
		switch {
		case permitted:
			m.Out, m.Since = disruption.Permit, p.Since
		case s.Service != "":
			m.Out = s.serves()
		case s.Quiet != disruption.In:
			m.Out = s.Quiet
		case s.Bad:
			m.Out = disruption.Unknown
		default:
			m.Out = s.Report.Counts(settle)
		}
		if permitted && (s.Bad || s.Service == "" && m.Labels["zone"] == "" && m.Labels["kind"] == "") {
			m.Labels = p.Labels
		}
		list = append(list, m)
	}
	for name, p := range v.Permits {
		if !known[name] {
			list = append(list, disruption.Member{Name: name, Labels: p.Labels, Out: disruption.Permit, Since: p.Since})
		}
	}
	slices.SortFunc(list, func(a, b disruption.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Step is what a keeper has changed, in one transaction of its own.
type Step struct {
	Grant   []string // nodes whose ask is granted
	Free    []string // whose permit was not begun and goes
	Return  []string // servers below that nodes use again
	Requeue []string // whose ask goes to the end of the line
	Lapse   []string // whose ask ends by itself
	Refused []disruption.Refusal
	Counted []disruption.Member // as the budgets counted them
}

// Keeper decides on permits for the whole fleet. It is one process's, of which others may take the place at any time; what it remembers
// is only when it first saw what it would free. It is not safe for concurrent use.
type Keeper struct {
	Terms  lease.Terms // of the window
	Settle time.Duration
	seen   map[string]lease.Instant // by permit id
}

// halted says whether an ask may not be begun now.
func (v View) halted(a Ask) bool { return v.Halted[All] || a.Release != "" && v.Halted[a.Release] }

// Decide returns what is to be changed. Permits that were not begun are freed where their ask is gone or halted, and where the node has
// not begun within the window; the transaction that frees one is made only if it still is not begun.
func (k *Keeper) Decide(v View, now lease.Instant) (s Step) {
	seen := map[string]lease.Instant{}
	freed := map[string]bool{}
	for name, p := range v.Permits {
		if IsServer(name) {
			k.server(v, name, p, now, seen, &s)
			continue
		}
		if p.State != Granted {
			continue
		}
		first, known := k.seen[p.ID]
		if !known {
			first = now
		}
		seen[p.ID] = first
		a, asked := v.Asks[name]
		switch {
		case !asked || a.ID != p.Ask || a.Failed != "" || v.halted(a):
			s.Free = append(s.Free, name)
			freed[name] = true
		case time.Duration(now-first) >= k.Terms.Length:
			s.Free, s.Requeue = append(s.Free, name), append(s.Requeue, name)
			freed[name] = true
		}
	}
	k.seen = seen
	var asks []disruption.Ask
	quiet := map[string]disruption.Reason{}
	for _, m := range v.Members {
		quiet[m.Name] = m.Quiet
	}
	for name, a := range v.Asks {
		_, permitted := v.Permits[name]
		switch {
		case a.Until > 0 && v.Now >= a.Until:
			s.Lapse = append(s.Lapse, name)
		case permitted || a.Failed != "":
		case v.halted(a):
			s.Refused = append(s.Refused, disruption.Refusal{Ask: disruption.Ask{Member: name, By: a.By}, Why: "halted"})
		case quiet[name] != disruption.In:
			s.Refused = append(s.Refused, disruption.Refusal{Ask: disruption.Ask{Member: name, By: a.By}, Why: "it is " + string(quiet[name]) + " and could not begin"})
		default:
			asks = append(asks, disruption.Ask{Member: name, By: a.By, Urgent: a.Urgent, Order: v.Orders[name]})
		}
	}
	s.Counted = v.Counted(k.Settle)
	d := disruption.Decide(v.Rules, s.Counted, asks) // what is freed now counts until the next time
	for _, a := range d.Granted {
		if len(s.Grant) < MostAtOnce {
			s.Grant = append(s.Grant, a.Member)
		}
	}
	s.Refused = append(s.Refused, d.Refused...)
	for _, list := range [][]string{s.Free, s.Return, s.Requeue, s.Lapse} {
		slices.Sort(list)
	}
	slices.SortFunc(s.Refused, func(a, b disruption.Refusal) int { return strings.Compare(a.Ask.Member, b.Ask.Member) })
	return s
}

// MostAtOnce is how many permits one transaction grants.
const MostAtOnce = 24

// Empty says whether nothing is to be changed.
func (s Step) Empty() bool { return len(s.Grant)+len(s.Free)+len(s.Return)+len(s.Lapse) == 0 }

// Versions are those that documents had when they were read, by key.
type Versions map[string]uint64

func (v Versions) same(key string) document.Condition {
	return document.Condition{Key: key, Version: v[key]}
}

// Transactions are those that a step takes, each whole or not at all: frees and lapses one by one, since each stands for itself, then all
// grants in one with the count that they were decided on.
func (s Step) Transactions(v View, at Versions, duty string, token uint64, by string, id func() string) (list []document.Transaction) {
	mine := document.Condition{Duty: duty, Token: token}
	for _, name := range s.Free {
		t := document.Transaction{ID: id(), By: by, Why: "a permit ends", If: []document.Condition{mine, at.same(PermitKey(name))}, Do: []document.Operation{{Key: PermitKey(name), Delete: true}}}
		if slices.Contains(s.Requeue, name) {
			t.If = append(t.If, at.same(AskKey(name)))
			t.Do = append(t.Do, document.Operation{Key: AskKey(name), Value: Text(v.Asks[name])})
		}
		list = append(list, t)
	}
	for _, name := range s.Return {
		p := v.Permits[name]
		p.State, p.Since = Back, v.Now
		list = append(list, document.Transaction{ID: id(), By: by, Why: "nodes use it again", If: []document.Condition{mine, at.same(PermitKey(name))}, Do: []document.Operation{{Key: PermitKey(name), Value: Text(p)}}})
	}
	for _, name := range s.Lapse {
		list = append(list, document.Transaction{ID: id(), By: by, Why: "its time is over", If: []document.Condition{mine, at.same(AskKey(name))}, Do: []document.Operation{{Key: AskKey(name), Delete: true}}})
	}
	if len(s.Grant) == 0 {
		return list
	}
	t := document.Transaction{ID: id(), By: by, Why: "granted", If: []document.Condition{mine, at.same(Head), at.same(Rules), at.same(Halts + All)},
		Do: []document.Operation{{Key: Head, Value: strings.Join(s.Grant, " ")}}}
	labels := map[string]map[string]string{}
	for _, m := range v.Members {
		labels[m.Name] = m.Report.Labels()
	}
	for _, name := range s.Grant {
		p := Permit{ID: id(), Ask: v.Asks[name].ID, State: Granted, By: by, Token: token, Labels: labels[name], Since: v.Now}
		if IsServer(name) {
			p.State = Out // nobody has to begin it: nodes leave it alone as they read this
		}
		t.If = append(t.If, at.same(AskKey(name)), at.same(PermitKey(name)))
		t.Do = append(t.Do, document.Operation{Key: PermitKey(name), Value: Text(p)})
	}
	return append(list, t)
}

// Begins is the transaction by which a node has its beginning agreed on.
func Begins(node string, s Sight, next Permit, id string) document.Transaction {
	t := document.Transaction{ID: id, By: node, Why: "begins to go out: " + s.Ask.Why,
		If: []document.Condition{{Key: PermitKey(node), Version: s.PermitVersion}, {Key: AskKey(node), Version: s.AskVersion}, {Key: Halts + All}},
		Do: []document.Operation{{Key: PermitKey(node), Value: Text(next)}}}
	if s.Ask.Release != "" {
		t.If = append(t.If, document.Condition{Key: Halts + s.Ask.Release})
	}
	return t
}

// Writes is the transaction of any other action of a node's that is one.
func Writes(node string, s Sight, a Action, id string) document.Transaction {
	t := document.Transaction{ID: id, By: node, If: []document.Condition{{Key: PermitKey(node), Version: s.PermitVersion}}}
	switch a.Kind {
	case GiveBack:
		t.Why = "gives its permit back"
		t.Do = []document.Operation{{Key: PermitKey(node), Delete: true}}
		if a.Done {
			t.If = append(t.If, document.Condition{Key: AskKey(node), Version: s.AskVersion})
			t.Do = append(t.Do, document.Operation{Key: AskKey(node), Delete: true})
		}
	case Fail:
		t.Why = a.Ask.Failed
		t.If = append(t.If, document.Condition{Key: AskKey(node), Version: s.AskVersion})
		t.Do = []document.Operation{{Key: AskKey(node), Value: Text(a.Ask)}}
	default:
		t.Why = "is " + string(a.Permit.State)
		t.Do = []document.Operation{{Key: PermitKey(node), Value: Text(a.Permit)}}
	}
	return t
}
