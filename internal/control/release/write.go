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

// TaskName is the duty of who takes releases through the fleet.
const TaskName = "release"

// Empty says whether nothing is to be changed.
func (s Decision) Empty() bool { return s.HaltReason == "" && s.Updated == nil && len(s.Requests) == 0 }

// Transactions are those that a step of a release takes, one after the other, as by what was seen at these versions. Each is made only under
// the token, by its owner, and only if the release is still as it was read; an ask only if nothing was halted either. id gives each
// its own.
func (s Decision) Transactions(r Release, v drainpermit.View, at drainpermit.Versions, token uint64, owner string, id func() string) (list []document.Transaction) {
	key, halt := KeyPrefix+r.Name, drainpermit.HaltKeyPrefix+r.Name
	add := func(why string, on []document.Condition, do ...document.Operation) {
		list = append(list, document.Transaction{ID: id(), Author: owner, Reason: "release " + r.Name + ": " + why, Operations: do,
			Conditions: append([]document.Condition{{Task: TaskName, Token: token}, {Key: key, Version: at[key]}}, on...)})
	}
	switch {
	case s.HaltReason != "":
		next := r
		next.Note = s.HaltReason
		add("halted: "+s.HaltReason, []document.Condition{{Key: halt}}, document.Operation{Key: halt, Value: owner + ": " + s.HaltReason}, document.Operation{Key: key, Value: drainpermit.Encode(next)})
	case s.Updated != nil:
		add(fmt.Sprintf("%s, wave %d", s.Updated.State, s.Updated.CurrentWave+1), nil, document.Operation{Key: key, Value: drainpermit.Encode(*s.Updated)})
	default:
		for _, a := range s.Requests {
			node := drainpermit.RequestKey(a.Node)
			do, why := document.Operation{Key: node, Delete: true}, "takes its ask for "+a.Node+" back"
			if !a.Withdraw {
				why = a.Node + " to " + a.TargetVersion
				do = document.Operation{Key: node, Value: drainpermit.Encode(drainpermit.Request{ID: id(), RequestedBy: r.RequestedBy, Reason: "release " + r.Name + " to " + a.TargetVersion, RequestedAtMS: v.NowMS, DrainTimeoutMS: r.DrainTimeoutMS, ReleaseName: r.Name, TargetVersion: a.TargetVersion})}
			}
			add(why, []document.Condition{{Key: node, Version: at[node]}, {Key: drainpermit.HaltKeyPrefix + drainpermit.HaltAll}, {Key: halt}}, do)
		}
	}
	return list
}

// CanaryReports are the nodes' counts as the judgement of a release takes them.
func (r Release) CanaryReports(v drainpermit.View, settle time.Duration) (list []canary.NodeReport) {
	for _, s := range v.Members {
		if s.Service != "" {
			continue
		}
		x := s.Report
		list = append(list, canary.NodeReport{Name: s.Name, Zone: x.Zone, ProcessStartMS: x.ProcessStartMS, Updated: x.DeployedVersion == r.TargetVersion,
			InService: s.Liveness == disruption.Available && !s.Unreadable && x.Availability(settle) == disruption.Available,
			Total:     canary.Interval{Served: float64(x.Served), Rejected: float64(x.Rejected), Failed: float64(x.Failed), P99MS: x.P99MS}})
	}
	return list
}

// Decode reads a release's document. It errs where there is none, and on what can't be read.
func Decode(d document.Document) (r Release, err error) {
	if d.Version == 0 {
		return r, fmt.Errorf("there is no %s", d.Key)
	}
	return r, json.Unmarshal([]byte(d.Value), &r)
}
