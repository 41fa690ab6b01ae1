package drainpermit

import (
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// StartTransaction returns the transaction of an ActionStart, which starts the permit. It is committed only
// if the drain request and the permit are unchanged since the observation, and no halt covers the request.
func StartTransaction(node string, o Observation, started fleetstate.Permit, id string) document.Transaction {
	permitKey := fleetstate.PermitKey(node)
	t := document.Transaction{ID: id, Author: node, Reason: "begins to go out: " + o.Request.Reason,
		Conditions: []document.Condition{
			{Key: permitKey, Version: o.PermitVersion},
			{Key: fleetstate.RequestKey(node), Version: o.RequestVersion},
			{Key: fleetstate.HaltKeyPrefix + fleetstate.HaltAll},
		},
		Operations: []document.Operation{{Key: permitKey, Value: fleetstate.Encode(started)}}}
	if o.Request.ReleaseName != "" {
		t.Conditions = append(t.Conditions, document.Condition{Key: fleetstate.HaltKeyPrefix + o.Request.ReleaseName})
	}
	return t
}

// ActionTransaction returns the transaction of any other action that writes to the store. It is committed only
// if the documents that it changes are unchanged since the observation.
func ActionTransaction(node string, o Observation, a Action, id string) document.Transaction {
	permitKey, requestKey := fleetstate.PermitKey(node), fleetstate.RequestKey(node)
	requestUnchanged := document.Condition{Key: requestKey, Version: o.RequestVersion}
	t := document.Transaction{ID: id, Author: node, Conditions: []document.Condition{{Key: permitKey, Version: o.PermitVersion}}}
	switch a.Kind {
	case ActionReturnPermit:
		t.Reason = "gives its permit back"
		t.Operations = []document.Operation{{Key: permitKey, Delete: true}}
		if a.RequestDone {
			t.Conditions = append(t.Conditions, requestUnchanged)
			t.Operations = append(t.Operations, document.Operation{Key: requestKey, Delete: true})
		}
	case ActionFailRequest:
		t.Reason = a.Request.FailureReason
		t.Conditions = append(t.Conditions, requestUnchanged)
		t.Operations = []document.Operation{{Key: requestKey, Value: fleetstate.Encode(a.Request)}}
	default:
		t.Reason = "is " + string(a.Permit.State)
		t.Operations = []document.Operation{{Key: permitKey, Value: fleetstate.Encode(a.Permit)}}
	}
	return t
}
