package drainpermit

import (
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
)

// Which drain requests get a permit, and which expire.
//
// Inputs: drain requests without a permit, halts, the liveness of nodes, and the budgets with the members as they
// count (View.BudgetMembers). A request expires at its ExpiresAtMS by the reader's clock. One that has
// failed, is halted, or whose node does not report (it could not start its permit) is not considered. The
// others are granted as far as the budgets allow (package disruption), at most MaxGrantsPerTransaction at a
// time.

// MaxGrantsPerTransaction is how many permits one transaction grants at most, so that it stays within the
// store's limits (document.Limits.MaxOperations).
const MaxGrantsPerTransaction = 24

// decideRequests expires and rejects drain requests, and returns those that the budgets decide on.
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
			// Operators read this text: "begin" means that the node would start its permit.
			d.reject(name, request, "it is "+string(liveness[name])+" and could not begin")
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

// grant has the budgets decide.
func (c *Controller) grant(view fleetstate.View, requests []disruption.Request, d *Decision) {
	d.BudgetMembers = view.BudgetMembers(c.MinReady)
	decided := disruption.Decide(view.Budgets, d.BudgetMembers, requests)
	for _, granted := range decided.Granted[:min(len(decided.Granted), MaxGrantsPerTransaction)] {
		d.Grant = append(d.Grant, granted.Member)
	}
	d.Rejected = append(d.Rejected, decided.Rejected...)
}
