package release

import (
	"encoding/json"
	"fmt"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/store/document"
)

// Duty is the duty of who takes releases through the fleet.
const Duty = "release"

// Empty says whether nothing is to be changed.
func (s Step) Empty() bool { return s.Halt == "" && s.Next == nil && len(s.Asks) == 0 }

// Transactions are those that a step of a release takes, one after the other, as by what was seen at these versions. Each is made only under
// the token, by its owner, and only if the release is still as it was read; an ask only if nothing was halted either. id gives each
// its own.
func (s Step) Transactions(r Release, v drainpermit.View, at drainpermit.Versions, token uint64, owner string, id func() string) (list []document.Transaction) {
	key, halt := Prefix+r.Name, drainpermit.Halts+r.Name
	add := func(why string, on []document.Condition, do ...document.Operation) {
		list = append(list, document.Transaction{ID: id(), By: owner, Why: "release " + r.Name + ": " + why, Do: do,
			If: append([]document.Condition{{Duty: Duty, Token: token}, {Key: key, Version: at[key]}}, on...)})
	}
	switch {
	case s.Halt != "":
		next := r
		next.Note = s.Halt
		add("halted: "+s.Halt, []document.Condition{{Key: halt}}, document.Operation{Key: halt, Value: owner + ": " + s.Halt}, document.Operation{Key: key, Value: drainpermit.Text(next)})
	case s.Next != nil:
		add(fmt.Sprintf("%s, wave %d", s.Next.State, s.Next.Wave+1), nil, document.Operation{Key: key, Value: drainpermit.Text(*s.Next)})
	default:
		for _, a := range s.Asks {
			node := drainpermit.AskKey(a.Node)
			do, why := document.Operation{Key: node, Delete: true}, "takes its ask for "+a.Node+" back"
			if !a.Drop {
				why = a.Node + " to " + a.To
				do = document.Operation{Key: node, Value: drainpermit.Text(drainpermit.Ask{ID: id(), By: r.By, Why: "release " + r.Name + " to " + a.To, At: v.Now, Within: r.Within, Release: r.Name, To: a.To})}
			}
			add(why, []document.Condition{{Key: node, Version: at[node]}, {Key: drainpermit.Halts + drainpermit.All}, {Key: halt}}, do)
		}
	}
	return list
}

// Reports are the nodes' counts as the judgement of a release takes them.
func (r Release) Reports(v drainpermit.View, settle time.Duration) (list []canary.Report) {
	for _, s := range v.Members {
		if s.Service != "" {
			continue
		}
		x := s.Report
		list = append(list, canary.Report{Name: s.Name, Zone: x.Zone, Since: x.Since, Changed: x.Release == r.To,
			In:    s.Quiet == disruption.In && !s.Bad && x.Counts(settle) == disruption.In,
			Total: canary.Span{Served: float64(x.Served), Refused: float64(x.Refused), Failed: float64(x.Failed), P99MS: x.P99MS}})
	}
	return list
}

// Read reads a release's document. It errs where there is none, and on what can't be read.
func Read(d document.Document) (r Release, err error) {
	if d.Version == 0 {
		return r, fmt.Errorf("there is no %s", d.Key)
	}
	return r, json.Unmarshal([]byte(d.Value), &r)
}
