package drainpermit

import (
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
)

// Which drain requests get a permit, and which expire.
//
// Inputs: drain requests without a permit, halts, the liveness of nodes, and the budgets with the members that
// count against them (View.BudgetMembers). A request expires at its ExpiresAtMS by the reader's clock. A request
// is not considered if it has failed, if it is halted, or if its node does not report and so could not start
// the permit. The others are granted as far as the budgets allow (package disruption), at most
// MaxGrantsPerTransaction at a time.

// MaxGrantsPerTransaction is the maximum number of permits that one transaction grants, so that it stays within
// the store's limits (document.Limits.MaxOperations).
const MaxGrantsPerTransaction = 24

// decideRequests adds expired and ineligible drain requests to the decision, and returns the others, which are
// subject to the budgets.
func decideRequests(view fleetstate.View, d *Decision) (requests []disruption.Request) {
	liveness := map[string]disruption.Availability{}
	for _, m := range view.Members {
		liveness[m.Name] = m.Liveness
	}
	for name, request := range view.Requests {
		_, permitted := view.Permits[name]
		switch {
		case request.ExpiresAtMS > 0 && view.NowMS >= request.ExpiresAtMS:
			d.Expire = append(d.Expire, name)
		case permitted || request.FailureReason != "":
		case view.IsHalted(request):
			d.reject(name, request, "halted")
		case liveness[name] != disruption.Available:
			d.reject(name, request, "it is "+string(liveness[name])+" and could not start a permit")
		default:
			requests = append(requests, disruption.Request{
				Member: name, RequestedBy: request.RequestedBy, Urgent: request.Urgent, Order: view.RequestOrder[name]})
		}
	}
	return requests
}

// reject records why a drain request is not considered.
func (d *Decision) reject(name string, request fleetstate.DrainRequest, reason string) {
	d.Rejected = append(d.Rejected, disruption.Rejection{
		Request: disruption.Request{Member: name, RequestedBy: request.RequestedBy}, Reason: reason})
}

// grant decides on the requests by the budgets.
func (c *Controller) grant(view fleetstate.View, requests []disruption.Request, d *Decision) {
	d.BudgetMembers = view.BudgetMembers(c.MinReady)
	decided := disruption.Decide(view.Budgets, d.BudgetMembers, requests)
	for _, granted := range decided.Granted[:min(len(decided.Granted), MaxGrantsPerTransaction)] {
		d.Grant = append(d.Grant, granted.Member)
	}
	d.Rejected = append(d.Rejected, decided.Rejected...)
}
